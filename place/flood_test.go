package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
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

// Guards against servers that idle while the calls of a workspace are refused because
// it is far ahead of a starved one, and against such calls on servers that others use.
func TestSpareCapacityIsUsed(t *testing.T) {
	bubble(t, 4, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.window.SetCapacity(100000)
		r.window.RecordDemand("starved", 1000000)
		r.window.RecordThrottled("starved")
		r.window.RecordDemand("ahead", 1000000)
		r.window.RecordService("ahead", 270000)
		time.Sleep(100 * time.Millisecond)
		is.Equal(r.window.Standing("ahead"), fair.IdleOnly)
		short := r.job("ahead", "s")
		short.Prompt.Tokens = 1000
		finish(r.acquire(t, short))
		for i := range 4 * 8 / 2 {
			l := r.acquire(t, r.job("starved", fmt.Sprint("s", i)))
			time.Sleep(l.ExpectedFirstToken)
			l.RecordFirstToken()
		}
		r.window.RecordThrottled("starved")
		time.Sleep(100 * time.Millisecond)
		is.Equal(r.window.Standing("ahead"), fair.IdleOnly)
		began := time.Now()
		_, err := r.Acquire(t.Context(), r.job("ahead", "s"))
		is.True(err != nil && err.Code == wigeonladder.CodeShareUsed)
		is.Equal(time.Since(began), time.Duration(0))
	})
}
