package front

import (
	"context"
	"time"
)

const (
	// stopPoll is how often a shutdown looks for what is still open.
	stopPoll = 20 * time.Millisecond
	// dismissIdle is how long a connection must have been idle to be closed
	// during a shutdown. It gives a caller that has just connected time to send.
	dismissIdle = 300 * time.Millisecond
	// refusedWait is when a call comes back that a stopping daemon has refused.
	refusedWait = 100 * time.Millisecond
)

// Shutdown serves on for the lead time, in which load balancers notice that the
// daemon leaves, and ends each connection between two calls. Then it refuses new
// calls, which could be cut off before they end. It returns once no call and no
// connection is open, or with the context's error.
func (s *Server) Shutdown(ctx context.Context, lead time.Duration) error {
	s.leaving.Store(true)
	end := time.Now().Add(lead)
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for {
		s.listener.CloseIdle(dismissIdle, nil)
		over := !time.Now().Before(end)
		s.refusing.Store(over)
		if over && s.OpenCalls() == 0 && s.listener.OpenConns() == 0 {
			break
		}
		select {
		case <-ctx.Done():
			s.close()
			return ctx.Err()
		case <-t.C:
		}
	}
	s.close()
	return nil
}

const (
	// reliefPeriod is how often the number of connections is looked at.
	reliefPeriod = 250 * time.Millisecond
	// reliefIdle is the idle time from which connections are closed when there
	// are too many.
	reliefIdle = time.Second
)

// relieve closes idle connections while there are too many, until the server ends.
func (s *Server) relieve() {
	t := time.NewTicker(reliefPeriod)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
		if n := s.listener.OpenConns(); n > s.o.Limits.MaxConns {
			s.o.Journal.Note("", "connections_relieved", "open", n, "most", s.o.Limits.MaxConns)
			s.listener.CloseIdle(reliefIdle, nil)
		}
	}
}

// cutWithin bounds the wait for the answers to calls that are cut off.
const cutWithin = 300 * time.Millisecond

// close ends the listener, the open calls and all connections.
func (s *Server) close() {
	_ = s.o.Listener.Close()
	s.cancel()
	for end := time.Now().Add(cutWithin); s.OpenCalls() > 0 && time.Now().Before(end); {
		time.Sleep(stopPoll)
	}
	// The server sends an answer after its call has ended.
	time.Sleep(stopPoll)
	s.listener.CloseConns()
	s.served.Wait()
}
