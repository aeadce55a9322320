package setting

import (
	"bytes"
	"encoding/json"
	"strings"
)

// strict records what JSON Schema cannot see: keys that occur twice, of which
// decoders keep one without notice, and whole numbers with a point or an
// exponent, which the schema takes and the decoder does not. All numbers in the
// documents are whole. The document is known to be JSON.
func (c *check) strict(data []byte) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	c.strictValue(d, "")
}

// strictValue reads one value.
func (c *check) strictValue(d *json.Decoder, at string) {
	token, err := d.Token()
	if err != nil {
		return
	}
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			c.strictObject(d, at)
		} else {
			c.strictArray(d, at)
		}
	case json.Number:
		if strings.ContainsAny(v.String(), ".eE") {
			c.refer(at, "a whole number is written without a point or an exponent, got %v", v)
		}
	}
}

// strictObject reads the rest of an object.
func (c *check) strictObject(d *json.Decoder, at string) {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return
		}
		key, _ := token.(string)
		p := join(at, key)
		if seen[key] {
			c.refer(p, "the key occurs twice")
		}
		seen[key] = true
		c.strictValue(d, p)
	}
	_, _ = d.Token()
}

// strictArray reads the rest of an array.
func (c *check) strictArray(d *json.Decoder, at string) {
	for i := 0; d.More(); i++ {
		c.strictValue(d, index(at, i))
	}
	_, _ = d.Token()
}
