package place

import (
	"slices"
	"time"
)

// SentPart records that a shared prompt part was sent to a server.
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

// LeavingServer is an incarnation of a server that said that it leaves.
type LeavingServer struct {
	Server      string `json:"s"`
	StartUnixMs int64  `json:"b,omitempty"`
	Address     string `json:"a"`
}

// Report contains the placements of a daemon for the other daemons.
type Report struct {
	Loads []ServerLoad `json:"l,omitempty"`
	Sent  []SentPart   `json:"p,omitempty"`
	// Leaving contains the servers that said since the last report that they leave.
	Leaving []LeavingServer `json:"g,omitempty"`
	// Limits contains the limits that servers named since the last report.
	Limits []ServerLimit `json:"m,omitempty"`
	// Stated contains the work times that servers stated since the last report.
	Stated []StatedWorkTime `json:"t,omitempty"`
}

// IsEmpty reports whether the report tells nothing.
func (r Report) IsEmpty() bool {
	return len(r.Loads) == 0 && len(r.Sent) == 0 && len(r.Leaving) == 0 && len(r.Limits) == 0 && len(r.Stated) == 0
}

// WithNext merges this report with a later one of the same daemon.
func (r Report) WithNext(next Report) Report {
	sent := slices.Concat(r.Sent, next.Sent)
	leaving := slices.Concat(r.Leaving, next.Leaving)
	limits := slices.Concat(r.Limits, next.Limits)
	stated := slices.Concat(r.Stated, next.Stated)
	return Report{
		Loads: next.Loads, Sent: sent[max(len(sent)-maxSent, 0):], Leaving: leaving[max(len(leaving)-maxSent, 0):],
		Limits: limits[max(len(limits)-maxSent, 0):], Stated: stated[max(len(stated)-maxSent, 0):],
	}
}

// maxSent bounds the numbers of sent parts, leaving servers and limits in one report.
const maxSent = 1000

// recordSentParts adds the shared parts of a job to the next report.
func (p *Pool) recordSentParts(s *server, j *Job) {
	for i := range j.chain.sharedParts() {
		if len(p.sentParts) < maxSent {
			p.sentParts = append(p.sentParts, SentPart{s.instance.ID, j.chain.keys[i], j.chain.tokens[i]})
		}
	}
}

// Export returns the loads that this daemon puts on servers, the parts that it has
// sent since the last export, and the servers that said since then that they leave or
// take a limited number of requests.
func (p *Pool) Export() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Sent: p.sentParts, Leaving: p.leaving, Limits: p.limitReports, Stated: p.exportStated(time.Now())}
	p.sentParts, p.leaving, p.limitReports = nil, nil, nil
	for s := range p.used {
		if p.servers[s.instance.ID] == s {
			r.Loads = append(r.Loads, ServerLoad{s.instance.ID, s.own.running, s.own.unreadTokens, s.own.memoryTokens})
		}
	}
	return r
}

// Import applies the report of another daemon, which is valid for the given
// time. A server that the report does not contain has no load from that daemon.
func (p *Pool) Import(from string, r Report, validity time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, l := range r.Leaving {
		p.recordReportedLeaving(l, now)
	}
	for _, l := range r.Limits {
		p.importLimit(l, now)
	}
	for _, x := range r.Sent {
		if s := p.servers[x.Server]; s != nil && s.cache != nil {
			s.cache.touch(x.Part, max(x.Tokens, 0))
		}
	}
	p.remote.replace(from, p.serverLoads(r.Loads), now.Add(validity))
	for _, x := range r.Stated {
		p.importStated(x, now)
	}
}

// serverLoads returns the loads of the known servers. They are valid until the next
// call.
func (p *Pool) serverLoads(l []ServerLoad) []serverLoad {
	p.imported = p.imported[:0]
	for _, x := range l {
		if s := p.servers[x.Server]; s != nil {
			p.imported = append(p.imported, serverLoad{s, load{max(x.Running, 0), max(x.UnreadTokens, 0), max(x.MemoryTokens, 0)}})
		}
	}
	return p.imported
}
