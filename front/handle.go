package front

import (
	"context"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
	"github.com/wigeonladder/wigeonladder/memory"
)

// refuseUnread answers a request that could not be read, or whose head was enough to
// refuse it. The call is nil, and the connection is closed, if the head could not be
// read.
func (c *connection) refuseUnread(x *exchange, call *wigeonladder.Call, err error) {
	e := errorOf(err)
	if c.account.Evicted() {
		// The reads failed because the budget interrupted them.
		e = errorOf(memory.ErrEvicted)
	}
	if e.Code == wigeonladder.CodeSlowCaller {
		c.server.slowCalls.Add(1)
	}
	c.conn.Resume()
	id, event := "", "call_unreadable"
	if call != nil {
		id = call.ID
	} else {
		x.response.SetConnectionClose()
	}
	if x.refused {
		event = "call_refused"
	}
	c.server.o.Journal.Note(id, event, "code", e.Code, "detail", err)
	c.server.o.Codec.WriteRefusal(x.response, call, e)
	if x.response.ConnectionClose() {
		// What was held for the request is given up before the refusal is written.
		c.releaseReader()
		c.account.EndRequest()
	}
}

// answerCall runs or refuses a call that has been read.
func (s *Server) answerCall(x *exchange, w *conn.Conn, call *wigeonladder.Call) {
	if s.refusingCalls.Load() {
		s.o.Journal.Note(call.ID, "call_refused", "code", wigeonladder.CodeDraining)
		s.o.Codec.WriteRefusal(x.response, call, wigeonladder.Errorf(wigeonladder.CodeDraining, "", "the daemon is stopping").WithRetryDelay(drainingRetryDelay))
		return
	}
	if !x.account.Pin() {
		w.Resume()
		s.o.Journal.Note(call.ID, "call_refused", "code", wigeonladder.CodeOverload)
		s.o.Codec.WriteRefusal(x.response, call, errorOf(memory.ErrEvicted))
		x.response.SetConnectionClose()
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	stop := w.Watch(cancel)
	s.openCalls.Add(1)
	defer func() {
		stop()
		cancel()
		x.account.Unpin()
		s.openCalls.Add(-1)
	}()
	s.o.Handler(ctx, call, &reply{server: s, exchange: x, conn: w, call: call})
}
