package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
)

// Guards against a report of a daemon that has started again since, which comes late
// over another daemon and counts as the newest: the daemon then seems to be stopping,
// and its later reports to be those of a third start.
func TestReportsOfAnEarlierIncarnationAreDropped(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	o := origin{}
	for _, x := range []struct {
		incarnation string
		sequence    int64
		outdated    bool
	}{
		{"a", 5, false},
		{"a", 5, true},
		{"b", 1, false},
		{"a", 6, true},
		{"b", 1, true},
		{"b", 2, false},
		{"c", 1, false},
		{"b", 3, true},
	} {
		r := Report{From: "x", Incarnation: x.incarnation, Sequence: x.sequence}
		is.Equal(o.isOutdated(r), x.outdated)
		if !x.outdated {
			o = o.with(r, true, now)
		}
	}
}

// Guards against totals of an earlier incarnation that are sent as those of the next
// one, because both waited for the same relay.
func TestTotalsOfAnEarlierIncarnationAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	of := func(incarnation, workspace string) Report {
		return Report{
			From: "x", Incarnation: incarnation, Totals: []fair.WorkspaceTotals{{Workspace: workspace}},
			Charges: &wigeonladder.ChargeReport{Rows: []wigeonladder.Charge{{Workspace: workspace}}},
		}
	}
	same := of("a", "u").WithNext(of("a", "v"))
	is.Equal(len(same.Totals), 2)
	is.Equal(len(same.Charges.Rows), 2)
	next := of("a", "u").WithNext(of("b", "v"))
	is.Equal(next.Incarnation, "b")
	is.Equal(next.Totals, of("b", "v").Totals)
	is.Equal(next.Charges.Rows, of("b", "v").Charges.Rows)
}
