package entry

import (
	"container/heap"
	"reflect"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// view is what the fleet and the configuration say at one moment. It is not
// changed once it is in use.
type view struct {
	services map[string]*serviceView
	servers  map[string]serverView
	weights  map[string]int
	zones    map[string]string
	members  []string
}

// serviceView is one service with the homes of its servers.
type serviceView struct {
	// servers is the number of servers that are not leaving.
	servers int
	// homes lists, by model, the daemons that could serve; the empty model
	// covers all. The own daemon is first, then those of the own zone.
	homes map[string][]string
	// models names the models of all servers that are not leaving.
	models map[string]bool
}

// serverView is one backend server.
type serverView struct {
	wigeonladder.Server
	home string
}

// has reports whether the server has a model; every server has the empty one.
func (s serverView) has(model string) bool {
	return model == "" || slices.Contains(s.Models, model)
}

// look asks the fleet for the homes. It takes no lock.
func (q *Queue) look() *view {
	c := q.o.Config()
	v := &view{
		services: map[string]*serviceView{},
		servers:  map[string]serverView{},
		weights:  map[string]int{},
		zones:    map[string]string{},
		members:  q.o.Fleet.Members(),
	}
	for _, m := range c.Register.VMs {
		v.zones[m.Name] = m.Zone
	}
	for _, s := range c.Rules.Shares {
		v.weights[s.Workspace] = s.Weight
	}
	for _, s := range c.Register.Services {
		v.services[s.Name] = q.lookService(v, s)
	}
	return v
}

// lookService asks for the homes of one service.
func (q *Queue) lookService(v *view, s wigeonladder.Service) *serviceView {
	sv := &serviceView{homes: map[string][]string{}, models: map[string]bool{}}
	for _, r := range s.Servers {
		home, ok := q.o.Fleet.HomeOf(r)
		if !ok {
			home = ""
		}
		v.servers[r.Name] = serverView{Server: r, home: home}
		if q.o.Fleet.State(r.Name) == wigeonladder.StateLeaving {
			continue
		}
		sv.servers++
		for _, m := range append([]string{""}, r.Models...) {
			sv.models[m] = true
			if ok && !slices.Contains(sv.homes[m], home) {
				sv.homes[m] = append(sv.homes[m], home)
			}
		}
	}
	for _, homes := range sv.homes {
		slices.SortStableFunc(homes, func(a, b string) int { return q.distance(v, a) - q.distance(v, b) })
	}
	return sv
}

// distance ranks daemons: this one, those of its zone, the others.
func (q *Queue) distance(v *view, vm string) int {
	switch {
	case vm == q.self:
		return 0
	case v.zones[vm] == q.o.Zone:
		return 1
	}
	return 2
}

// refresh applies changes of homes, states, members and weights.
func (q *Queue) refresh() {
	q.update.Lock()
	defer q.update.Unlock()
	v := q.look()
	now := time.Now()
	q.mu.Lock()
	if gap := now.Sub(q.beat); gap > pauseGap {
		q.trusted = now.Add(distrust)
		q.o.Journal.Note("", "resumed", "gap", gap.String())
	}
	q.beat = now
	old := q.view
	q.view = v
	changed := !reflect.DeepEqual(old, v)
	var moved bool
	if changed {
		moved = q.moved(old, v)
		q.reweigh()
		for _, c := range q.contacts {
			c.full = true
			c.wake()
		}
		q.dirtyAll()
	}
	due := q.settle(now)
	q.prune(now)
	q.mu.Unlock()
	if moved || due {
		q.renew(!moved)
	}
}

// moved reports whether the home of a contract in use changed.
func (q *Queue) moved(old, v *view) bool {
	for _, h := range q.held {
		s := h.contract.Server
		if old.servers[s].home != v.servers[s].home {
			return true
		}
	}
	return false
}

// reweigh applies the weights to all queues.
func (q *Queue) reweigh() {
	for _, l := range q.lines {
		for _, s := range l.shelves {
			s.weight = q.view.weight(s.workspace)
		}
		heap.Init(&l.longest)
	}
}

// weight returns the weight of a workspace, 1 without a rule.
func (v *view) weight(workspace string) int { return max(1, v.weights[workspace]) }

// homes returns the daemons that could serve a model of a service.
func (v *view) homes(service, model string) []string {
	s := v.services[service]
	if s == nil {
		return nil
	}
	return s.homes[model]
}
