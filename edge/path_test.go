package edge_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// Guards against calls or answers that are changed on their way, and against
// callers that set headers which only the fleet may set.
func TestCallsReachServersUnchanged(t *testing.T) {
	r := newRig(t)
	for _, path := range []string{"/safe/a?x=%20y", "/once/b", "/public/c"} {
		t.Run(strings.Trim(path[:5], "/"), func(t *testing.T) {
			is := is.New(t)
			c := r.call(path)
			c.Header = stub.ForgedHeaders()
			wantWhole(t, c, r.do(c))
			runs := r.runs(c.ID)
			is.Equal(len(runs), 1)
			is.Equal(runs[0].Path, path)
			is.Equal(runs[0].Body, c.Body)
			is.Equal(runs[0].Authorization, "")
			is.True(runs[0].TimeLeft > 0 && runs[0].TimeLeft <= c.Timeout)
			want := map[string]string{"/public/c": ""}
			workspace, public := want[path]
			if !public {
				workspace = "north"
			}
			is.Equal(runs[0].Workspace, workspace)
			is.True(!stub.HasForgedHeader(runs[0].Header))
			is.Equal(runs[0].Header.Get(stub.UnreservedHeader), "kept")
		})
	}
	t.Run("stream", func(t *testing.T) {
		c := r.call("/stream/x")
		c.PromptParts, c.PromptTokens, c.OutputTokens = "aa:100,bb:20", 120, 30
		wantStream(t, c, r.do(c), 5)
		is.New(t).Equal(stub.PromptParts(r.runs(c.ID)[0].Header), c.PromptParts)
	})
}

// Guards against calls that are admitted without a route or a valid key.
func TestAdmission(t *testing.T) {
	r := newRig(t)
	for name, x := range map[string]struct {
		status int
		change func(*stub.Call)
	}{
		"no route": {404, func(c *stub.Call) { c.Path = "/other/" }},
		"no host":  {404, func(c *stub.Call) { c.Host = "other.example" }},
		"no key":   {401, func(c *stub.Call) { c.APIKey = "" }},
		"bad key":  {401, func(c *stub.Call) { c.APIKey = "wrong" }},
	} {
		t.Run(name, func(t *testing.T) {
			c := r.call("/safe/a")
			x.change(&c)
			is := is.New(t)
			is.Equal(r.do(c).Status, x.status)
			is.Equal(len(r.runs(c.ID)), 0)
		})
	}
}
