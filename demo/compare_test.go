package demo

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/wigeonladder/wigeonladder/policy"
)

var (
	seedsFlag    = flag.Int("seeds", 0, "number of seeds of the full comparison; 0 for the short one")
	policiesFlag = flag.String("policies", "alone,split,central,fleet", "policies of the full comparison")
	unitFlag     = flag.Duration("unit", windowUnit, "time T of the full comparison")
	onlyFlag     = flag.String("only", "", "part of the names of the workloads of the full comparison")
)

const (
	// queueLimit is the number of requests that may wait at one daemon.
	queueLimit = 1000
	// exchangePeriod is the time between two exchanges of charges.
	exchangePeriod = time.Second
)

// policies returns the names of the policies of the full comparison.
func policies() []string { return strings.Split(*policiesFlag, ",") }

// policyResult is the report of one run of a policy.
type policyResult struct {
	policy string
	seed   uint64
	report Report
}

// runPolicy runs a workload under a policy on virtual time.
func runPolicy(t *testing.T, s Site, w Workload, name string, o MemoryFleetOptions) Report {
	t.Helper()
	var rep Report
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		m := NewMemoryTarget(ctx, s, 1)
		m.SetPolicy(newPolicy(ctx, m, name, o))
		rec := NewRecorder(s.Rules)
		RunWorkload(ctx, s, w, m, m, rec)
		rep = rec.Report(s.ModelService)
	})
	return rep
}

func newPolicy(ctx context.Context, m *MemoryTarget, name string, o MemoryFleetOptions) policy.Policy {
	switch name {
	case "alone":
		return policy.NewAlone(m.PolicyOptions(queueLimit))
	case "split":
		return policy.NewSplit(m.PolicyOptions(queueLimit))
	case "central":
		return policy.NewCentral(m.PolicyOptions(queueLimit))
	}
	o.QueueLimit = queueLimit
	if o.ExchangePeriod == 0 {
		o.ExchangePeriod = exchangePeriod
	}
	return NewMemoryFleet(ctx, m, o)
}

// compare runs the policies with the seeds from 1 on, in parallel.
func compare(t *testing.T, s Site, w Workload, seeds int, names []string) []policyResult {
	t.Helper()
	var (
		mu   sync.Mutex
		list []policyResult
	)
	t.Run(s.Name+" "+w.Name, func(t *testing.T) {
		for _, name := range names {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprintf("%s seed %d", name, seed+1), func(t *testing.T) {
					t.Parallel()
					rep := runPolicy(t, s, w.WithSeed(seed+1), name, MemoryFleetOptions{})
					mu.Lock()
					defer mu.Unlock()
					list = append(list, policyResult{name, seed + 1, rep})
				})
			}
		}
	})
	slices.SortFunc(list, func(a, b policyResult) int { return int(a.seed) - int(b.seed) })
	return list
}

// valuesOf returns one measure of all runs of a policy.
func valuesOf(list []policyResult, policy string, f func(Report) float64) []float64 {
	var out []float64
	for _, r := range list {
		if r.policy == policy {
			out = append(out, f(r.report))
		}
	}
	return out
}

// formatRange formats the mean, the lowest and the highest value.
func formatRange(list []float64) string {
	if len(list) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g (%.3g-%.3g)", mean(list), slices.Min(list), slices.Max(list))
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// printTable prints a row per policy with the mean, the lowest and the highest
// value of each measure over the seeds.
func printTable(s Site, w Workload, list []policyResult) {
	out := &strings.Builder{}
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "\n%s: %s\tbacklogged\tgap\tlast/first T\tutilisation\tbusy\tretained\tserved\trefused\tfailed\tunended\tworst wait s\n", s.Name, w.Name)
	for _, name := range policies() {
		get := func(f func(Report) float64) string { return formatRange(valuesOf(list, name, f)) }
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", name,
			get(func(r Report) float64 { return float64(r.BackloggedWorkspaces) }),
			get(func(r Report) float64 { return r.Gap }),
			get(func(r Report) float64 { return r.GapLastUnit / r.GapFirstUnit }),
			get(func(r Report) float64 { return r.ServiceRate / s.Capacity() }),
			get(func(r Report) float64 { return r.BusyFraction }),
			get(func(r Report) float64 { return r.RetainedShare }),
			get(func(r Report) float64 { return float64(r.Served) }),
			get(func(r Report) float64 { return float64(r.Refused) }),
			get(func(r Report) float64 { return float64(r.Failed) }),
			get(func(r Report) float64 { return float64(r.Unfinished) }),
			get(func(r Report) float64 { return r.LongestWait.Seconds() }))
	}
	tw.Flush()
	os.Stdout.WriteString(out.String())
}

// TestPolicies prints the measures of all policies for all workloads:
//
//	go test ./demo -run TestPolicies -v -args -seeds 5
func TestPolicies(t *testing.T) {
	if *seedsFlag == 0 {
		t.Skip("the full comparison runs with -args -seeds N")
	}
	for _, s := range []Site{Guild(), Tlaloc()} {
		for _, w := range s.Workloads() {
			if !strings.Contains(s.Name+" "+w.Name, *onlyFlag) {
				continue
			}
			w = w.WithTimes(w.WarmUp, *unitFlag)
			printTable(s, w, compare(t, s, w, *seedsFlag, policies()))
		}
	}
}
