package setting

import (
	"bytes"
	"embed"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed schema/*.json
var files embed.FS

// schemas compiles the embedded schemas once. They are part of the program, so
// a fault in them shows in every test of this package.
var schemas = sync.OnceValues(compile)

// compile returns the embedded schemas by file name.
func compile() (map[string]*jsonschema.Schema, error) {
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	for _, f := range formats() {
		c.RegisterFormat(f)
	}
	entries, err := files.ReadDir("schema")
	if err != nil {
		return nil, errors.Wrap(err, "schema")
	}
	for _, e := range entries {
		data, err := files.ReadFile("schema/" + e.Name())
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

// schemaURL is the name of a schema inside the compiler. Nothing is fetched.
func schemaURL(file string) string { return "wigeonladder:///" + file }
