package retry

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// enterWait bounds how long a suspect waits for another run of the same
// request.
const enterWait = time.Minute

// AcquireRun waits until the request may run. A request that is not suspected may
// run at once, together with others of its kind. A suspect runs alone among the
// runs of the same request. A request that broke two servers is refused. After
// the run, leave must be called. The alone result tells whether the run is that
// of a suspect.
func (s *Suspects) AcquireRun(ctx context.Context, print uint64, place string) (leave func(), alone bool, err error) {
	late := time.NewTimer(enterWait)
	defer late.Stop()
	for {
		leave, running, err := s.tryEnter(print, place)
		if err != nil {
			return nil, false, err
		}
		if leave != nil {
			return leave, true, nil
		}
		if running == nil {
			return func() {}, false, nil
		}
		select {
		case <-running:
		case <-ctx.Done():
			return nil, false, wigeonladder.Errorf(wigeonladder.CodeCallerGone, place, "the caller went")
		case <-late.C:
			return nil, false, wigeonladder.Errorf(wigeonladder.CodeWaitTooLong, place,
				"another run of this request, which broke a backend server, has not ended")
		}
	}
}

// tryEnter returns the end of the run if a suspect may run now, the channel to
// wait for if another run is on, and neither if there is no suspicion.
func (s *Suspects) tryEnter(print uint64, place string) (func(), <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.find(print)
	if k == nil {
		return nil, nil, nil
	}
	if err := s.refused(k, place); err != nil {
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

// ReserveServer reserves a server for the run of a suspect, so that a break of it can
// be blamed on one suspect only. It returns the end of the reservation, or the
// channel that is closed when the suspect that runs there has ended.
func (s *Suspects) ReserveServer(server string) (leave func(), busy <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.probing[server]; ok {
		return nil, c
	}
	c := make(chan struct{})
	s.probing[server] = c
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.probing, server)
		close(c)
	}, nil
}
