package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/setting"
)

// crashingPart is the prompt part under which the servers of crashRig crash.
const crashingPart = "dead"

// crashRig returns a rig of two daemons whose engines crash when they begin to answer
// a call with crashingPart. Two daemons that do not hear each other in time lose two
// servers each.
func crashRig(t *testing.T, engines int) *rig {
	t.Helper()
	r := newRig(t, withDaemons(2), withEngines(engines))
	for _, s := range r.engines {
		s.Delay = 20 * time.Millisecond
		s.SetFault(func(_ int, q *http.Request) stub.Fault {
			if strings.Contains(stub.PromptParts(q.Header), crashingPart) {
				return stub.Crash
			}
			return stub.NoFault
		})
	}
	return r
}

// prompt returns a call of a stream with the given shared parts and a part of its own.
func (r *rig) prompt(path string, parts ...string) stub.Call {
	c := r.call(path)
	c.Body = "prompt of " + c.ID
	c.PromptTokens, c.OutputTokens = 100, 5
	for _, p := range append(parts, "own-"+c.ID) {
		c.PromptParts += fmt.Sprintf("%s:%d,", p, 20)
	}
	c.PromptParts = strings.TrimSuffix(c.PromptParts, ",")
	return c
}

// doAt makes a call to the n-th daemon.
func (r *rig) doAt(n int, c stub.Call) stub.Reply {
	r.t.Helper()
	reply, err := r.caller.Do(r.t.Context(), r.callerAddresses[n], c)
	is.New(r.t).NoErr(err)
	return reply
}

// tainted returns how many calls with crashingPart reached servers.
func (r *rig) tainted() int {
	n := 0
	for _, s := range r.engines {
		for _, x := range s.Runs() {
			if strings.Contains(stub.PromptParts(x.Header), crashingPart) {
				n++
			}
		}
	}
	return n
}

// Guards against requests that share a prompt part and nothing else and crash one
// server after the other, and against sound requests that are refused with them.
func TestPromptPartThatCrashesServers(t *testing.T) {
	for name, path := range map[string]string{"stream": "/stream/x", "resumable stream": "/stream/resume/x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := crashRig(t, 8)
			for i := range 30 {
				r.doAt(i%2, r.prompt(path, "first", crashingPart))
			}
			is.True(r.tainted() <= 5)
			before := r.tainted()
			for i := range 10 {
				c := r.prompt(path, "first", crashingPart)
				reply := r.doAt(i%2, c)
				r.wantNotRun(c, reply)
				is.True(strings.HasPrefix(reply.Body, "307"))
			}
			is.Equal(r.tainted(), before)
			for i := range 10 {
				c := r.prompt(path, "first")
				wantStream(t, c, r.doAt(i%2, c), 5)
			}
		})
	}
}

// Guards against a daemon that starts and loses servers of its own before it refuses a
// part that the other daemons have quarantined.
func TestNewDaemonKnowsQuarantinedParts(t *testing.T) {
	is := is.New(t)
	r := crashRig(t, 10)
	for i := range 10 {
		r.doAt(i%2, r.prompt("/stream/x", "first", crashingPart))
	}
	before := r.tainted()
	for range 3 {
		n := len(r.daemons)
		r.startDaemon(setting.DefaultEdge(), n, []string{r.peerAddresses[0], r.peerAddresses[1]})
		r.eventually("the new daemon is ready", func() bool { return stub.Ready(t.Context(), r.readinessAddresses[n]) })
		c := r.prompt("/stream/x", "first", crashingPart)
		r.wantNotRun(c, r.doAt(n, c))
	}
	is.Equal(r.tainted(), before)
}
