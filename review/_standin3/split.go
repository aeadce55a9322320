package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

func init() { cases["split"] = playSplit }

// splitStreams is the number of streams that run at the daemon that is killed, and at
// each of the others.
const splitStreams = 32

// playSplit kills one of three daemons while streams of a route that is split between two
// services run there. Their callers take them up at the others.
func playSplit(ctx context.Context, t *trial) (int, error) {
	store := stub.NewStore(listen())
	defer store.Close()
	store.PutRaw("op/config", config{version: 1, machine: mngLadder, canary: true, tenants: map[string][]string{"w1": {"key-1"}}}.encode())
	var engines []*engine
	for n, zone := range zones {
		for _, service := range []string{penService, canaryService} {
			e := newEngine(t, fmt.Sprintf("i-%s%d", service, n+1), service, zone, "v1")
			defer e.stop()
			engines = append(engines, e)
		}
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			for _, e := range engines {
				e.put(store)
			}
			select {
			case <-done:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	var daemons []*daemon
	var seeds []string
	for n, zone := range zones {
		d, err := newDaemon(t.dir, n, zone, store.Address(), mngLadder, seeds)
		if err != nil {
			return failed, err
		}
		seeds = append(seeds, d.peer)
		if err := d.start(); err != nil {
			return failed, err
		}
		defer d.kill()
		daemons = append(daemons, d)
	}
	if !awaitReady(ctx, 20*time.Second, daemons...) {
		return failed, fmt.Errorf("the daemons are not ready")
	}
	// Longer than the timeout of the route, so that the daemons know their servers for
	// longer than any stream lasts.
	time.Sleep(35 * time.Second)

	var mu sync.Mutex
	begun, taken, goneOn, fresh, freshBegun := 0, 0, 0, 0, 0
	var callers sync.WaitGroup
	for n := range splitStreams {
		callers.Go(func() {
			session := fmt.Sprintf("5e55%02x", n)
			first := ask(ctx, daemons[0].front, fmt.Sprintf("note-%02d", n), session)
			mu.Lock()
			begun++
			mu.Unlock()
			t.record.printf("stream %s at %s: status %d, %d events, whole %v", first.id, daemons[0].name, first.status, first.events, first.complete)
			if first.complete || first.events == 0 {
				return
			}
			time.Sleep(100 * time.Millisecond)
			d := daemons[1+n%2]
			rest := takeUp(ctx, d.front, first.id+"-again", session, first)
			mu.Lock()
			defer mu.Unlock()
			taken++
			if rest.status == 200 && rest.events > 0 {
				goneOn++
			}
			t.record.printf("stream %s is taken up at %s after event %d: status %d, %d events, whole %v", first.id, d.name, first.events, rest.status, rest.events, rest.complete)
		})
	}
	time.Sleep(2 * time.Second)
	if t.trouble {
		daemons[0].kill()
		t.record.printf("%s is killed", daemons[0].name)
	}
	for n := range splitStreams {
		callers.Go(func() {
			d := daemons[1+n%2]
			s := ask(ctx, d.front, fmt.Sprintf("fresh-%02d", n), fmt.Sprintf("f5e5%02x", n))
			mu.Lock()
			defer mu.Unlock()
			fresh++
			if s.status == 200 && s.events > 0 {
				freshBegun++
			}
		})
	}
	callers.Wait()
	t.record.printf("%d of %d new streams begin; %d of %d streams that are taken up go on", freshBegun, fresh, goneOn, taken)
	if taken >= 12 && float64(goneOn)/float64(taken) < 0.5*float64(freshBegun)/float64(fresh) {
		return broken, nil
	}
	return held, nil
}
