package campaign

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// fault is one planned fault.
type fault struct {
	at, lasts time.Duration
	kind      faultKind
	// pick chooses the target, pick2 a second one.
	pick, pick2 int
}

// faultKind is a kind of fault. It returns the text for the history and what
// ends the fault; nil if it does not apply now.
type faultKind struct {
	name string
	// shortest and longest bound the duration.
	shortest, longest time.Duration
	begin             func(f *fleet, p fault) (string, func())
}

// faultKinds are all kinds of faults.
var faultKinds = []faultKind{
	{"kill", time.Second, 9 * time.Second, beginKill},
	{"pause", 300 * time.Millisecond, 12 * time.Second, beginPause},
	{"cut zone", 2 * time.Second, 25 * time.Second, beginCutZone},
	{"cut link", time.Second, 15 * time.Second, beginCutLink},
	{"reset links", time.Millisecond, time.Second, beginReset},
	{"delay messages", 2 * time.Second, 10 * time.Second, beginDelay},
	{"platform down", 2 * time.Second, 40 * time.Second, beginPlatformDown},
	{"platform stale", 2 * time.Second, 40 * time.Second, beginPlatformStale},
	{"revisions", time.Second, 2 * time.Second, beginRevisions},
	{"remove workspace", 2 * time.Second, 10 * time.Second, beginRemove},
	{"server leaves", 8 * time.Second, 20 * time.Second, beginLeave},
	{"server crashes", time.Millisecond, time.Second, beginCrash},
	{"server slow", 3 * time.Second, 15 * time.Second, beginMode(modeSlow)},
	{"server hangs", time.Second, 6 * time.Second, beginMode(modeHang)},
	{"server refuses", time.Second, 6 * time.Second, beginMode(modeRefuse)},
	{"server drops", time.Second, 10 * time.Second, beginMode(modeDrop)},
	{"server crosses", time.Second, 6 * time.Second, beginMode(modeCross)},
	{"drain", time.Millisecond, time.Second, beginDrain},
}

// newFaults returns the plan of faults within a time.
func newFaults(seed uint64, n int, span time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, 4))
	var l []fault
	for range n {
		k := faultKinds[r.IntN(len(faultKinds))]
		p := fault{
			at: time.Duration(r.Int64N(int64(span))), kind: k, pick: r.IntN(1 << 20), pick2: r.IntN(1 << 20),
			lasts: k.shortest + time.Duration(r.Int64N(int64(k.longest-k.shortest))),
		}
		l = append(l, p)
		if r.IntN(5) == 0 {
			// The same fault twice, the second time soon after or during the first.
			p.at += time.Duration(r.Int64N(int64(2 * p.lasts)))
			l = append(l, p)
		}
	}
	slices.SortFunc(l, func(a, b fault) int { return int(a.at - b.at) })
	return l
}

// inject runs the plan and returns when the last fault has ended.
func (f *fleet) inject(plan []fault) {
	var all sync.WaitGroup
	start := time.Now()
	for _, p := range plan {
		sleep(f.ctx, time.Until(start.Add(p.at)))
		all.Go(func() {
			text, end := p.kind.begin(f, p)
			if end == nil {
				return
			}
			f.history.count("faults", 1)
			f.history.note("", "fault: %s %s for %v", p.kind.name, text, p.lasts.Round(time.Millisecond))
			sleep(f.ctx, p.lasts)
			end()
			f.history.note("", "end: %s %s", p.kind.name, text)
		})
	}
	all.Wait()
}

// node returns the daemon that a fault concerns.
func (f *fleet) node(pick int) *node { return f.nodes[pick%len(f.nodes)] }

// server returns the backend server that a fault concerns.
func (f *fleet) server(pick int) *server {
	names := make([]string, 0, len(f.servers))
	for n := range f.servers {
		names = append(names, n)
	}
	slices.Sort(names)
	return f.servers[names[pick%len(names)]]
}

// apart is around for a fault that splits the fleet.
func (f *fleet) apart(end func(), nodes ...*node) func() {
	f.split(1)
	return f.around(func() { end(); f.split(-1) }, nodes...)
}

// around notes that a fault concerns daemons and returns what ends it.
func (f *fleet) around(end func(), nodes ...*node) func() {
	f.disturb(1)
	for _, n := range nodes {
		n.disturb(1)
	}
	return func() {
		end()
		for _, n := range nodes {
			n.disturb(-1)
		}
		f.disturb(-1)
	}
}

