package entry

import (
	"container/heap"
	"reflect"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// fleetView is what the fleet and the configuration state at one moment. It is
// immutable once it is in use.
type fleetView struct {
	services map[string]*serviceView
	servers  map[string]serverView
	weights  map[string]int
	zones    map[string]string
	members  []string
}

// serviceView is one service with the homes of its servers.
type serviceView struct {
	// serverCount is the number of servers that are not leaving.
	serverCount int
	// homes lists, by model, the daemons that could serve a request: this
	// daemon first, then those of its zone, then the others. The empty model
	// stands for any.
	homes map[string][]string
	// models holds the models of all servers that are not leaving.
	models map[string]bool
}

// serverView is one backend server and its home, which is empty if unknown.
type serverView struct {
	wigeonladder.Server
	home string
}

// hasModel reports whether the server has a model. Every server has the empty
// model, which stands for any.
func (s serverView) hasModel(model string) bool {
	return model == "" || slices.Contains(s.Models, model)
}

// readFleet returns a view of the services, servers, weights and members. It
// does not lock Queue.mu.
func (q *Queue) readFleet() *fleetView {
	c := q.options.Config()
	v := &fleetView{
		services: map[string]*serviceView{},
		servers:  map[string]serverView{},
		weights:  map[string]int{},
		zones:    map[string]string{},
		members:  q.options.Fleet.Members(),
	}
	for _, m := range c.Register.VMs {
		v.zones[m.Name] = m.Zone
	}
	for _, s := range c.Rules.Shares {
		v.weights[s.Workspace] = s.Weight
	}
	for _, s := range c.Register.Services {
		v.services[s.Name] = q.readService(v, s)
	}
	return v
}

// readService returns the view of one service and adds its servers to v.
func (q *Queue) readService(v *fleetView, s wigeonladder.Service) *serviceView {
	sv := &serviceView{homes: map[string][]string{}, models: map[string]bool{}}
	for _, r := range s.Servers {
		home, ok := q.options.Fleet.HomeOf(r)
		if !ok {
			home = ""
		}
		v.servers[r.Name] = serverView{Server: r, home: home}
		if q.options.Fleet.State(r.Name) == wigeonladder.StateLeaving {
			continue
		}
		sv.serverCount++
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

// distance ranks daemons: 0 for this one, 1 for those of its zone, 2 for the
// others.
func (q *Queue) distance(v *fleetView, vm string) int {
	switch {
	case vm == q.self:
		return 0
	case v.zones[vm] == q.options.Zone:
		return 1
	}
	return 2
}

// refresh applies changes of homes, server states, members and weights.
func (q *Queue) refresh() {
	q.update.Lock()
	defer q.update.Unlock()
	v := q.readFleet()
	now := time.Now()
	q.mu.Lock()
	if gap := now.Sub(q.lastRefresh); gap > pauseThreshold {
		q.grantsAcceptedFrom = now.Add(grantRefusalDelay)
		q.options.Journal.Note("", "resumed", "gap", gap.String())
	}
	q.lastRefresh = now
	old := q.view
	q.view = v
	changed := !reflect.DeepEqual(old, v)
	var homeChanged bool
	if changed {
		homeChanged = q.heldHomeChanged(old, v)
		q.updateWeights()
		for _, c := range q.homes {
			c.reportAll = true
			c.signalReport()
		}
		q.markAllChanged()
	}
	due := q.updateTakeoverAnswers(now)
	q.pruneHomes(now)
	q.mu.Unlock()
	if homeChanged || due {
		q.renew(!homeChanged)
	}
}

// heldHomeChanged reports whether the home of a held contract changed.
func (q *Queue) heldHomeChanged(old, v *fleetView) bool {
	for _, h := range q.held {
		s := h.contract.Server
		if old.servers[s].home != v.servers[s].home {
			return true
		}
	}
	return false
}

// updateWeights applies the weights of the view to all queues.
func (q *Queue) updateWeights() {
	for _, l := range q.services {
		for _, s := range l.workspaces {
			s.weight = q.view.weight(s.workspace)
		}
		heap.Init(&l.byLength)
	}
}

// weight returns the weight of a workspace, which is 1 without a rule.
func (v *fleetView) weight(workspace string) int { return max(1, v.weights[workspace]) }

// homes returns the daemons that could serve a model of a service.
func (v *fleetView) homes(service, model string) []string {
	s := v.services[service]
	if s == nil {
		return nil
	}
	return s.homes[model]
}
