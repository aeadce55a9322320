package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a flooded daemon whose processor time goes into calls that wait
// in vain, so that it cannot place the share of the workspace that floods it.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	bubble(t, 30, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.window.SetCapacity(200000)
		refused, waited, maxWaiting := 0, 0, 0
		for i := range 2000 {
			j := r.job("flood", fmt.Sprintf("s%d", i%500))
			go func() {
				l, err := r.Acquire(t.Context(), j)
				r.mu.Lock()
				if err != nil {
					refused++
				}
				if err != nil && time.Since(j.ArrivedAt) > 0 {
					waited++
				}
				r.mu.Unlock()
				if err == nil {
					l.MarkSent()
					finish(l)
				}
			}()
			time.Sleep(time.Millisecond)
			maxWaiting = max(maxWaiting, r.Stats().Services[1].Waiting)
		}
		time.Sleep(5 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		is.True(maxWaiting <= minQueueJobs)
		is.True(refused > 1000)
		is.True(waited <= refused/10)
	})
}
