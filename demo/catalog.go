package demo

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// backlogClients keeps a workspace backlogged when all are: twice the slots
	// that the largest one then gets.
	backlogClients = 60
	// fewClients keeps a workspace backlogged when few are: twice the slots of
	// the register.
	fewClients = 2 * modelServers * serverSlots
	// lightPart is the part of its fair share that a light workspace uses.
	lightPart = 0.3
	// floodFactor is how often a flood exceeds the capacity of the fleet.
	floodFactor = 3
	// tokensPerSlot is the service rate of one slot of a model server in
	// tokens per second.
	tokensPerSlot = 1 / 0.06
	// deskRate is the rate of plain calls of a workspace per second.
	deskRate = 0.5
)

const (
	// warmUp covers the learning of the limits, which rise by one in about 20 s.
	warmUp = 100 * time.Second
	// unit is T of the targets. The gap has a part that does not depend on time,
	// of a few requests per workspace; in T a workspace of weight 1 is owed
	// several times that much.
	unit = 150 * time.Second
	// drain lets the requests that wait at the end finish.
	drain = 400 * time.Second
	// faultAt and faultFor place the faults in the measured window.
	faultAt  = warmUp + unit
	faultFor = 60 * time.Second
)

// Capacity returns the service rate of the model service at the register's
// slots, in tokens per second.
func (s Site) Capacity() float64 { return modelServers * serverSlots * tokensPerSlot }

// Workloads returns the workloads of a site, in the order of the table.
func (s Site) Workloads() []Workload {
	base := s.workload("backlog", s.uneven, s.all()...)
	flooder := s.workspace(workspaceSize - 1)
	return []Workload{
		base,
		s.workload("worst spread", s.single, s.all()...),
		s.workload("tenth", s.uneven, 0, workspaceSize-2),
		s.flood("flood one", flooder, wigeonladder.UrgencyNormal),
		s.flood("flood batch", s.workspace(0), wigeonladder.UrgencyBatch),
		s.flood("flood urgent", s.workspace(0), wigeonladder.UrgencyHigh),
		base.with("daemon lost", Fault{Kind: FaultDaemonCrash, Target: s.Register.VMs[0].Name, At: faultAt, Duration: faultFor}),
		base.with("zone cut", Fault{Kind: FaultZoneCut, Target: s.Register.Zones[1].Name, At: faultAt, Duration: faultFor}),
		base.with("server slow", Fault{Kind: FaultServerSlow, Target: s.Register.Services[0].Servers[0].Name, At: faultAt, Duration: faultFor, SlowFactor: 3}),
	}
}

// Workload returns the workload with the given name.
func (s Site) Workload(name string) (Workload, bool) {
	for _, w := range s.Workloads() {
		if w.Name == name {
			return w, true
		}
	}
	return Workload{}, false
}

func (w Workload) with(name string, f Fault) Workload {
	w.Name = name
	w.Faults = append(append([]Fault(nil), w.Faults...), f)
	return w
}

func (s Site) workspace(i int) string { return s.Register.Workspaces[i].Name }

func (s Site) all() []int {
	list := make([]int, workspaceSize)
	for i := range list {
		list[i] = i
	}
	return list
}

// workload returns one in which the workspaces with the given numbers are
// backlogged and the others are light.
func (s Site) workload(name string, spread func(int) []float64, backlogged ...int) Workload {
	w := Workload{Name: name, WarmUp: warmUp, WindowUnit: unit, DrainTime: drain}
	clients := fewClients
	if len(backlogged) == workspaceSize {
		clients = backlogClients
	}
	heavy := map[int]bool{}
	for _, i := range backlogged {
		heavy[i] = true
	}
	for i := range workspaceSize {
		x := RequestSource{Workspace: s.workspace(i), Service: s.ModelService, Urgency: wigeonladder.UrgencyNormal, MeanCost: s.mean(i), EntryFractions: spread(i)}
		if heavy[i] {
			x.Clients = clients
		} else {
			x.Rate = lightPart * s.share(i) / x.MeanCost
		}
		desk := RequestSource{Workspace: x.Workspace, Service: s.PlainService, Urgency: wigeonladder.UrgencyNormal, Rate: deskRate, EntryFractions: x.EntryFractions}
		w.Sources = append(w.Sources, x, desk)
	}
	return w
}

// flood returns a workload in which two workspaces are backlogged, the others
// are light, and one floods beyond the fleet's capacity from the end of the
// warm-up on.
func (s Site) flood(name, workspace string, u wigeonladder.Urgency) Workload {
	w := s.workload(name, s.uneven, 1, 4)
	rate := floodFactor * s.Capacity() / s.ShortCost
	w.Sources = append(w.Sources, RequestSource{
		Workspace:      workspace,
		Service:        s.ModelService,
		Urgency:        u,
		Rate:           rate,
		MeanCost:       s.ShortCost,
		From:           w.WarmUp,
		EntryFractions: s.uneven(0),
	})
	w.Flooders = []string{workspace}
	return w
}

// share is the fair share of a workspace in tokens per second when everybody is
// backlogged.
func (s Site) share(i int) float64 {
	sum := 0
	for j := range workspaceSize {
		sum += weightOf(j)
	}
	return s.Capacity() * float64(weightOf(i)) / float64(sum)
}

// mean is the mean cost of a workspace's requests: every other one has long
// work.
func (s Site) mean(i int) float64 {
	if i%2 == 0 {
		return s.LongCost
	}
	return s.ShortCost
}

// uneven spreads the requests of a workspace over three entry VMs.
func (s Site) uneven(i int) []float64 {
	n := len(s.Register.VMs)
	spread := make([]float64, n)
	spread[i%n] += 0.7
	spread[(i+1)%n] += 0.2
	spread[(i+i/n)%n] += 0.1
	return spread
}

// single sends all requests of a workspace to one entry VM.
func (s Site) single(i int) []float64 {
	spread := make([]float64, len(s.Register.VMs))
	spread[i%len(spread)] = 1
	return spread
}
