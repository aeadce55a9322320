package setting

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// maxDecimal bounds decimal numbers in settings. All whole numbers up to it can be
// represented.
const maxDecimal = 1e12

// Decimal is a number that is not negative and may have a fraction. JSON
// represents it as a string with a decimal number of any length, such as "0.2" or
// "5e-1".
type Decimal float64

// String returns the shortest decimal number for the value.
func (d Decimal) String() string { return strconv.FormatFloat(float64(d), 'g', -1, 64) }

// MarshalJSON writes the number as a string.
func (d Decimal) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a number in a string.
func (d *Decimal) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.New("a decimal number is written in quotes, such as \"0.2\"")
	}
	v, err := parseDecimal(s)
	if err != nil {
		return err
	}
	*d = Decimal(v)
	return nil
}

// parseDecimal parses a decimal number between 0 and maxDecimal.
func parseDecimal(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || !isDecimal(s) {
		return 0, errors.New("a decimal number has digits, a point and an exponent only, such as \"0.2\" or \"5e-1\"")
	}
	if v < 0 || v > maxDecimal {
		return 0, errors.Errorf("a decimal number is between 0 and %g", maxDecimal)
	}
	return v, nil
}

// isDecimal reports whether the text has only the characters of decimal numbers.
// strconv also accepts hexadecimal numbers, underscores, infinities and NaN.
func isDecimal(s string) bool {
	for _, r := range s {
		if (r < '0' || r > '9') && r != '.' && r != 'e' && r != 'E' && r != '+' && r != '-' {
			return false
		}
	}
	return true
}

// Count is a whole number of things. JSON represents it as an integer, or as a
// string with a decimal number, whose fraction is dropped.
type Count int

// UnmarshalJSON reads an integer or a number in a string.
func (c *Count) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		return json.Unmarshal(bytes.TrimSpace(data), (*int)(c))
	}
	var d Decimal
	if err := d.UnmarshalJSON(data); err != nil {
		return err
	}
	*c = Count(math.Floor(float64(d)))
	return nil
}
