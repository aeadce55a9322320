package edge_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/edge"
	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// setVersions lists the model servers with the given versions, in turn, those of one
// version as leaving, and waits until all daemons know them.
func (r *rig) setVersions(leaving string, versions ...string) {
	r.t.Helper()
	want := map[string]string{}
	for i, s := range r.engines {
		x := s.Instance()
		x.Version = versions[i%len(versions)]
		x.Leaving = x.Version == leaving
		want[x.ID] = x.Version
		r.store.PutServer(x)
	}
	known := func(d *edge.Daemon) bool {
		for _, s := range d.Dump().Servers {
			if v, ok := want[s.Server]; ok && (v != s.Version || s.Leaving != (v == leaving)) {
				return false
			}
		}
		return true
	}
	for _, d := range r.daemons {
		r.eventually("the versions are known", func() bool { return known(d) })
	}
}

// takeUp makes a call to a daemon that takes up the stream of another call after its
// second event.
func (r *rig) takeUp(daemon int, first string) (stub.Call, stub.Reply) {
	r.t.Helper()
	c := r.call("/stream/resume/x")
	c.Header = map[string]string{"Last-Event-Id": "2", "Resumes": first}
	reply, err := r.caller.Do(r.t.Context(), r.callerAddresses[daemon], c)
	is.New(r.t).NoErr(err)
	return c, reply
}

// Guards against resuming a stream at another daemon with a different software version
// (ORDER), and against refusing it while servers of its version are available.
func TestStreamsTakenUpKeepTheirVersion(t *testing.T) {
	r := newRig(t, withDaemons(3), withEngines(4))
	// Without a restriction, calls go to the first server, which is of version v1.
	r.setVersions("v1", "v1", "v2")
	var began []stub.Call
	for range 10 {
		c := r.call("/stream/resume/x")
		wantStream(t, c, r.do(c), 5)
		began = append(began, c)
	}
	r.setVersions("", "v1", "v2")
	for i, c := range began {
		for daemon := range 3 {
			var next stub.Call
			r.eventually(fmt.Sprintf("daemon %d knows where stream %d began", daemon, i), func() bool {
				var reply stub.Reply
				next, reply = r.takeUp(daemon, c.ID)
				return reply.Status == 200
			})
			went := r.runs(next.ID)
			is.New(t).Equal(len(went), 1)
			is.New(t).True(went[0].Instance == "model-1" || went[0].Instance == "model-3")
		}
	}
}

// Guards against resuming a stream at an arbitrary version (ORDER) when its version is
// unknown or no longer served, and against a refusal of a call that has run.
func TestStreamsOfUnknownVersionAreRefused(t *testing.T) {
	r := newRig(t, withEngines(4))
	r.setVersions("", "v1", "v2")
	wantLost := func(c stub.Call, reply stub.Reply) {
		t.Helper()
		is := is.New(t)
		is.Equal(reply.Status, 421)
		is.Equal(reply.Body, "210 stream_lost\n")
		is.Equal(len(r.runs(c.ID)), 0)
	}
	wantLost(r.takeUp(0, "began-at-a-lost-daemon"))
	c := r.call("/stream/resume/x")
	r.do(c)
	r.setVersions("", "v3")
	wantLost(r.takeUp(0, c.ID))
	anew := r.call("/stream/resume/x")
	wantStream(t, anew, r.do(anew), 5)
	is.New(t).Equal(fmt.Sprint(len(r.runs(anew.ID))), "1")
}
