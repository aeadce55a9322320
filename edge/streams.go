package edge

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/place"
	"github.com/wigeonladder/wigeonladder/stream"
)

const (
	// maxVersionsAge is the age of what is known of the store from which it is not certain
	// that a service has a single version.
	maxVersionsAge = 3 * time.Second
	// versionChangeTime bounds the delay between the restart of a server with another
	// version and the update of its entry.
	versionChangeTime = 10 * time.Second
)

// streams joins what this daemon and others know of the versions at which streams began.
// It implements wigeonladder.StreamOrigins.
type streams struct {
	origins  *stream.Origins
	versions *stream.Versions
	// ask asks other daemons for an origin. storeAge returns the age of what is known of
	// the store.
	ask      func(context.Context, stream.Key) (stream.Origin, bool)
	storeAge func() time.Duration
}

var _ wigeonladder.StreamOrigins = (*streams)(nil)

// Begin implements wigeonladder.StreamOrigins.
func (s *streams) Begin(workspace, callID string, o wigeonladder.StreamOrigin, server string) {
	s.origins.Begin(stream.NewKey(workspace, callID), o, server)
}

// Find implements wigeonladder.StreamOrigins.
func (s *streams) Find(ctx context.Context, workspace, callID string) (wigeonladder.StreamOrigin, bool) {
	k := stream.NewKey(workspace, callID)
	if o, known := s.origins.Find(k); known {
		return o, true
	}
	return s.ask(ctx, k)
}

// SingleVersion implements wigeonladder.StreamOrigins.
func (s *streams) SingleVersion(service string, during time.Duration) (string, bool) {
	if s.storeAge() > maxVersionsAge {
		return "", false
	}
	return s.versions.Single(service, during)
}

// export returns the origins that other daemons have to know: those at services that may
// have several versions.
func (s *streams) export() []stream.Record {
	return s.origins.Export(func(service string) bool {
		_, single := s.SingleVersion(service, stream.Lifetime)
		return !single
	})
}

// versionedPool passes the servers of a list on to a pool, and their versions to the
// streams.
type versionedPool struct {
	*place.Pool
	streams *streams
}

// Put implements inventory.ServerPool.
func (p versionedPool) Put(i wigeonladder.Instance) {
	if p.streams.versions.Put(i.ID, i.Service, i.Version) {
		p.streams.origins.ServerChanged(i.ID, versionChangeTime)
	}
	p.Pool.Put(i)
}

// Remove implements inventory.ServerPool.
func (p versionedPool) Remove(id string) {
	p.streams.versions.Remove(id)
	p.Pool.Remove(id)
}
