package demo

import (
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
func utilisation(r Report) float64 { return r.Rate }
func growth(r Report) float64      { return r.GapLast / r.GapUnit }

// Guards against a fleet that misses the targets of section 1.3 when everybody
// is backlogged and requests come in unevenly.
func TestTargetsBacklog(t *testing.T) {
	t.Parallel()
	s := Guild()
	w, _ := s.Workload("backlog")
	w.Drain = time.Second
	list := compare(t, s, w, shortSeeds)
	table(s, w, list)
	b := Bound(s.Bound(period))
	for _, r := range list {
		is.New(t).True(r.report.Backlogged >= workspaceSize-1) // the gap needs backlogged workspaces
		if r.policy == "fleet" {
			below(t, "gap", r.report.Gap, b)
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

// Guards against a flood of the most urgent work that takes service from others.
func TestTargetsFlood(t *testing.T) {
	t.Parallel()
	s := Guild()
	w, _ := s.Workload("flood urgent")
	w = w.WithTimes(w.Warm, 60*time.Second)
	w.Drain = 200 * time.Second // the longest request takes 150 s
	rep := play(t, s, w.WithSeed(1), "fleet", FleetOptions{})
	above(t, "retained service", rep.Retained, 0.95)
}
