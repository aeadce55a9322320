package demo

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortSeeds is the number of seeds of the comparison of the ordinary tests.
const shortSeeds = 3

// checkAtMost fails the test unless a measure is at most a limit.
func checkAtMost(t *testing.T, what string, got, most float64) {
	t.Helper()
	t.Logf("%s: %.4g, at most %.4g", what, got, most)
	if !(got <= most) {
		t.Errorf("%s is %.4g, must be at most %.4g", what, got, most)
	}
}

// checkAtLeast fails the test unless a measure is at least a limit.
func checkAtLeast(t *testing.T, what string, got, least float64) {
	t.Helper()
	t.Logf("%s: %.4g, at least %.4g", what, got, least)
	if !(got >= least) {
		t.Errorf("%s is %.4g, must be at least %.4g", what, got, least)
	}
}

func gap(r Report) float64         { return r.Gap }
func serviceRate(r Report) float64 { return r.ServiceRate }
func gapGrowth(r Report) float64   { return r.GapLastUnit / r.GapFirstUnit }

// checkBounds fails the test unless the gap and the waits of a run are within
// their bounds.
func checkBounds(t *testing.T, s Site, r Report) {
	t.Helper()
	b := s.GapBoundTerms(exchangePeriod)
	checkAtMost(t, "gap", r.Gap, GapBound(b))
	worst := 0.0
	for i := range workspaceCount {
		most := s.WaitBound(b, float64(weightOf(i)))
		worst = max(worst, float64(r.LongestStalls[s.workspaceName(i)])/float64(most))
	}
	checkAtMost(t, "longest wait of a workspace relative to its bound", worst, 1)
}

// Guards against a fleet that misses the targets of section 1.3 of
// docs/design.md when all workspaces are backlogged and their requests arrive
// unevenly at the entry VMs, and against a workspace that starves.
func TestTargetsBacklog(t *testing.T) {
	for _, x := range []struct {
		site Site
		name string
	}{{Guild(), "backlog"}, {Tlaloc(), "backlog"}, {Guild(), "worst spread"}, {Tlaloc(), "worst spread"}} {
		t.Run(x.site.Name+" "+x.name, func(t *testing.T) {
			t.Parallel()
			w, _ := x.site.Workload(x.name)
			w.DrainTime = time.Second
			checkTargets(t, x.site, w)
		})
	}
}

// checkTargets compares the policies under one workload and checks the targets.
func checkTargets(t *testing.T, s Site, w Workload) {
	t.Helper()
	list := compare(t, s, w, shortSeeds, []string{"alone", "central", "fleet"})
	printTable(s, w, list)
	for _, r := range list {
		is.New(t).True(r.report.BackloggedWorkspaces >= workspaceCount-1) // the gap needs backlogged workspaces
		if r.policy == "fleet" {
			checkBounds(t, s, r.report)
		}
	}
	fleet := mean(valuesOf(list, "fleet", gap))
	checkAtMost(t, "gap of fleet relative to central", fleet/mean(valuesOf(list, "central", gap)), 1.5)
	checkAtMost(t, "gap of fleet relative to alone", fleet/mean(valuesOf(list, "alone", gap)), 0.25)
	// Over four units T, a gap that grows in proportion to time grows four times
	// and a random walk twice.
	checkAtMost(t, "growth of the gap of fleet", mean(valuesOf(list, "fleet", gapGrowth)), 2)
	checkAtLeast(t, "utilisation of fleet relative to central", mean(valuesOf(list, "fleet", serviceRate))/mean(valuesOf(list, "central", serviceRate)), 0.98)
}

// Guards against a flood, of any urgency, that takes service from other
// workspaces.
func TestTargetsFlood(t *testing.T) {
	s := Guild()
	for _, name := range []string{"flood one", "flood batch", "flood urgent"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, _ := s.Workload(name)
			// Long requests that run at an end of the window count with the part within
			// it. In a shorter window they decide the result.
			w = w.WithTimes(w.WarmUp, 120*time.Second)
			w.DrainTime = 200 * time.Second // the longest request takes 150 s
			rep := runPolicy(t, s, w.WithSeed(1), "fleet", MemoryFleetOptions{})
			checkAtLeast(t, "retained service", rep.RetainedShare, 0.95)
		})
	}
}

// Guards against a workspace that gains or loses service because all its size
// hints are wrong in the same direction. The gap and the waits must stay within
// their bounds.
func TestWrongHintsGainNothing(t *testing.T) {
	s := Guild()
	for _, hint := range []float64{1.0 / maxHintFactor, maxHintFactor} {
		t.Run(fmt.Sprint(hint), func(t *testing.T) {
			t.Parallel()
			w, _ := s.Workload("worst spread")
			w.DrainTime = time.Second
			for i := range w.Sources {
				if w.Sources[i].Workspace == s.workspaceName(workspaceCount-1) {
					w.Sources[i].HintFactor = hint
				}
			}
			checkBounds(t, s, runPolicy(t, s, w.WithSeed(1), "fleet", MemoryFleetOptions{}))
		})
	}
}
