package inventory

import (
	"context"
	"sync"
	"time"
)

// contactRetryDelay is the time between two questions to the other daemons after a
// silence of the store.
const contactRetryDelay = 100 * time.Millisecond

// Contact records for how long the store has answered without a silence of
// storeLostAfter. Another daemon that regains the store after a silence learns from it
// whether the store was away or only that daemon was cut off. It is safe for concurrent
// use.
type Contact struct {
	now func() time.Duration

	mu          sync.Mutex
	since, last time.Duration
	answered    bool
}

// NewContact returns a contact without an answer yet. The clock must count the time for
// which the machine was suspended.
func NewContact(now func() time.Duration) *Contact { return &Contact{now: now} }

// record records an answer of the store.
func (c *Contact) record() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.answered || now-c.last > storeLostAfter {
		c.since = now
	}
	c.last, c.answered = now, true
}

// Unbroken returns for how long the store has answered this daemon without a silence
// of storeLostAfter; 0 during one.
func (c *Contact) Unbroken() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.answered || now-c.last > storeLostAfter {
		return 0
	}
	return now - c.since
}

// StoreRegained tells the list that the store answers again after a silence. Entries
// may have lapsed in it, unless another daemon was answered all the while: peers
// returns the longest Contact.Unbroken of the other daemons, 0 if none can be asked.
// They are asked until the context or the time ends for which a lapsed entry is kept.
func (l *ServerList) StoreRegained(ctx context.Context, silence time.Duration, peers func(context.Context) time.Duration) {
	began := time.Now().Add(-silence)
	l.mu.Lock()
	l.regainedAt = time.Now()
	l.mu.Unlock()
	go func() {
		for ctx.Err() == nil && time.Since(began) < silence+lapsedEntryGrace {
			if peers(ctx) >= time.Since(began) {
				l.ruleOutLapses()
				return
			}
			sleep(ctx, contactRetryDelay)
		}
	}()
}

// ruleOutLapses removes the servers that are kept because their entries may have
// lapsed while the store was away.
func (l *ServerList) ruleOutLapses() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.regainedAt = time.Time{}
	l.journal.Note("", "store_was_not_away", "removals", len(l.pendingRemovals))
	for key := range l.pendingRemovals {
		l.removeServer(key)
	}
}
