package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

func init() { cases["parts"] = playParts }

const (
	// engineCount is the number of model replicas of mng-ladder.
	engineCount = 9
	// partCallers callers send partRate requests a second each, whose prompts are
	// listed in partCount parts of one token.
	partCallers = 8
	partRate    = 8
	partCount   = 1600
	partTime    = 80 * time.Second
)

// playParts lets a caller list its prompts in many small parts.
func playParts(ctx context.Context, t *trial) (int, error) {
	store := stub.NewStore(listen())
	defer store.Close()
	store.PutRaw("op/config", config{version: 1, machine: hbtTills, tenants: map[string][]string{"w1": {"key-1"}, "w2": {"key-2"}}}.encode())
	replicas := []*replica{newReplica("i-desk1", deskService, zones[0], "v1")}
	for n := range engineCount {
		r := newReplica(fmt.Sprintf("i-scribe%d", n), penService, zones[n%len(zones)], "v1")
		r.EventCount = 3
		replicas = append(replicas, r)
	}
	for _, r := range replicas {
		defer r.Close()
	}
	done := make(chan struct{})
	defer close(done)
	go beat(store, func() []*replica { return replicas }, done)
	d, err := newDaemon(t.dir, 0, zones[0], store.Address(), hbtTills, nil)
	if err != nil {
		return failed, err
	}
	if err := d.start(); err != nil {
		return failed, err
	}
	defer d.kill()
	if !awaitReady(ctx, 20*time.Second, d) {
		return failed, fmt.Errorf("the daemon is not ready")
	}
	if !lookup(ctx, t, d, "before") {
		return failed, fmt.Errorf("no answer before the disruption")
	}
	w := watchMemory(t, d, hbtTills)
	parts := 1
	if t.trouble {
		parts = partCount
	}
	sendPrompts(ctx, t, d, w, parts)
	served := lookup(ctx, t, d, "after")
	return w.verdict(t, d, served), nil
}

// sendPrompts sends requests whose prompts have parts parts before their own.
func sendPrompts(ctx context.Context, t *trial, d *daemon, w *memoryWatch, parts int) {
	ctx, cancel := context.WithTimeout(ctx, partTime)
	defer cancel()
	var sent, part, whole, refused, other atomic.Int64
	var callers sync.WaitGroup
	for n := range partCallers {
		callers.Go(func() {
			c := stub.NewCaller(true)
			defer c.Close()
			tick := time.NewTicker(time.Second / partRate)
			defer tick.Stop()
			for ctx.Err() == nil && !w.isOver() {
				var b strings.Builder
				for range parts {
					fmt.Fprintf(&b, "%x:1,", part.Add(1))
				}
				fmt.Fprintf(&b, "%x:1", part.Add(1))
				id := fmt.Sprintf("prompt-%d-%d", n, sent.Add(1))
				r, err := c.Do(ctx, d.front, stub.Call{
					ID: id, Host: host, Path: "/stream/proposal/1", APIKey: "key-2", Timeout: 8 * time.Second,
					PromptParts: b.String(), PromptTokens: parts + 1, OutputTokens: 10, Body: "prompt",
				})
				switch {
				case err == nil && r.Status == http.StatusOK && r.Complete:
					whole.Add(1)
				case err == nil && (r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable):
					refused.Add(1)
				default:
					other.Add(1)
				}
				<-tick.C
			}
		})
	}
	callers.Wait()
	t.record.printf("%d requests with %d parts of one token each: whole answers: %d, refused: %d, other ends: %d", sent.Load(), parts+1, whole.Load(), refused.Load(), other.Load())
}
