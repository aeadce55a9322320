package retry

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// acquireRunTimeout bounds how long a suspect waits for another run of the same
// request to end.
const acquireRunTimeout = time.Minute

// AcquireRun waits until the request may run. A request that is not suspect
// runs at once, even while others with its fingerprint run. Of a suspect only
// one run exists at a time. A quarantined request gets an error. The caller
// must call release after the run. The isSuspect result tells whether the
// request is suspect.
func (s *Suspects) AcquireRun(ctx context.Context, fingerprint uint64, place string) (release func(), isSuspect bool, err error) {
	timeout := time.NewTimer(acquireRunTimeout)
	defer timeout.Stop()
	for {
		release, running, err := s.tryAcquireRun(fingerprint, place)
		if err != nil {
			return nil, false, err
		}
		if release != nil {
			return release, true, nil
		}
		if running == nil {
			return func() {}, false, nil
		}
		select {
		case <-running:
		case <-ctx.Done():
			return nil, false, wigeonladder.Errorf(wigeonladder.CodeCallerGone, place, "the caller went")
		case <-timeout.C:
			return nil, false, wigeonladder.Errorf(wigeonladder.CodeWaitTooLong, place,
				"another run of this request, which broke a backend server, has not ended")
		}
	}
}

// tryAcquireRun returns a release function if a suspect may run now, a channel
// that is closed when the other run ends if one exists, and neither if the request
// is not suspect.
func (s *Suspects) tryAcquireRun(fingerprint uint64, place string) (func(), <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.findActive(fingerprint)
	if k == nil {
		return nil, nil, nil
	}
	if err := s.quarantineError(k, place); err != nil {
		return nil, nil, err
	}
	if k.running != nil {
		return nil, k.running, nil
	}
	k.running = make(chan struct{})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(k.running)
		k.running = nil
	}, nil, nil
}

// ReserveServer reserves a server for the run of one suspect, so that a crash can
// be attributed to that suspect only. It returns the function that ends the
// reservation. If another suspect runs there, it returns instead the channel that
// is closed when that reservation ends.
func (s *Suspects) ReserveServer(server string) (release func(), released <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.reservedServers[server]; ok {
		return nil, c
	}
	c := make(chan struct{})
	s.reservedServers[server] = c
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.reservedServers, server)
		close(c)
	}, nil
}
