package peer

import (
	"maps"
	"sync"
)

// TrafficCount is a number of messages and the sum of their bytes.
type TrafficCount struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// Traffic is the messages that a mesh received and sent since its start, by
// method. Answers are counted by the method of their request. Bytes are those
// of the JSON objects on the connections, without the headers of TCP and IP.
type Traffic struct {
	In  map[string]TrafficCount `json:"in"`
	Out map[string]TrafficCount `json:"out"`
}

// Total returns the sum over all methods.
func (t Traffic) Total() (in, out TrafficCount) {
	return sum(t.In), sum(t.Out)
}

// sum adds the counts of all methods.
func sum(counts map[string]TrafficCount) TrafficCount {
	var s TrafficCount
	for _, c := range counts {
		s.Messages += c.Messages
		s.Bytes += c.Bytes
	}
	return s
}

// meter counts the messages of all connections of a mesh.
type meter struct {
	mu      sync.Mutex
	in, out map[string]TrafficCount
}

func newMeter() *meter {
	return &meter{in: map[string]TrafficCount{}, out: map[string]TrafficCount{}}
}

// received counts one received message.
func (m *meter) received(method string, bytes int64) { m.add(m.in, method, bytes) }

// sent counts one sent message.
func (m *meter) sent(method string, bytes int64) { m.add(m.out, method, bytes) }

// add counts one message in one direction.
func (m *meter) add(counts map[string]TrafficCount, method string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := counts[method]
	c.Messages++
	c.Bytes += bytes
	counts[method] = c
}

// traffic returns a copy of the counts.
func (m *meter) traffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Traffic{In: maps.Clone(m.in), Out: maps.Clone(m.out)}
}
