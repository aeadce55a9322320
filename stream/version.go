package stream

import (
	"sync"
	"time"
)

// Versions tells which software versions the servers of each service have had. It is safe
// for concurrent use.
type Versions struct {
	mu sync.Mutex
	// listedAt is the time from which on every server is known; zero while none are.
	// Another daemon told at toldAt that it knew them from toldSince on.
	listedAt          time.Time
	toldSince, toldAt time.Time
	services          map[string]*history
	servers           map[string]serverVersion
}

// serverVersion is the service and the version of a listed server.
type serverVersion struct{ service, version string }

// history contains the versions of one service.
type history struct {
	// listed is the number of listed servers of each version, seen the time at which
	// the last one of a version was listed.
	listed map[string]int
	seen   map[string]time.Time
}

const (
	// historyTime is the time for which versions are remembered.
	historyTime = 2 * time.Minute
	// maxGap is the time between what another daemon tells and the first list of servers
	// in which no server both starts and leaves.
	maxGap = time.Second
)

// NewVersions returns a history of nothing.
func NewVersions() *Versions {
	return &Versions{services: map[string]*history{}, servers: map[string]serverVersion{}}
}

// Put records that a server is listed. It reports whether a listed server has another
// version than before.
func (v *Versions) Put(server, service, version string) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	x := serverVersion{service, version}
	old, known := v.servers[server]
	if known && old == x {
		return false
	}
	v.remove(server)
	v.servers[server] = x
	h := v.history(service)
	h.listed[version]++
	return known
}

// Remove records that a server is no longer listed.
func (v *Versions) Remove(server string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remove(server)
}

// remove implements Remove with the lock held.
func (v *Versions) remove(server string) {
	x, known := v.servers[server]
	if !known {
		return
	}
	delete(v.servers, server)
	h := v.history(x.service)
	h.seen[x.version] = time.Now()
	if h.listed[x.version]--; h.listed[x.version] == 0 {
		delete(h.listed, x.version)
	}
}

// history returns the history of a service and creates it if it does not exist.
func (v *Versions) history(service string) *history {
	h := v.services[service]
	if h == nil {
		h = &history{listed: map[string]int{}, seen: map[string]time.Time{}}
		v.services[service] = h
	}
	return h
}

// Listed records that all servers have been listed, and that from now on every change is
// put or removed. What was before is not known.
func (v *Versions) Listed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listedAt = time.Now()
}

// since returns the time from which on every server of a service is known; zero if none
// are.
func (v *Versions) since() time.Time {
	if v.listedAt.IsZero() || v.toldAt.IsZero() || v.toldAt.Before(v.listedAt.Add(-maxGap)) || v.listedAt.Before(v.toldSince) {
		return v.listedAt
	}
	return v.toldSince
}

// Single returns the version of a service if it is certain that it had no other one for a
// time.
func (v *Versions) Single(service string, during time.Duration) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	h := v.services[service]
	if since := v.since(); h == nil || since.IsZero() || now.Sub(since) < during || len(h.listed) != 1 {
		return "", false
	}
	for x := range h.listed {
		version = x
	}
	for x, at := range h.seen {
		if now.Sub(at) > historyTime {
			delete(h.seen, x)
		} else if x != version && now.Sub(at) <= during {
			return "", false
		}
	}
	return version, true
}

// ServiceVersions are the versions that a service has had, as a daemon tells another one
// that has started.
type ServiceVersions struct {
	Service  string `json:"s"`
	Versions []Seen `json:"v"`
}

// Seen is one version, and the time in milliseconds since a server had it.
type Seen struct {
	Version string `json:"v"`
	AgeMs   int64  `json:"a,omitempty"`
}

// Report is what a daemon knows of versions. Since its servers were listed
// KnownForMs milliseconds have passed.
type Report struct {
	KnownForMs int64             `json:"k"`
	Services   []ServiceVersions `json:"s,omitempty"`
}

// Export returns what another daemon needs that has just started.
func (v *Versions) Export() Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	since := v.since()
	if since.IsZero() {
		return Report{}
	}
	r := Report{KnownForMs: now.Sub(since).Milliseconds()}
	for service, h := range v.services {
		s := ServiceVersions{Service: service}
		for x := range h.listed {
			s.Versions = append(s.Versions, Seen{Version: x})
		}
		for x, at := range h.seen {
			if h.listed[x] == 0 && now.Sub(at) <= historyTime {
				s.Versions = append(s.Versions, Seen{x, now.Sub(at).Milliseconds()})
			}
		}
		r.Services = append(r.Services, s)
	}
	return r
}

// Import applies what another daemon knows from before this one listed the servers.
func (v *Versions) Import(r Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, s := range r.Services {
		h := v.history(s.Service)
		for _, x := range s.Versions {
			at := now.Add(-time.Duration(max(x.AgeMs, 0)) * time.Millisecond)
			if at.After(h.seen[x.Version]) {
				h.seen[x.Version] = at
			}
		}
	}
	since := now.Add(-min(time.Duration(max(r.KnownForMs, 0))*time.Millisecond, historyTime))
	if r.KnownForMs > 0 && (v.toldAt.IsZero() || since.Before(v.toldSince) || v.toldAt.Before(v.listedAt.Add(-maxGap))) {
		v.toldSince, v.toldAt = since, now
	}
}
