package place

import (
	"slices"
	"time"
)

// SentPart tells that a shared prompt part was sent to a server.
type SentPart struct {
	Server string `json:"s"`
	Part   uint64 `json:"p"`
	Tokens int    `json:"n"`
}

// ServerLoad is the load that one daemon puts on one server.
type ServerLoad struct {
	Server       string `json:"s"`
	Running      int    `json:"r"`
	UnreadTokens int    `json:"u,omitempty"`
	MemoryTokens int    `json:"m,omitempty"`
}

// Report is what a daemon tells the others of its placements.
type Report struct {
	Loads []ServerLoad `json:"l,omitempty"`
	Sent  []SentPart   `json:"p,omitempty"`
}

// WithNext returns one report that says what this one and a later one say.
func (r Report) WithNext(next Report) Report {
	sent := slices.Concat(r.Sent, next.Sent)
	return Report{Loads: next.Loads, Sent: sent[max(len(sent)-maxSent, 0):]}
}

// maxSent bounds the parts kept for one report.
const maxSent = 1000

// report notes the shared parts of a job for the next report.
func (p *Pool) report(s *server, j *Job) {
	for i := range j.chain.shared() {
		if len(p.sent) < maxSent {
			p.sent = append(p.sent, SentPart{s.instance.ID, j.chain.keys[i], j.chain.tokens[i]})
		}
	}
}

// Export returns the loads that this daemon puts on servers, and the parts that
// it sent since the last call.
func (p *Pool) Export() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Sent: p.sent}
	p.sent = nil
	for _, g := range p.services {
		for id, s := range g.servers {
			if s.own.running > 0 {
				r.Loads = append(r.Loads, ServerLoad{id, s.own.running, s.own.unread, s.own.memory})
			}
		}
	}
	return r
}

// Import takes over the report of another daemon, which counts for a time. A server
// that it does not name has no load of that daemon.
func (p *Pool) Import(from string, r Report, life time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	loads := make(map[string]ServerLoad, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Server] = l
	}
	for _, g := range p.services {
		for id, s := range g.servers {
			l := loads[id]
			s.setRemote(from, load{max(l.Running, 0), max(l.UnreadTokens, 0), max(l.MemoryTokens, 0)}, now.Add(life))
		}
		for _, x := range r.Sent {
			if s := g.servers[x.Server]; s != nil && s.cache != nil {
				s.cache.use(x.Part, max(x.Tokens, 0))
			}
		}
	}
}
