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
	// QueueLimit is the number of requests that may wait for a service at one
	// daemon.
	QueueLimit int
	// CanReach reports whether a daemon can reach a server now; nil if every
	// daemon can reach every server.
	CanReach func(vm string, s wigeonladder.Server) bool
}

// Policy gives each daemon of a fleet its placer.
type Policy interface {
	// PlacerFor returns the placer of the daemon on a VM.
	PlacerFor(vm string) wigeonladder.Placer
}

// PerDaemon is a policy with one scheduler per daemon.
type PerDaemon struct {
	schedulers map[string]*scheduler
}

// PlacerFor implements Policy.
func (p *PerDaemon) PlacerFor(vm string) wigeonladder.Placer {
	return placer{p.schedulers[vm], vm}
}

// NewAlone returns policy alone. The limit of a daemon starts at an equal part of
// the server's slots and adapts. It may grow to the server's maximum, because the
// daemon does not know the load from the other daemons.
func NewAlone(o Options) *PerDaemon {
	return newPerDaemon(o, func(s wigeonladder.Server, daemons, _ int) wigeonladder.Limiter {
		return limit.New((s.Slots+daemons-1)/daemons, s.MaxSlots)
	})
}

// NewSplit returns policy split. The slots that remain after the division of a
// server go round-robin to the daemons, so that every slot is used. The remainder
// of each server starts at the daemon after the last one that got such a slot.
func NewSplit(o Options) *PerDaemon {
	nextDaemon := 0
	firstDaemon := map[string]int{}
	return newPerDaemon(o, func(s wigeonladder.Server, daemons, index int) wigeonladder.Limiter {
		first, ok := firstDaemon[s.Name]
		if !ok {
			first = nextDaemon
			firstDaemon[s.Name] = first
			nextDaemon = (nextDaemon + s.Slots) % daemons
		}
		slots := s.Slots / daemons
		if (index-first+daemons)%daemons < s.Slots%daemons {
			slots++
		}
		return fixedLimit(slots)
	})
}

func newPerDaemon(o Options, newLimiter func(s wigeonladder.Server, daemons, index int) wigeonladder.Limiter) *PerDaemon {
	p := &PerDaemon{schedulers: map[string]*scheduler{}}
	for index, vm := range o.VMs {
		p.schedulers[vm.Name] = newScheduler(o, vm.Name, o.QueueLimit, func(s wigeonladder.Server) wigeonladder.Limiter {
			return newLimiter(s, len(o.VMs), index)
		})
	}
	return p
}

// Central is policy central: one scheduler for all daemons.
type Central struct {
	scheduler *scheduler
}

// NewCentral returns policy central. It learns limits as the homes of the
// fleet do. Its queue holds as many requests as those of all daemons together.
func NewCentral(o Options) *Central {
	newLimiter := func(s wigeonladder.Server) wigeonladder.Limiter {
		return limit.New(s.Slots, s.MaxSlots)
	}
	return &Central{scheduler: newScheduler(o, "central", o.QueueLimit*len(o.VMs), newLimiter)}
}

// PlacerFor implements Policy.
func (p *Central) PlacerFor(vm string) wigeonladder.Placer {
	return placer{p.scheduler, vm}
}

// fixedLimit is a limit that does not adapt.
type fixedLimit int

// Slots implements wigeonladder.Limiter. It is 0 for some daemons if there are
// more daemons than slots.
func (f fixedLimit) Slots() int { return int(f) }

// Observe implements wigeonladder.Limiter.
func (f fixedLimit) Observe(wigeonladder.Usage, int) {}
