package fair

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Dump is the state of Counters, shown to operators.
type Dump struct {
	HomeIncarnation string        `json:"home"`
	Peers           []string      `json:"peers,omitempty"`
	Services        []ServiceDump `json:"services"`
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Service string `json:"service"`
	// VirtualTime is the virtual time V.
	VirtualTime float64         `json:"virtual"`
	Workspaces  []WorkspaceDump `json:"workspaces"`
}

// WorkspaceDump is the fair-share state of one workspace for one service.
type WorkspaceDump struct {
	Workspace string `json:"workspace"`
	// Counter is the received service divided by weight, including the
	// extrapolated part.
	Counter float64 `json:"e"`
	// Extrapolated is the part of Counter that is assumed, not reported.
	Extrapolated float64 `json:"assumed,omitempty"`
	Weight       float64 `json:"weight"`
	Backlogged   bool    `json:"backlogged"`
	// Forgiven is the service divided by weight that the debt cap removed from
	// Counter.
	Forgiven float64 `json:"forgiven,omitempty"`
	// OwnCharges is the cost that this home has charged since its start.
	OwnCharges int64 `json:"own"`
}

// Dump returns the state of all services, sorted by name.
func (c *Counters) Dump() Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Dump{HomeIncarnation: c.options.HomeIncarnation}
	for home := range c.peers {
		d.Peers = append(d.Peers, home)
	}
	slices.Sort(d.Peers)
	for _, s := range c.services {
		d.Services = append(d.Services, s.dump())
	}
	slices.SortFunc(d.Services, func(a, b ServiceDump) int { return strings.Compare(a.Service, b.Service) })
	return d
}

func (s *service) dump() ServiceDump {
	d := ServiceDump{Service: s.name, VirtualTime: s.virtualTime()}
	for _, r := range s.rows {
		d.Workspaces = append(d.Workspaces, WorkspaceDump{
			Workspace:    r.workspace,
			Counter:      r.key(),
			Extrapolated: r.extrapolated,
			Weight:       r.weight,
			Backlogged:   r.backlogged(),
			Forgiven:     r.forgiven,
			OwnCharges:   r.ownCharges,
		})
	}
	slices.SortFunc(d.Workspaces, func(a, b WorkspaceDump) int { return strings.Compare(a.Workspace, b.Workspace) })
	return d
}

// sortRows orders rows by service and workspace, so that exports are
// deterministic.
func sortRows(rows []wigeonladder.Charge) {
	slices.SortFunc(rows, func(a, b wigeonladder.Charge) int {
		if a.Service != b.Service {
			return strings.Compare(a.Service, b.Service)
		}
		return strings.Compare(a.Workspace, b.Workspace)
	})
}

// WindowDump is the state of a Window, shown to operators. Amounts are cost
// units within the window.
type WindowDump struct {
	// Level is the fair share; 0 if the capacity is unknown.
	Level int64 `json:"level"`
	// LeastStarved is the lowest service of a starved workspace; nil if no
	// workspace is starved.
	LeastStarved *int64          `json:"least,omitempty"`
	Workspaces   []WindowRowDump `json:"workspaces"`
}

// WindowRowDump is the state of one workspace in a Window.
type WindowRowDump struct {
	Workspace string `json:"workspace"`
	Standing  string `json:"standing"`
	Demand    int64  `json:"demand"`
	Service   int64  `json:"service"`
	// OwnDemand and OwnService are the parts that this daemon has counted.
	OwnDemand  int64 `json:"ownDemand"`
	OwnService int64 `json:"ownService"`
	// Throttled is true if a call at any daemon was refused or placed late
	// recently, OwnThrottled if one at this daemon was.
	Throttled    bool `json:"throttled,omitempty"`
	OwnThrottled bool `json:"ownThrottled,omitempty"`
}

// Dump returns the state of the window, sorted by workspace. It omits
// workspaces without demand.
func (w *Window) Dump() WindowDump {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.refresh(now)
	d := WindowDump{Level: int64(w.level)}
	if w.hasStarved {
		least := int64(w.leastStarved)
		d.LeastStarved = &least
	}
	step := w.step(now)
	for name, r := range w.rows {
		if r.demand.sum(step) == 0 {
			continue
		}
		d.Workspaces = append(d.Workspaces, WindowRowDump{
			Workspace: name, Standing: w.standing(r, now).String(),
			Demand: int64(r.demand.sum(step)), Service: int64(r.service.sum(step)),
			OwnDemand: int64(r.ownDemand.sum(step)), OwnService: int64(r.ownService.sum(step)),
			Throttled: now.Sub(r.throttledAt) < throttledFor, OwnThrottled: now.Sub(r.ownThrottledAt) < throttledFor,
		})
	}
	slices.SortFunc(d.Workspaces, func(a, b WindowRowDump) int { return strings.Compare(a.Workspace, b.Workspace) })
	return d
}
