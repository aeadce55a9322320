package peer

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/member"
)

// Times of the configuration exchange.
const (
	// fetchJitterPerMember spreads the fetches of the peers of one announcer; it grows
	// with the number of members up to maxFetchJitter, so that a small fleet
	// follows at once and in a large one few ask the same daemon together.
	fetchJitterPerMember = 5 * time.Millisecond
	maxFetchJitter       = 500 * time.Millisecond
	// fetchRetryDelay is the wait before a revision that was rejected or could not be
	// fetched is tried again.
	fetchRetryDelay = time.Second
)

// announcements remembers who announced a higher revision.
type announcements struct {
	mu         sync.Mutex
	revision   uint64
	announcers []string
	fetching   bool
}

// noteRevision notes that a peer has a revision and fetches it if it is higher
// than the own.
func (m *Mesh) noteRevision(vm string, revision uint64) {
	if revision <= m.options.Config().Revision {
		return
	}
	f := &m.announcements
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.revision {
		f.revision, f.announcers = revision, nil
	}
	if revision == f.revision && len(f.announcers) < member.MaxRelayedRecords {
		f.announcers = append(f.announcers, vm)
	}
	if f.fetching {
		return
	}
	f.fetching = true
	go func() { m.fetchConfig() }()
}

// fetchConfig asks announcers for the document until it has their revision or has
// asked them all.
func (m *Mesh) fetchConfig() {
	defer func() {
		m.announcements.mu.Lock()
		m.announcements.fetching = false
		m.announcements.mu.Unlock()
	}()
	jitter := min(maxFetchJitter, time.Duration(len(m.table.Members()))*fetchJitterPerMember)
	m.sleep(m.jitter(jitter))
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

// takeAnnouncer takes a random peer that announced a revision above the own.
func (m *Mesh) takeAnnouncer() (vm string, ok bool) {
	f := &m.announcements
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision <= m.options.Config().Revision || len(f.announcers) == 0 {
		f.announcers = nil
		return "", false
	}
	i := int(m.jitter(time.Duration(len(f.announcers))))
	vm = f.announcers[i]
	f.announcers = append(f.announcers[:i], f.announcers[i+1:]...)
	return vm, true
}

// fetchConfigFrom fetches the document of one peer and offers it.
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

// serveConfig answers a fetch.
func (m *Mesh) serveConfig(context.Context) configDocument {
	return configDocument{Revision: m.options.Config().Revision, Document: m.options.Document()}
}
