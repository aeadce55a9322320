package peer

import "sync"

// maxQueuedRequests limits the requests that wait in one queue of one link.
const maxQueuedRequests = 1024

// serialQueue runs functions one after the other in the order in which they
// were added. Its goroutine exists only while functions wait or run.
type serialQueue struct {
	mu      sync.Mutex
	waiting []func()
	running bool
}

// enqueue adds a function; it reports false if the queue is full.
func (s *serialQueue) enqueue(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxQueuedRequests {
		return false
	}
	s.waiting = append(s.waiting, f)
	if s.running {
		return true
	}
	s.running = true
	go func() {
		for f := s.next(); f != nil; f = s.next() {
			f()
		}
	}()
	return true
}

// next removes and returns the next function. If there is none, it returns nil
// and marks the queue as not running.
func (s *serialQueue) next() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.running = false
		s.waiting = nil
		return nil
	}
	f := s.waiting[0]
	s.waiting = s.waiting[1:]
	return f
}
