package caller_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/caller"
	"github.com/wigeonladder/wigeonladder/fake"
)

// Guards against a cost hint that is not used as the estimate, and against a
// hint that would overflow or lower a workspace's counter.
func TestCostHint(t *testing.T) {
	got := make(chan wigeonladder.Request, 1)
	r := newRig(t, fake.EngineOptions{}, func(_ *rig, o *caller.Options) {
		o.Runner = fake.RunnerFunc(func(_ context.Context, q wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
			got <- q
			return wigeonladder.Usage{}, s.Start(200, "text/plain")
		})
	})
	chat := chatJSON("hello", 5, false)
	for path, body := range map[string]string{"/v1/chat/completions": chat, "/s/desk/status": "x"} {
		for hint, want := range map[string]int64{"1": 1, "77": 77, "1073741824": 1 << 30} {
			t.Run(path+" "+hint, func(t *testing.T) {
				is := is.New(t)
				is.Equal(r.send("POST", path, "key-alder", body, "X-Cost-Hint", hint).Status, 200)
				is.Equal(within(t, got, "the request runs").Estimate, want)
			})
		}
		for _, hint := range []string{"0", "-1", "x", "", "1.5", "1e3", "1073741825", "99999999999999999999"} {
			t.Run(path+" bad "+hint, func(t *testing.T) {
				wantCode(t, r.send("POST", path, "key-alder", body, "X-Cost-Hint", hint), wigeonladder.CodeMalformed)
			})
		}
	}
}
