package caller

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Times of a shutdown.
const (
	// shutdownPollInterval is how often a shutdown checks for open connections.
	shutdownPollInterval = 20 * time.Millisecond
	// quietPeriod is the time that must have passed since the last refusal of a
	// request before the listener is closed. Closing the listener resets the connections that have not yet
	// been accepted. A load balancer that probes more often than this has
	// stopped sending by then.
	quietPeriod = 500 * time.Millisecond
	// shutdownMinIdle is how long a connection must have been idle before a
	// shutdown closes it. It gives a caller that has just connected time to
	// send its request.
	shutdownMinIdle = 500 * time.Millisecond
)

// isDraining reports whether callers are to use another daemon.
func (s *Server) isDraining() bool { return s.options.Draining() || s.isRefusing() }

// isRefusing reports whether new requests are refused.
func (s *Server) isRefusing() bool {
	return s.stopping.Load() || s.options.Refusing() || s.ctx.Err() != nil
}

// drainingError returns the error for requests that a stopping daemon refuses.
func drainingError() *wigeonladder.Error {
	return wigeonladder.Errorf(wigeonladder.CodeDraining, "", "the daemon is stopping")
}

// finalResponse returns the last response on an idle connection that a shutdown
// closes. It answers a request that the caller sends at the same moment. HTTP
// provides status 408 for this case: a client that has sent no request ignores
// it.
func finalResponse() []byte {
	body := errorJSON(drainingError())
	return fmt.Appendf(nil, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n%s: %d\r\nRetry-After: 1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		headerResultCode, int(wigeonladder.CodeDraining), len(body), body)
}

// Shutdown stops the server gracefully. It refuses new requests and waits until
// no request is open and callers have stopped sending. If the context ends
// first, Shutdown cancels the open requests with CodeBroken and returns the
// context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.lastRefusal.Store(time.Now().UnixNano())
	s.stopping.Store(true)
	err := s.drain(ctx)
	s.cancelRequests()
	s.background.Wait()
	return err
}

// drain closes idle connections until no connection is open and no request has
// been refused for quietPeriod. Then it closes the listener and waits for the
// connections that were accepted last.
func (s *Server) drain(ctx context.Context) error {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	response := finalResponse()
	listenerClosed := false
	for {
		s.listener.CloseIdle(shutdownMinIdle, response)
		noneOpen := s.listener.OpenConns() == 0
		if noneOpen && listenerClosed {
			return nil
		}
		if noneOpen && time.Since(time.Unix(0, s.lastRefusal.Load())) >= quietPeriod {
			listenerClosed = true
			_ = s.listener.Close()
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// cancelRequests cancels the open requests and closes the listener and all
// connections.
func (s *Server) cancelRequests() {
	s.cancel(wigeonladder.Errorf(wigeonladder.CodeBroken, "", "the daemon stopped"))
	_ = s.listener.Close()
	s.awaitCancelled()
	s.listener.CloseConns()
}

// awaitCancelled waits until the cancelled requests have been answered and their
// connections closed, but at most for cancelTimeout.
func (s *Server) awaitCancelled() {
	timeout := time.NewTimer(cancelTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(cancelPollInterval)
	defer ticker.Stop()
	for s.listener.OpenConns() > 0 {
		select {
		case <-timeout.C:
			return
		case <-ticker.C:
		}
	}
}
