package campaign

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// platform is the stand-in of the platform. It holds the published
// configurations and the versions of the live list. While it is down, its calls
// fail; while it is stale, it serves the state from the beginning of that
// fault.
type platform struct {
	mu sync.Mutex
	// docs holds the published configurations by revision, and lists the versions
	// of the live list in order.
	docs      map[uint64][]byte
	newestDoc uint64
	lists     []wigeonladder.LiveList
	// outages and staleFaults count the active faults of these kinds.
	outages     int
	staleFaults int
	// staleDoc is the revision and staleList the index in lists that a stale
	// platform serves.
	staleDoc  uint64
	staleList int
	changed   chan struct{}
}

// newPlatform returns a platform that lists all VMs of a register as live.
func newPlatform(c wigeonladder.Config) *platform {
	r := &platform{docs: map[uint64][]byte{}, changed: make(chan struct{})}
	list := wigeonladder.LiveList{Version: 1}
	for _, v := range c.Register.VMs {
		list.VMs = append(list.VMs, wigeonladder.LiveVM{Name: v.Name, State: wigeonladder.StateLive})
	}
	for _, s := range c.Register.Services {
		for _, b := range s.Servers {
			list.VMs = append(list.VMs, wigeonladder.LiveVM{Name: b.Name, State: wigeonladder.StateLive})
		}
	}
	r.lists = append(r.lists, list)
	r.publish(c, true)
	return r
}

// update changes the platform and wakes the long polls.
func (r *platform) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// publish publishes a configuration. An invalid one has a share of a workspace
// that does not exist.
func (r *platform) publish(c wigeonladder.Config, valid bool) {
	if !valid {
		c.Rules.Shares = append(slices.Clone(c.Rules.Shares), wigeonladder.ShareRule{Workspace: "nobody", Weight: 1})
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	r.update(func() { r.docs[c.Revision], r.newestDoc = data, c.Revision })
}

// setVMState publishes the state of a VM.
func (r *platform) setVMState(name string, s wigeonladder.VMState) {
	r.update(func() {
		last := r.lists[len(r.lists)-1]
		next := wigeonladder.LiveList{Version: last.Version + 1, VMs: slices.Clone(last.VMs)}
		for i := range next.VMs {
			if next.VMs[i].Name == name {
				next.VMs[i].State = s
			}
		}
		r.lists = append(r.lists, next)
	})
}

// vmState returns the published state of a VM.
func (r *platform) vmState(name string) wigeonladder.VMState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, _ := r.lists[len(r.lists)-1].State(name)
	return s
}

// adjustStaleFaults makes the platform serve its present state until it is
// called with -1.
func (r *platform) adjustStaleFaults(by int) {
	r.update(func() {
		if r.staleFaults == 0 {
			r.staleDoc, r.staleList = r.newestDoc, len(r.lists)-1
		}
		r.staleFaults += by
	})
}

// adjustOutages stops the platform or, with -1, starts it again.
func (r *platform) adjustOutages(by int) { r.update(func() { r.outages += by }) }

// served returns what the platform serves now, whether it is down, and a
// channel that is closed at the next change.
func (r *platform) served() (doc uint64, list wigeonladder.LiveList, down bool, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.staleFaults > 0 {
		return r.staleDoc, r.lists[r.staleList], r.outages > 0, r.changed
	}
	return r.newestDoc, r.lists[len(r.lists)-1], r.outages > 0, r.changed
}

// errPlatformDown is the error of calls while the platform is down.
var errPlatformDown = errors.New("the platform is down")

// longPoll waits for a configuration or, if config is false, a live list above
// a version.
func (r *platform) longPoll(ctx context.Context, above uint64, wait time.Duration, config bool) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		doc, list, down, changed := r.served()
		if down {
			return errPlatformDown
		}
		if config && doc > above || !config && list.Version > above {
			return nil
		}
		select {
		case <-changed:
		case <-t.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Config implements wigeonladder.Platform.
func (r *platform) Config(ctx context.Context, above uint64, wait time.Duration) ([]byte, error) {
	if err := r.longPoll(ctx, above, wait, true); err != nil {
		return nil, err
	}
	doc, _, _, _ := r.served()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.docs[doc], nil
}

// Live implements wigeonladder.Platform.
func (r *platform) Live(ctx context.Context, above uint64, wait time.Duration) (wigeonladder.LiveList, error) {
	if err := r.longPoll(ctx, above, wait, false); err != nil {
		return wigeonladder.LiveList{}, err
	}
	_, list, _, _ := r.served()
	return list, nil
}
