package edge_test

import (
	"strings"
	"testing"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// BenchmarkCalls measures caller, daemon and backend server together, in one
// process: calls over reused and over new connections, and refusals.
func BenchmarkCalls(b *testing.B) {
	for name, x := range map[string]struct {
		path       string
		reuseConns bool
	}{
		"refused, new connections": {"/other/", false}, "refused": {"/other/", true}, "whole": {"/once/x", true}, "stream": {"/stream/x", true},
	} {
		b.Run(name, func(b *testing.B) {
			r := newRig(b)
			caller := stub.NewCaller(x.reuseConns)
			defer caller.Close()
			body := strings.Repeat("x", 17000)
			for b.Loop() {
				c := r.call(x.path)
				c.Body = body
				if _, err := caller.Do(b.Context(), r.callerAddresses[0], c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
