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
)

// Shutdown serves on for at least the lead time, in which load balancers notice
// that the daemon leaves, and ends each connection between two calls. It returns
// once no call and no connection is open, or with the context's error.
func (s *Server) Shutdown(ctx context.Context, lead time.Duration) error {
	s.leaving.Store(true)
	end := time.Now().Add(lead)
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for {
		s.listener.Dismiss(dismissIdle, nil)
		if time.Now().After(end) && s.Open() == 0 && s.listener.Open() == 0 {
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

// close ends the listener, the open calls and all connections.
func (s *Server) close() {
	_ = s.o.Listener.Close()
	s.cancel()
	s.listener.CloseConns()
	s.served.Wait()
}
