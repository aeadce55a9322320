package contract

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Dump is the state of a ledger at one moment, for operators.
type Dump struct {
	Incarnation string         `json:"incarnation"`
	Members     []string       `json:"members"`
	Servers     []ServerDump   `json:"servers"`
	Contracts   []ContractDump `json:"contracts"`
	Demands     []DemandDump   `json:"demands"`
	// BackloggedWorkspaces is the number of workspaces with waiting requests,
	// by service.
	BackloggedWorkspaces map[string]int `json:"backlogged"`
}

// ServerDump is the state of one own server.
type ServerDump struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Limit   int    `json:"limit"`
	InUse   int    `json:"inUse"`
	Free    int    `json:"free"`
	// Foreign is the number of slots that the server reports as in use and that
	// no contract of this home accounts for.
	Foreign int  `json:"foreign,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// AwaitingTakeover is true until the takeover of the server has ended.
	AwaitingTakeover bool `json:"takeover,omitempty"`
	// BreakerOpen is true while the circuit breaker for all entries is open.
	BreakerOpen bool `json:"shut,omitempty"`
	// BlockedEntries names the entries whose own circuit breaker is not closed.
	BlockedEntries []string `json:"blocked,omitempty"`
}

// ContractDump is one contract that occupies a slot.
type ContractDump struct {
	Contract wigeonladder.Contract `json:"contract"`
	// Charged is what the workspace was charged so far and Cost the cost so
	// far, both in cost units.
	Charged int64 `json:"charged"`
	Cost    int64 `json:"cost"`
	// InUse is true once the entry has renewed the contract. The contract
	// occupies its slot from the grant on.
	InUse bool `json:"inUse"`
	// AgeMs is the time since the last renewal in milliseconds.
	AgeMs int64 `json:"age"`
}

// DemandDump is what one entry reported of the waiting requests of one
// workspace for one model.
type DemandDump struct {
	Entry          string              `json:"entry"`
	Demand         wigeonladder.Demand `json:"demand"`
	GrantsInFlight int                 `json:"inFlight"`
}

// Dump returns the state of the ledger, sorted.
func (l *Ledger) Dump() Dump {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{
		Incarnation:          l.options.Incarnation,
		Members:              slices.Clone(l.members),
		BackloggedWorkspaces: map[string]int{},
	}
	for _, s := range l.servers {
		d.Servers = append(d.Servers, s.dump())
	}
	for _, t := range l.leases {
		d.Contracts = append(d.Contracts, t.dump(now))
	}
	for _, e := range l.entries {
		for _, m := range e.demands {
			d.Demands = append(d.Demands, m.dump(now))
		}
	}
	for name, p := range l.pools {
		for _, q := range p.workspaces {
			if q.waiting > 0 {
				d.BackloggedWorkspaces[name]++
			}
		}
	}
	d.sort()
	return d
}

// sort orders the lists by name.
func (d *Dump) sort() {
	slices.SortFunc(d.Servers, func(a, b ServerDump) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Contracts, func(a, b ContractDump) int {
		x, y := a.Contract.ID, b.Contract.ID
		return cmp.Or(cmp.Compare(x.HomeIncarnation, y.HomeIncarnation), cmp.Compare(x.Number, y.Number))
	})
	slices.SortFunc(d.Demands, func(a, b DemandDump) int {
		return cmp.Or(
			cmp.Compare(a.Demand.Service, b.Demand.Service),
			cmp.Compare(a.Demand.Workspace, b.Demand.Workspace),
			cmp.Compare(a.Entry, b.Entry),
			cmp.Compare(a.Demand.Model, b.Demand.Model),
		)
	})
}

// dump returns the state of the server.
func (s *server) dump() ServerDump {
	return ServerDump{
		Name:             s.Name,
		Service:          s.pool.service,
		Limit:            s.limit,
		InUse:            s.slotsInUse,
		Free:             s.free(),
		Foreign:          s.foreignSlots,
		Leaving:          s.leaving,
		AwaitingTakeover: s.awaitingTakeover,
		BreakerOpen:      s.breaker != nil,
		BlockedEntries:   slices.Sorted(maps.Keys(s.entryBreakers)),
	}
}

// dump returns the state of the contract.
func (t *lease) dump(now time.Time) ContractDump {
	return ContractDump{
		Contract: t.contract,
		Charged:  t.charged,
		Cost:     t.costSoFar,
		InUse:    t.renewed,
		AgeMs:    now.Sub(t.lastRenewed).Milliseconds(),
	}
}

// dump returns the demand as its entry reported it.
func (d *demand) dump(now time.Time) DemandDump {
	return DemandDump{
		Entry:          d.entry,
		GrantsInFlight: d.grantsInFlight,
		Demand: wigeonladder.Demand{
			Service:      d.service,
			Workspace:    d.workspace,
			Waiting:      d.waiting,
			Urgency:      d.urgency,
			OldestWaitMs: now.Sub(d.oldestArrival).Milliseconds(),
			Estimate:     d.estimate,
			Model:        d.model,
			PrefixHash:   d.prefix,
		},
	}
}
