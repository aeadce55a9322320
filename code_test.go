package wigeonladder

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a code that callers cannot look up.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("docs/ERRORS.md")
	is.NoErr(err)
	for _, c := range Codes() {
		f := c.Info()
		row := "| " + strconv.Itoa(int(c)) + " | " + f.Name + " | " + string(f.Outcome) + " | " + strconv.Itoa(f.Status) + " |"
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/ERRORS.md lacks the row %q", row)
		}
	}
}

// Guards against a code of unknown meaning being read as "not run".
func TestUnknownCodePromisesNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(Code(9999).Info().Outcome, MayHaveRun)
}

// Guards against the first fault hiding the others.
func TestErrorsAreListedTogether(t *testing.T) {
	is := is.New(t)
	l := Errors{
		Errorf(CodeBadSettings, "b", "second"),
		Errorf(CodeBadSettings, "a", "first"),
	}
	is.Equal(l.ErrorOrNil().Error(), "502 bad_settings: a: first\n502 bad_settings: b: second")
	is.NoErr(Errors(nil).ErrorOrNil())
}

// Guards against a short prefix rule overriding a more specific one.
func TestUrgencyLongestPrefix(t *testing.T) {
	is := is.New(t)
	r := Rules{UrgencyRules: []UrgencyRule{
		{Service: "desk", PathPrefix: "/", Urgency: UrgencyBatch},
		{Service: "desk", PathPrefix: "/refund", Urgency: UrgencyHigh},
	}}
	is.Equal(r.Urgency("desk", "/refund/1"), UrgencyHigh)
	is.Equal(r.Urgency("desk", "/status"), UrgencyBatch)
	is.Equal(r.Urgency("other", "/refund/1"), UrgencyNormal)
}
