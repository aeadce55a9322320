package place

import (
	"cmp"
	"slices"
	"time"
)

// ServerDump is the state of one backend server, shown to operators.
type ServerDump struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
	// Version is the version of the server's software.
	Version string `json:"version,omitempty"`
	// Running is the number of requests that this daemon runs on the server,
	// Total the number that all daemons run there.
	Running int `json:"running"`
	Total   int `json:"total"`
	// UnreadTokens is the number of prompt tokens that all daemons have sent
	// and the server has not read yet.
	UnreadTokens int `json:"unread"`
	// CachedTokens is the number of tokens that the server is believed to have
	// cached.
	CachedTokens int `json:"cached"`
	// LatencyRatio is the ratio of observed to expected times to the first
	// token.
	LatencyRatio float64 `json:"pace"`
	// WorkTime is how long work is expected to take now on the server's machine, relative
	// to the usual time; 0 if the server does not state it.
	WorkTime float64 `json:"workTime,omitempty"`
	// FailureRate is the recent fraction of failed requests.
	FailureRate float64 `json:"faults"`
	// Blocked is true while the server gets no requests because it could not be
	// reached.
	Blocked bool `json:"blocked,omitempty"`
	// Unavailable is the reason for which the server takes no calls; empty if it
	// does. TimeLeft is the time until it is expected to take calls again.
	Unavailable string        `json:"unavailable,omitempty"`
	TimeLeft    time.Duration `json:"left,omitempty"`
	// Limit is the number of requests a second that the server takes from all daemons,
	// if it named one, and LimitPart the number that this daemon may send.
	Limit     float64 `json:"limit,omitempty"`
	LimitPart float64 `json:"part,omitempty"`
	// ColdTime is the time for which the server still counts as cold.
	ColdTime time.Duration `json:"cold,omitempty"`
	// Waiting is the number of calls that wait in this daemon for the service.
	Waiting int `json:"waiting"`
}

// Dump returns the state of all backend servers, ordered by service and name.
func (p *Pool) Dump() []ServerDump {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var rows []ServerDump
	for _, g := range p.services {
		for _, s := range g.servers {
			l := s.total()
			r := ServerDump{
				Service: g.name, Server: s.instance.ID, Zone: s.instance.Zone, Leaving: s.instance.Leaving, Version: s.instance.Version,
				Running: s.own.running, Total: l.running, UnreadTokens: l.unreadTokens, LatencyRatio: s.latencyRatio,
				FailureRate: s.currentFailureRate(now), Blocked: now.Before(s.blockedUntil), Waiting: g.waiting,
				Unavailable: s.occupancy(now).String(),
			}
			if s.workTime.IsKnown() {
				r.WorkTime = s.workTime.At(now)
			}
			if s.part.watched {
				r.LimitPart, r.ColdTime = s.part.rate, s.coldLeft(now)
			}
			if n := s.notice; s.part.watched && n != nil && n.limit.named {
				r.Limit = n.limit.perSecond
			}
			r.TimeLeft, _ = s.timeLeft(now)
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
