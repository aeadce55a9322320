package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Bounds of slot requests.
const (
	// maxSlotRequests is the largest number of homes from which a slot is
	// requested for one request.
	maxSlotRequests = 2
	// slotOfferTimeout bounds the wait for the offer of one home, so that a
	// home that does not answer cannot hold up the request.
	slotOfferTimeout = 250 * time.Millisecond
	// slotRequestTimeout bounds the call itself. A contract that arrives after
	// slotOfferTimeout is returned unused.
	slotRequestTimeout = time.Second
	// noFreeSlotDelay is how long a home that offered no slot is not asked
	// again.
	noFreeSlotDelay = 100 * time.Millisecond
	// failedHomeDelay is how long a home that did not answer is not asked
	// again.
	failedHomeDelay = time.Second
)

// requestFromHomes requests a slot from the best homes in turn. It returns
// false if none offered one.
func (q *Queue) requestFromHomes(ctx context.Context, r wigeonladder.Request) (wigeonladder.Contract, bool) {
	slotRequest, homes := q.rankHomes(r)
	for _, vm := range homes {
		q.options.Journal.Note(r.ID, "asked", "home", vm, "preferred", slotRequest.Server)
		o, ok := q.requestSlot(ctx, vm, slotRequest)
		if !ok {
			q.options.Journal.Note(r.ID, "held", "home", vm, "reason", "no answer")
			continue
		}
		if !o.OK {
			q.options.Journal.Note(r.ID, "held", "home", vm, "reason", "no free slot")
			continue
		}
		c := o.Contract.WithReceived(time.Now())
		q.mu.Lock()
		recalled := q.recalled.Has(c.ID)
		if !recalled {
			q.addHeld(c, r)
		}
		q.mu.Unlock()
		if recalled {
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
	q.options.Journal.Note(request, "granted", "contract", c.ID.HomeIncarnation, "number", c.ID.Number,
		"server", c.Server, "reason", reason)
}

// rankHomes returns the slot request for a request and the homes to send it to,
// best first: this daemon, then those of its zone, then the home of the
// preferred server, then by the last known free slots. Homes that recently
// offered no slot or did not answer are left out, except this daemon.
func (q *Queue) rankHomes(r wigeonladder.Request) (wigeonladder.SlotRequest, []string) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	slotRequest := wigeonladder.SlotRequest{
		Entry:  q.self,
		Server: q.affinityOf(r.Service).Server(r.PrefixHash),
		Demand: wigeonladder.Demand{
			Service: r.Service, Workspace: r.Workspace, Waiting: 1, Urgency: r.Urgency,
			Estimate: r.Estimate, Model: r.Model, PrefixHash: r.PrefixHash, Avoid: r.Avoid,
		},
	}
	preferred := q.view.servers[slotRequest.Server].home
	homes := slices.Clone(q.view.homes(r.Service, r.Model))
	homes = slices.DeleteFunc(homes, func(vm string) bool {
		return vm != q.self && !q.home(vm).mayOfferSlot(demandKey{service: r.Service, model: r.Model}, now)
	})
	slices.SortStableFunc(homes, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(q.distance(q.view, a), q.distance(q.view, b)),
			-compareBool(a == preferred, b == preferred),
			cmp.Compare(q.home(b).freeSlots[demandKey{service: r.Service, model: r.Model}].slots,
				q.home(a).freeSlots[demandKey{service: r.Service, model: r.Model}].slots),
		)
	})
	return slotRequest, homes[:min(maxSlotRequests, len(homes))]
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

// requestSlot requests a slot from one home. It returns false if the home did
// not answer in time; the contract of a late offer is returned to the home.
func (q *Queue) requestSlot(ctx context.Context, vm string, a wigeonladder.SlotRequest) (wigeonladder.SlotOffer, bool) {
	if vm == q.self {
		o, err := q.options.Fleet.Home(vm).RequestSlot(ctx, a)
		return o, err == nil
	}
	answer := make(chan wigeonladder.SlotOffer)
	abandoned := make(chan struct{})
	defer close(abandoned)
	wait, cancel := context.WithTimeout(ctx, slotOfferTimeout)
	defer cancel()
	go func() {
		call, cancel := context.WithTimeout(q.ctx, slotRequestTimeout)
		defer cancel()
		o, err := q.options.Fleet.Home(vm).RequestSlot(call, a)
		q.recordOffer(vm, a, o, err)
		if err != nil {
			return
		}
		select {
		case answer <- o:
		case <-abandoned:
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

// recordOffer records what the answer of a home, or its failure, tells about
// it.
func (q *Queue) recordOffer(vm string, a wigeonladder.SlotRequest, o wigeonladder.SlotOffer, err error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.home(vm)
	if err != nil {
		c.lastFailure = now
		return
	}
	c.lastFailure = time.Time{}
	c.freeSlots[demandKey{service: a.Demand.Service, model: a.Demand.Model}] = slotCount{slots: o.Free, none: !o.OK, at: now}
}
