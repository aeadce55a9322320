package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// Guards against calls during a pause that the check misses, and against a pause that
// counts beyond a restart: an incarnation asks for nothing that the one before asked
// for.
func TestPausesEndWithTheirIncarnation(t *testing.T) {
	const pause = 2 * time.Second
	asked := time.Now()
	for name, x := range map[string]struct {
		restart time.Duration
		want    int
	}{
		"same incarnation":                    {pause, 1},
		"new incarnation before the calls":    {pauseGrace, 0},
		"new incarnation in the middle of it": {pauseGrace + 300*time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var arrivals []stub.Arrival
			for after := time.Duration(0); after < pause; after += 50 * time.Millisecond {
				a := stub.Arrival{At: asked.Add(after)}
				if after < x.restart {
					a.Pause = pause - after
				}
				if after == 0 || after > pauseGrace {
					arrivals = append(arrivals, a)
				}
			}
			c := newChecker()
			c.checkPauses(&backend{}, "edge-1", arrivals)
			is.New(t).Equal(len(c.violations), x.want)
		})
	}
}
