package peer

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/member"
)

// Times of the configuration exchange.
const (
	// The peers of a daemon that announces a revision delay their fetches by a
	// random time below fetchJitterPerMember for each member, at most
	// maxFetchJitter. A small fleet thus fetches at once, and in a large one
	// few daemons call the same announcer at the same time.
	fetchJitterPerMember = 5 * time.Millisecond
	maxFetchJitter       = 500 * time.Millisecond
	// fetchRetryDelay is the longest delay before the next fetch after a
	// document was rejected or could not be fetched.
	fetchRetryDelay = time.Second
)

// announcements holds the highest revision that peers announced, and the peers
// that announced it and were not asked yet, at most member.MaxRelayedRecords of
// them.
type announcements struct {
	mu         sync.Mutex
	revision   uint64
	announcers []string
	fetching   bool
}

// recordAnnouncement records that a peer has a revision, and starts to fetch
// the document if the revision is higher than that in force here.
func (m *Mesh) recordAnnouncement(vm string, revision uint64) {
	if revision <= m.options.Config().Revision {
		return
	}
	a := &m.announcements
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision > a.revision {
		a.revision, a.announcers = revision, nil
	}
	if revision == a.revision && len(a.announcers) < member.MaxRelayedRecords {
		a.announcers = append(a.announcers, vm)
	}
	if a.fetching {
		return
	}
	a.fetching = true
	go func() { m.fetchConfig() }()
}

// fetchConfig requests the document from the announcers, one after the other,
// until their revision is in force or all of them were asked.
func (m *Mesh) fetchConfig() {
	defer func() {
		m.announcements.mu.Lock()
		m.announcements.fetching = false
		m.announcements.mu.Unlock()
	}()
	maxDelay := min(maxFetchJitter, time.Duration(len(m.table.Members()))*fetchJitterPerMember)
	m.sleep(m.jitter(maxDelay))
	for m.ctx.Err() == nil {
		vm, ok := m.takeAnnouncer()
		if !ok {
			return
		}
		if err := m.fetchConfigFrom(vm); err != nil {
			m.note("config_fetch_failed", "peer", vm, "error", err)
			m.sleep(m.jitter(fetchRetryDelay))
		}
	}
}

// takeAnnouncer removes and returns a random announcer of a revision that is
// higher than that in force.
func (m *Mesh) takeAnnouncer() (vm string, ok bool) {
	a := &m.announcements
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.revision <= m.options.Config().Revision || len(a.announcers) == 0 {
		a.announcers = nil
		return "", false
	}
	// A random duration below len(a.announcers) nanoseconds gives the index.
	i := int(m.jitter(time.Duration(len(a.announcers))))
	vm = a.announcers[i]
	a.announcers = append(a.announcers[:i], a.announcers[i+1:]...)
	return vm, true
}

// fetchConfigFrom fetches the document of one peer and applies it if it is
// newer.
func (m *Mesh) fetchConfigFrom(vm string) error {
	var d configDocument
	if err := m.call(m.ctx, vm, methodFetchConfig, nil, &d); err != nil {
		return err
	}
	if d.Revision <= m.options.Config().Revision {
		return nil
	}
	if err := m.options.ApplyPeerDocument(d.Document); err != nil {
		return err
	}
	m.note("config_from_peer", "peer", vm, "revision", d.Revision)
	m.applyConfig()
	m.TriggerRound()
	return nil
}

// serveConfig answers the fetch of a peer.
func (m *Mesh) serveConfig(context.Context) configDocument {
	return configDocument{Revision: m.options.Config().Revision, Document: m.options.Document()}
}
