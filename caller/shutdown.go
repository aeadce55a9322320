package caller

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// Times of a shutdown.
const (
	// stopPoll is how often a shutdown looks for what is still open.
	stopPoll = 20 * time.Millisecond
	// quietTime is how long no request may have come before the listener is
	// closed. Closing it resets the connections that were not yet accepted; a
	// load balancer that probes more often has stopped sending by then.
	quietTime = 500 * time.Millisecond
	// idleTime is how long a connection must have been idle to be dismissed. It
	// gives a caller that has just connected time to send.
	idleTime = 500 * time.Millisecond
)

// leaving reports whether callers shall go to another daemon.
func (s *Server) leaving() bool { return s.options.Draining() || s.refusing() }

// refusing reports whether new requests are refused.
func (s *Server) refusing() bool {
	return s.stopping.Load() || s.options.Refusing() || s.ctx.Err() != nil
}

// drainingError is the refusal of a daemon that is stopping.
func drainingError() *wigeonladder.Error {
	return wigeonladder.Errorf(wigeonladder.CodeDraining, "", "the daemon is stopping")
}

// ended marks a connection whose response was sent as idle.
func ended(n net.Conn, state fasthttp.ConnState) {
	if w, ok := n.(*conn.Conn); ok && state == fasthttp.StateIdle {
		w.EndRequest()
	}
}

// farewell returns the answer to a request that crosses the end of an idle
// connection. Status 408 is the one that HTTP has for this case: a client that
// has sent nothing drops it.
func farewell() []byte {
	body := problemJSON(drainingError())
	return fmt.Appendf(nil, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n%s: %d\r\nRetry-After: 1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		headerCode, int(wigeonladder.CodeDraining), len(body), body)
}

// Shutdown refuses new requests and waits for the open ones and for the callers
// to stop sending. If the context ends first, the open requests are cut off with
// CodeBroken and the context's error is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.late.Store(time.Now().UnixNano())
	s.stopping.Store(true)
	err := s.leave(ctx)
	s.cut()
	s.served.Wait()
	return err
}

// leave dismisses the idle connections until none is open and the callers are
// quiet, closes the listener, and then waits for what was accepted last.
func (s *Server) leave(ctx context.Context) error {
	tick := time.NewTicker(stopPoll)
	defer tick.Stop()
	bye := farewell()
	closed := false
	for {
		s.listener.CloseIdle(idleTime, bye)
		none := s.listener.OpenConns() == 0
		if none && closed {
			return nil
		}
		if none && time.Since(time.Unix(0, s.late.Load())) >= quietTime {
			closed = true
			_ = s.listener.Close()
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// cut ends the open requests and closes the listener and all connections.
func (s *Server) cut() {
	s.cancel(wigeonladder.Errorf(wigeonladder.CodeBroken, "", "the daemon stopped"))
	_ = s.listener.Close()
	s.settle()
	s.listener.CloseConns()
}

// settle waits until the requests that were cut off are answered.
func (s *Server) settle() {
	limit := time.NewTimer(cutGrace)
	defer limit.Stop()
	tick := time.NewTicker(cutPoll)
	defer tick.Stop()
	for s.listener.OpenConns() > 0 {
		select {
		case <-limit.C:
			return
		case <-tick.C:
		}
	}
}
