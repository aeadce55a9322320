package place

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkAcquire compares placements among different numbers of servers, from
// a small site to one that has grown, and refusals for a workspace that has
// received its share.
func BenchmarkAcquire(b *testing.B) {
	for _, servers := range []int{9, 90, 900} {
		b.Run(fmt.Sprintf("placed/%d", servers), func(b *testing.B) {
			r := newRig(b.Context(), "zone-a", servers)
			for i := 0; b.Loop(); i++ {
				l, err := r.Acquire(b.Context(), r.job("w", fmt.Sprintf("s%d", i%200)))
				if err != nil {
					b.Fatal(err)
				}
				l.RecordFirstToken()
				l.End(Completed)
			}
		})
		b.Run(fmt.Sprintf("refused/%d", servers), func(b *testing.B) {
			r := newRig(b.Context(), "zone-a", servers)
			r.window.SetCapacity(1000)
			for i := range servers * 2 {
				ctx, cancel := context.WithTimeout(b.Context(), time.Second)
				_, _ = r.Acquire(ctx, r.job(fmt.Sprintf("v%d", i%30), fmt.Sprintf("s%d", i)))
				cancel()
			}
			r.window.RecordDemand("w", 1<<30)
			r.window.RecordService("w", 1<<30)
			for i := 0; b.Loop(); i++ {
				j := r.job("w", fmt.Sprintf("s%d", i%200))
				j.ArrivedAt = j.ArrivedAt.Add(-time.Second)
				if _, err := r.Acquire(b.Context(), j); err == nil {
					b.Fatal("not refused")
				}
			}
		})
	}
}
