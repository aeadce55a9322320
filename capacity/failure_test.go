package capacity

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/peer"
)

// Guards against a crash or a restart of a daemon that multiplies the traffic of
// the other daemons. The fleet has no requests.
func TestRestartTraffic(t *testing.T) {
	is := is.New(t)
	const window = 15 * time.Second
	for _, n := range sizes([]int{5}, []int{20, 60}) {
		s := SizeFor(n)
		s.Zones = 3
		bubble(t, s, n, func(f *Fleet) {
			time.Sleep(20 * time.Second)
			before := trafficOfOthers(f, window)
			f.Daemons[1].Stop()
			crash := trafficOfOthers(f, window)
			f.Restart(1)
			restart := trafficOfOthers(f, window)
			for what, c := range map[string]map[string]peer.TrafficCount{"crash": crash, "restart": restart} {
				extra := TrafficBetween(before, c)
				t.Logf("%d daemons, %s: %+d messages and %+d bytes per other daemon, of these renewals %+d and %+d, in %v", n, what,
					sumMethods(extra).Messages/int64(n-1), sumMethods(extra).Bytes/int64(n-1),
					extra["n"].Messages/int64(n-1), extra["n"].Bytes/int64(n-1), window)
				// The bound is twice the earlier bytes plus 20,000 bytes per daemon.
				is.True(sumMethods(c).Bytes < 2*sumMethods(before).Bytes+20000*int64(n))
			}
		})
	}
}

// trafficOfOthers returns what all daemons except the second send within a
// duration.
func trafficOfOthers(f *Fleet, d time.Duration) map[string]peer.TrafficCount {
	others := &Fleet{Daemons: append(f.Daemons[:1:1], f.Daemons[2:]...)}
	before := others.SentByMethod()
	time.Sleep(d)
	return TrafficBetween(before, others.SentByMethod())
}
