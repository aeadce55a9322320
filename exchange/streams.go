package exchange

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder/stream"
)

const (
	// streamKeepers is the number of other daemons that keep a copy of the origin of a
	// stream, so that the messages of a daemon do not grow with the fleet.
	// largeFleetKeepers takes its place above largeFleetPeers other daemons, of which few
	// are lost at the same time.
	streamKeepers     = 3
	largeFleetKeepers = 2
	largeFleetPeers   = 100
	// findTimeout bounds the wait for the answers of the keepers.
	findTimeout = 250 * time.Millisecond
)

// originBatch holds origins of streams, the keys of each origin together.
type originBatch struct {
	Origins []keysOfOrigin `json:"o"`
}

// keysOfOrigin are the keys of the streams with one origin.
type keysOfOrigin struct {
	stream.Origin
	Keys [][]byte `json:"k"`
}

// newOriginBatch returns a batch of records.
func newOriginBatch(l []stream.Record) originBatch {
	var b originBatch
	index := map[stream.Origin]int{}
	for _, r := range l {
		i, ok := index[r.Origin]
		if !ok {
			i = len(b.Origins)
			index[r.Origin] = i
			b.Origins = append(b.Origins, keysOfOrigin{Origin: r.Origin})
		}
		b.Origins[i].Keys = append(b.Origins[i].Keys, r.Key[:])
	}
	return b
}

// records returns the records of a batch. Keys of another length are none.
func (b originBatch) records() []stream.Record {
	var l []stream.Record
	for _, x := range b.Origins {
		for _, k := range x.Keys {
			if len(k) == len(stream.Key{}) {
				l = append(l, stream.Record{Key: stream.Key(k), Origin: x.Origin})
			}
		}
	}
	return l
}

// findParams are the parameters of methodFind, findReply is its answer.
type findParams struct {
	Key []byte `json:"k"`
}

type findReply struct {
	stream.Origin
	Known bool `json:"n"`
}

// streamPeers returns the other daemons that may keep origins: those that are connected
// and heard.
func (m *Mesh) streamPeers() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var l []*peer
	for _, p := range m.peers {
		if p.connected && p.conn != nil && m.isHeard(p, now) {
			l = append(l, p)
		}
	}
	return l
}

// keepers returns those of the given daemons that keep the origin of a stream, by
// rendezvous hashing, so that all daemons choose the same ones.
func keepers(k stream.Key, peers []*peer) []*peer {
	weight := func(p *peer) uint64 {
		d := xxhash.New()
		_, _ = d.Write(k[:])
		_, _ = d.WriteString(p.name)
		return d.Sum64()
	}
	type ranked struct {
		peer   *peer
		weight uint64
	}
	l := make([]ranked, 0, len(peers))
	for _, p := range peers {
		l = append(l, ranked{p, weight(p)})
	}
	slices.SortFunc(l, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.peer.name, b.peer.name))
	})
	count := streamKeepers
	if len(peers) > largeFleetPeers {
		count = largeFleetKeepers
	}
	chosen := make([]*peer, 0, count)
	for _, x := range l[:min(len(l), count)] {
		chosen = append(chosen, x.peer)
	}
	return chosen
}

// sendOrigins sends the origins of streams that began at this daemon to their keepers.
func (m *Mesh) sendOrigins() {
	if m.options.ExportOrigins == nil {
		return
	}
	l := m.options.ExportOrigins()
	if len(l) == 0 {
		return
	}
	peers := m.streamPeers()
	byPeer := map[*peer][]stream.Record{}
	for _, r := range l {
		for _, p := range keepers(r.Key, peers) {
			byPeer[p] = append(byPeer[p], r)
		}
	}
	for p, records := range byPeer {
		data, err := json.Marshal(newOriginBatch(records))
		if err != nil {
			m.options.Journal.Note("", "origins_not_sent", "peer", p.name, "error", err)
			continue
		}
		m.enqueue([]*peer{p}, message{methodOrigins, data})
	}
}

// handleOrigins handles methodOrigins.
func (m *Mesh) handleOrigins(params json.RawMessage) (any, error) {
	var b originBatch
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, err
	}
	if m.options.ImportOrigins != nil {
		m.options.ImportOrigins(b.records())
	}
	return nil, nil
}

// handleFind answers methodFind.
func (m *Mesh) handleFind(params json.RawMessage) (any, error) {
	var q findParams
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	if m.options.FindOrigin == nil || len(q.Key) != len(stream.Key{}) {
		return findReply{}, nil
	}
	origin, known := m.options.FindOrigin(stream.Key(q.Key))
	return findReply{origin, known}, nil
}

// FindOrigin asks the daemons that keep the origin of a stream for it. It reports false if
// none knows it or answers in time.
func (m *Mesh) FindOrigin(ctx context.Context, k stream.Key) (stream.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	asked := keepers(k, m.streamPeers())
	replies := make(chan findReply, len(asked))
	for _, p := range asked {
		m.mu.Lock()
		conn := p.conn
		m.mu.Unlock()
		go func() {
			var r findReply
			if conn == nil || conn.Call(ctx, methodFind, findParams{k[:]}, &r) != nil {
				r = findReply{}
			}
			replies <- r
		}()
	}
	for range asked {
		select {
		case r := <-replies:
			if r.Known {
				return r.Origin, true
			}
		case <-ctx.Done():
			return stream.Origin{}, false
		}
	}
	return stream.Origin{}, false
}
