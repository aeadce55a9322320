package edge

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a wait for the processor that is not seen because timers are on time.
func TestProcessorWaitIsSeen(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const spin, goroutines = 5 * time.Millisecond, 64
	p := newProcessor()
	done := make(chan struct{})
	for range goroutines {
		go func() {
			for end := time.Now().Add(spin); time.Now().Before(end); {
				continue
			}
			done <- struct{}{}
		}()
	}
	for range goroutines {
		<-done
	}
	is.True(p.waitQuantile(0.9) > 10*spin)
	is.True(p.waitQuantile(0.5) < 10*spin) // a new interval
}
