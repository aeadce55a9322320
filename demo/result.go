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

// Trial describes one run of the loopback rig.
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

// Result is what a trial measured. A key that was not measured is absent.
type Result struct {
	Policy   string `json:"policy"`
	Workload string `json:"workload"`
	Seed     uint64 `json:"seed"`
	// Served and Refused count the requests of the measured window, of all
	// services.
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// Failed counts requests that may have run and got no whole answer.
	Failed int `json:"failed"`
	// Gap is the fairness gap in tokens per unit weight at the model service.
	Gap *float64 `json:"gap,omitempty"`
	// Utilisation is the tokens delivered while work waited, as a share of what
	// the register's slots give.
	Utilisation *float64 `json:"utilisation,omitempty"`
	// ControlBytesPerSecond is the control traffic sent, in bytes per second per daemon.
	ControlBytesPerSecond float64 `json:"control"`
	// ControlByMethod is the same by message.
	ControlByMethod map[string]float64 `json:"control_by"`
	// RetainedShare is the lowest share of its own service that a workspace keeps which
	// does not flood. It is measured in floods.
	RetainedShare *float64 `json:"kept,omitempty"`
	// RepeatedExecutions counts executions of a call that may not be repeated beyond the
	// first.
	RepeatedExecutions int `json:"doubled"`
	// WrongAnswers counts complete answers that were not the request's own.
	WrongAnswers int `json:"crossed"`

	// Accounts are what each workspace was owed and got at the model service.
	Accounts []Account `json:"accounts"`
}

// Account is what one workspace was owed and got, in tokens.
type Account struct {
	Workspace string  `json:"workspace"`
	Weight    float64 `json:"weight"`
	FairShare float64 `json:"owed"`
	Received  float64 `json:"got"`
}

// costPart is by how much the costs of the rig are smaller than those of a
// site. The times of the engines are real, so that a trial of 20 s still sees
// every workspace served many times.
const costPart = 5

// warmPart is the part of a trial that is warm-up.
const warmPart = 0.3

const (
	// drainTime is how long open requests may take at the end of a trial.
	drainTime = 5 * time.Second
	// floodDrain is the same in floods, where the retained service counts the
	// whole answers to all requests of the window. With 5 s, 0.58 of them were
	// cut short.
	floodDrain = 30 * time.Second
)

// Run runs a trial.
func (t Trial) Run(ctx context.Context) (Result, error) {
	site, w, err := t.plan()
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	rig, err := NewLoopbackFleet(ctx, site, t.Policy, t.Network)
	if err != nil {
		cancel()
		return Result{}, err
	}
	defer rig.Wait()
	defer cancel()
	rec := NewRecorder(site.Rules)
	before, began := rig.sent(), time.Now()
	once := rig.resend(ctx, w, t.Seed)
	RunWorkload(ctx, site, w, rig, rig, rec)
	seconds := time.Since(began).Seconds()
	once()
	if ctx.Err() != nil {
		return Result{}, errors.New("the trial was stopped")
	}
	res := t.result(rig, site, w, rec)
	daemons := float64(len(site.Register.VMs))
	res.ControlByMethod = map[string]float64{}
	for method, bytes := range rig.sent() {
		rate := float64(bytes-before[method]) / seconds / daemons
		res.ControlByMethod[method] = rate
		res.ControlBytesPerSecond += rate
	}
	return res, nil
}

// plan returns the site and the workload of the trial.
func (t Trial) plan() (Site, Workload, error) {
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
	site.LongCost /= costPart
	site.ShortCost /= costPart
	w, ok := site.Workload(name)
	if !ok {
		return site, w, errors.Errorf("the site has no workload %q", name)
	}
	total := time.Duration(max(t.Seconds, 1)) * time.Second
	warm := time.Duration(float64(total) * warmPart).Truncate(time.Second)
	w = w.WithSeed(t.Seed).WithTimes(warm, (total-warm)/4)
	w.DrainTime = drainTime
	if len(w.Flooders) > 0 {
		w.DrainTime = floodDrain
	}
	return site, w, nil
}

