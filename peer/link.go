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

// idleTimeout is how long a dialled connection stays open without a call.
const idleTimeout = time.Minute

// link is one connection to another daemon.
type link struct {
	mesh    *Mesh
	dialled bool
	// conn is also set by the first request, which may come before NewConn
	// returns.
	conn atomic.Pointer[jsonrpc2.Conn]

	mu          sync.Mutex
	vm          string
	lastUsed    time.Time
	activeCalls int
	queues      map[string]*serialQueue
	closed      atomic.Bool
}

// newLink starts to serve a connection.
func (m *Mesh) newLink(c net.Conn, dialled bool) *link {
	l := &link{mesh: m, dialled: dialled, lastUsed: time.Now(), queues: map[string]*serialQueue{}}
	s := newStream(c, m.meter)
	conn := jsonrpc2.NewConn(m.ctx, s, handler{l},
		jsonrpc2.OnSend(s.onSend), jsonrpc2.OnRecv(s.onRecv),
		// A peer that goes away is no error of this daemon.
		jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	l.conn.Store(conn)
	return l
}

// peerName returns the VM name that the other side gave; empty before.
func (l *link) peerName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vm
}

// setPeerName sets the VM setPeerName of the other side.
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

// close ends the connection. Calls under way fail.
func (l *link) close() {
	l.closed.Store(true)
	_ = l.conn.Load().Close()
}

// isIdle reports whether a dialled connection has not been used for long.
func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialled && l.activeCalls == 0 && time.Since(l.lastUsed) > idleTimeout
}

// call sends a request and waits for its answer, at most until the deadline of
// the method.
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

// addActiveCalls counts calls under way.
func (l *link) addActiveCalls(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeCalls += n
	l.lastUsed = time.Now()
}

// closeIfUnresponsive pings the peer during a long call and closes the connection when it
// does not answer, so that the call does not wait for a peer that is gone.
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

// codeUnnumbered is the JSON-RPC code of an error without a result code.
const codeUnnumbered = -32000

// toRPCError returns the JSON-RPC error for an error of a role.
func toRPCError(err error) *jsonrpc2.Error {
	var e *wigeonladder.Error
	if !errors.As(err, &e) {
		return &jsonrpc2.Error{Code: codeUnnumbered, Message: err.Error()}
	}
	rpcErr := &jsonrpc2.Error{Code: int64(e.Code), Message: e.Detail}
	rpcErr.SetError(errorData{e.Place, e.RetryAfter})
	return rpcErr
}

// errorData carries the rest of a wigeonladder.Error.
type errorData struct {
	Place      string `json:"p,omitempty"`
	RetryAfter int    `json:"r,omitempty"`
}

// fromRPCError returns the error that the other side had.
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
