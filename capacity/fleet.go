package capacity

import (
	"context"
	"fmt"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/contract"
	"github.com/wigeonladder/wigeonladder/entry"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/fake"
	"github.com/wigeonladder/wigeonladder/peer"
)

// Daemon is the control part of one daemon: membership, fair shares, home and
// entry.
type Daemon struct {
	Mesh     *peer.Mesh
	Counters *fair.Counters
	Ledger   *contract.Ledger
	Queue    *entry.Queue
	// Stop ends the daemon abruptly, without a graceful shutdown.
	Stop context.CancelFunc
}

// Fleet is a set of daemons on an in-memory network.
type Fleet struct {
	Config  wigeonladder.Config
	Daemons []*Daemon

	ctx     context.Context
	network *pipeNetwork
	// starts is the number of starts of daemons, from which their incarnations are
	// made.
	starts int
}

// StartFleet starts the first daemons of the register, as many as given. They run
// until the context ends.
func StartFleet(ctx context.Context, c wigeonladder.Config, daemons int) *Fleet {
	f := &Fleet{Config: c, ctx: ctx, network: &pipeNetwork{listeners: map[string]*pipeListener{}}}
	for i := range daemons {
		f.Daemons = append(f.Daemons, f.startDaemon(i))
	}
	return f
}

// Restart starts a stopped daemon again, with a new incarnation and without its
// earlier state.
func (f *Fleet) Restart(i int) { f.Daemons[i] = f.startDaemon(i) }

// startDaemon starts the daemon of VM i of the register.
func (f *Fleet) startDaemon(i int) *Daemon {
	ctx, stop := context.WithCancel(f.ctx)
	vm := f.Config.Register.VMs[i]
	f.starts++
	incarnation := fmt.Sprintf("%012x", f.starts) // as long as the incarnations of a real daemon
	config := func() wigeonladder.Config { return f.Config }
	d := &Daemon{Stop: stop, Counters: fair.NewCounters(fair.Options{
		HomeIncarnation: incarnation,
		Rules:           func() wigeonladder.Rules { return f.Config.Rules },
		Slots:           func() int { return Servers / Daemons * serverSlots },
	})}
	d.Mesh = peer.NewMesh(ctx, peer.Options{
		Self: vm, Incarnation: incarnation, Seed: uint64(i + 1),
		Listener: f.network.listen(vm.PeerAddress), Dial: f.network.dial,
		Config: config, Live: func() wigeonladder.LiveList { return wigeonladder.LiveList{} },
		Document: func() []byte { return nil }, ApplyPeerDocument: func([]byte) error { return nil },
		Counters: d.Counters,
	})
	d.Ledger = contract.NewLedger(ctx, contract.Options{
		Fleet: d.Mesh, Shares: d.Counters, Config: config, Incarnation: incarnation,
		Limiter: func(s wigeonladder.Server) wigeonladder.Limiter { return fake.FixedLimit(s.Slots) },
	})
	d.Queue = entry.NewQueue(ctx, entry.Options{Fleet: d.Mesh, Zone: vm.Zone, Config: config})
	d.Mesh.SetRoles(d.Ledger, d.Queue, nil)
	return d
}

// SentByMethod returns the messages and bytes that all daemons have sent, by
// method.
func (f *Fleet) SentByMethod() map[string]peer.TrafficCount {
	sum := map[string]peer.TrafficCount{}
	for _, d := range f.Daemons {
		for method, n := range d.Mesh.Traffic().Out {
			s := sum[method]
			s.Messages += n.Messages
			s.Bytes += n.Bytes
			sum[method] = s
		}
	}
	return sum
}

// TrafficBetween returns the traffic between two counts, by method.
func TrafficBetween(before, after map[string]peer.TrafficCount) map[string]peer.TrafficCount {
	d := map[string]peer.TrafficCount{}
	for method, n := range after {
		b := before[method]
		d[method] = peer.TrafficCount{Messages: n.Messages - b.Messages, Bytes: n.Bytes - b.Bytes}
	}
	return d
}
