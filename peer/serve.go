package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/member"
)

// errNotReady answers calls to roles before SetRoles.
var errNotReady = errors.New("the daemon is starting")

// errBusy answers calls whose queue is full.
var errBusy = errors.New("too many requests wait")

// handler handles the requests that arrive over one link.
type handler struct{ link *link }

// Handle implements jsonrpc2.Handler. It returns at once, because the
// connection reads no other message until then.
func (h handler) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.link.conn.Store(c)
	serve := func() {
		ctx, cancel := context.WithTimeout(ctx, max(callTimeouts[req.Method], callTimeouts[methodPing]))
		defer cancel()
		result, err := h.dispatch(ctx, req)
		if req.Notif {
			return
		}
		if err != nil {
			_ = c.ReplyWithError(ctx, req.ID, toRPCError(err))
			return
		}
		_ = c.Reply(ctx, req.ID, result)
	}
	name, ordered := methodQueues[req.Method]
	if !ordered {
		go serve()
		return
	}
	if !h.link.queue(name).enqueue(serve) {
		go func() { _ = c.ReplyWithError(ctx, req.ID, toRPCError(errBusy)) }()
	}
}

// queue returns the queue with a name and creates it if there is none.
func (l *link) queue(name string) *serialQueue {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.queues[name]
	if s == nil {
		s = &serialQueue{}
		l.queues[name] = s
	}
	return s
}

// decodeParams decodes the parameters of a request.
func decodeParams[T any](req *jsonrpc2.Request) (T, error) {
	var v T
	if req.Params == nil {
		return v, errors.New("no parameters")
	}
	err := json.Unmarshal(*req.Params, &v)
	return v, err
}

// emptyResult is the result of a method that returns nothing.
type emptyResult struct{}

// handleParams decodes the parameters of a request and calls f with them.
func handleParams[T, R any](req *jsonrpc2.Request, f func(T) (R, error)) (any, error) {
	p, err := decodeParams[T](req)
	if err != nil {
		return nil, err
	}
	return f(p)
}

// dispatch calls the handler of the request's method.
func (h handler) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	m := h.link.mesh
	switch req.Method {
	case methodPing:
		return emptyResult{}, nil
	case methodHello:
		return handleParams(req, h.handleHello)
	case methodHeartbeat:
		return handleParams(req, func(b heartbeat) (heartbeat, error) { return m.handleHeartbeat(b), nil })
	case methodFetchConfig:
		return m.serveConfig(ctx), nil
	case methodForward:
		return handleParams(req, func(t forwardedRequest) (any, error) { return m.runForwarded(ctx, t) })
	case methodHoldsContract:
		return handleParams(req, func(p holdsContractParams) (bool, error) { return m.holdsContract(p.Server), nil })
	case methodGrant, methodRecall:
		return m.serveEntry(ctx, req)
	}
	return m.serveHome(ctx, req)
}

// handleHello adds the link under the VM name that the dialling daemon gives
// and returns the record of this daemon.
func (h handler) handleHello(r member.Record) (member.Record, error) {
	h.link.mesh.addLink(h.link, r.VM)
	return h.link.mesh.table.Self(), nil
}

// roles returns the roles of this daemon; they are nil before SetRoles.
func (m *Mesh) roles() (wigeonladder.Home, wigeonladder.Entry, TicketRunner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.home, m.entry, m.tickets
}

// serveHome handles a call to the home role.
func (m *Mesh) serveHome(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	home, _, _ := m.roles()
	if home == nil {
		return nil, errNotReady
	}
	switch req.Method {
	case methodRequestSlot:
		return handleParams(req, func(a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, error) { return home.RequestSlot(ctx, a) })
	case methodReportDemand:
		return handleParams(req, func(d numberedDemandReport) (emptyResult, error) {
			return emptyResult{}, m.handleDemandReport(ctx, home, d)
		})
	case methodRenew:
		return handleParams(req, func(r wigeonladder.Renewal) (emptyResult, error) { return emptyResult{}, home.Renew(ctx, r) })
	case methodRelease:
		return handleParams(req, func(r releaseParams) (emptyResult, error) { return emptyResult{}, home.Release(ctx, r.Releases) })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

// handleDemandReport passes a report to the home unless a later report of the
// same incarnation arrived before it. In that case it returns an error, upon
// which the sender reports all its demands.
func (m *Mesh) handleDemandReport(ctx context.Context, home wigeonladder.Home, d numberedDemandReport) error {
	m.mu.Lock()
	r := m.peerState(d.Report.Entry)
	stale := r.demandIncarnation == d.Incarnation && d.Sequence <= r.demandSequence
	if !stale {
		r.demandIncarnation, r.demandSequence = d.Incarnation, d.Sequence
	}
	m.mu.Unlock()
	if stale {
		return wigeonladder.Errorf(wigeonladder.CodeNotFound, d.Report.Entry, "a later demand report came before")
	}
	return home.ReportDemand(ctx, d.Report)
}

// serveEntry handles a call to the entry role.
func (m *Mesh) serveEntry(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	_, entry, _ := m.roles()
	if entry == nil {
		return nil, errNotReady
	}
	if req.Method == methodGrant {
		return handleParams(req, func(g grantParams) (emptyResult, error) { return emptyResult{}, entry.Grant(ctx, g.Contracts) })
	}
	return handleParams(req, func(r recallParams) (emptyResult, error) { return emptyResult{}, entry.Recall(ctx, r.IDs) })
}

// runForwarded runs a request whose ticket this daemon issued.
func (m *Mesh) runForwarded(ctx context.Context, t forwardedRequest) (any, error) {
	_, _, tickets := m.roles()
	if tickets == nil {
		return nil, errNotReady
	}
	return tickets.RunForwarded(ctx, t.Incarnation, t.request()), nil
}

// holdsContract reports whether the entry role of this daemon holds a contract
// on a server. It returns true for an entry that cannot tell.
func (m *Mesh) holdsContract(server string) bool {
	_, entry, _ := m.roles()
	h, ok := entry.(ContractHolder)
	return !ok || h.HoldsContract(server)
}
