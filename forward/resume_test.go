package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// origins are the origins that a test knows.
type origins struct {
	known  map[string]wigeonladder.StreamOrigin
	single string
	began  map[string]wigeonladder.StreamOrigin
}

// Begin implements wigeonladder.StreamOrigins.
func (o *origins) Begin(workspace, callID string, x wigeonladder.StreamOrigin, _ string) {
	o.began[workspace+"/"+callID] = x
}

// Find implements wigeonladder.StreamOrigins.
func (o *origins) Find(_ context.Context, workspace, callID string) (wigeonladder.StreamOrigin, bool) {
	x, known := o.known[workspace+"/"+callID]
	return x, known
}

// SingleVersion implements wigeonladder.StreamOrigins.
func (o *origins) SingleVersion(string, time.Duration) (string, bool) {
	return o.single, o.single != ""
}

// Guards against resuming a stream at a different software version (ORDER), against
// resuming one whose version is unknown, and against refusing one whose version is known.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	at := func(service, version string) map[string]wigeonladder.StreamOrigin {
		return map[string]wigeonladder.StreamOrigin{"/first": {Service: service, Version: version}}
	}
	for name, x := range map[string]struct {
		known   map[string]wigeonladder.StreamOrigin
		single  string
		resumes string
		path    string
		servers string // the servers that may get the call
		status  int
	}{
		"known":                {at("s", "v2"), "", "first", "/resume/", "de", 502},
		"known, single now":    {at("s", "v2"), "v1", "first", "/resume/", "de", 502},
		"version gone":         {at("s", "v0"), "", "first", "/resume/", "", 421},
		"ambiguous":            {at("", ""), "v1", "first", "/resume/", "", 421},
		"another service":      {at("t", "v2"), "v1", "first", "/resume/", "", 421},
		"unknown":              {nil, "", "first", "/resume/", "", 421},
		"unknown, one version": {nil, "v1", "first", "/resume/", "abc", 502},
		"no id":                {at("s", "v2"), "", "", "/resume/", "", 421},
		"not resumable":        {nil, "", "first", "/stream/", "abcde", 502},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, []wigeonladder.Code{broken}, func(t *testing.T, r *rig) {
				is := is.New(t)
				r.options.Streams = &origins{known: x.known, single: x.single}
				r.setVersions("abc", "v1")
				r.setVersions("de", "v2")
				o := &outcome{}
				r.Serve(t.Context(), &wigeonladder.Call{ID: "id", Method: "POST", Host: "h", Path: x.path, LastEventID: "3", Resumes: x.resumes, Received: time.Now()}, o)
				is.Equal(o.err.Code.Info().Status, x.status)
				is.Equal(len(r.sender.sent) > 0, x.servers != "")
				for _, s := range r.sender.sent {
					is.True(s.Instance.ID >= x.servers[:1] && s.Instance.ID <= x.servers[len(x.servers)-1:])
				}
				if x.status == 421 {
					is.Equal(o.err.Code, wigeonladder.CodeStreamLost)
					is.Equal(o.err.Code.Info().Outcome, wigeonladder.NotRun)
				}
			})
		})
	}
}

// setVersions sets the version of servers, named by one letter each.
func (r *rig) setVersions(servers, version string) {
	for _, id := range servers {
		r.options.Pool.Put(wigeonladder.Instance{ID: string(id), Service: "s", Slots: 4, Version: version})
	}
}

// Guards against a failover, within one answer, to a server of a different version, and
// against a stream whose version is not recorded.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	bubble(t, nil, func(t *testing.T, r *rig) {
		is := is.New(t)
		streams := &origins{began: map[string]wigeonladder.StreamOrigin{}}
		r.options.Streams = streams
		r.setVersions("abcd", "v1")
		r.setVersions("e", "v2")
		run := &callRun{forwarder: r.Forwarder, call: &wigeonladder.Call{ID: "id", Method: "POST", Host: "h", Path: "/resume/", Received: time.Now()}, reply: &outcome{}}
		is.True(run.admit() == nil)
		is.True(run.takeUp(t.Context()) == nil)
		is.Equal(run.job.Version, "")
		lease, err := r.options.Pool.Acquire(t.Context(), run.job)
		is.True(err == nil)
		run.beginStreamAt(lease)
		is.Equal(streams.began["/id"], wigeonladder.StreamOrigin{Service: "s", Version: lease.Instance.Version})
		for range 2 {
			run.job.ExcludedServers[lease.Instance.ID] = true
			lease, err = r.options.Pool.Acquire(t.Context(), run.job)
			is.True(err == nil)
			is.Equal(lease.Instance.Version, streams.began["/id"].Version)
		}
		r.setVersions("abcd", "v3")
		is.True(!r.options.Pool.Allowed(lease.Instance))
		_, err = r.options.Pool.Acquire(t.Context(), run.job)
		is.Equal(err.Code, wigeonladder.CodeStreamLost)
	})
}
