package conn

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a goroutine that has its turn before others that are ready, and against
// one that waits forever.
func TestYieldLetsOthersRun(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	y := NewYielder()
	const rounds, others = 100, 50
	complete := 0
	for range rounds {
		var ran atomic.Int64
		for range others {
			go func() { ran.Add(1) }()
		}
		y.Yield()
		if ran.Load() == others {
			complete++
		}
	}
	// The runtime polls the network from time to time while others are ready.
	is.True(complete >= rounds*9/10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			y.Yield()
		}
	}()
	y.Close()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a closed Yielder waits")
	}
	(&Yielder{}).Yield()
}
