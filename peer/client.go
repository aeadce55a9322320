package peer

import (
	"context"
	"maps"
	"slices"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/ticket"
)

// call calls a method of another daemon, within the timeout of the method.
func (m *Mesh) call(ctx context.Context, vm, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeouts[method])
	defer cancel()
	address, _ := m.table.Address(vm)
	l, err := m.link(ctx, vm, address)
	if err != nil {
		return err
	}
	return l.call(ctx, method, params, result)
}

// Home implements wigeonladder.Fleet. The home role of this daemon is called
// directly.
func (m *Mesh) Home(vm string) wigeonladder.Home {
	if vm == m.options.Self.Name {
		if home, _, _ := m.roles(); home != nil {
			return home
		}
	}
	return remoteRoles{m, vm}
}

// Entry implements wigeonladder.Fleet. The entry role of this daemon is called
// directly.
func (m *Mesh) Entry(vm string) wigeonladder.Entry {
	if vm == m.options.Self.Name {
		if _, entry, _ := m.roles(); entry != nil {
			return entry
		}
	}
	return remoteRoles{m, vm}
}

// EntryHoldsContract asks an entry whether it holds a contract on a server. It
// returns true also if the call fails, because the entry may then hold one.
func (m *Mesh) EntryHoldsContract(ctx context.Context, vm, server string) (bool, error) {
	if vm == m.options.Self.Name {
		return m.holdsContract(server), nil
	}
	var held bool
	err := m.call(ctx, vm, methodHoldsContract, holdsContractParams{server}, &held)
	return held || err != nil, err
}

// Forward runs a request at the incarnation that issued its ticket. After an
// error the request may or may not have run.
func (m *Mesh) Forward(ctx context.Context, vm, incarnation string, r wigeonladder.Request) (ticket.Outcome, error) {
	if vm == m.options.Self.Name {
		_, _, tickets := m.roles()
		if tickets == nil {
			return ticket.Outcome{}, errNotReady
		}
		return tickets.RunForwarded(ctx, incarnation, r), nil
	}
	var out ticket.Outcome
	err := m.call(ctx, vm, methodForward, newForwardedRequest(incarnation, r), &out)
	return out, err
}

// Dump returns the state of the mesh.
func (m *Mesh) Dump() Dump {
	d := Dump{Records: m.table.Dump(), Leaving: m.servers.Leaving(), Traffic: m.Traffic()}
	m.mu.Lock()
	defer m.mu.Unlock()
	d.Links = slices.Sorted(maps.Keys(m.links))
	return d
}

// remoteRoles implements the home and entry roles of another daemon by calls
// over a link. For this daemon, it stands for roles that are not set yet: its
// calls fail with errNotReady.
type remoteRoles struct {
	mesh *Mesh
	vm   string
}

// call calls a method that has no result.
func (s remoteRoles) call(ctx context.Context, method string, params any) error {
	if s.vm == s.mesh.options.Self.Name {
		return errNotReady
	}
	return s.mesh.call(ctx, s.vm, method, params, nil)
}

// RequestSlot implements wigeonladder.Home.
func (s remoteRoles) RequestSlot(ctx context.Context, a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) {
	if s.vm == s.mesh.options.Self.Name {
		return wigeonladder.SlotOffer{}, errNotReady
	}
	var o wigeonladder.SlotOffer
	err := s.mesh.call(ctx, s.vm, methodRequestSlot, a, &o)
	return o, err
}

// ReportDemand implements wigeonladder.Home. The sequence number lets the
// receiver reject a report that arrives after a later one.
func (s remoteRoles) ReportDemand(ctx context.Context, r wigeonladder.DemandReport) error {
	s.mesh.mu.Lock()
	s.mesh.demandSequence++
	d := numberedDemandReport{Sequence: s.mesh.demandSequence, Incarnation: s.mesh.options.Incarnation, Report: r}
	s.mesh.mu.Unlock()
	return s.call(ctx, methodReportDemand, d)
}

// Renew implements wigeonladder.Home.
func (s remoteRoles) Renew(ctx context.Context, r wigeonladder.Renewal) error {
	return s.call(ctx, methodRenew, r)
}

// Release implements wigeonladder.Home.
func (s remoteRoles) Release(ctx context.Context, r []wigeonladder.Release) error {
	return s.call(ctx, methodRelease, releaseParams{r})
}

// Grant implements wigeonladder.Entry.
func (s remoteRoles) Grant(ctx context.Context, cs []wigeonladder.Contract) error {
	return s.call(ctx, methodGrant, grantParams{cs})
}

// Recall implements wigeonladder.Entry.
func (s remoteRoles) Recall(ctx context.Context, ids []wigeonladder.ContractID) error {
	return s.call(ctx, methodRecall, recallParams{ids})
}
