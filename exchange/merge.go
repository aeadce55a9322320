package exchange

import (
	"cmp"
	"slices"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
)

// WithNext returns one report that combines this one with a later one of the
// same daemon. Totals and charges are cumulative, so that the later row of a
// workspace replaces the earlier one. Those of an earlier incarnation are dropped.
func (r Report) WithNext(next Report) Report {
	if r.Incarnation != next.Incarnation {
		r.Charges, r.Totals = nil, nil
	}
	r.From, r.Zone, r.Incarnation, r.Sequence, r.MaxIntervalMs = next.From, next.Zone, next.Incarnation, next.Sequence, next.MaxIntervalMs
	r.Draining = next.Draining
	r.Place = r.Place.WithNext(next.Place)
	r.Charges = mergeCharges(r.Charges, next.Charges)
	r.Totals = latestRows(r.Totals, next.Totals, func(a, b fair.WorkspaceTotals) int { return cmp.Compare(a.Workspace, b.Workspace) })
	r.Suspicions = latestRows(r.Suspicions, next.Suspicions, func(a, b wigeonladder.Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return r
}

// mergeCharges combines the charges of two reports, either of which may be nil.
func mergeCharges(old, next *wigeonladder.ChargeReport) *wigeonladder.ChargeReport {
	if old == nil || next == nil {
		return cmp.Or(next, old)
	}
	c := *next
	c.Rows = latestRows(old.Rows, next.Rows, func(a, b wigeonladder.Charge) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	return &c
}

// latestRows returns the sorted rows of both lists; of two rows that compare
// equal it keeps the one of next.
func latestRows[R any](old, next []R, order func(a, b R) int) []R {
	all := slices.Concat(next, old)
	slices.SortStableFunc(all, order)
	return slices.CompactFunc(all, func(a, b R) bool { return order(a, b) == 0 })
}
