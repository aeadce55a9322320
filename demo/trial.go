package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Trial describes one run of a workload on a LoopbackFleet.
type Trial struct {
	// Workload is guild, tlaloc, flood-least or flood-urgent.
	Workload string
	// Policy is fleet, alone, split or central.
	Policy string
	Seed   uint64
	// Seconds is the time in which requests are sent.
	Seconds int
	// Network is the loopback network, such as "127.9.1".
	Network string
}

// Result holds the measures of a trial. A measure that does not apply to the
// trial is nil and is left out of the JSON object.
type Result struct {
	Policy   string `json:"policy"`
	Workload string `json:"workload"`
	Seed     uint64 `json:"seed"`
	// Served and Refused count the requests to all services that were sent in the
	// measured window.
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// Failed counts requests that may have run and got no complete answer.
	Failed int `json:"failed"`
	// Gap is the fairness gap at the model service in tokens per unit weight.
	Gap *float64 `json:"gap,omitempty"`
	// Utilisation is the rate of the tokens delivered while requests waited,
	// divided by Capacity of the site.
	Utilisation *float64 `json:"utilisation,omitempty"`
	// ControlBytesPerSecond is the rate of control traffic that a daemon sends.
	ControlBytesPerSecond float64 `json:"control"`
	// ControlByMethod is the same, by method of the peer protocol.
	ControlByMethod map[string]float64 `json:"control_by"`
	// RetainedShare is RetainedShare of the report for the model service. It is
	// measured in floods only.
	RetainedShare *float64 `json:"kept,omitempty"`
	// RepeatedExecutions counts the executions beyond the first of calls that may
	// run at most once.
	RepeatedExecutions int `json:"doubled"`
	// WrongAnswers counts complete answers that do not belong to the request.
	WrongAnswers int `json:"crossed"`

	// Accounts holds the service of each workspace at the model service.
	Accounts []Account `json:"accounts"`
}

// Account is the fair share of one workspace and the service that it received,
// in tokens.
type Account struct {
	Workspace string  `json:"workspace"`
	Weight    float64 `json:"weight"`
	FairShare float64 `json:"owed"`
	Received  float64 `json:"got"`
}

// costDivisor divides the costs of a site for a trial. The engines run in real
// time, and smaller requests let a trial of 20 s serve every workspace many
// times.
const costDivisor = 5

// warmUpFraction is the fraction of a trial before the measured window.
const warmUpFraction = 0.3

const (
	// trialDrainTime limits the time of the open requests at the end of a trial.
	trialDrainTime = 5 * time.Second
	// floodTrialDrainTime is the same for floods, where the retained share counts
	// the answers to all requests of the window. With a limit of 5 s, a fraction
	// of 0.58 of them was cut short.
	floodTrialDrainTime = 30 * time.Second
)

// Run runs the trial. It fails if the context ends first.
func (t Trial) Run(ctx context.Context) (Result, error) {
	site, w, err := t.siteAndWorkload()
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	fleet, err := NewLoopbackFleet(ctx, site, t.Policy, t.Network)
	if err != nil {
		cancel()
		return Result{}, err
	}
	defer fleet.Wait()
	defer cancel()
	rec := NewRecorder(site.Rules)
	before, began := fleet.sentBytes(), time.Now()
	waitForCalls := fleet.sendAtMostOnceCalls(ctx, w, t.Seed)
	RunWorkload(ctx, site, w, fleet, fleet, rec)
	seconds := time.Since(began).Seconds()
	waitForCalls()
	if ctx.Err() != nil {
		return Result{}, errors.New("the trial was stopped")
	}
	res := t.result(fleet, site, w, rec)
	daemons := float64(len(site.Register.VMs))
	res.ControlByMethod = map[string]float64{}
	for method, bytes := range fleet.sentBytes() {
		rate := float64(bytes-before[method]) / seconds / daemons
		res.ControlByMethod[method] = rate
		res.ControlBytesPerSecond += rate
	}
	return res, nil
}

// siteAndWorkload returns the site and the workload of the trial.
func (t Trial) siteAndWorkload() (Site, Workload, error) {
	site, name := Guild(), "backlog"
	switch t.Workload {
	case "guild":
	case "tlaloc":
		site = Tlaloc()
	case "flood-least":
		name = "flood batch"
	case "flood-urgent":
		name = "flood urgent"
	default:
		return site, Workload{}, errors.Errorf("workload %q is not one of guild, tlaloc, flood-least, flood-urgent", t.Workload)
	}
	site.LongCost /= costDivisor
	site.ShortCost /= costDivisor
	w, ok := site.Workload(name)
	if !ok {
		return site, w, errors.Errorf("the site has no workload %q", name)
	}
	total := time.Duration(max(t.Seconds, 1)) * time.Second
	warm := time.Duration(float64(total) * warmUpFraction).Truncate(time.Second)
	w = w.WithSeed(t.Seed).WithTimes(warm, (total-warm)/4)
	w.DrainTime = trialDrainTime
	if len(w.Flooders) > 0 {
		w.DrainTime = floodTrialDrainTime
	}
	return site, w, nil
}

// sentBytes returns the bytes that all daemons sent to each other, by method.
func (r *LoopbackFleet) sentBytes() map[string]int64 {
	sum := map[string]int64{}
	for _, d := range r.runningDaemons() {
		for method, c := range d.Traffic().Out {
			sum[method] += c.Bytes
		}
	}
	return sum
}

