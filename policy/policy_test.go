package policy

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

const model = "nib-scribe"

func options(daemons, servers, slots, queueLimit int) Options {
	o := Options{QueueLimit: queueLimit}
	for i := range daemons {
		o.VMs = append(o.VMs, wigeonladder.VM{Name: fmt.Sprintf("vm%d", i)})
	}
	s := wigeonladder.Service{Name: model}
	for i := range servers {
		s.Servers = append(s.Servers, wigeonladder.Server{Name: fmt.Sprintf("s%d", i), Slots: slots, MaxSlots: slots})
	}
	o.Services = []wigeonladder.Service{s}
	return o
}

func request(workspace string, u wigeonladder.Urgency) wigeonladder.Request {
	return wigeonladder.Request{ID: workspace, Workspace: workspace, Service: model, Urgency: u, Estimate: 10}
}

// start places a request in the background and waits until it is granted,
// refused or queued.
func start(ctx context.Context, p wigeonladder.Placer, r wigeonladder.Request) *outcome {
	o := &outcome{}
	go func() {
		o.contract, o.err = p.Place(ctx, r)
		o.ended = true
	}()
	synctest.Wait()
	return o
}

type outcome struct {
	contract wigeonladder.Contract
	err      error
	ended    bool
}

// code returns the result code of an ended request.
func (o *outcome) code() wigeonladder.Code {
	var e *wigeonladder.Error
	errors.As(o.err, &e)
	if e == nil {
		return wigeonladder.CodeOK
	}
	return e.Code
}

// Guards against slots that are lost or granted twice when a server's slots are
// divided among the daemons.
func TestSplitGrantsEverySlotOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := NewSplit(options(5, 3, 16, 100))
		granted := map[string]int{}
		for vm := range 5 {
			for range 16 {
				o := start(ctx, p.PlacerFor(fmt.Sprintf("vm%d", vm)), request("a", 0))
				if o.ended {
					granted[o.contract.Server]++
				}
			}
		}
		is.Equal(granted, map[string]int{"s0": 16, "s1": 16, "s2": 16})
		cancel()
		synctest.Wait()
	})
}

// Guards against a request that waits although a slot is free, and against
// urgency that takes precedence over the shares of workspaces.
func TestCentralOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewCentral(options(2, 1, 1, 100))
		a, b := p.PlacerFor("vm0"), p.PlacerFor("vm1")
		first := start(t.Context(), a, request("x", wigeonladder.UrgencyNormal))
		is.True(first.ended)
		low := start(t.Context(), a, request("x", wigeonladder.UrgencyBatch))
		high := start(t.Context(), b, request("x", wigeonladder.UrgencyHigh))
		other := start(t.Context(), b, request("y", wigeonladder.UrgencyBatch))
		is.True(!low.ended && !high.ended && !other.ended)
		order := []*outcome{high, other, low} // x and y have the same counter, so the name decides
		held := first
		for _, next := range order {
			a.Release(held.contract, wigeonladder.Usage{Cost: 10})
			synctest.Wait()
			is.True(next.ended)
			held = next
		}
		a.Release(held.contract, wigeonladder.Usage{Cost: 10})
	})
}

// Guards against an unbounded queue, and against a workspace with many requests
// that causes refusals for other workspaces.
func TestFullQueueRefusesTheLongestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := NewAlone(options(1, 1, 1, 3)).PlacerFor("vm0")
		start(ctx, p, request("x", wigeonladder.UrgencyNormal)) // takes the slot
		kept := start(ctx, p, request("x", wigeonladder.UrgencyNormal))
		batch := start(ctx, p, request("x", wigeonladder.UrgencyBatch))
		late := start(ctx, p, request("x", wigeonladder.UrgencyNormal))
		other := start(ctx, p, request("y", wigeonladder.UrgencyBatch))
		is.Equal(batch.code(), wigeonladder.CodeQueueFull)
		var e *wigeonladder.Error
		is.True(errors.As(batch.err, &e))
		is.True(e.RetryAfter > 0)
		is.True(!kept.ended && !late.ended && !other.ended)
		cancel()
		synctest.Wait()
		is.Equal(other.code(), wigeonladder.CodeCallerGone)
	})
}

// Guards against a slot that is lost when the caller of a waiting request
// disconnects.
func TestGoneCallerLosesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewCentral(options(1, 1, 1, 3)).PlacerFor("vm0")
		ctx, cancel := context.WithCancel(t.Context())
		held := start(t.Context(), p, request("x", 0))
		gone := start(ctx, p, request("y", 0))
		cancel()
		synctest.Wait()
		is.Equal(gone.code(), wigeonladder.CodeCallerGone)
		p.Release(held.contract, wigeonladder.Usage{Cost: 10})
		is.True(start(t.Context(), p, request("x", 0)).ended)
	})
}

// Guards against requests that are sent to an unreachable server.
func TestUnreachableServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := options(1, 2, 2, 3)
		o.CanReach = func(_ string, s wigeonladder.Server) bool { return s.Name == "s1" }
		p := NewCentral(o).PlacerFor("vm0")
		for range 2 {
			is.Equal(start(t.Context(), p, request("x", 0)).contract.Server, "s1")
		}
	})
}
