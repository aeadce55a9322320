package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/wigeonladder/wigeonladder"
)

// idleTimeout is the time without a call after which the daemon that dialled a
// link closes it.
const idleTimeout = time.Minute

// link is a connection to another daemon.
type link struct {
	mesh    *Mesh
	dialled bool
	// conn is set by newLink and by the handler of requests, because the first
	// request may arrive before jsonrpc2.NewConn returns.
	conn atomic.Pointer[jsonrpc2.Conn]

	mu          sync.Mutex
	vm          string
	lastUsed    time.Time
	activeCalls int
	queues      map[string]*serialQueue
	closed      atomic.Bool
}

// newLink returns a link on a connection and starts to serve it. dialled is
// true if this daemon dialled it.
func (m *Mesh) newLink(c net.Conn, dialled bool) *link {
	l := &link{mesh: m, dialled: dialled, lastUsed: time.Now(), queues: map[string]*serialQueue{}}
	s := newStream(c, m.meter)
	conn := jsonrpc2.NewConn(m.ctx, s, handler{l},
		jsonrpc2.OnSend(s.onSend), jsonrpc2.OnRecv(s.onRecv),
		// jsonrpc2 would log each lost connection as an error.
		jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	l.conn.Store(conn)
	return l
}

// peerName returns the VM name of the peer, or an empty string before the
// hello.
func (l *link) peerName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vm
}

// setPeerName sets the VM name of the peer.
func (l *link) setPeerName(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vm = vm
}

// isOpen reports whether the connection is open.
func (l *link) isOpen() bool {
	select {
	case <-l.conn.Load().DisconnectNotify():
		return false
	default:
		return !l.closed.Load()
	}
}

// close closes the connection. Calls in flight fail.
func (l *link) close() {
	l.closed.Store(true)
	_ = l.conn.Load().Close()
}

// isIdle reports whether this daemon dialled the link and has made no call over
// it for idleTimeout.
func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialled && l.activeCalls == 0 && time.Since(l.lastUsed) > idleTimeout
}

// call sends a request and waits for the answer, at most for the timeout of the
// method.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeouts[method])
	defer cancel()
	l.addActiveCalls(1)
	defer l.addActiveCalls(-1)
	if method == methodForward {
		stop := l.closeIfUnresponsive(ctx)
		defer stop()
	}
	return fromRPCError(l.conn.Load().Call(ctx, method, params, result))
}

// addActiveCalls adds n to the number of calls in flight.
func (l *link) addActiveCalls(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeCalls += n
	l.lastUsed = time.Now()
}

// closeIfUnresponsive pings the peer during a long call until stop is called,
// at intervals of the ping's timeout. It closes the link if a ping fails, so
// that the call does not wait for a peer that is gone.
func (l *link) closeIfUnresponsive(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(callTimeouts[methodPing])
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if err := l.call(ctx, methodPing, nil, nil); err != nil && ctx.Err() == nil {
				l.close()
				return
			}
		}
	}()
	return cancel
}

// codeUnnumbered is the JSON-RPC error code of an error that has no
// wigeonladder.Code.
const codeUnnumbered = -32000

// toRPCError converts an error of a role to a JSON-RPC error.
func toRPCError(err error) *jsonrpc2.Error {
	var e *wigeonladder.Error
	if !errors.As(err, &e) {
		return &jsonrpc2.Error{Code: codeUnnumbered, Message: err.Error()}
	}
	rpcErr := &jsonrpc2.Error{Code: int64(e.Code), Message: e.Detail}
	rpcErr.SetError(errorData{e.Place, e.RetryAfter})
	return rpcErr
}

// errorData holds the fields of a wigeonladder.Error that have no counterpart
// in a JSON-RPC error.
type errorData struct {
	Place      string `json:"p,omitempty"`
	RetryAfter int    `json:"r,omitempty"`
}

// fromRPCError converts a JSON-RPC error back to the error of the peer's role.
// It returns other errors unchanged.
func fromRPCError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		return err
	}
	if rpcErr.Code <= 0 {
		return fmt.Errorf("peer answered: %s", rpcErr.Message)
	}
	var data errorData
	if rpcErr.Data != nil {
		if err := json.Unmarshal(*rpcErr.Data, &data); err != nil {
			return err
		}
	}
	return &wigeonladder.Error{Code: wigeonladder.Code(rpcErr.Code), Place: data.Place, Detail: rpcErr.Message, RetryAfter: data.RetryAfter}
}
