package entry

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Grant implements wigeonladder.Entry: it gives each contract to the first
// request that it fits, and returns the others.
func (q *Queue) Grant(ctx context.Context, cs []wigeonladder.Contract) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	now := time.Now()
	for _, c := range cs {
		if reason := q.take(c.WithReceived(now)); reason != "" {
			q.giveBack(c, reason)
		}
	}
	return nil
}

// take gives a contract to a request; otherwise it says why not.
func (q *Queue) take(c wigeonladder.Contract) (reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.held[c.ID]; ok {
		return ""
	}
	w, reason := q.match(c)
	if w == nil {
		q.reportLater(c.Service, c.Workspace)
		return reason
	}
	q.granted(c, w.lane.laneKey)
	q.drop(q.lines[c.Service], w)
	q.hold(c, w.request)
	// The home takes the contract for an answer to one row of the workspace;
	// it may have served another one.
	q.dirtyShelf(c.Service, c.Workspace)
	q.noteGrant(w.request.ID, c, "first in the queue of its workspace")
	w.done <- outcome{contract: c}
	return ""
}

// match returns the first request that a contract fits, or why there is none.
func (q *Queue) match(c wigeonladder.Contract) (w *waiter, reason string) {
	if q.recalled.Has(c.ID) {
		return nil, "recalled"
	}
	if c.Received.Sub(q.beat) > pauseGap || c.Received.Before(q.trusted) {
		return nil, "this daemon was paused"
	}
	l := q.lines[c.Service]
	if l == nil || l.shelves[c.Workspace] == nil {
		return nil, "nothing waits"
	}
	s, ok := q.view.servers[c.Server]
	if !ok {
		return nil, "server is not in the register"
	}
	w = l.shelves[c.Workspace].head(s.has)
	if w == nil {
		return nil, "nothing waits for a model of the server"
	}
	return w, ""
}

// reportLater reports the rows of a workspace again after a contract was
// refused although work waits. Reporting at once would have the home grant
// and this entry refuse in a tight loop while they disagree on a server.
func (q *Queue) reportLater(service, workspace string) {
	l := q.lines[service]
	if l == nil || l.shelves[workspace] == nil {
		return
	}
	time.AfterFunc(distrust, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.ctx.Err() == nil {
			q.dirtyShelf(service, workspace)
		}
	})
}

// Recall implements wigeonladder.Entry. Contracts that are not in use go back;
// those that did not arrive yet are refused when they do.
func (q *Queue) Recall(ctx context.Context, ids []wigeonladder.ContractID) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	now := time.Now()
	var missing []wigeonladder.Release
	q.mu.Lock()
	for _, id := range ids {
		h := q.held[id]
		switch {
		case h == nil:
			q.recalled.Add(id, now)
			missing = append(missing, wigeonladder.Release{ID: id, Unused: true})
		case !h.used:
			h.recalled = true
			q.o.Journal.Note(h.request, "recalled", "contract", id.HomeIncarnation, "number", id.Number)
		}
	}
	homes := make([]string, 0, len(q.contacts))
	for vm := range q.contacts {
		homes = append(homes, vm)
	}
	q.mu.Unlock()
	if len(missing) == 0 {
		return nil
	}
	// An identifier does not name the VM of its home; other homes ignore it.
	for _, vm := range homes {
		q.release(vm, missing...)
	}
	return nil
}

// CheckBeforeSend is the last step before the first byte is sent to a server. An error
// means that the contract must not be used; nothing was sent.
func (q *Queue) CheckBeforeSend(c wigeonladder.Contract) error {
	leaving := q.o.Fleet.State(c.Server) == wigeonladder.StateLeaving
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.held[c.ID]
	switch {
	case h == nil:
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the contract is not held")
	case h.recalled:
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the contract was recalled")
	case leaving:
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the server is leaving")
	case time.Since(h.contract.Received) > wigeonladder.ContractUseTimeout:
		return wigeonladder.Errorf(wigeonladder.CodeContractLate, c.Server, "the contract was not used in time")
	}
	h.used = true
	return nil
}
