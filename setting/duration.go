package setting

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxDuration bounds durations in settings; a longer one is taken for a mistaken
// unit.
const maxDuration = 24 * time.Hour

// Duration is a time span that JSON represents as a string with a unit, such as
// "3s" or "500ms".
type Duration time.Duration

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON reads a string with a unit. A bare number is an error, because its
// unit would be ambiguous.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.New("a duration is a string with a unit, such as \"3s\"")
	}
	v, err := parseDuration(s)
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// parseDuration parses a duration between 0 and maxDuration.
func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		d, err = parseExponent(s)
	}
	if err != nil {
		return 0, errors.New("a duration has a unit, such as \"3s\" or \"500ms\"")
	}
	if d < 0 || d > maxDuration {
		return 0, errors.Errorf("a duration is between 0s and %v", maxDuration)
	}
	return d, nil
}

// parseExponent parses one decimal number with an exponent or of any size and its
// unit, which time.ParseDuration does not. A duration that is too long for the type
// becomes its maximum.
func parseExponent(s string) (time.Duration, error) {
	number := strings.TrimRight(s, "abcdefghijklmnopqrstuvwxyz")
	unit, err := time.ParseDuration("1" + s[len(number):])
	if err != nil {
		return 0, errors.Wrap(err, "unit")
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || !isDecimal(number) {
		return 0, errors.Errorf("not a decimal number: %q", number)
	}
	if v *= float64(unit); v >= math.MaxInt64 {
		return math.MaxInt64, nil
	}
	return time.Duration(max(v, -1)), nil
}
