package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Dump is the state of a queue at one moment, for operators.
type Dump struct {
	Waiting []WaitingDump `json:"waiting"`
	Held    []HeldDump    `json:"held"`
	Homes   []HomeDump    `json:"homes"`
}

// WaitingDump is one waiting request.
type WaitingDump struct {
	Request   string               `json:"request"`
	Service   string               `json:"service"`
	Workspace string               `json:"workspace"`
	Model     string               `json:"model,omitempty"`
	Urgency   wigeonladder.Urgency `json:"urgency"`
	// WaitMs is the time since the arrival of the request in milliseconds.
	WaitMs int64 `json:"wait"`
}

// HeldDump is one contract that a request holds.
type HeldDump struct {
	Request  string                `json:"request"`
	Contract wigeonladder.Contract `json:"contract"`
	Home     string                `json:"home"`
	Cost     int64                 `json:"cost"`
	Recalled bool                  `json:"recalled,omitempty"`
}

// HomeDump is what the queue knows of one home.
type HomeDump struct {
	VM string `json:"vm"`
	// Reported is true while the home may hold demands of this entry.
	Reported bool `json:"reported"`
	// PendingReleases is the number of releases that wait to be sent.
	PendingReleases int `json:"releases,omitempty"`
	// CallFailed is true if a slot request or demand report to the home failed
	// since the home last answered a slot request.
	CallFailed bool `json:"failed,omitempty"`
}

// Dump returns the state of the queue, sorted.
func (q *Queue) Dump() Dump {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	var d Dump
	for _, l := range q.services {
		d.Waiting = append(d.Waiting, l.dump(now)...)
	}
	for _, h := range q.held {
		d.Held = append(d.Held, HeldDump{
			Request: h.request, Contract: h.contract, Cost: h.costSoFar, Recalled: h.recalled,
			Home: q.view.servers[h.contract.Server].home,
		})
	}
	for _, c := range q.homes {
		d.Homes = append(d.Homes, HomeDump{
			VM: c.vm, Reported: c.mayHoldDemands, PendingReleases: len(c.pendingReleases), CallFailed: !c.lastFailure.IsZero(),
		})
	}
	slices.SortFunc(d.Waiting, func(a, b WaitingDump) int { return cmp.Compare(a.Request, b.Request) })
	slices.SortFunc(d.Held, func(a, b HeldDump) int { return cmp.Compare(a.Request, b.Request) })
	slices.SortFunc(d.Homes, func(a, b HomeDump) int { return cmp.Compare(a.VM, b.VM) })
	return d
}

// dump returns the waiting requests of a service.
func (l *serviceQueue) dump(now time.Time) []WaitingDump {
	var all []WaitingDump
	for _, s := range l.workspaces {
		for _, n := range s.models {
			for i := range n.byUrgency {
				for e := n.byUrgency[i].Front(); e != nil; e = e.Next() {
					w := e.Value.(*waiter)
					all = append(all, WaitingDump{
						Request: w.request.ID, Service: l.service, Workspace: s.workspace, Model: n.model,
						Urgency: wigeonladder.Urgency(w.urgency), WaitMs: now.Sub(w.arrived).Milliseconds(),
					})
				}
			}
		}
	}
	return all
}
