package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/member"
)

// errNotReady answers calls to roles that are not set yet.
var errNotReady = errors.New("the daemon is starting")

// errBusy answers calls when too many of their kind wait.
var errBusy = errors.New("too many requests wait")

// handler serves the requests that come over one link.
type handler struct{ link *link }

// Handle implements jsonrpc2.Handler. It returns at once, because the
// connection reads nothing else meanwhile.
func (h handler) Handle(ctx context.Context, c *jsonrpc2.Conn, q *jsonrpc2.Request) {
	h.link.conn.Store(c)
	serve := func() {
		ctx, cancel := context.WithTimeout(ctx, max(deadlines[q.Method], deadlines[methodPing]))
		defer cancel()
		result, err := h.serve(ctx, q)
		if q.Notif {
			return
		}
		if err != nil {
			_ = c.ReplyWithError(ctx, q.ID, toWire(err))
			return
		}
		_ = c.Reply(ctx, q.ID, result)
	}
	name, ordered := queues[q.Method]
	if !ordered {
		go serve()
		return
	}
	if !h.link.queue(name).run(serve) {
		go func() { _ = c.ReplyWithError(ctx, q.ID, toWire(errBusy)) }()
	}
}

// queue returns the queue with a name.
func (l *link) queue(name string) *serial {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.queues[name]
	if s == nil {
		s = &serial{}
		l.queues[name] = s
	}
	return s
}

// params reads the parameters of a request.
func params[T any](q *jsonrpc2.Request) (T, error) {
	var v T
	if q.Params == nil {
		return v, errors.New("no parameters")
	}
	err := json.Unmarshal(*q.Params, &v)
	return v, err
}

// none is the empty answer.
type none struct{}

// on reads the parameters and calls a function with them.
func on[T, R any](q *jsonrpc2.Request, f func(T) (R, error)) (any, error) {
	p, err := params[T](q)
	if err != nil {
		return nil, err
	}
	return f(p)
}

// serve handles one request.
func (h handler) serve(ctx context.Context, q *jsonrpc2.Request) (any, error) {
	m := h.link.mesh
	switch q.Method {
	case methodPing:
		return none{}, nil
	case methodHello:
		return on(q, h.hello)
	case methodBeat:
		return on(q, func(b beat) (beat, error) { return m.answer(b), nil })
	case methodConfig:
		return m.giveConfig(ctx), nil
	case methodTicket:
		return on(q, func(t ticketRun) (any, error) { return m.runTicket(ctx, t) })
	case methodHolds:
		return on(q, func(p holds) (bool, error) { return m.holds(p.Server), nil })
	case methodGrant, methodRecall:
		return m.serveEntry(ctx, q)
	}
	return m.serveHome(ctx, q)
}

// hello learns who dialled.
func (h handler) hello(r member.Record) (member.Record, error) {
	h.link.mesh.register(h.link, r.VM)
	return h.link.mesh.table.Self(), nil
}

// roles returns the roles of this daemon.
func (m *Mesh) roles() (wigeonladder.Home, wigeonladder.Entry, TicketRunner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.home, m.entry, m.tickets
}

// serveHome handles a call to the home role.
func (m *Mesh) serveHome(ctx context.Context, q *jsonrpc2.Request) (any, error) {
	home, _, _ := m.roles()
	if home == nil {
		return nil, errNotReady
	}
	switch q.Method {
	case methodAsk:
		return on(q, func(a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) { return home.RequestSlot(ctx, a) })
	case methodDemand:
		return on(q, func(d demand) (none, error) { return none{}, m.takeDemand(ctx, home, d) })
	case methodRenew:
		return on(q, func(r wigeonladder.Renewal) (none, error) { return none{}, home.Renew(ctx, r) })
	case methodRelease:
		return on(q, func(r releases) (none, error) { return none{}, home.Release(ctx, r.List) })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: q.Method}
}

// takeDemand passes a report on unless a later one of the same sender came
// before. Then it is an error, upon which the sender reports all its demands.
func (m *Mesh) takeDemand(ctx context.Context, home wigeonladder.Home, d demand) error {
	m.mu.Lock()
	r := m.remote(d.Report.Entry)
	stale := r.sender == d.Incarnation && d.Number <= r.report
	if !stale {
		r.sender, r.report = d.Incarnation, d.Number
	}
	m.mu.Unlock()
	if stale {
		return wigeonladder.Errorf(wigeonladder.CodeNotFound, d.Report.Entry, "a later demand report came before")
	}
	return home.ReportDemand(ctx, d.Report)
}

// serveEntry handles a call to the entry role.
func (m *Mesh) serveEntry(ctx context.Context, q *jsonrpc2.Request) (any, error) {
	_, entry, _ := m.roles()
	if entry == nil {
		return nil, errNotReady
	}
	if q.Method == methodGrant {
		return on(q, func(g grant) (none, error) { return none{}, entry.Grant(ctx, g.Contracts) })
	}
	return on(q, func(r recall) (none, error) { return none{}, entry.Recall(ctx, r.IDs) })
}

// runTicket handles a forwarded request.
func (m *Mesh) runTicket(ctx context.Context, t ticketRun) (any, error) {
	_, _, tickets := m.roles()
	if tickets == nil {
		return nil, errNotReady
	}
	return tickets.RunForwarded(ctx, t.Incarnation, t.request()), nil
}

// holds reports whether the own entry holds a contract on a server. An entry
// that cannot tell may hold one.
func (m *Mesh) holds(server string) bool {
	_, entry, _ := m.roles()
	h, ok := entry.(ContractHolder)
	return !ok || h.HoldsContract(server)
}
