package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/platform/stub"
)

func init() { cases["versions"] = playVersions }

const (
	// streamEvents events with eventGap between them make a stream of 7 seconds.
	streamEvents = 28
	eventGap     = 250 * time.Millisecond
	streamCount  = 30
	// sessions is the number of sessions whose streams run. Their first part of the
	// prompt is kept at the second replica.
	sessions = 8
	// drainTime is how long a replica serves after the store has accepted that it
	// drains: drainMs and a little longer.
	drainTime = 2200 * time.Millisecond
	cutTime   = 5500 * time.Millisecond
)

// engine is a model replica with a software version, which may start again under its id
// and address.
type engine struct {
	id, service, zone, address string
	record                     *record

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	entry    wigeonladder.Instance
	leaving  bool
	// runs holds the version at which each request ran last.
	runs map[string]string
}

func newEngine(t *trial, id, service, zone, version string) *engine {
	e := &engine{id: id, service: service, zone: zone, record: t.record, listener: listen(), runs: map[string]string{}}
	e.address = e.listener.Addr().String()
	e.serve(e.listener, version)
	return e
}

// serve begins an incarnation.
func (e *engine) serve(l net.Listener, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entry = wigeonladder.Instance{
		ID: e.id, StartUnixMs: time.Now().UnixMilli(), Service: e.service, Zone: e.zone, Address: e.address, Slots: mngLadder.engineSlots, Version: version,
	}
	e.leaving = false
	e.listener = l
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.run(w, r, version) }), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
}

// put writes the entry to the store.
func (e *engine) put(store *stub.Store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		store.PutServer(e.entry)
	}
}

// replaceBy lets the replica drain, exit and start again with another version.
func (e *engine) replaceBy(store *stub.Store, version string) error {
	e.mu.Lock()
	e.leaving, e.entry.Leaving = true, true
	e.mu.Unlock()
	e.put(store)
	e.record.printf("%s reports draining", e.id)
	time.Sleep(drainTime)
	e.stop()
	e.record.printf("%s exits", e.id)
	time.Sleep(200 * time.Millisecond)
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.serve(l, version)
	e.put(store)
	e.record.printf("%s is back with version %s", e.id, version)
	return nil
}

// stop ends the process of the replica: its connections are closed.
func (e *engine) stop() {
	e.mu.Lock()
	s := e.server
	e.server = nil
	e.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// run answers one request with a stream, from the event after Last-Event-Id on.
func (e *engine) run(w http.ResponseWriter, r *http.Request, version string) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	e.mu.Lock()
	if e.leaving {
		h.Set("Server-Leaving", "1")
	}
	id := r.Header.Get("Attempt-Id")
	e.runs[id] = version
	e.mu.Unlock()
	if x := r.Header.Get("Expected-Replica"); x != "" && x != e.id {
		h.Set("Replica-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.record.printf("%s (%s) runs %s after event %d", e.id, version, id, after)
	h.Set("Attempt-Id", id)
	h.Set("Response-Signature", stub.Sign(id))
	h.Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, version, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}

// stream is what a caller got of one stream.
type stream struct {
	id       string
	status   int
	complete bool
	events   int
	versions []string
}

// ask makes one request for a stream and reads it to its end.
func ask(ctx context.Context, address, id, session string) stream {
	return takeUp(ctx, address, id, session, stream{})
}

// takeUp makes one request for the rest of a stream, of which the caller has a part, and
// reads it to its end.
func takeUp(ctx context.Context, address, id, session string, part stream) stream {
	s := stream{id: id}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/stream/note/1", strings.NewReader("prompt "+id))
	if err != nil {
		return s
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Token key-1")
	r.Header.Set("Request-Timeout-Ms", "8000")
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Usage", "4200,140")
	r.Header.Set("Prompt-Prefix", fmt.Sprintf("%s:4000,%x:200", session, []byte(id)))
	if part.events > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(part.events))
		r.Header.Set("Resumes", part.id)
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	s.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) == 4 && f[0] == "data:" {
			s.events++
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != f[1] {
				s.versions = append(s.versions, f[1])
			}
		}
	}
	s.complete = lines.Err() == nil
	return s
}

// playVersions replaces two of three replicas by another version, one after the other,
// while one daemon is cut off from the store.
func playVersions(ctx context.Context, t *trial) (int, error) {
	store := stub.NewStore(listen())
	defer store.Close()
	store.PutRaw("op/config", config{version: 1, machine: mngLadder, tenants: map[string][]string{"w1": {"key-1"}}}.encode())
	var engines []*engine
	for n, zone := range zones {
		e := newEngine(t, fmt.Sprintf("i-scribe%d", n+1), penService, zone, "v1")
		defer e.stop()
		engines = append(engines, e)
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
	way := newLink(store.Address())
	d, err := newDaemon(t.dir, 0, zones[0], way.address(), mngLadder, nil)
	if err != nil {
		return failed, err
	}
	other, err := newDaemon(t.dir, 1, zones[1], store.Address(), mngLadder, []string{d.peer})
	if err != nil {
		return failed, err
	}
	for _, x := range []*daemon{d, other} {
		if err := x.start(); err != nil {
			return failed, err
		}
		defer x.kill()
	}
	if !awaitReady(ctx, 20*time.Second, d, other) {
		return failed, fmt.Errorf("the daemons are not ready")
	}
	time.Sleep(4 * time.Second)

	kept := sessionsAt(ctx, t, d, engines[1])
	if len(kept) < sessions {
		return failed, fmt.Errorf("found only %d sessions", len(kept))
	}
	time.Sleep(3 * time.Second)

	results := make([]stream, streamCount)
	var callers sync.WaitGroup
	for n := range results {
		callers.Go(func() { results[n] = ask(ctx, d.front, fmt.Sprintf("note-%02d", n), kept[n%sessions]) })
	}
	time.Sleep(500 * time.Millisecond)
	if t.trouble {
		way.cut(true)
		t.record.printf("%s is cut off from the store", d.name)
		time.AfterFunc(cutTime, func() {
			way.cut(false)
			t.record.printf("%s reaches the store again", d.name)
		})
	}
	time.Sleep(200 * time.Millisecond)
	for _, e := range engines[:2] {
		if err := e.replaceBy(store, "v2"); err != nil {
			return failed, err
		}
	}
	callers.Wait()
	mixed, whole := 0, 0
	for _, s := range results {
		t.record.printf("stream %s: status %d, %d events of versions %v, whole %v", s.id, s.status, s.events, s.versions, s.complete)
		if len(s.versions) > 1 {
			mixed++
		}
		if s.complete && s.events == streamEvents {
			whole++
		}
	}
	t.record.printf("%d of %d streams hold events of two software versions; %d are whole; the rule allows two", mixed, len(results), whole)
	if mixed > 2 {
		return broken, nil
	}
	return held, nil
}

// sessionsAt returns sessions whose streams run at a replica.
func sessionsAt(ctx context.Context, t *trial, d *daemon, e *engine) []string {
	var kept []string
	for n := 0; n < 100 && len(kept) < sessions; n++ {
		id, session := fmt.Sprintf("try-%d", n), fmt.Sprintf("5e55%02x", n)
		callCtx, cancel := context.WithTimeout(ctx, 60*time.Millisecond)
		ask(callCtx, d.front, id, session)
		cancel()
		e.mu.Lock()
		_, ran := e.runs[id]
		e.mu.Unlock()
		if ran {
			kept = append(kept, session)
		}
	}
	t.record.printf("sessions kept at %s: %v", e.id, kept)
	return kept
}
