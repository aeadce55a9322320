package place

import (
	"cmp"
	"slices"
	"time"
)

// ServerDump is the state of one backend server for operators.
type ServerDump struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
	// Running is what this daemon runs there, Total what all run.
	Running int `json:"running"`
	Total   int `json:"total"`
	// UnreadTokens is the number of prompt tokens that all daemons sent and that were
	// not read yet.
	UnreadTokens int `json:"unread"`
	// CachedTokens is the number of tokens that the server is believed to keep.
	CachedTokens int     `json:"cached"`
	LatencyRatio float64 `json:"pace"`
	FailureRate  float64 `json:"faults"`
	Blocked      bool    `json:"blocked,omitempty"`
	// Waiting is the number of calls that wait here for the service.
	Waiting int `json:"waiting"`
}

// Dump returns the state of all backend servers by service and name.
func (p *Pool) Dump() []ServerDump {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var rows []ServerDump
	for _, g := range p.services {
		for _, s := range g.servers {
			l := s.total()
			r := ServerDump{
				Service: g.name, Server: s.instance.ID, Zone: s.instance.Zone, Leaving: s.instance.Leaving,
				Running: s.own.running, Total: l.running, UnreadTokens: l.unread, LatencyRatio: s.pace,
				FailureRate: s.faults(now), Blocked: now.Before(s.blocked), Waiting: g.waiting,
			}
			if s.cache != nil {
				r.CachedTokens = s.cache.used
			}
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b ServerDump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return rows
}
