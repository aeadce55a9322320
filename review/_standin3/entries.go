package main

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

func init() { cases["entries"] = playEntries }

const (
	// otherEntries entries of another writer are written at each heartbeat. Each has
	// valueBytes bytes, the most that the store takes.
	otherEntries = 6
	valueBytes   = 1 << 20
	entriesTime  = 100 * time.Second
)

// playEntries lets another writer write entries that cannot be read.
func playEntries(ctx context.Context, t *trial) (int, error) {
	store := stub.NewStore(listen())
	defer store.Close()
	store.PutRaw("op/config", config{version: 1, machine: mngLadder, tenants: map[string][]string{"w1": {"key-1"}}}.encode())
	desk := newReplica("i-desk1", deskService, zones[0], "v1")
	defer desk.Close()
	done := make(chan struct{})
	defer close(done)
	go beat(store, func() []*replica { return []*replica{desk} }, done)
	d, err := newDaemon(t.dir, 0, zones[0], store.Address(), mngLadder, nil)
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
	w := watchMemory(t, d, mngLadder)
	written := 0
	begun := time.Now()
	for t.trouble && time.Since(begun) < entriesTime && !w.isOver() {
		for n := range otherEntries {
			// 0xff is in no text in UTF-8.
			store.PutRaw(fmt.Sprintf("servers/x-%d", n), bytes.Repeat([]byte{0xff}, valueBytes))
			written++
			time.Sleep(heartbeat / otherEntries)
		}
	}
	if !t.trouble {
		time.Sleep(10 * time.Second)
	}
	t.record.printf("another writer wrote %d entries of %d bytes in %v", written, valueBytes, time.Since(begun).Round(time.Second))
	served := lookup(ctx, t, d, "after")
	return w.verdict(t, d, served), nil
}
