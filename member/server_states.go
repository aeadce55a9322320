package member

import (
	"maps"
	"slices"
	"sync"

	"github.com/wigeonladder/wigeonladder"
)

// ServerStates holds the states of backend servers. The list with the highest
// version applies, whether it came from the platform or from a peer, so that a
// server that was listed as leaving becomes live only by a newer list. It is
// safe for concurrent use.
type ServerStates struct {
	mu      sync.Mutex
	version uint64
	leaving map[string]bool
	// listed holds the names in the platform's latest list, to detect servers
	// that a newer list lacks.
	listed map[string]bool
}

// NewServerStates returns states in which every server is live.
func NewServerStates() *ServerStates {
	return &ServerStates{leaving: map[string]bool{}, listed: map[string]bool{}}
}

// LeavingList names the leaving servers as of one version of the platform's
// list.
type LeavingList struct {
	Version uint64   `json:"v,omitempty"`
	Servers []string `json:"s,omitempty"`
}

// ApplyLiveList applies the platform's list. A registered server that an
// earlier list had and this one lacks is leaving. One that was never listed is
// live, because the list lags behind the register. ApplyLiveList reports
// whether a state changed.
func (s *ServerStates) ApplyLiveList(l wigeonladder.LiveList, registered func(string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Version <= s.version {
		return false
	}
	leaving := map[string]bool{}
	listed := map[string]bool{}
	for _, v := range l.VMs {
		listed[v.Name] = true
		if v.State == wigeonladder.StateLeaving {
			leaving[v.Name] = true
		}
	}
	for _, old := range []map[string]bool{s.listed, s.leaving} {
		for name := range old {
			if !listed[name] && registered(name) {
				leaving[name] = true
			}
		}
	}
	s.listed = listed
	return s.set(l.Version, leaving)
}

// ApplyPeerList applies the list of a peer. It reports whether a state changed.
func (s *ServerStates) ApplyPeerList(l LeavingList) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Version <= s.version {
		return false
	}
	leaving := map[string]bool{}
	for _, name := range l.Servers {
		leaving[name] = true
	}
	return s.set(l.Version, leaving)
}

// set replaces the leaving servers and the version of their list. It reports
// whether a state changed.
func (s *ServerStates) set(version uint64, leaving map[string]bool) bool {
	changed := !maps.Equal(s.leaving, leaving)
	s.version, s.leaving = version, leaving
	return changed
}

// Version returns the version of the list that applies.
func (s *ServerStates) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Leaving returns the leaving servers, sorted.
func (s *ServerStates) Leaving() LeavingList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return LeavingList{Version: s.version, Servers: slices.Sorted(maps.Keys(s.leaving))}
}

// State returns the state of a server.
func (s *ServerStates) State(server string) wigeonladder.VMState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving[server] {
		return wigeonladder.StateLeaving
	}
	return wigeonladder.StateLive
}