// sent returns the bytes that all daemons sent to each other, by message.
func (r *LoopbackFleet) sent() map[string]int64 {
	sum := map[string]int64{}
	for _, d := range r.running() {
		for method, c := range d.Traffic().Out {
			sum[method] += c.Bytes
		}
	}
	return sum
}

// onceCalls is the number of calls per workspace that may not be repeated. Each
// is sent twice with one ticket, at two entry daemons.
const onceCalls = 3

// resend sends calls that may not be repeated, each a second time at another
// entry daemon while the first may still run. The returned function waits for
// them.
func (r *LoopbackFleet) resend(ctx context.Context, w Workload, seed uint64) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		path := r.oncePath()
		vms := r.site.Register.VMs
		for i := range onceCalls {
			for j, workspace := range r.site.Register.Workspaces {
				if !sleep(ctx, w.SendDuration()/time.Duration(2*onceCalls*len(r.site.Register.Workspaces))) {
					return
				}
				first := r.callers[workspace.Name].WithAddress(r.entries[vms[j%len(vms)].Name])
				second := first.WithAddress(r.entries[vms[(j+1)%len(vms)].Name])
				ticket, err := first.Ticket(ctx, r.site.PlainService, "POST", path)
				if err != nil {
					continue
				}
				body := fmt.Sprintf("%s %d %d", workspace.Name, i, seed)
				again := make(chan struct{})
				go func() {
					defer close(again)
					_ = second.CallPlainService(ctx, "POST", r.site.PlainService, path, ticket, body)
				}()
				_ = first.CallPlainService(ctx, "POST", r.site.PlainService, path, ticket, body)
				<-again
			}
		}
	}()
	return func() { <-done }
}

// oncePath returns a path of the plain service that may not be repeated.
func (r *LoopbackFleet) oncePath() string {
	v, _ := r.site.Register.Service(r.site.PlainService)
	for _, route := range v.Routes {
		if route.AtMostOnce {
			return route.PathPrefix
		}
	}
	return ""
}

// doubled counts executions beyond the first of calls that may not be repeated.
func (r *LoopbackFleet) doubled() int {
	runs := map[string]int{}
	for _, d := range r.stand.PlainServices {
		for key, n := range d.AllRuns() {
			if strings.HasPrefix(key, r.oncePath()) {
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

// result gathers the measures of a run.
func (t Trial) result(r *LoopbackFleet, s Site, w Workload, rec *Recorder) Result {
	model, plain := rec.Report(s.ModelService), rec.Report(s.PlainService)
	res := Result{
		Policy:             t.Policy,
		Workload:           t.Workload,
		Seed:               t.Seed,
		Served:             model.Served + plain.Served,
		Refused:            model.Refused + plain.Refused,
		Failed:             model.Failed + plain.Failed,
		RepeatedExecutions: r.doubled(),
		WrongAnswers:       r.crossedCount(),
		Accounts:           rec.Accounts(s.ModelService),
	}
	if model.BackloggedWorkspaces > 1 {
		res.Gap = &model.Gap
	}
	if model.BusyFraction > 0 {
		u := model.ServiceRate / s.Capacity()
		res.Utilisation = &u
	}
	if len(w.Flooders) > 0 {
		res.RetainedShare = &model.RetainedShare
	}
	return res
}

func (r *LoopbackFleet) crossedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crossed
}

// Accounts returns what each workspace was owed and got at a service in the
// measured window, sorted by name.
func (r *Recorder) Accounts(service string) []Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	shares := w.fairShares()
	var l []Account
	for name, b := range w.books {
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
		part := 1.0
		if a.FairShare > 0 {
			part = a.Received / a.FairShare
		}
		_, _ = fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.2f\t\n", a.Workspace, a.Weight, a.FairShare, a.Received, part)
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

// hostOf returns the IP address of an address with a port.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
