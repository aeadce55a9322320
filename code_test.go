package wigeonladder

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a result code that is missing from docs/ERRORS.md, so that
// callers cannot look it up.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("docs/ERRORS.md")
	is.NoErr(err)
	for _, c := range Codes() {
		info := c.Info()
		row := "| " + strconv.Itoa(int(c)) + " | " + info.Name + " | " + string(info.Outcome) + " | " + strconv.Itoa(info.Status) + " |"
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/ERRORS.md lacks the row %q", row)
		}
	}
}

// Guards against an unknown code being taken for "not run", after which a caller
// would repeat a request that may have run.
func TestUnknownCodeMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(Code(9999).Info().Outcome, MayHaveRun)
}

// Guards against a list of errors that reports only the first one.
func TestErrorsAreListedTogether(t *testing.T) {
	is := is.New(t)
	l := Errors{
		Errorf(CodeBadSettings, "b", "second"),
		Errorf(CodeBadSettings, "a", "first"),
	}
	is.Equal(l.ErrorOrNil().Error(), "502 bad_settings: a: first\n502 bad_settings: b: second")
	is.NoErr(Errors(nil).ErrorOrNil())
}

// Guards against a rule with a short path prefix that overrides a rule with a
// longer one.
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
