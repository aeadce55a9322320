package policy

import (
	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/limit"
)

// Options are the settings that all baselines share.
type Options struct {
	// VMs are the daemons, in a fixed order.
	VMs []wigeonladder.VM
	// Services are the services with their backend servers.
	Services []wigeonladder.Service
	// Rules returns the rules in force.
	Rules func() wigeonladder.Rules
	// QueueLimit is the number of requests that may wait per service at one daemon.
	QueueLimit int
	// CanReach reports whether a daemon can use a server now. Without it all can.
	CanReach func(vm string, s wigeonladder.Server) bool
}

// Policy gives each daemon of a fleet its placer.
type Policy interface {
	PlacerFor(vm string) wigeonladder.Placer
}

// PerDaemon is a policy with one scheduler per daemon.
type PerDaemon struct {
	daemons map[string]*scheduler
}

// PlacerFor implements Policy.
func (p *PerDaemon) PlacerFor(vm string) wigeonladder.Placer {
	return placer{p.daemons[vm], vm}
}

// NewAlone returns policy alone. A daemon starts from its even part of a
// server's slots and learns from there; it may reach the server's maximum,
// since it does not know what the others do.
func NewAlone(o Options) *PerDaemon {
	return separate(o, func(s wigeonladder.Server, daemons, _ int) wigeonladder.Limiter {
		return limit.New((s.Slots+daemons-1)/daemons, s.MaxSlots)
	})
}

// NewSplit returns policy split. What is left of a division goes to the daemons
// in turn, so that no slot is lost.
func NewSplit(o Options) *PerDaemon {
	turn := 0
	offset := map[string]int{}
	return separate(o, func(s wigeonladder.Server, daemons, place int) wigeonladder.Limiter {
		first, ok := offset[s.Name]
		if !ok {
			first = turn
			offset[s.Name] = first
			turn = (turn + s.Slots) % daemons
		}
		slots := s.Slots / daemons
		if (place-first+daemons)%daemons < s.Slots%daemons {
			slots++
		}
		return fixed(slots)
	})
}

func separate(o Options, learn func(s wigeonladder.Server, daemons, place int) wigeonladder.Limiter) *PerDaemon {
	p := &PerDaemon{daemons: map[string]*scheduler{}}
	for place, vm := range o.VMs {
		p.daemons[vm.Name] = newScheduler(o, vm.Name, o.QueueLimit, func(s wigeonladder.Server) wigeonladder.Limiter {
			return learn(s, len(o.VMs), place)
		})
	}
	return p
}

// Central is policy central: one scheduler for all daemons.
type Central struct {
	one *scheduler
}

// NewCentral returns policy central. Its limits are learned as those of the
// fleet's homes are. Its queue takes as much as those of all daemons together.
func NewCentral(o Options) *Central {
	learn := func(s wigeonladder.Server) wigeonladder.Limiter {
		return limit.New(s.Slots, s.MaxSlots)
	}
	return &Central{one: newScheduler(o, "central", o.QueueLimit*len(o.VMs), learn)}
}

// PlacerFor implements Policy.
func (p *Central) PlacerFor(vm string) wigeonladder.Placer {
	return placer{p.one, vm}
}

// fixed is a limit that does not learn.
type fixed int

// Slots implements wigeonladder.Limiter. It may be 0 where there are more
// daemons than slots.
func (f fixed) Slots() int { return int(f) }

// Observe implements wigeonladder.Limiter.
func (f fixed) Observe(wigeonladder.Usage, int) {}