// atMostOnceCalls is the number of at-most-once calls per workspace. Each is
// sent twice with one ticket, to two entry daemons.
const atMostOnceCalls = 3

// sendAtMostOnceCalls sends at-most-once calls in the background, each to two
// entry daemons at the same time. The returned function waits for them.
func (r *LoopbackFleet) sendAtMostOnceCalls(ctx context.Context, w Workload, seed uint64) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		path := r.atMostOncePath()
		vms := r.site.Register.VMs
		for i := range atMostOnceCalls {
			for j, workspace := range r.site.Register.Workspaces {
				if !sleep(ctx, w.SendDuration()/time.Duration(2*atMostOnceCalls*len(r.site.Register.Workspaces))) {
					return
				}
				first := r.callers[workspace.Name].WithAddress(r.callerAddresses[vms[j%len(vms)].Name])
				second := first.WithAddress(r.callerAddresses[vms[(j+1)%len(vms)].Name])
				ticket, err := first.Ticket(ctx, r.site.PlainService, "POST", path)
				if err != nil {
					continue
				}
				body := fmt.Sprintf("%s %d %d", workspace.Name, i, seed)
				secondDone := make(chan struct{})
				go func() {
					defer close(secondDone)
					_ = second.CallPlainService(ctx, "POST", r.site.PlainService, path, ticket, body)
				}()
				_ = first.CallPlainService(ctx, "POST", r.site.PlainService, path, ticket, body)
				<-secondDone
			}
		}
	}()
	return func() { <-done }
}

// atMostOncePath returns a path of the plain service whose calls may run at
// most once.
func (r *LoopbackFleet) atMostOncePath() string {
	v, _ := r.site.Register.Service(r.site.PlainService)
	for _, route := range v.Routes {
		if route.AtMostOnce {
			return route.PathPrefix
		}
	}
	return ""
}

// repeatedExecutions counts the executions beyond the first of the at-most-once
// calls.
func (r *LoopbackFleet) repeatedExecutions() int {
	runs := map[string]int{}
	for _, d := range r.standIns.PlainServices {
		for key, n := range d.AllRuns() {
			if strings.HasPrefix(key, r.atMostOncePath()) {
				runs[key] += n
			}
		}
	}
	extra := 0
	for _, n := range runs {
		extra += n - 1
	}
	return extra
}

// result collects the measures of a run.
func (t Trial) result(r *LoopbackFleet, s Site, w Workload, rec *Recorder) Result {
	modelReport, plainReport := rec.Report(s.ModelService), rec.Report(s.PlainService)
	res := Result{
		Policy:             t.Policy,
		Workload:           t.Workload,
		Seed:               t.Seed,
		Served:             modelReport.Served + plainReport.Served,
		Refused:            modelReport.Refused + plainReport.Refused,
		Failed:             modelReport.Failed + plainReport.Failed,
		RepeatedExecutions: r.repeatedExecutions(),
		WrongAnswers:       r.wrongAnswerCount(),
		Accounts:           rec.Accounts(s.ModelService),
	}
	if modelReport.BackloggedWorkspaces > 1 {
		res.Gap = &modelReport.Gap
	}
	if modelReport.BusyFraction > 0 {
		u := modelReport.ServiceRate / s.Capacity()
		res.Utilisation = &u
	}
	if len(w.Flooders) > 0 {
		res.RetainedShare = &modelReport.RetainedShare
	}
	return res
}

func (r *LoopbackFleet) wrongAnswerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wrongAnswers
}

// Accounts returns the fair share and the received service of each workspace at
// a service in the measured window, sorted by name.
func (r *Recorder) Accounts(service string) []Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	shares := w.fairShares()
	var l []Account
	for name, b := range w.records {
		l = append(l, Account{Workspace: name, Weight: r.weight(name), FairShare: shares[name], Received: w.received(b)})
	}
	slices.SortFunc(l, func(a, b Account) int { return strings.Compare(a.Workspace, b.Workspace) })
	return l
}

// Print writes the result as a table for people.
func (r Result) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "workspace\tweight\towed (tokens)\tgot (tokens)\tgot/owed\t")
	for _, a := range r.Accounts {
		ratio := 1.0
		if a.FairShare > 0 {
			ratio = a.Received / a.FairShare
		}
		_, _ = fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.2f\t\n", a.Workspace, a.Weight, a.FairShare, a.Received, ratio)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	optional := func(v *float64, unit string) string {
		if v == nil {
			return "not measured"
		}
		return fmt.Sprintf("%.3g%s", *v, unit)
	}
	_, _ = fmt.Fprintf(out, "\npolicy %s, workload %s, seed %d\n", r.Policy, r.Workload, r.Seed)
	_, _ = fmt.Fprintf(out, "served %d, refused %d, failed %d, crossed %d, doubled %d\n", r.Served, r.Refused, r.Failed, r.WrongAnswers, r.RepeatedExecutions)
	_, _ = fmt.Fprintf(out, "gap %s, utilisation %s, kept %s, control %.0f bytes/s per daemon\n",
		optional(r.Gap, " tokens per weight"), optional(r.Utilisation, ""), optional(r.RetainedShare, ""), r.ControlBytesPerSecond)
	return nil
}

// hostOf returns the host of an address with a port.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
