package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

func init() { cases["part"] = playPart }

const (
	partDaemons = 3
	partEngines = 6
	// partSound sound streams run at any time.
	partSound = 24
	// partPeriod is the time between two requests with the deadly part, partRequests
	// their number.
	partPeriod   = 1500 * time.Millisecond
	partRequests = 24
	// partContact is contactMs of mng-ladder.
	partContact = 3 * time.Second
)

// playPart lets requests come, no two alike, that share a part which crashes each replica
// that begins to write an answer on it.
func playPart(ctx context.Context, t *trial) (int, error) {
	store := stub.NewStore(listen())
	defer store.Close()
	store.PutRaw("op/config", config{version: 1, machine: mngLadder, tenants: map[string][]string{"w1": {"key-1"}}}.encode())
	crashes := &arrivals{record: t.record}
	var engines []*poisonEngine
	for n := range partEngines {
		l := listen()
		e := &poisonEngine{id: fmt.Sprintf("i-scribe%d", n+1), zone: zones[n%len(zones)], address: l.Addr().String(), slots: mngLadder.engineSlots, store: store, arrivals: crashes}
		e.start(l)
		defer e.stop()
		engines = append(engines, e)
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			for _, e := range engines {
				e.put()
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
	for n := range partDaemons {
		d, err := newDaemon(t.dir, n, zones[n], store.Address(), mngLadder, seeds)
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
	streams, stop := context.WithCancel(ctx)
	defer stop()
	var served, cut atomic.Int64
	var callers sync.WaitGroup
	for n := range partSound {
		callers.Go(func() { callStreams(streams, daemons, n, &served, &cut) })
	}
	time.Sleep(4 * time.Second)
	for n := range partRequests {
		if t.trouble {
			d := daemons[n%len(daemons)]
			callers.Go(func() {
				c := stub.NewCaller(false)
				defer c.Close()
				callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
				defer cancel()
				r, err := c.Do(callCtx, d.front, stub.Call{
					ID: fmt.Sprintf("part-%d", n), Host: host, Path: "/stream/proposal/1", APIKey: "key-1", Timeout: 3 * time.Second,
					PromptParts: fmt.Sprintf("5a5a:300,%s%x:300", deadlyPart, 0xf000+n), PromptTokens: 900, OutputTokens: 40, Body: fmt.Sprintf("prompt %d", n),
				})
				t.record.printf("request part-%d at %s: status %d, whole %v, error %v", n, d.name, r.Status, r.Complete, err)
			})
		}
		time.Sleep(partPeriod)
	}
	stop()
	callers.Wait()
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	late := 0
	for n, at := range crashes.at {
		if n >= 5 && at.Sub(crashes.at[4]) > partContact {
			late++
		}
	}
	t.record.printf("%d sound streams were whole, %d were not; %d crashes; %d requests with the part reached replicas later than contactMs after the fifth; the rule allows 3", served.Load(), cut.Load(), len(crashes.at), late)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}
