package peer

import "sync"

// maxQueuedRequests bounds the requests that wait in one queue of one connection.
const maxQueuedRequests = 1024

// serialQueue runs functions one after the other in the order in which they came,
// on a goroutine that exists only while there are some.
type serialQueue struct {
	mu      sync.Mutex
	waiting []func()
	running bool
}

// enqueue adds a function; it reports false if too many wait.
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

// next returns the next function, or nil at the end.
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
