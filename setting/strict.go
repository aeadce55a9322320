package setting

import (
	"bytes"
	"encoding/json"
	"strings"
)

// checkStrict records what JSON Schema cannot detect: duplicate keys, of which
// decoders silently keep one, and integers with a point or an exponent, which the
// schema accepts and the decoder does not. All numbers in the documents are
// integers. The data must be valid JSON.
func (c *checker) checkStrict(data []byte) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	c.checkStrictValue(d, "")
}

// checkStrictValue reads and checks one value.
func (c *checker) checkStrictValue(d *json.Decoder, at string) {
	token, err := d.Token()
	if err != nil {
		return
	}
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			c.checkStrictObject(d, at)
		} else {
			c.checkStrictArray(d, at)
		}
	case json.Number:
		if strings.ContainsAny(v.String(), ".eE") {
			c.addUnlessRejected(at, "a whole number is written without a point or an exponent, got %v", v)
		}
	}
}

// checkStrictObject reads and checks the rest of an object after its opening brace.
func (c *checker) checkStrictObject(d *json.Decoder, at string) {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return
		}
		key, _ := token.(string)
		p := joinKey(at, key)
		if seen[key] {
			c.addUnlessRejected(p, "the key occurs twice")
		}
		seen[key] = true
		c.checkStrictValue(d, p)
	}
	_, _ = d.Token()
}

// checkStrictArray reads and checks the rest of an array after its opening bracket.
func (c *checker) checkStrictArray(d *json.Decoder, at string) {
	for i := 0; d.More(); i++ {
		c.checkStrictValue(d, joinIndex(at, i))
	}
	_, _ = d.Token()
}
