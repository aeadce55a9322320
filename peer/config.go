package peer

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/member"
)

// Times of the configuration exchange.
const (
	// fetchJitter spreads the fetches of the peers of one announcer; it grows
	// with the number of members up to maxFetchJitter, so that a small fleet
	// follows at once and in a large one few ask the same daemon together.
	fetchJitter    = 5 * time.Millisecond
	maxFetchJitter = 500 * time.Millisecond
	// fetchAgain is the wait before a revision that was rejected or could not be
	// fetched is tried again.
	fetchAgain = time.Second
)

// offers remembers who announced a higher revision.
type offers struct {
	mu       sync.Mutex
	revision uint64
	from     []string
	fetching bool
}

// hearRevision notes that a peer has a revision and fetches it if it is higher
// than the own.
func (m *Mesh) hearRevision(vm string, revision uint64) {
	if revision <= m.o.Config().Revision {
		return
	}
	f := &m.offers
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.revision {
		f.revision, f.from = revision, nil
	}
	if revision == f.revision && len(f.from) < member.MaxRelayedRecords {
		f.from = append(f.from, vm)
	}
	if f.fetching {
		return
	}
	f.fetching = true
	go func() { m.fetch() }()
}

// fetch asks announcers for the document until it has their revision or has
// asked them all.
func (m *Mesh) fetch() {
	defer func() {
		m.offers.mu.Lock()
		m.offers.fetching = false
		m.offers.mu.Unlock()
	}()
	jitter := min(maxFetchJitter, time.Duration(len(m.table.Members()))*fetchJitter)
	m.sleep(m.jitter(jitter))
	for m.ctx.Err() == nil {
		vm, ok := m.announcer()
		if !ok {
			return
		}
		if err := m.fetchFrom(vm); err != nil {
			m.note("config_fetch_failed", "peer", vm, "error", err)
			m.sleep(m.jitter(fetchAgain))
		}
	}
}

// announcer takes a random peer that announced a revision above the own.
func (m *Mesh) announcer() (vm string, ok bool) {
	f := &m.offers
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision <= m.o.Config().Revision || len(f.from) == 0 {
		f.from = nil
		return "", false
	}
	i := int(m.jitter(time.Duration(len(f.from))))
	vm = f.from[i]
	f.from = append(f.from[:i], f.from[i+1:]...)
	return vm, true
}

// fetchFrom fetches the document of one peer and offers it.
func (m *Mesh) fetchFrom(vm string) error {
	var d document
	if err := m.call(m.ctx, vm, methodConfig, nil, &d); err != nil {
		return err
	}
	if d.Revision <= m.o.Config().Revision {
		return nil
	}
	if err := m.o.ApplyPeerDocument(d.Document); err != nil {
		return err
	}
	m.note("config_from_peer", "peer", vm, "revision", d.Revision)
	m.learn()
	m.TriggerRound()
	return nil
}

// giveConfig answers a fetch.
func (m *Mesh) giveConfig(context.Context) document {
	return document{Revision: m.o.Config().Revision, Document: m.o.Document()}
}
