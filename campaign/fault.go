package campaign

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// fault is a planned fault.
type fault struct {
	at, duration time.Duration
	kind         faultKind
	// choice is a random number that selects the target; choice2 selects a second
	// target or a variant.
	choice, choice2 int
}

// faultKind is a kind of fault.
type faultKind struct {
	name string
	// shortest and longest limit the duration of the fault.
	shortest, longest time.Duration
	// begin starts the fault. It returns the target for the history and the
	// function that ends the fault, or nil if the fault does not apply now.
	begin func(f *fleet, p fault) (string, func())
}

// faultKinds holds all kinds of faults.
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
	{"server slow", 3 * time.Second, 15 * time.Second, beginServerFault(modeSlow)},
	{"server hangs", time.Second, 6 * time.Second, beginServerFault(modeHang)},
	{"server refuses", time.Second, 6 * time.Second, beginServerFault(modeRefuse)},
	{"server drops", time.Second, 10 * time.Second, beginServerFault(modeDrop)},
	{"server crosses", time.Second, 6 * time.Second, beginServerFault(modeCross)},
	{"drain", time.Millisecond, time.Second, beginDrain},
}

// planFaults returns the plan of n random faults that begin within span. Some
// of them occur twice.
func planFaults(seed uint64, n int, span time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, 4))
	var l []fault
	for range n {
		k := faultKinds[r.IntN(len(faultKinds))]
		p := fault{
			at: time.Duration(r.Int64N(int64(span))), kind: k, choice: r.IntN(1 << 20), choice2: r.IntN(1 << 20),
			duration: k.shortest + time.Duration(r.Int64N(int64(k.longest-k.shortest))),
		}
		l = append(l, p)
		if r.IntN(5) == 0 {
			// The same fault again, during the first or soon after it.
			p.at += time.Duration(r.Int64N(int64(2 * p.duration)))
			l = append(l, p)
		}
	}
	slices.SortFunc(l, func(a, b fault) int { return int(a.at - b.at) })
	return l
}

// runFaults runs the plan and returns when the last fault has ended.
func (f *fleet) runFaults(plan []fault) {
	var all sync.WaitGroup
	start := time.Now()
	for _, p := range plan {
		sleep(f.ctx, time.Until(start.Add(p.at)))
		all.Go(func() {
			text, end := p.kind.begin(f, p)
			if end == nil {
				return
			}
			f.history.addCount("faults", 1)
			f.history.note("", "fault: %s %s for %v", p.kind.name, text, p.duration.Round(time.Millisecond))
			sleep(f.ctx, p.duration)
			end()
			f.history.note("", "end: %s %s", p.kind.name, text)
		})
	}
	all.Wait()
}

// nodeFor returns the node that a choice selects.
func (f *fleet) nodeFor(choice int) *node { return f.nodes[choice%len(f.nodes)] }

// serverFor returns the backend server that a choice selects.
func (f *fleet) serverFor(choice int) *server {
	names := make([]string, 0, len(f.servers))
	for n := range f.servers {
		names = append(names, n)
	}
	slices.Sort(names)
	return f.servers[names[choice%len(names)]]
}

// beginSplitFault is beginFault for a fault that splits the fleet.
func (f *fleet) beginSplitFault(end func(), nodes ...*node) func() {
	f.adjustSplits(1)
	return f.beginFault(func() { end(); f.adjustSplits(-1) }, nodes...)
}

// beginFault records that a fault concerns the nodes. The returned function
// calls end, which ends the fault, and records the end.
func (f *fleet) beginFault(end func(), nodes ...*node) func() {
	f.adjustFaults(1)
	for _, n := range nodes {
		n.adjustFaults(1)
	}
	return func() {
		end()
		for _, n := range nodes {
			n.adjustFaults(-1)
		}
		f.adjustFaults(-1)
	}
}

func beginKill(f *fleet, p fault) (string, func()) {
	n := f.nodeFor(p.choice)
	if !n.kill(p.choice2%2 == 0) {
		return "", nil
	}
	return n.vm.Name, f.beginFault(n.startDaemon, n)
}

func beginDrain(f *fleet, p fault) (string, func()) {
	n := f.nodeFor(p.choice)
	f.history.note("", "drain of %s begins", n.vm.Name)
	end := f.beginFault(func() {}, n)
	if !n.drain() {
		end()
		return "", nil
	}
	return n.vm.Name, func() { n.startDaemon(); end() }
}

