package demo

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// clientsIfAllBacklogged is the number of clients that keep a workspace
	// backlogged when all workspaces are: twice the slots that the largest
	// workspace then gets.
	clientsIfAllBacklogged = 60
	// clientsIfFewBacklogged is the number of clients that keep a workspace
	// backlogged when few workspaces are: twice the slots of the register.
	clientsIfFewBacklogged = 2 * modelServers * serverSlots
	// lightShareFraction is the fraction of its fair share that a light workspace
	// requests.
	lightShareFraction = 0.3
	// floodFactor is the rate of a flood as a multiple of the capacity of the
	// fleet.
	floodFactor = 3
	// slotTokensPerSecond is the service rate of one slot of a model server.
	slotTokensPerSecond = 1 / 0.06
	// plainCallsPerSecond is the rate of calls to the plain service per
	// workspace.
	plainCallsPerSecond = 0.5
)

const (
	// warmUp gives the limiters time to converge: a limit rises by one in about
	// 20 s.
	warmUp = 100 * time.Second
	// windowUnit is the time T of the targets. Part of the fairness gap does not
	// depend on time and amounts to a few requests per workspace. T is long
	// enough that the fair share of a workspace of weight 1 is several times that
	// much.
	windowUnit = 150 * time.Second
	// drainTime lets the requests that wait at the end finish.
	drainTime = 400 * time.Second
	// faultStart and faultDuration place the faults in the measured window.
	faultStart    = warmUp + windowUnit
	faultDuration = 60 * time.Second
)

// Capacity returns the service rate of the model service at the slots of the
// register, in tokens per second.
func (s Site) Capacity() float64 { return modelServers * serverSlots * slotTokensPerSecond }

// Workloads returns the workloads of the site, in the order of the comparison
// table.
func (s Site) Workloads() []Workload {
	base := s.workload("backlog", s.unevenFractions, s.allWorkspaces()...)
	flooder := s.workspaceName(workspaceCount - 1)
	return []Workload{
		base,
		s.workload("worst spread", s.singleEntryFractions, s.allWorkspaces()...),
		s.workload("tenth", s.unevenFractions, 0, workspaceCount-2),
		s.flood("flood one", flooder, wigeonladder.UrgencyNormal),
		s.flood("flood batch", s.workspaceName(0), wigeonladder.UrgencyBatch),
		s.flood("flood urgent", s.workspaceName(0), wigeonladder.UrgencyHigh),
		base.withFault("daemon lost", Fault{Kind: FaultDaemonCrash, Target: s.Register.VMs[0].Name, At: faultStart, Duration: faultDuration}),
		base.withFault("zone cut", Fault{Kind: FaultZoneCut, Target: s.Register.Zones[1].Name, At: faultStart, Duration: faultDuration}),
		base.withFault("server slow", Fault{Kind: FaultServerSlow, Target: s.Register.Services[0].Servers[0].Name, At: faultStart, Duration: faultDuration, SlowFactor: 3}),
	}
}

// Workload returns the workload with the given name and whether it exists.
func (s Site) Workload(name string) (Workload, bool) {
	for _, w := range s.Workloads() {
		if w.Name == name {
			return w, true
		}
	}
	return Workload{}, false
}

// withFault returns a copy of the workload with another name and one more
// fault.
func (w Workload) withFault(name string, f Fault) Workload {
	w.Name = name
	w.Faults = append(append([]Fault(nil), w.Faults...), f)
	return w
}

func (s Site) workspaceName(i int) string { return s.Register.Workspaces[i].Name }

func (s Site) allWorkspaces() []int {
	list := make([]int, workspaceCount)
	for i := range list {
		list[i] = i
	}
	return list
}

// workload returns a workload in which the workspaces with the given indexes
// are backlogged and the others are light. The function fractions returns the
// EntryFractions of a workspace.
func (s Site) workload(name string, fractions func(int) []float64, backlogged ...int) Workload {
	w := Workload{Name: name, WarmUp: warmUp, WindowUnit: windowUnit, DrainTime: drainTime}
	clients := clientsIfFewBacklogged
	if len(backlogged) == workspaceCount {
		clients = clientsIfAllBacklogged
	}
	isBacklogged := map[int]bool{}
	for _, i := range backlogged {
		isBacklogged[i] = true
	}
	for i := range workspaceCount {
		x := RequestSource{Workspace: s.workspaceName(i), Service: s.ModelService, Urgency: wigeonladder.UrgencyNormal, MeanCost: s.meanCost(i), EntryFractions: fractions(i)}
		if isBacklogged[i] {
			x.Clients = clients
		} else {
			x.Rate = lightShareFraction * s.fairShare(i) / x.MeanCost
		}
		plain := RequestSource{Workspace: x.Workspace, Service: s.PlainService, Urgency: wigeonladder.UrgencyNormal, Rate: plainCallsPerSecond, EntryFractions: x.EntryFractions}
		w.Sources = append(w.Sources, x, plain)
	}
	return w
}

// flood returns a workload in which two workspaces are backlogged, the others
// are light, and the given workspace sends more than the capacity of the fleet
// from the end of the warm-up on.
func (s Site) flood(name, workspace string, u wigeonladder.Urgency) Workload {
	w := s.workload(name, s.unevenFractions, 1, 4)
	rate := floodFactor * s.Capacity() / s.ShortCost
	w.Sources = append(w.Sources, RequestSource{
		Workspace:      workspace,
		Service:        s.ModelService,
		Urgency:        u,
		Rate:           rate,
		MeanCost:       s.ShortCost,
		From:           w.WarmUp,
		EntryFractions: s.unevenFractions(0),
	})
	w.Flooders = []string{workspace}
	return w
}

// fairShare returns the fair share of a workspace, in tokens per second, when
// all workspaces are backlogged.
func (s Site) fairShare(i int) float64 {
	sum := 0
	for j := range workspaceCount {
		sum += weightOf(j)
	}
	return s.Capacity() * float64(weightOf(i)) / float64(sum)
}

// meanCost returns the mean cost of the requests of a workspace, in tokens.
// Every other workspace sends long requests.
func (s Site) meanCost(i int) float64 {
	if i%2 == 0 {
		return s.LongCost
	}
	return s.ShortCost
}

// unevenFractions distributes the requests of a workspace over up to three
// entry VMs.
func (s Site) unevenFractions(i int) []float64 {
	n := len(s.Register.VMs)
	fractions := make([]float64, n)
	fractions[i%n] += 0.7
	fractions[(i+1)%n] += 0.2
	fractions[(i+i/n)%n] += 0.1
	return fractions
}

// singleEntryFractions sends all requests of a workspace to one entry VM.
func (s Site) singleEntryFractions(i int) []float64 {
	fractions := make([]float64, len(s.Register.VMs))
	fractions[i%len(fractions)] = 1
	return fractions
}
