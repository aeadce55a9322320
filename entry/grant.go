package entry

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Grant implements wigeonladder.Entry: it gives each contract to the first
// request that it fits, and returns the others to their home.
func (q *Queue) Grant(ctx context.Context, cs []wigeonladder.Contract) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	now := time.Now()
	for _, c := range cs {
		if reason := q.assign(c.WithReceived(now)); reason != "" {
			q.giveBack(c, reason)
		}
	}
	return nil
}

// assign gives a contract to a request. If no request gets it, it returns the
// reason, else the empty string.
func (q *Queue) assign(c wigeonladder.Contract) (reason string) {
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
	q.countGrant(c, w.modelQueue.demandKey)
	q.dequeue(q.services[c.Service], w)
	q.addHeld(c, w.request)
	// The home counts the contract against one row of the workspace, but it may
	// have gone to a request of another row.
	q.markWorkspaceChanged(c.Service, c.Workspace)
	q.noteGrant(w.request.ID, c, "first in the queue of its workspace")
	w.done <- outcome{contract: c}
	return ""
}

// match returns the first request that a contract fits, or nil and the reason
// why there is none.
func (q *Queue) match(c wigeonladder.Contract) (w *waiter, reason string) {
	if q.recalled.Has(c.ID) {
		return nil, "recalled"
	}
	if c.Received.Sub(q.lastRefresh) > pauseThreshold || c.Received.Before(q.grantsAcceptedFrom) {
		return nil, "this daemon was paused"
	}
	l := q.services[c.Service]
	if l == nil || l.workspaces[c.Workspace] == nil {
		return nil, "nothing waits"
	}
	s, ok := q.view.servers[c.Server]
	if !ok {
		return nil, "server is not in the register"
	}
	w = l.workspaces[c.Workspace].head(s.hasModel)
	if w == nil {
		return nil, "nothing waits for a model of the server"
	}
	return w, ""
}

// reportLater reports the rows of a workspace again, after a delay, when a
// contract was refused although requests wait. Reporting at once would have the
// home grant and this entry refuse in a tight loop while they disagree on a
// server.
func (q *Queue) reportLater(service, workspace string) {
	l := q.services[service]
	if l == nil || l.workspaces[workspace] == nil {
		return
	}
	time.AfterFunc(grantRefusalDelay, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.ctx.Err() == nil {
			q.markWorkspaceChanged(service, workspace)
		}
	})
}

// Recall implements wigeonladder.Entry. A held contract that was not used yet
// is marked, so that CheckBeforeSend refuses it. A contract that is not held is
// released as unused and refused if it arrives later.
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
			q.options.Journal.Note(h.request, "recalled", "contract", id.HomeIncarnation, "number", id.Number)
		}
	}
	homes := make([]string, 0, len(q.homes))
	for vm := range q.homes {
		homes = append(homes, vm)
	}
	q.mu.Unlock()
	if len(missing) == 0 {
		return nil
	}
	// A contract ID does not name the VM of its home. The releases go to all known
	// homes; those that did not grant the contract ignore them.
	for _, vm := range homes {
		q.release(vm, missing...)
	}
	return nil
}

// CheckBeforeSend decides, at the last step before the first byte is sent to a
// server, whether a contract may still be used, and marks it as used if so. An
// error means that the contract must not be used and that nothing was sent.
func (q *Queue) CheckBeforeSend(c wigeonladder.Contract) error {
	leaving := q.options.Fleet.State(c.Server) == wigeonladder.StateLeaving
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
