package demo

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortSeeds is the number of seeds of the short comparison, from 1 on.
const shortSeeds = 3

// below fails unless a figure is at most a limit.
func below(t *testing.T, what string, got, most float64) {
	t.Helper()
	t.Logf("%s: %.4g, at most %.4g", what, got, most)
	if !(got <= most) {
		t.Errorf("%s is %.4g, must be at most %.4g", what, got, most)
	}
}

// above fails unless a figure is at least a limit.
func above(t *testing.T, what string, got, least float64) {
	t.Helper()
	t.Logf("%s: %.4g, at least %.4g", what, got, least)
	if !(got >= least) {
		t.Errorf("%s is %.4g, must be at least %.4g", what, got, least)
	}
}

func gap(r Report) float64         { return r.Gap }
func utilisation(r Report) float64 { return r.ServiceRate }
func growth(r Report) float64      { return r.GapLastUnit / r.GapFirstUnit }

// within fails unless the gap and the waits of a run are within their bounds.
func within(t *testing.T, s Site, r Report) {
	t.Helper()
	b := s.GapBoundTerms(period)
	below(t, "gap", r.Gap, GapBound(b))
	worst := 0.0
	for i := range workspaceSize {
		most := s.WaitBound(b, float64(weightOf(i)))
		worst = max(worst, float64(r.LongestStalls[s.workspace(i)])/float64(most))
	}
	below(t, "longest wait of a waiting workspace by its bound", worst, 1)
}

// Guards against a fleet that misses the targets of section 1.3 when everybody
// is backlogged and requests come in unevenly, and against a workspace that
// starves.
func TestTargetsBacklog(t *testing.T) {
	for _, x := range []struct {
		site Site
		name string
	}{{Guild(), "backlog"}, {Tlaloc(), "backlog"}, {Guild(), "worst spread"}, {Tlaloc(), "worst spread"}} {
		t.Run(x.site.Name+" "+x.name, func(t *testing.T) {
			t.Parallel()
			w, _ := x.site.Workload(x.name)
			w.DrainTime = time.Second
			targets(t, x.site, w)
		})
	}
}

// targets compares the policies for one workload.
func targets(t *testing.T, s Site, w Workload) {
	t.Helper()
	list := compare(t, s, w, shortSeeds, []string{"alone", "central", "fleet"})
	table(s, w, list)
	for _, r := range list {
		is.New(t).True(r.report.BackloggedWorkspaces >= workspaceSize-1) // the gap needs backlogged workspaces
		if r.policy == "fleet" {
			within(t, s, r.report)
		}
	}
	fleet := mean(column(list, "fleet", gap))
	below(t, "gap of fleet by central", fleet/mean(column(list, "central", gap)), 1.5)
	below(t, "gap of fleet by alone", fleet/mean(column(list, "alone", gap)), 0.25)
	// From T to 4T a gap that grows in proportion to time grows four times, a
	// random walk twice.
	below(t, "growth of the gap of fleet", mean(column(list, "fleet", growth)), 2)
	above(t, "utilisation of fleet by central", mean(column(list, "fleet", utilisation))/mean(column(list, "central", utilisation)), 0.98)
}

// Guards against a flood of any urgency that takes service from others.
func TestTargetsFlood(t *testing.T) {
	s := Guild()
	for _, name := range []string{"flood one", "flood batch", "flood urgent"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, _ := s.Workload(name)
			w = w.WithTimes(w.WarmUp, 60*time.Second)
			w.DrainTime = 200 * time.Second // the longest request takes 150 s
			rep := play(t, s, w.WithSeed(1), "fleet", MemoryFleetOptions{})
			above(t, "retained service", rep.RetainedShare, 0.95)
		})
	}
}

// Guards against a workspace that gains or loses by hints that are always wrong
// to the same side: it gets its share but for the bound.
func TestWrongHintsGainNothing(t *testing.T) {
	s := Guild()
	for _, hint := range []float64{1.0 / hintFactor, hintFactor} {
		t.Run(fmt.Sprint(hint), func(t *testing.T) {
			t.Parallel()
			w, _ := s.Workload("worst spread")
			w.DrainTime = time.Second
			for i := range w.Sources {
				if w.Sources[i].Workspace == s.workspace(workspaceSize-1) {
					w.Sources[i].HintFactor = hint
				}
			}
			within(t, s, play(t, s, w.WithSeed(1), "fleet", MemoryFleetOptions{}))
		})
	}
}
