package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against daemons that together spend more retries in some period than
// the budget allows.
func TestSharedBudgetIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, calls = 4, 50
		a := Allowance{Ratio: 0.2, Slack: 40, Period: 10 * time.Second}
		var budgets []*SharedBudget
		for range daemons {
			budgets = append(budgets, NewSharedBudget(a, func() int { return daemons }))
		}
		var spent []time.Time
		for range 300 {
			for _, w := range budgets {
				for range calls / 50 {
					w.RecordCall("s")
				}
				for w.Spend("s") {
					spent = append(spent, time.Now())
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		is := is.New(t)
		is.True(len(spent) > 100)
		// Each daemon records one call per 100 ms, 100 calls in a period.
		limit := 0.2*float64(daemons*100) + a.Slack
		for i, from := range spent {
			n := 0
			for _, at := range spent[i:] {
				if at.Sub(from) < a.Period {
					n++
				}
			}
			if float64(n) > limit {
				t.Fatalf("%d retries in a period, limit %v", n, limit)
			}
		}
	})
}

// Guards against a budget that is unbounded, and one that does not recover
// after a period.
func TestSharedBudgetRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewSharedBudget(Allowance{Slack: 10, Period: 10 * time.Second}, func() int { return 1 })
		n := 0
		for w.Spend("s") {
			n++
		}
		is.Equal(n, 7)
		is.True(w.Spend("other"))
		time.Sleep(10 * time.Second)
		is.True(w.Spend("s"))
	})
}