func beginPause(f *fleet, p fault) (string, func()) {
	n := f.nodeFor(p.choice)
	n.adjustPauses(1)
	return n.vm.Name, f.beginSplitFault(func() { n.adjustPauses(-1) }, n)
}

func beginCutZone(f *fleet, p fault) (string, func()) {
	zone := zoneName(p.choice)
	var pairs [][2]string
	for _, n := range f.nodes {
		for a, z := range f.network.zones {
			if (n.vm.Zone == zone) != (z == zone) {
				pairs = append(pairs, [2]string{n.vm.PeerAddress, a})
			}
		}
	}
	// A pair of daemons occurs twice, once from each side, and so is blocked and
	// unblocked twice.
	f.adjustBlocksOf(pairs, 1)
	return zone, f.beginSplitFault(func() { f.adjustBlocksOf(pairs, -1) }, f.nodes...)
}

// adjustBlocksOf blocks pairs of addresses or, with -1, unblocks them.
func (f *fleet) adjustBlocksOf(pairs [][2]string, by int) {
	for _, pair := range pairs {
		f.network.adjustBlocks(pair[0], pair[1], by)
	}
}

func beginCutLink(f *fleet, p fault) (string, func()) {
	a, b := f.nodeFor(p.choice), f.nodeFor(p.choice+1+p.choice2%(daemons-1))
	f.network.adjustBlocks(a.vm.PeerAddress, b.vm.PeerAddress, 1)
	return a.vm.Name + "-" + b.vm.Name, f.beginSplitFault(func() { f.network.adjustBlocks(a.vm.PeerAddress, b.vm.PeerAddress, -1) }, a, b)
}

func beginReset(f *fleet, p fault) (string, func()) {
	a, b := f.nodeFor(p.choice), f.nodeFor(p.choice+1+p.choice2%(daemons-1))
	f.network.resetConns(a.vm.PeerAddress, b.vm.PeerAddress)
	return a.vm.Name + "-" + b.vm.Name, f.beginSplitFault(func() {}, a, b)
}

func beginDelay(f *fleet, p fault) (string, func()) {
	extraDelay := time.Duration(1+p.choice%600) * time.Millisecond
	f.network.addExtraDelay(extraDelay)
	return extraDelay.String(), f.beginSplitFault(func() { f.network.addExtraDelay(-extraDelay) }, f.nodes...)
}

func beginPlatformDown(f *fleet, _ fault) (string, func()) {
	f.platform.adjustOutages(1)
	return "", func() { f.platform.adjustOutages(-1) }
}

func beginPlatformStale(f *fleet, _ fault) (string, func()) {
	f.platform.adjustStaleFaults(1)
	return "", func() { f.platform.adjustStaleFaults(-1) }
}

func beginRevisions(f *fleet, p fault) (string, func()) {
	same := func(c wigeonladder.Config) wigeonladder.Config { return c }
	f.publish(true, same)
	sleep(f.ctx, time.Duration(p.choice%300)*time.Millisecond)
	f.publish(false, same)
	sleep(f.ctx, time.Duration(p.choice2%300)*time.Millisecond)
	f.publish(true, same)
	return "", func() {}
}

func beginRemove(f *fleet, p fault) (string, func()) {
	i := p.choice % workspaces
	name := workspaceName(i)
	f.publish(true, func(c wigeonladder.Config) wigeonladder.Config { return withoutWorkspace(c, name) })
	return name, func() {
		f.publish(true, func(c wigeonladder.Config) wigeonladder.Config {
			c = withoutWorkspace(c, name)
			c.Register.Workspaces = append(c.Register.Workspaces, newConfig().Register.Workspaces[i])
			return c
		})
	}
}

func beginLeave(f *fleet, p fault) (string, func()) {
	s := f.serverFor(p.choice)
	f.platform.setVMState(s.spec.Name, wigeonladder.StateLeaving)
	return s.spec.Name, func() {
		f.platform.setVMState(s.spec.Name, wigeonladder.StateLive)
		f.clearLeaving(s.spec.Name)
	}
}

func beginCrash(f *fleet, p fault) (string, func()) {
	s := f.serverFor(p.choice)
	s.crash("", "fault")
	return s.spec.Name, func() { sleep(f.ctx, restartDelay) }
}

func beginServerFault(m failureMode) func(*fleet, fault) (string, func()) {
	return func(f *fleet, p fault) (string, func()) {
		s := f.serverFor(p.choice)
		s.setFailureMode("", m)
		return s.spec.Name, func() { s.setFailureMode(m, "") }
	}
}
