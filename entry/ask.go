package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Bounds of asking.
const (
	// maxAsks is the number of homes that are asked for one request.
	maxAsks = 2
	// askLimit bounds the wait for one answer, so that a dead home cannot hold
	// the request.
	askLimit = 250 * time.Millisecond
	// askLife bounds the call itself. A contract that comes after askLimit goes
	// back as unused.
	askLife = time.Second
	// noneLife is how long an answer "none" spares another ask.
	noneLife = 100 * time.Millisecond
	// failedLife is how long a home that did not answer is not asked.
	failedLife = time.Second
)

// askHomes asks the best homes for a slot.
func (q *Queue) askHomes(ctx context.Context, r wigeonladder.Request) (wigeonladder.Contract, bool) {
	ask, homes := q.rank(r)
	for _, vm := range homes {
		q.o.Journal.Note(r.ID, "asked", "home", vm, "preferred", ask.Server)
		o, ok := q.ask(ctx, vm, ask)
		if !ok {
			q.o.Journal.Note(r.ID, "held", "home", vm, "reason", "no answer")
			continue
		}
		if !o.OK {
			q.o.Journal.Note(r.ID, "held", "home", vm, "reason", "no free slot")
			continue
		}
		c := o.Contract.WithReceived(time.Now())
		q.mu.Lock()
		withdrawn := q.recalled.Has(c.ID)
		if !withdrawn {
			q.hold(c, r)
		}
		q.mu.Unlock()
		if withdrawn {
			q.giveBack(c, "recalled")
			continue
		}
		q.noteGrant(r.ID, c, "asked")
		return c, true
	}
	return wigeonladder.Contract{}, false
}

// noteGrant records that a request got a contract.
func (q *Queue) noteGrant(request string, c wigeonladder.Contract, reason string) {
	q.o.Journal.Note(request, "granted", "contract", c.ID.HomeIncarnation, "number", c.ID.Number,
		"server", c.Server, "reason", reason)
}

// rank returns the ask for a request and the homes to ask, best first: this
// daemon, then by zone, then the home of the preferred server, then by the last
// known free slots. Homes that just said "none" or did not answer are left out.
func (q *Queue) rank(r wigeonladder.Request) (wigeonladder.SlotRequest, []string) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	ask := wigeonladder.SlotRequest{
		Entry:  q.self,
		Server: q.prefixes(r.Service).Server(r.PrefixHash),
		Demand: wigeonladder.Demand{
			Service: r.Service, Workspace: r.Workspace, Waiting: 1, Urgency: r.Urgency,
			Estimate: r.Estimate, Model: r.Model, PrefixHash: r.PrefixHash, Avoid: r.Avoid,
		},
	}
	preferred := q.view.servers[ask.Server].home
	homes := slices.Clone(q.view.homes(r.Service, r.Model))
	homes = slices.DeleteFunc(homes, func(vm string) bool {
		return vm != q.self && !q.contact(vm).worthAsking(laneKey{service: r.Service, model: r.Model}, now)
	})
	slices.SortStableFunc(homes, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(q.distance(q.view, a), q.distance(q.view, b)),
			-compareBool(a == preferred, b == preferred),
			cmp.Compare(q.contact(b).free[laneKey{service: r.Service, model: r.Model}].slots,
				q.contact(a).free[laneKey{service: r.Service, model: r.Model}].slots),
		)
	})
	return ask, homes[:min(maxAsks, len(homes))]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// ask asks one home. An answer that comes too late goes back.
func (q *Queue) ask(ctx context.Context, vm string, a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, bool) {
	if vm == q.self {
		o, err := q.o.Fleet.Home(vm).RequestSlot(ctx, a)
		return o, err == nil
	}
	answer := make(chan wigeonladder.SlotOffer)
	gone := make(chan struct{})
	defer close(gone)
	wait, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	go func() {
		call, cancel := context.WithTimeout(q.ctx, askLife)
		defer cancel()
		o, err := q.o.Fleet.Home(vm).RequestSlot(call, a)
		q.learn(vm, a, o, err)
		if err != nil {
			return
		}
		select {
		case answer <- o:
		case <-gone:
			if o.OK {
				q.giveBack(o.Contract, "answer came too late")
			}
		}
	}()
	select {
	case o := <-answer:
		return o, true
	case <-wait.Done():
		return wigeonladder.SlotOffer{}, false
	}
}

// learn keeps what an answer tells of a home.
func (q *Queue) learn(vm string, a wigeonladder.SlotRequest, o wigeonladder.SlotOffer, err error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.contact(vm)
	if err != nil {
		c.failed = now
		return
	}
	c.failed = time.Time{}
	c.free[laneKey{service: a.Demand.Service, model: a.Demand.Model}] = freeSlots{slots: o.Free, none: !o.OK, at: now}
}
