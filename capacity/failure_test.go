package capacity

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/peer"
)

// Guards against a death or a restart that multiplies the traffic of the
// daemons that stay. The fleet has no requests.
func TestRestartTraffic(t *testing.T) {
	is := is.New(t)
	const window = 15 * time.Second
	for _, n := range sizes([]int{5}, []int{20, 60}) {
		s := SizeFor(n)
		s.Zones = 3
		bubble(t, s, n, func(f *Fleet) {
			time.Sleep(20 * time.Second)
			quiet := spent(f, window)
			f.Daemons[1].Stop()
			death := spent(f, window)
			f.Restart(1)
			restart := spent(f, window)
			for what, c := range map[string]map[string]peer.TrafficCount{"death": death, "restart": restart} {
				extra := TrafficBetween(quiet, c)
				t.Logf("%d daemons, %s: %+d messages and %+d bytes per other daemon, of these renewals %+d and %+d, in %v", n, what,
					total(extra).Messages/int64(n-1), total(extra).Bytes/int64(n-1),
					extra["n"].Messages/int64(n-1), extra["n"].Bytes/int64(n-1), window)
				is.True(total(c).Bytes < 2*total(quiet).Bytes+20000*int64(n))
			}
		})
	}
}

// spent returns what all daemons but the second send in some time.
func spent(f *Fleet, d time.Duration) map[string]peer.TrafficCount {
	others := &Fleet{Daemons: append(f.Daemons[:1:1], f.Daemons[2:]...)}
	before := others.SentByMethod()
	time.Sleep(d)
	return TrafficBetween(before, others.SentByMethod())
}
