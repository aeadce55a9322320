package forward

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/place"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// versionMargin is added to the timeout of a route: no stream that can be taken up has
	// begun before.
	versionMargin = 2 * time.Second
	// streamLostRetryDelay is the retry delay of a call whose stream cannot go on. It can
	// begin anew at once.
	streamLostRetryDelay = 10 * time.Millisecond
)

// takeUp restricts a call that takes up a stream to the servers of the software version
// that began the stream. It returns an error if that version is not known for certain: the
// rest of the stream from another version does not fit.
func (r *callRun) takeUp(ctx context.Context) *wigeonladder.Error {
	streams := r.forwarder.options.Streams
	if streams == nil || r.call.LastEventID == "" || !r.match.Route.Resumable {
		return nil
	}
	if r.call.Resumes != "" {
		if o, known := streams.Find(ctx, r.match.Workspace, r.call.Resumes); known {
			return r.goOnAt(o)
		}
	}
	version, ok := streams.SingleVersion(r.job.Service, r.match.Route.Timeout+versionMargin)
	if !ok || len(r.match.Route.WeightedServices) > 1 {
		return wigeonladder.Errorf(wigeonladder.CodeStreamLost, r.call.Resumes, "the version that began the stream is not known")
	}
	r.job.Version = version
	return nil
}

// goOnAt restricts the call to the servers of an origin.
func (r *callRun) goOnAt(o wigeonladder.StreamOrigin) *wigeonladder.Error {
	allowed := slices.ContainsFunc(r.match.Route.WeightedServices, func(s route.WeightedService) bool { return s.Service == o.Service })
	if o.Version == "" || !allowed {
		return wigeonladder.Errorf(wigeonladder.CodeStreamLost, r.call.Resumes, "the stream began at service %q, version %q", o.Service, o.Version)
	}
	if o.Service != r.match.Service.Name {
		r.match = r.forwarder.options.TableStore.Table().WithService(r.match, o.Service)
		r.job.Service = o.Service
	}
	r.job.Version = o.Version
	return nil
}

// beginStreamAt records the version at which a stream begins, and restricts the call to
// servers of this version. It must be called before the first event is sent.
func (r *callRun) beginStreamAt(l *place.Lease) {
	streams := r.forwarder.options.Streams
	if streams == nil || !r.match.Route.Resumable || r.call.LastEventID != "" {
		return
	}
	r.job.Version = l.Instance.Version
	o := wigeonladder.StreamOrigin{Service: r.match.Service.Name, Version: l.Instance.Version}
	streams.Begin(r.match.Workspace, r.call.ID, o, l.Instance.ID)
}
