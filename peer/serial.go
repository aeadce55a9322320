package peer

import "sync"

// maxQueue bounds the requests that wait in one queue of one connection.
const maxQueue = 1024

// serial runs functions one after the other in the order in which they came,
// on a goroutine that exists only while there are some.
type serial struct {
	mu      sync.Mutex
	waiting []func()
	running bool
}

// run adds a function; it reports false if too many wait.
func (s *serial) run(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxQueue {
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
func (s *serial) next() func() {
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
