package front

import (
	"context"
	"time"
)

const (
	// shutdownPollInterval is how often a shutdown checks for open calls and
	// connections.
	shutdownPollInterval = 20 * time.Millisecond
	// shutdownMinIdle is how long a connection must have been idle before a
	// shutdown closes it. It gives a caller that has just connected time to send
	// its call.
	shutdownMinIdle = 300 * time.Millisecond
	// drainingRetryDelay is the retry delay stated to callers whose call a
	// stopping daemon refuses.
	drainingRetryDelay = 100 * time.Millisecond
)

// Shutdown stops the server gracefully. For the lead time it still takes calls
// and closes each connection between two calls, while load balancers notice
// that the daemon leaves. Then it also refuses new calls, since they could be
// cut off before they end. It returns nil once no call and no connection is
// open. When the context ends first, it cuts off the open calls and returns the
// context's error.
func (s *Server) Shutdown(ctx context.Context, leadTime time.Duration) error {
	s.drainingConns.Store(true)
	end := time.Now().Add(leadTime)
	t := time.NewTicker(shutdownPollInterval)
	defer t.Stop()
	for {
		s.listener.CloseIdle(shutdownMinIdle, nil)
		over := !time.Now().Before(end)
		s.refusingCalls.Store(over)
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
	// connCheckInterval is how often the number of connections is compared with
	// MaxConns.
	connCheckInterval = 250 * time.Millisecond
	// excessMinIdle is how long a connection must have been idle to be closed
	// while there are more than MaxConns.
	excessMinIdle = time.Second
	// excessHeadTime is how long the head of a request may be on its way while there
	// are more than MaxConns. It exceeds the time that the users allow for a head.
	excessHeadTime = 5 * time.Second
)

// closeExcessConns closes idle connections, and those that send a head slowly, while
// there are more than MaxConns, until the server ends.
func (s *Server) closeExcessConns() {
	t := time.NewTicker(connCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
		if n := s.listener.OpenConns(); n > s.o.Limits.MaxConns {
			s.o.Journal.Note("", "connections_relieved", "open", n, "most", s.o.Limits.MaxConns)
			s.listener.CloseIdle(excessMinIdle, nil)
			s.listener.InterruptSlowHeads(excessHeadTime)
		}
	}
}

// cancelTimeout bounds the wait for the answers to the calls that close
// cancels.
const cancelTimeout = 300 * time.Millisecond

// close closes the listener, cancels the open calls and closes all connections.
func (s *Server) close() {
	_ = s.listener.Close()
	s.cancel()
	for end := time.Now().Add(cancelTimeout); s.OpenCalls() > 0 && time.Now().Before(end); {
		time.Sleep(shutdownPollInterval)
	}
	// fasthttp sends an answer only after its call has ended.
	time.Sleep(shutdownPollInterval)
	s.listener.CloseConns()
	s.background.Wait()
}
