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
			for i := range servers * 6 {
				ctx, cancel := context.WithTimeout(b.Context(), time.Second)
				if l, err := r.Acquire(ctx, r.job(fmt.Sprintf("v%d", i%30), fmt.Sprintf("s%d", i))); err == nil {
					l.RecordFirstToken()
				}
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

// remoteReport returns the report of a daemon with calls on twenty of the servers of a
// rig.
func remoteReport(daemon, servers int) Report {
	var r Report
	for i := range 20 {
		r.Loads = append(r.Loads, ServerLoad{Server: fmt.Sprintf("m%d", (daemon*7+i*11)%servers), Running: 2, UnreadTokens: 3000, MemoryTokens: 9000})
	}
	return r
}

// BenchmarkReports measures a report of one of many daemons, and a sweep while all
// their reports are valid. Neither may grow with the daemons times the servers.
func BenchmarkReports(b *testing.B) {
	for _, size := range []struct{ daemons, servers int }{{4, 12}, {30, 63}, {117, 251}, {390, 6200}} {
		r := newRig(b.Context(), "zone-a", size.servers)
		names := make([]string, size.daemons)
		reports := make([]Report, size.daemons)
		for i := range names {
			names[i], reports[i] = fmt.Sprintf("edge-%d", i), remoteReport(i, size.servers)
			r.Import(names[i], reports[i], time.Hour)
		}
		b.Run(fmt.Sprintf("import/%d daemons", size.daemons), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				r.Import(names[i%len(names)], reports[i%len(names)], time.Hour)
			}
		})
		b.Run(fmt.Sprintf("sweep/%d daemons", size.daemons), func(b *testing.B) {
			for b.Loop() {
				r.sweep()
			}
		})
	}
}
