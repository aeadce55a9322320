package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/platform"
	"github.com/wigeonladder/wigeonladder/platform/stub"
)

const (
	// drillStream is the stream of the random numbers for restoreStore.
	drillStream = 1 << 22
	// maxCopyAge, maxStoreAway and maxWriteDelay bound the age of the copy from which the
	// store comes back, the time for which it is away, and the time after which what it
	// has lost is written again.
	maxCopyAge    = 2 * time.Second
	maxStoreAway  = 500 * time.Millisecond
	maxWriteDelay = time.Second
)

// restoreStore makes the store go away for a moment, once, and come back from a copy of
// itself. Then what was written since is written again. It has its own random numbers, so
// that the other faults of a seed stay the same.
func (s *soak) restoreStore(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, drillStream))
	upTo := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	age, away, delay := upTo(maxCopyAge), upTo(maxStoreAway), upTo(maxWriteDelay)
	latest := s.options.FaultDuration - age - away - delay - meanFaultInterval
	if latest <= 0 {
		return
	}
	begin := upTo(latest)
	go func() {
		if !sleep(ctx, begin) {
			return
		}
		restore := s.store.Copy()
		if !sleep(ctx, age) {
			return
		}
		s.logFault("the store is away for %v and comes back from a copy %v old", away, age)
		s.checker.storeFault(away + delay)
		s.store.SetMode(stub.Resetting)
		sleep(ctx, away)
		restore()
		s.store.SetMode(stub.Answering)
		sleep(ctx, delay)
		s.writeAgain()
	}()
}

// putServer writes the entry of a server, and remembers it.
func (s *soak) putServer(i wigeonladder.Instance) {
	s.entriesMu.Lock()
	defer s.entriesMu.Unlock()
	s.entries[i.ID] = i
	s.store.PutServer(i)
}

// writeAgain writes all that the administrator and the servers have written.
func (s *soak) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logFault("what the store has lost is written again")
	s.store.PutConfig(s.config)
	if s.evacuated != "" {
		s.store.PutRaw(platform.EvacuationPrefix+s.evacuated, nil)
	}
	s.entriesMu.Lock()
	defer s.entriesMu.Unlock()
	for _, i := range s.entries {
		s.store.PutServer(i)
	}
}
