package daemon

import (
	"expvar"
	"runtime"

	"github.com/wigeonladder/wigeonladder/configservice"
	"github.com/wigeonladder/wigeonladder/contract"
	"github.com/wigeonladder/wigeonladder/entry"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/operator"
	"github.com/wigeonladder/wigeonladder/peer"
)

// dumpEvents is the number of newest events in a dump.
const dumpEvents = 50

// Dump is the state of a daemon for operators.
type Dump struct {
	Name        string               `json:"name"`
	Zone        string               `json:"zone"`
	Incarnation string               `json:"incarnation"`
	DrainStatus operator.DrainStatus `json:"stop"`
	Config      configservice.Dump   `json:"config"`
	Members     []string             `json:"members"`
	Mesh        peer.Dump            `json:"links"`
	Home        contract.Dump        `json:"home"`
	Entry       entry.Dump           `json:"entry"`
	Counters    fair.Dump            `json:"counters"`
	Decisions   []operator.Event     `json:"decisions"`
}

// Dump returns the state of the daemon.
func (d *Daemon) Dump() Dump { return d.Core.Dump(d.caller.OpenRequests()) }

// Dump returns the state of the core, given the number of open requests.
func (d *Core) Dump(openRequests int) Dump {
	return Dump{
		Name:        d.settings.Name,
		Zone:        d.settings.Zone,
		Incarnation: d.incarnation,
		DrainStatus: d.DrainStatus(openRequests),
		Config:      d.watcher.Dump(),
		Members:     d.mesh.Members(),
		Mesh:        d.mesh.Dump(),
		Home:        d.ledger.Dump(),
		Entry:       d.queue.Dump(),
		Counters:    d.counters.Dump(),
		Decisions:   d.journal.LastEvents(dumpEvents),
	}
}

// Metrics returns the metrics. Their names are stable; docs/OPERATORS.md
// describes them.
func (d *Daemon) Metrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("events", d.journal.EventCounts())
	m.Set("open_requests", expvar.Func(func() any { return d.caller.OpenRequests() }))
	m.Set("running_tickets", expvar.Func(func() any { return d.issuer.Running() }))
	m.Set("revision", expvar.Func(func() any { return d.watcher.Config().Revision }))
	m.Set("members", expvar.Func(func() any { return len(d.mesh.Members()) }))
	m.Set("traffic", expvar.Func(func() any { return d.mesh.Traffic() }))
	m.Set("home", expvar.Func(func() any { return d.homeMetrics() }))
	m.Set("waiting", expvar.Func(func() any { return len(d.queue.Dump().Waiting) }))
	m.Set("process", expvar.Func(func() any { return processMetrics() }))
	m.Set("contracts_held", expvar.Func(func() any { return len(d.queue.Dump().Held) }))
	return m
}

// ProcessMetrics are statistics of the Go runtime.
type ProcessMetrics struct {
	// Mallocs is the number of allocations since the start.
	Mallocs uint64 `json:"mallocs"`
	// Heap and Stack are the memory in use in bytes.
	Heap       uint64 `json:"heap"`
	Stack      uint64 `json:"stack"`
	Goroutines int    `json:"goroutines"`
}

func processMetrics() ProcessMetrics {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return ProcessMetrics{Mallocs: s.Mallocs, Heap: s.HeapInuse, Stack: s.StackInuse, Goroutines: runtime.NumGoroutine()}
}

// HomeMetrics are the gauges of the home role. Servers is the number of backend
// servers in its ledger; Slots is the sum of their slot limits and InUse the
// sum of their slots in use.
type HomeMetrics struct {
	Servers int `json:"servers"`
	Slots   int `json:"slots"`
	InUse   int `json:"in_use"`
	// Demands is the number of demands that entries have reported, one for each
	// workspace and service of an entry.
	Demands int `json:"demands"`
}

func (d *Core) homeMetrics() HomeMetrics {
	h := d.ledger.Dump()
	m := HomeMetrics{Servers: len(h.Servers), Demands: len(h.Demands)}
	for _, s := range h.Servers {
		m.Slots += s.Limit
		m.InUse += s.InUse
	}
	return m
}
