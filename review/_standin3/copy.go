package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

func init() { cases["copy"] = playCopy }

const (
	revokeTime = 5 * time.Second
	// copyLead is the time from the copy to the revocation, stopAfter that from the
	// revocation to the planned stop of a daemon, awayAfter that to the drill, awayTime how
	// long the store is away, rewriteDelay the time after which what it has lost is written
	// again.
	copyLead     = 300 * time.Millisecond
	stopAfter    = 1500 * time.Millisecond
	awayAfter    = 5200 * time.Millisecond
	awayTime     = 500 * time.Millisecond
	rewriteDelay = time.Second
	askPeriod    = 40 * time.Millisecond
)

// playCopy revokes a key; later the store comes back from a copy that still has it, while
// a daemon is stopped and started as planned.
func playCopy(ctx context.Context, t *trial) (int, error) {
	store := stub.NewStore(listen())
	defer store.Close()
	store.PutRaw("op/config", config{version: 1, machine: mngLadder, tenants: map[string][]string{"w1": {"key-1", "key-2"}}}.encode())
	desk := newReplica("i-desk1", deskService, zones[0], "v1")
	defer desk.Close()
	done := make(chan struct{})
	defer close(done)
	go beat(store, func() []*replica { return []*replica{desk} }, done)
	var daemons []*daemon
	for n := range 3 {
		var seeds []string
		for _, d := range daemons {
			seeds = append(seeds, d.peer)
		}
		d, err := newDaemon(t.dir, n, zones[n], store.Address(), mngLadder, seeds)
		if err != nil {
			return failed, err
		}
		if err := d.start(); err != nil {
			return failed, err
		}
		defer d.kill()
		daemons = append(daemons, d)
	}
	if !awaitReady(ctx, 20*time.Second, daemons...) {
		return failed, fmt.Errorf("the daemons are not ready")
	}
	time.Sleep(3 * time.Second)

	restore := store.Copy()
	time.Sleep(copyLead)
	revoked := config{version: 2, machine: mngLadder, tenants: map[string][]string{"w1": {"key-1"}}}.encode()
	store.PutRaw("op/config", revoked)
	ackedAt := time.Now()
	t.record.printf("the store accepts version 2, which takes key-2 away")

	asking, stop := context.WithCancel(ctx)
	defer stop()
	var askers sync.WaitGroup
	a := &keyAsker{trial: t, ackedAt: ackedAt}
	for _, d := range daemons {
		askers.Go(func() { a.ask(asking, d) })
	}
	last := daemons[len(daemons)-1]
	time.Sleep(stopAfter)
	last.signal(syscall.SIGTERM)
	t.record.printf("%s gets SIGTERM", last.name)
	go func() {
		<-last.exited
		t.record.printf("%s has ended", last.name)
	}()
	time.Sleep(time.Until(ackedAt.Add(awayAfter)))
	if t.trouble {
		store.SetMode(stub.Resetting)
		t.record.printf("the store is away")
	}
	time.Sleep(awayTime)
	if t.trouble {
		restore()
		store.SetMode(stub.Answering)
		t.record.printf("the store is back from a copy that is %v old", time.Since(ackedAt.Add(-copyLead)).Round(10*time.Millisecond))
	}
	<-last.exited
	if err := last.start(); err != nil {
		return failed, err
	}
	t.record.printf("%s starts again", last.name)
	if t.trouble {
		time.Sleep(rewriteDelay)
		store.PutRaw("op/config", revoked)
		t.record.printf("version 2 is written again")
	}
	time.Sleep(4 * time.Second)
	stop()
	askers.Wait()
	t.record.printf("%d requests with key-2, sent over %v after the acknowledgement, ran", a.late.Load(), revokeTime)
	if a.late.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// keyAsker sends requests with a key that is taken away.
type keyAsker struct {
	trial   *trial
	ackedAt time.Time
	// late is the number of requests that ran although they were sent too late.
	late atomic.Int64
}

// ask sends requests to a daemon until the context ends.
func (a *keyAsker) ask(ctx context.Context, d *daemon) {
	tick := time.NewTicker(askPeriod)
	defer tick.Stop()
	lastStatus := -1
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", d.name, n)
		c := stub.NewCaller(false)
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		r, err := c.Do(callCtx, d.front, stub.Call{ID: id, Method: http.MethodGet, Host: host, Path: "/lookup/x", APIKey: "key-2", Timeout: time.Second})
		cancel()
		c.Close()
		status := r.Status
		if err != nil {
			status = 0
		}
		after := sentAt.Sub(a.ackedAt)
		ran := status == http.StatusOK && r.Body == stub.AnswerBody(id)
		if ran && after > revokeTime {
			a.late.Add(1)
		}
		if status != lastStatus || ran && after > revokeTime {
			a.trial.record.printf("request %s with key-2, sent %.3f s after the acknowledgement: status %d (0: no answer)", id, after.Seconds(), status)
		}
		lastStatus = status
		<-tick.C
	}
}
