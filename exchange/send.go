package exchange

import "encoding/json"

// packAndSend packs reports into one message and sends it to peers, in columns to
// those that read them.
func (m *Mesh) packAndSend(method string, l []Report, to []*peer) {
	m.mu.Lock()
	var readColumns, readRows []*peer
	for _, p := range to {
		if p.columns {
			readColumns = append(readColumns, p)
		} else {
			readRows = append(readRows, p)
		}
	}
	m.mu.Unlock()
	m.packing.Lock()
	defer m.packing.Unlock()
	for _, x := range []struct {
		to   []*peer
		pack func([]Report) (json.RawMessage, error)
	}{{readColumns, m.packer.packColumns}, {readRows, m.packer.pack}} {
		if len(x.to) == 0 {
			continue
		}
		data, err := x.pack(l)
		if err != nil {
			m.options.Journal.Note("", "peer_report_failed", "error", err)
			return
		}
		m.enqueue(x.to, message{method, data})
	}
}

// enqueue queues a message for peers. A peer whose queue is full misses it.
func (m *Mesh) enqueue(to []*peer, x message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range to {
		select {
		case p.queue <- x:
			m.sentReports++
			m.sentBytes += int64(len(x.params))
		default:
		}
	}
}
