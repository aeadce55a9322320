package campaign

import (
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// The times and the load of the final checks.
const (
	// recoveryDeadline is how long the fleet may take to recover from the last
	// fault.
	recoveryDeadline = 15 * time.Second
	// lostContractDelay distinguishes a lost contract from one whose grant or
	// release is under way. Releases are repeated every second.
	lostContractDelay = 3 * time.Second
	// callersDeadline limits the wait for the last callers.
	callersDeadline = 5 * time.Minute
	// fillTokens makes the requests of the final round run longer than fillTime,
	// so that they overlap.
	fillTokens = 400
	fillTime   = 4 * time.Second
)

// checkFleetState checks that all daemons are members, have the newest revision
// in force and agree on the homes.
func (f *fleet) checkFleetState() {
	newest := f.config()
	for _, n := range f.nodes {
		core, _ := n.runningDaemon()
		if core == nil {
			f.history.violate(checkRecovery, n.vm.Name, "no daemon runs")
			continue
		}
		if m := core.Members(); len(m) != len(f.nodes) {
			f.history.violate(checkRecovery, n.vm.Name, "members %v", m)
		}
		if r := core.Config().Revision; r != newest.Revision {
			f.history.violate(checkRevision, n.vm.Name, "revision %d in force, newest is %d", r, newest.Revision)
		}
	}
	for _, s := range f.servers {
		f.checkHome(s)
	}
}

// checkHome checks that all daemons agree on the home of a server and that only
// one of them counts its slots.
func (f *fleet) checkHome(s *server) {
	counting := 0
	homes := map[string]bool{}
	for _, n := range f.nodes {
		core, _ := n.runningDaemon()
		if core == nil {
			continue
		}
		home, _ := core.HomeOf(s.spec)
		homes[home] = true
		for _, d := range core.HomeDump().Servers {
			if d.Name == s.spec.Name {
				counting++
			}
		}
	}
	if len(homes) != 1 || counting != 1 {
		f.history.violate(checkRecovery, s.spec.Name, "homes %v, %d daemons count its slots", homes, counting)
	}
}

// lostContracts returns the contracts that only their home or only their entry
// daemon has, and those of requests that have ended, each with a description.
func (f *fleet) lostContracts() map[wigeonladder.ContractID]string {
	counted, held := map[wigeonladder.ContractID]string{}, map[wigeonladder.ContractID]string{}
	lost := map[wigeonladder.ContractID]string{}
	for _, n := range f.nodes {
		core, _ := n.runningDaemon()
		if core == nil {
			continue
		}
		for _, c := range core.HomeDump().Contracts {
			counted[c.Contract.ID] = n.vm.Name + " counts a slot of " + c.Contract.Server + " for " + c.Contract.Entry
		}
		for _, h := range core.EntryDump().Held {
			held[h.Contract.ID] = n.vm.Name + " holds a slot of " + h.Contract.Server + " for " + h.Request
			if f.requestEnded(h.Request) {
				lost[h.Contract.ID] = held[h.Contract.ID] + ", which has ended"
			}
		}
	}
	for id, text := range counted {
		if held[id] == "" {
			lost[id] = text + ", which does not hold it"
		}
	}
	for id, text := range held {
		if counted[id] == "" {
			lost[id] = text + ", which no home counts"
		}
	}
	return lost
}

// requestEnded reports whether the sending of a request has ended. It returns
// false for an at-most-once call, whose run outlives the sending that started
// it.
func (f *fleet) requestEnded(request string) bool {
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	for _, s := range f.history.sendings {
		if s.request == request {
			return !s.call.atMostOnce
		}
	}
	return false
}

// checkLostContracts checks that no contract stays lost.
func (f *fleet) checkLostContracts() {
	before := f.lostContracts()
	sleep(f.ctx, lostContractDelay)
	for id, text := range f.lostContracts() {
		if before[id] != "" {
			f.history.violate(checkLost, "", "%v: %s", id, text)
		}
	}
}

// checkIdle checks that no contract is counted or held once all callers are
// done.
func (f *fleet) checkIdle() {
	for _, n := range f.nodes {
		core, _ := n.runningDaemon()
		if core == nil {
			continue
		}
		for _, c := range core.HomeDump().Contracts {
			f.history.violate(checkLost, n.vm.Name, "%v on %s is counted in an idle fleet", c.Contract.ID, c.Contract.Server)
		}
		for _, h := range core.EntryDump().Held {
			f.history.violate(checkLost, n.vm.Name, "%v on %s is held for %s in an idle fleet", h.Contract.ID, h.Contract.Server, h.Request)
		}
	}
}

// checkFill checks that a final round of requests can use all slots of the
// model service.
func (f *fleet) checkFill() {
	slots := 0
	for _, n := range f.nodes {
		if core, _ := n.runningDaemon(); core != nil {
			for _, s := range core.HomeDump().Servers {
				if s.Service == serviceModel {
					slots += s.Limit
				}
			}
		}
	}
	var all sync.WaitGroup
	for i := range slots {
		c := f.addCall(&call{name: "fill" + itoa(i), workspace: workspaceName(i), service: serviceModel, tokens: fillTokens})
		all.Go(func() { f.send(f.pickNode(), c, "") })
	}
	sleep(f.ctx, fillTime)
	running := 0
	for _, s := range f.servers {
		if s.kind == wigeonladder.KindModel {
			running += s.runningCount()
		}
	}
	f.history.addCount("slots filled", running)
	if running < slots {
		f.history.violate(checkLost, "", "%d of %d slots run after a round of as many requests", running, slots)
	}
	all.Wait()
}
