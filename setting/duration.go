package setting

import (
	"encoding/json"
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
		return 0, errors.New("a duration has a unit, such as \"3s\" or \"500ms\"")
	}
	if d < 0 || d > maxDuration {
		return 0, errors.Errorf("a duration is between 0s and %v", maxDuration)
	}
	return d, nil
}
