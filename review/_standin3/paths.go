package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

func init() { cases["paths"] = playPaths }

const (
	// pathCallers is the number of connections with long paths, pathRate the requests
	// a second on each.
	pathCallers = 16
	pathRate    = 20
	// pathBytes is the length of a path. The head stays below maxHeaderBytes.
	pathBytes = 15800
	pathTime  = 75 * time.Second
	// farOver is the multiple of its memory from which a process is not watched further.
	farOver = 1.3
)

// playPaths lets callers ask for paths of which no route exists.
func playPaths(ctx context.Context, t *trial) (int, error) {
	store := stub.NewStore(listen())
	defer store.Close()
	store.PutRaw("op/config", config{version: 1, machine: hbtTills, tenants: map[string][]string{"w1": {"key-1"}}}.encode())
	desk := newReplica("i-desk1", deskService, zones[0], "v1")
	defer desk.Close()
	done := make(chan struct{})
	defer close(done)
	go beat(store, func() []*replica { return []*replica{desk} }, done)
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
	if t.trouble {
		askLongPaths(ctx, t, d, w)
	} else {
		time.Sleep(10 * time.Second)
	}
	served := lookup(ctx, t, d, "after")
	return w.verdict(t, d, served), nil
}

// lookup makes one ordinary request, and reports whether it got the whole answer.
func lookup(ctx context.Context, t *trial, d *daemon, id string) bool {
	c := stub.NewCaller(false)
	defer c.Close()
	for n := range 5 {
		callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		name := fmt.Sprintf("lookup-%s-%d", id, n)
		r, err := c.Do(callCtx, d.front, stub.Call{ID: name, Method: http.MethodGet, Host: host, Path: "/lookup/x", APIKey: "key-1", Timeout: time.Second})
		cancel()
		t.record.printf("request %s: status %d, complete %v, error %v", name, r.Status, r.Complete, err)
		if err == nil && r.Status == http.StatusOK && r.Complete && r.Body == stub.AnswerBody(name) {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// askLongPaths sends the requests with long paths.
func askLongPaths(ctx context.Context, t *trial, d *daemon, w *memoryWatch) {
	ctx, cancel := context.WithTimeout(ctx, pathTime)
	defer cancel()
	var sent, notFound, other atomic.Int64
	var callers sync.WaitGroup
	for n := range pathCallers {
		callers.Go(func() {
			for ctx.Err() == nil && !w.isOver() {
				askOnOneConn(ctx, d, n, &sent, &notFound, &other)
			}
		})
	}
	callers.Wait()
	t.record.printf("%d requests with paths of %d bytes: 404: %d, other ends: %d", sent.Load(), pathBytes, notFound.Load(), other.Load())
}

// askOnOneConn sends requests on one kept connection until it ends.
func askOnOneConn(ctx context.Context, d *daemon, caller int, sent, notFound, other *atomic.Int64) {
	c, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		other.Add(1)
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	tick := time.NewTicker(time.Second / pathRate)
	defer tick.Stop()
	for ctx.Err() == nil {
		n := sent.Add(1)
		id := fmt.Sprintf("long-%d-%d", caller, n)
		path := "/" + strings.Repeat("old/", pathBytes/4-8) + fmt.Sprintf("%016d", n)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Timeout-Ms: 1000\r\n\r\n", path, host, id); err != nil {
			other.Add(1)
			return
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			other.Add(1)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusNotFound {
			notFound.Add(1)
		} else {
			other.Add(1)
		}
		if resp.Close {
			return
		}
		<-tick.C
	}
}

// memoryWatch measures the memory of a daemon.
type memoryWatch struct {
	daemon *daemon
	// limit is the memory of the machine, most the largest that was measured.
	limit int64
	most  atomic.Int64
}

// watchMemory records the memory of a daemon each second until it ends.
func watchMemory(t *trial, d *daemon, m machine) *memoryWatch {
	w := &memoryWatch{daemon: d, limit: int64(m.memoryMB)}
	go func() {
		for n := 0; d.alive(); n++ {
			mb := int64(d.residentMB())
			if mb > w.most.Load() {
				w.most.Store(mb)
			}
			if n%20 == 0 {
				t.record.printf("resident memory of %s: %d MB of %d", d.name, mb, w.limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return w
}

// isOver reports whether the process holds far more than its memory, or has ended. A case
// then ends.
func (w *memoryWatch) isOver() bool {
	return float64(w.most.Load()) > farOver*float64(w.limit) || !w.daemon.alive()
}

// verdict returns the status of a case in which a process must stay within its memory.
func (w *memoryWatch) verdict(t *trial, d *daemon, served bool) int {
	t.record.printf("most resident memory: %d MB; the machine has %d MB", w.most.Load(), w.limit)
	if s := d.end(); s != "" {
		t.record.printf("the daemon ended by itself: %s", s)
		return broken
	}
	if w.most.Load() > w.limit {
		t.record.printf("the process exceeded the memory of its machine, where it is killed for that")
		return broken
	}
	if !served {
		t.record.printf("an ordinary request got no answer afterwards")
		return broken
	}
	return held
}
