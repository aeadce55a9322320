package setting

import (
	"bytes"
	"embed"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed schema/*.json
var schemaFiles embed.FS

// schemas compiles the embedded schemas once. They are part of the program, so
// every test of this package fails if one of them is invalid.
var schemas = sync.OnceValues(compileSchemas)

// compileSchemas returns the compiled schemas by file name.
func compileSchemas() (map[string]*jsonschema.Schema, error) {
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	for _, f := range formats() {
		c.RegisterFormat(f)
	}
	entries, err := schemaFiles.ReadDir("schema")
	if err != nil {
		return nil, errors.Wrap(err, "schema")
	}
	for _, e := range entries {
		data, err := schemaFiles.ReadFile("schema/" + e.Name())
		if err != nil {
			return nil, errors.Wrap(err, e.Name())
		}
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
		if err != nil {
			return nil, errors.Wrap(err, e.Name())
		}
		if err := c.AddResource(schemaURL(e.Name()), doc); err != nil {
			return nil, errors.Wrap(err, e.Name())
		}
	}
	all := make(map[string]*jsonschema.Schema, len(entries))
	for _, e := range entries {
		s, err := c.Compile(schemaURL(e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, e.Name())
		}
		all[e.Name()] = s
	}
	return all, nil
}

// schemaURL returns the identifier of a schema in the compiler; nothing is fetched
// from it.
func schemaURL(file string) string { return "wigeonladder:///" + file }