func beginKill(f *fleet, p fault) (string, func()) {
	n := f.node(p.pick)
	if !n.kill(p.pick2%2 == 0) {
		return "", nil
	}
	return n.vm.Name, f.around(n.startNode, n)
}

func beginDrain(f *fleet, p fault) (string, func()) {
	n := f.node(p.pick)
	f.history.note("", "drain of %s begins", n.vm.Name)
	end := f.around(func() {}, n)
	if !n.drain() {
		end()
		return "", nil
	}
	return n.vm.Name, func() { n.startNode(); end() }
}

func beginPause(f *fleet, p fault) (string, func()) {
	n := f.node(p.pick)
	n.freeze(1)
	return n.vm.Name, f.apart(func() { n.freeze(-1) }, n)
}

func beginCutZone(f *fleet, p fault) (string, func()) {
	zone := zoneName(p.pick)
	var pairs [][2]string
	for _, n := range f.nodes {
		for a, z := range f.net.zones {
			if (n.vm.Zone == zone) != (z == zone) {
				pairs = append(pairs, [2]string{n.vm.PeerAddress, a})
			}
		}
	}
	// A way between two daemons is listed from both sides.
	f.blockAll(pairs, 1)
	return zone, f.apart(func() { f.blockAll(pairs, -1) }, f.nodes...)
}

// blockAll cuts ways, or with -1 joins them.
func (f *fleet) blockAll(pairs [][2]string, by int) {
	for _, w := range pairs {
		f.net.block(w[0], w[1], by)
	}
}

func beginCutLink(f *fleet, p fault) (string, func()) {
	a, b := f.node(p.pick), f.node(p.pick+1+p.pick2%(daemons-1))
	f.net.block(a.vm.PeerAddress, b.vm.PeerAddress, 1)
	return a.vm.Name + "-" + b.vm.Name, f.apart(func() { f.net.block(a.vm.PeerAddress, b.vm.PeerAddress, -1) }, a, b)
}

func beginReset(f *fleet, p fault) (string, func()) {
	a, b := f.node(p.pick), f.node(p.pick+1+p.pick2%(daemons-1))
	f.net.reset(a.vm.PeerAddress, b.vm.PeerAddress)
	return a.vm.Name + "-" + b.vm.Name, f.apart(func() {}, a, b)
}

func beginDelay(f *fleet, p fault) (string, func()) {
	spike := time.Duration(1+p.pick%600) * time.Millisecond
	f.net.addSpike(spike)
	return spike.String(), f.apart(func() { f.net.addSpike(-spike) }, f.nodes...)
}

func beginPlatformDown(f *fleet, _ fault) (string, func()) {
	f.registry.setDown(1)
	return "", func() { f.registry.setDown(-1) }
}

func beginPlatformStale(f *fleet, _ fault) (string, func()) {
	f.registry.setStale(1)
	return "", func() { f.registry.setStale(-1) }
}

func beginRevisions(f *fleet, p fault) (string, func()) {
	same := func(c wigeonladder.Config) wigeonladder.Config { return c }
	f.publish(true, same)
	sleep(f.ctx, time.Duration(p.pick%300)*time.Millisecond)
	f.publish(false, same)
	sleep(f.ctx, time.Duration(p.pick2%300)*time.Millisecond)
	f.publish(true, same)
	return "", func() {}
}

func beginRemove(f *fleet, p fault) (string, func()) {
	i := p.pick % workspaces
	name := workspaceName(i)
	f.publish(true, func(c wigeonladder.Config) wigeonladder.Config { return without(c, name) })
	return name, func() {
		f.publish(true, func(c wigeonladder.Config) wigeonladder.Config {
			c = without(c, name)
			c.Register.Workspaces = append(c.Register.Workspaces, newConfig().Register.Workspaces[i])
			return c
		})
	}
}

func beginLeave(f *fleet, p fault) (string, func()) {
	s := f.server(p.pick)
	f.registry.list(s.spec.Name, wigeonladder.StateLeaving)
	return s.spec.Name, func() {
		f.registry.list(s.spec.Name, wigeonladder.StateLive)
		f.stays(s.spec.Name)
	}
}

func beginCrash(f *fleet, p fault) (string, func()) {
	s := f.server(p.pick)
	s.crash("", "fault")
	return s.spec.Name, func() { sleep(f.ctx, restartAfter) }
}

func beginMode(m mode) func(*fleet, fault) (string, func()) {
	return func(f *fleet, p fault) (string, func()) {
		s := f.server(p.pick)
		s.setMode("", m)
		return s.spec.Name, func() { s.setMode(m, "") }
	}
}
