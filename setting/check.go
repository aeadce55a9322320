package setting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/wigeonladder/wigeonladder"
)

// check collects the faults of one document.
type check struct {
	path string
	errs wigeonladder.Errors
	// wrong holds the JSON paths that the schema rejected.
	wrong map[string]bool
	// cut holds the same as locations in the parsed document.
	cut [][]string
}

func newCheck(path string) *check {
	return &check{path: path, wrong: map[string]bool{}}
}

// add records a fault at a JSON path; the empty path is the whole document.
func (c *check) add(at, format string, args ...any) {
	place := c.path
	if at != "" {
		place += ": " + at
	}
	c.errs = append(c.errs, wigeonladder.Errorf(wigeonladder.CodeBadSettings, place, format, args...))
}

// refer records a fault that the schema cannot express. It is left out where
// the schema already rejected the value, so that one mistake gives one error.
func (c *check) refer(at, format string, args ...any) {
	if !c.wrong[at] {
		c.add(at, format, args...)
	}
}

// sound reports whether the schema accepted everything below a JSON path.
// References into a part that is not sound are not checked.
func (c *check) sound(at string) bool {
	for w := range c.wrong {
		rest, below := strings.CutPrefix(w, at)
		if w == "" || below && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return false
		}
	}
	return true
}

// decode checks the shape of the document and reads it. It reports whether the
// document could be read far enough to check references; faults may have been
// recorded all the same.
func (c *check) decode(schema string, data []byte, into any) bool {
	all, err := schemas()
	if err != nil {
		c.add("", "%v", err)
		return false
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		c.add("", "not a JSON document: %v", err)
		return false
	}
	var shape *jsonschema.ValidationError
	if errors.As(all[schema].Validate(doc), &shape) {
		c.shape(shape)
	}
	c.strict(data)
	return c.read(doc, into)
}

// read fills the value with the parts that the schema accepted, so that these
// can be checked further although other parts have faults.
func (c *check) read(doc, into any) bool {
	for _, location := range c.cut {
		doc = without(doc, location)
	}
	data, err := json.Marshal(doc)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil && len(c.errs) == 0 {
		c.add("", "%v", err)
	}
	return err == nil
}

// without returns the document with the value at the location left out. An
// element of an array becomes null, so that the others keep their index.
func without(doc any, location []string) any {
	if len(location) == 0 {
		return nil
	}
	switch v := doc.(type) {
	case map[string]any:
		if len(location) == 1 {
			delete(v, location[0])
		} else if below, ok := v[location[0]]; ok {
			v[location[0]] = without(below, location[1:])
		}
	case []any:
		if i, err := strconv.Atoi(location[0]); err == nil && i < len(v) {
			v[i] = without(v[i], location[1:])
		}
	}
	return doc
}

// shape records the innermost faults that the schema found.
func (c *check) shape(e *jsonschema.ValidationError) {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			c.shape(cause)
		}
		return
	}
	at := e.InstanceLocation
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			c.reject(below(at, name), "missing key")
		}
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			c.reject(below(at, name), "unknown key")
		}
	case *kind.Format:
		c.reject(at, "%v, got %q", k.Err, k.Got)
	default:
		c.reject(at, "%s", k.LocalizedString(message.NewPrinter(language.English)))
	}
}

// below returns the location of a key.
func below(location []string, key string) []string {
	return append(slices.Clone(location), key)
}

// reject records a fault that the schema found.
func (c *check) reject(location []string, format string, args ...any) {
	at := jsonPath(location)
	c.wrong[at] = true
	c.cut = append(c.cut, location)
	c.add(at, format, args...)
}

// jsonPath writes a location as a.b[1].c. The documents have no keys that are
// numbers, so a number is always an index.
func jsonPath(location []string) string {
	at := ""
	for _, s := range location {
		if s != "" && strings.Trim(s, "0123456789") == "" {
			at += "[" + s + "]"
			continue
		}
		at = join(at, s)
	}
	return at
}

// join appends a key to a JSON path.
func join(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

// index appends an index to a JSON path.
func index(at string, i int) string { return fmt.Sprintf("%s[%d]", at, i) }
