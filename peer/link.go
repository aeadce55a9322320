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

// idleAfter is how long a dialled connection stays open without a call.
const idleAfter = time.Minute

// link is one connection to another daemon.
type link struct {
	mesh    *Mesh
	dialled bool
	// conn is also set by the first request, which may come before NewConn
	// returns.
	conn atomic.Pointer[jsonrpc2.Conn]

	mu     sync.Mutex
	vm     string
	used   time.Time
	calls  int
	queues map[string]*serial
	closed atomic.Bool
}

// newLink starts to serve a connection.
func (m *Mesh) newLink(c net.Conn, dialled bool) *link {
	l := &link{mesh: m, dialled: dialled, used: time.Now(), queues: map[string]*serial{}}
	s := newStream(c, m.meter)
	conn := jsonrpc2.NewConn(m.ctx, s, handler{l},
		jsonrpc2.OnSend(s.onSend), jsonrpc2.OnRecv(s.onRecv),
		// A peer that goes away is no error of this daemon.
		jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	l.conn.Store(conn)
	return l
}

// peer returns the VM name that the other side gave; empty before.
func (l *link) peer() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vm
}

// name sets the VM name of the other side.
func (l *link) name(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vm = vm
}

// alive reports whether the connection is open.
func (l *link) alive() bool {
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

// idle reports whether a dialled connection has not been used for long.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialled && l.calls == 0 && time.Since(l.used) > idleAfter
}

// call sends a request and waits for its answer, at most until the deadline of
// the method.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, deadlines[method])
	defer cancel()
	l.begin(1)
	defer l.begin(-1)
	if method == methodTicket {
		stop := l.watch(ctx)
		defer stop()
	}
	return fromWire(l.conn.Load().Call(ctx, method, params, result))
}

// begin counts calls under way.
func (l *link) begin(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls += n
	l.used = time.Now()
}

// watch pings the peer during a long call and closes the connection when it
// does not answer, so that the call does not wait for a peer that is gone.
func (l *link) watch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(deadlines[methodPing])
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

// codeOther is the JSON-RPC code of an error without a result code.
const codeOther = -32000

// toWire returns the JSON-RPC error for an error of a role.
func toWire(err error) *jsonrpc2.Error {
	var e *wigeonladder.Error
	if !errors.As(err, &e) {
		return &jsonrpc2.Error{Code: codeOther, Message: err.Error()}
	}
	w := &jsonrpc2.Error{Code: int64(e.Code), Message: e.Detail}
	w.SetError(place{e.Place, e.RetryAfter})
	return w
}

// place carries the rest of a wigeonladder.Error.
type place struct {
	Place      string `json:"p,omitempty"`
	RetryAfter int    `json:"r,omitempty"`
}

// fromWire returns the error that the other side had.
func fromWire(err error) error {
	var w *jsonrpc2.Error
	if !errors.As(err, &w) {
		return err
	}
	if w.Code <= 0 {
		return fmt.Errorf("peer answered: %s", w.Message)
	}
	var p place
	if w.Data != nil {
		if err := json.Unmarshal(*w.Data, &p); err != nil {
			return err
		}
	}
	return &wigeonladder.Error{Code: wigeonladder.Code(w.Code), Place: p.Place, Detail: w.Message, RetryAfter: p.RetryAfter}
}
