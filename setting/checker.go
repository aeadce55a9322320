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

// checker validates one document and collects its errors.
type checker struct {
	file string
	errs wigeonladder.Errors
	// rejectedPaths holds the JSON paths of the values that the schema rejected.
	rejectedPaths map[string]bool
	// rejectedLocations holds the same values as locations in the parsed document.
	rejectedLocations [][]string
}

func newChecker(path string) *checker {
	return &checker{file: path, rejectedPaths: map[string]bool{}}
}

// addError records an error at a JSON path; the empty path is the whole document.
func (c *checker) addError(at, format string, args ...any) {
	place := c.file
	if at != "" {
		place += ": " + at
	}
	c.errs = append(c.errs, wigeonladder.Errorf(wigeonladder.CodeBadSettings, place, format, args...))
}

// addUnlessRejected records an error that the schema cannot express. It does
// nothing if the schema already rejected the value, so that one mistake gives one
// error.
func (c *checker) addUnlessRejected(at, format string, args ...any) {
	if !c.rejectedPaths[at] {
		c.addError(at, format, args...)
	}
}

// accepted reports whether the schema accepted the value at a JSON path and
// everything below it. References into a value that is not accepted are not
// checked.
func (c *checker) accepted(at string) bool {
	for rejected := range c.rejectedPaths {
		rest, below := strings.CutPrefix(rejected, at)
		if rejected == "" || below && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return false
		}
	}
	return true
}

// decode validates the document against a schema and decodes the accepted parts. It
// reports whether decoding succeeded, so that references in the decoded value can be
// checked; errors may have been recorded nevertheless.
func (c *checker) decode(schema string, data []byte, into any) bool {
	compiled, err := schemas()
	if err != nil {
		c.addError("", "%v", err)
		return false
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		c.addError("", "not a JSON document: %v", err)
		return false
	}
	var schemaErr *jsonschema.ValidationError
	if errors.As(compiled[schema].Validate(doc), &schemaErr) {
		c.addSchemaErrors(schemaErr)
	}
	c.checkStrict(data)
	return c.decodeAccepted(doc, into)
}

// decodeAccepted decodes the parts of the document that the schema accepted, so
// that these can be checked further although other parts have errors. It reports
// whether decoding succeeded.
func (c *checker) decodeAccepted(doc, into any) bool {
	for _, location := range c.rejectedLocations {
		doc = omitValue(doc, location)
	}
	data, err := json.Marshal(doc)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil && len(c.errs) == 0 {
		c.addError("", "%v", err)
	}
	return err == nil
}

// omitValue returns the document without the value at the location. An element of
// an array becomes null instead, so that the others keep their index.
func omitValue(doc any, location []string) any {
	if len(location) == 0 {
		return nil
	}
	switch v := doc.(type) {
	case map[string]any:
		if len(location) == 1 {
			delete(v, location[0])
		} else if below, ok := v[location[0]]; ok {
			v[location[0]] = omitValue(below, location[1:])
		}
	case []any:
		if i, err := strconv.Atoi(location[0]); err == nil && i < len(v) {
			v[i] = omitValue(v[i], location[1:])
		}
	}
	return doc
}

// addSchemaErrors records the innermost causes of a schema's validation error.
func (c *checker) addSchemaErrors(e *jsonschema.ValidationError) {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			c.addSchemaErrors(cause)
		}
		return
	}
	location := e.InstanceLocation
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			c.rejectValue(childLocation(location, name), "missing key")
		}
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			c.rejectValue(childLocation(location, name), "unknown key")
		}
	case *kind.Format:
		c.rejectValue(location, "%v, got %q", k.Err, k.Got)
	default:
		c.rejectValue(location, "%s", k.LocalizedString(message.NewPrinter(language.English)))
	}
}

// childLocation returns the location of a key below a location.
func childLocation(location []string, key string) []string {
	return append(slices.Clone(location), key)
}

// rejectValue records an error that the schema found and marks the value at the
// location as rejected.
func (c *checker) rejectValue(location []string, format string, args ...any) {
	at := jsonPath(location)
	c.rejectedPaths[at] = true
	c.rejectedLocations = append(c.rejectedLocations, location)
	c.addError(at, format, args...)
}

// jsonPath formats a location as a.b[1].c. The documents have no numeric keys, so a
// number is always an index.
func jsonPath(location []string) string {
	at := ""
	for _, s := range location {
		if s != "" && strings.Trim(s, "0123456789") == "" {
			at += "[" + s + "]"
			continue
		}
		at = joinKey(at, s)
	}
	return at
}

// joinKey appends a key to a JSON path.
func joinKey(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

// joinIndex appends an index to a JSON path.
func joinIndex(at string, i int) string { return fmt.Sprintf("%s[%d]", at, i) }
