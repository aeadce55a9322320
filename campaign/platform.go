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

// registry is the platform: the published documents and the list of VMs. It
// may be down, or serve an old copy.
type registry struct {
	mu     sync.Mutex
	docs   map[uint64][]byte
	newest uint64
	lists  []wigeonladder.LiveList
	// down and stale count the faults of these kinds.
	down    int
	stale   int
	oldDoc  uint64
	oldList int
	changed chan struct{}
}

// newRegistry returns a platform that lists all VMs of a register as live.
func newRegistry(c wigeonladder.Config) *registry {
	r := &registry{docs: map[uint64][]byte{}, changed: make(chan struct{})}
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

// set changes the platform and wakes those who wait.
func (r *registry) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// publish publishes a configuration; an invalid one has a share of a workspace
// that does not exist.
func (r *registry) publish(c wigeonladder.Config, valid bool) {
	if !valid {
		c.Rules.Shares = append(slices.Clone(c.Rules.Shares), wigeonladder.ShareRule{Workspace: "nobody", Weight: 1})
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	r.set(func() { r.docs[c.Revision], r.newest = data, c.Revision })
}

// list publishes the state of a VM.
func (r *registry) list(name string, s wigeonladder.VMState) {
	r.set(func() {
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

// state returns the published state of a VM.
func (r *registry) state(name string) wigeonladder.VMState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, _ := r.lists[len(r.lists)-1].State(name)
	return s
}

// setStale makes the platform serve what it has now until it is set back with
// -1.
func (r *registry) setStale(by int) {
	r.set(func() {
		if r.stale == 0 {
			r.oldDoc, r.oldList = r.newest, len(r.lists)-1
		}
		r.stale += by
	})
}

// setDown stops the platform or, with -1, starts it.
func (r *registry) setDown(by int) { r.set(func() { r.down += by }) }

// serves returns what the platform serves now.
func (r *registry) serves() (doc uint64, list wigeonladder.LiveList, down bool, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale > 0 {
		return r.oldDoc, r.lists[r.oldList], r.down > 0, r.changed
	}
	return r.newest, r.lists[len(r.lists)-1], r.down > 0, r.changed
}

// errDown is the answer of a platform that is down.
var errDown = errors.New("the platform is down")

// wait is a long poll for something above a version.
func (r *registry) wait(ctx context.Context, above uint64, wait time.Duration, config bool) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		doc, list, down, changed := r.serves()
		if down {
			return errDown
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
func (r *registry) Config(ctx context.Context, above uint64, wait time.Duration) ([]byte, error) {
	if err := r.wait(ctx, above, wait, true); err != nil {
		return nil, err
	}
	doc, _, _, _ := r.serves()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.docs[doc], nil
}

// Live implements wigeonladder.Platform.
func (r *registry) Live(ctx context.Context, above uint64, wait time.Duration) (wigeonladder.LiveList, error) {
	if err := r.wait(ctx, above, wait, false); err != nil {
		return wigeonladder.LiveList{}, err
	}
	_, list, _, _ := r.serves()
	return list, nil
}
