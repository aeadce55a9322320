package exchange

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/wigeonladder/wigeonladder/inventory"
)

const (
	// feedZonePeers is the number of other daemons in a zone from which one of them
	// reads the store for all.
	feedZonePeers = 3
	// maxFeedWait bounds the wait that a daemon may ask for.
	maxFeedWait = 10 * time.Second
	// feedCallMargin is the time for the way to the reader and back, after which a
	// call without an answer has failed.
	feedCallMargin = 150 * time.Millisecond
)

// watchParams are the parameters of methodWatch.
type watchParams struct {
	After  int64 `json:"a"`
	Era    int64 `json:"e,omitempty"`
	WaitMs int64 `json:"w"`
}

// watchReply is the answer to methodWatch.
type watchReply struct {
	Items    []watchedItem `json:"i,omitempty"`
	Revision int64         `json:"r"`
	Era      int64         `json:"e,omitempty"`
	// OffsetMicros is Page.ReadOffset in microseconds, rounded down.
	OffsetMicros int64 `json:"o"`
}

// watchedItem is a change of an item of the store.
type watchedItem struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision int64  `json:"r"`
	Removed  bool   `json:"d,omitempty"`
}

// reader returns the daemon of the zone that reads the store for the others: the best one
// by compareForReader among this one and those that are connected, heard, and offer what
// they read, but for the hub, so that no daemon does the work of both. It is nil if this
// daemon is the reader, or in a small zone.
func (m *Mesh) reader(now time.Time) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	best, hub := m.options.Self, m.options.Self
	var candidates []*peer
	for _, p := range m.peers {
		if p.zone != m.options.Self.Zone || !p.connected || !p.feeds || !m.isHeard(p, now) {
			continue
		}
		candidates = append(candidates, p)
		if compareForHub(p.member(), hub) < 0 {
			hub = p.member()
		}
	}
	if len(candidates) < feedZonePeers {
		return nil
	}
	hasHub := len(candidates) > meshZonePeers
	var reader *peer
	for _, p := range candidates {
		isHub := hasHub && p.name == hub.Name
		bestIsHub := hasHub && best.Name == hub.Name
		if !isHub && (bestIsHub || compareForReader(p.member(), best) < 0) {
			reader, best = p, p.member()
		}
	}
	return reader
}

// isHeard reports whether a connected daemon counts as alive: its reports are valid, or
// it was connected a moment ago. The caller must hold the lock.
func (m *Mesh) isHeard(p *peer, now time.Time) bool {
	return now.Before(m.origins[p.name].validUntil) || now.Sub(p.connectedAt) < followTime
}

// WatchStore returns the changes of the store after a revision of an era from the daemon
// that reads it for the zone. The answer comes after the next read of that daemon. The
// error is inventory.ErrNoReader if no other daemon is the reader.
func (m *Mesh) WatchStore(ctx context.Context, after, era int64, wait time.Duration) (inventory.Page, error) {
	p := m.reader(time.Now())
	if p == nil {
		return inventory.Page{}, inventory.ErrNoReader
	}
	m.mu.Lock()
	conn := p.conn
	m.mu.Unlock()
	if conn == nil {
		return inventory.Page{}, inventory.ErrNoReader
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedCallMargin)
	defer cancel()
	var r watchReply
	if err := conn.Call(ctx, methodWatch, watchParams{after, era, wait.Milliseconds()}, &r); err != nil {
		return inventory.Page{}, err
	}
	page := inventory.Page{Revision: r.Revision, Era: r.Era, ReadOffset: time.Duration(r.OffsetMicros) * time.Microsecond, Relayed: true}
	for _, i := range r.Items {
		page.Items = append(page.Items, inventory.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed})
	}
	return page, nil
}

// handleWatch answers methodWatch.
func (m *Mesh) handleWatch(ctx context.Context, params json.RawMessage) (any, error) {
	var q watchParams
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	if m.options.Feed == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: methodWatch}
	}
	p, err := m.options.Feed.Watch(ctx, q.After, q.Era, min(time.Duration(q.WaitMs)*time.Millisecond, maxFeedWait))
	if err != nil {
		return nil, err
	}
	// Rounding down tells a read as older than it is, never as newer.
	r := watchReply{Revision: p.Revision, Era: p.Era, OffsetMicros: p.ReadOffset.Microseconds() - 1}
	for _, i := range p.Items {
		r.Items = append(r.Items, watchedItem{i.Key, i.Value, i.Revision, i.Removed})
	}
	return r, nil
}

// handler returns the handler of the messages on a connection. Messages are handled in
// order, but for those that wait for a read of the store.
func (m *Mesh) handler() jsonrpc2.Handler {
	return asyncWatch{jsonrpc2.HandlerWithError(m.handleMessage)}
}

// asyncWatch handles methodWatch in the background.
type asyncWatch struct{ jsonrpc2.Handler }

// Handle implements jsonrpc2.Handler.
func (h asyncWatch) Handle(ctx context.Context, c *jsonrpc2.Conn, q *jsonrpc2.Request) {
	if q.Method == methodWatch {
		go h.Handler.Handle(ctx, c, q)
		return
	}
	h.Handler.Handle(ctx, c, q)
}
