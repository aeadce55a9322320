package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/platform/stub"
)

func init() { cases["poison"] = playPoison }

const (
	poisonDaemons = 5
	poisonEngines = 4
	// poisonStreams streams run at any time, each of noteEvents events.
	poisonStreams = 320
	noteEvents    = 8
	noteGap       = 200 * time.Millisecond
	// crashTime is the time after which a crashed replica is back.
	crashTime = 2 * time.Second
	// inTouchTime is contactMs and a little longer.
	inTouchTime = 4300 * time.Millisecond
	poisonPath  = "/stream/proposal/poison"
)

// poisonEngine is a model replica that crashes when it begins to run the poisonous
// request.
type poisonEngine struct {
	id, zone, address string
	slots             int
	store             *stub.Store
	arrivals          *arrivals

	mu     sync.Mutex
	server *http.Server
	entry  wigeonladder.Instance
}

// deadlyPart is a part of a prompt that crashes the replicas that begin to write an answer
// on it.
const deadlyPart = "dead:300,"

// arrivals are the times at which the poisonous request crashed a replica.
type arrivals struct {
	record *record
	mu     sync.Mutex
	at     []time.Time
}

func (a *arrivals) add(engine, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
	a.record.printf("request %s crashes %s: crash %d", id, engine, len(a.at))
}

func (e *poisonEngine) start(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entry = wigeonladder.Instance{
		ID: e.id, StartUnixMs: time.Now().UnixMilli(), Service: penService, Zone: e.zone, Address: e.address, Slots: e.slots, Version: "v1",
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.run), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
}

func (e *poisonEngine) put() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		e.store.PutServer(e.entry)
	}
}

func (e *poisonEngine) stop() {
	e.mu.Lock()
	s := e.server
	e.server = nil
	e.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// crash ends the replica, which starts again after a time.
func (e *poisonEngine) crash() {
	e.stop()
	time.AfterFunc(crashTime, func() {
		l, err := net.Listen("tcp", e.address)
		if err == nil {
			e.start(l)
			e.put()
		}
	})
}

func (e *poisonEngine) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h, id := w.Header(), r.Header.Get("Attempt-Id")
	if x := r.Header.Get("Expected-Replica"); x != "" && x != e.id {
		h.Set("Replica-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == poisonPath {
		e.arrivals.add(e.id, id)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	hasPart := strings.HasPrefix(r.Header.Get("Prompt-Prefix"), deadlyPart) || strings.Contains(r.Header.Get("Prompt-Prefix"), ","+deadlyPart)
	if hasPart {
		e.arrivals.add(e.id, id)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h.Set("Attempt-Id", id)
	h.Set("Response-Signature", stub.Sign(id))
	h.Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= noteEvents; n++ {
		if _, err := io.WriteString(w, stub.Event(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if hasPart {
			// The process ends once its first bytes are out.
			time.Sleep(10 * time.Millisecond)
			e.crash()
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(noteGap):
		}
	}
}

// playPoison lets one request come again and again that crashes the replicas that run
// it, while the daemons are stopped and started in turn.
func playPoison(ctx context.Context, t *trial) (int, error) {
	store := stub.NewStore(listen())
	defer store.Close()
	store.PutRaw("op/config", config{version: 1, machine: hibiki, tenants: map[string][]string{"w1": {"key-1"}}}.encode())
	crashes := &arrivals{record: t.record}
	var engines []*poisonEngine
	for n := range poisonEngines {
		l := listen()
		e := &poisonEngine{id: fmt.Sprintf("i-scribe%d", n+1), zone: zones[n%len(zones)], address: l.Addr().String(), slots: hibiki.engineSlots, store: store, arrivals: crashes}
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
	for n := range poisonDaemons {
		d, err := newDaemon(t.dir, n, zones[n%len(zones)], store.Address(), hibiki, seeds)
		if err != nil {
			return failed, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, d.peer)
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
	streams, stop := context.WithCancel(ctx)
	defer stop()
	var served, cut atomic.Int64
	var callers sync.WaitGroup
	for n := range poisonStreams {
		callers.Go(func() { callStreams(streams, daemons, n, &served, &cut) })
	}
	time.Sleep(4 * time.Second)
	sent := 0
	send := func(d *daemon) {
		sent++
		answer := sendPoison(ctx, d, sent)
		t.record.printf("poisonous request %d at %s: %s", sent, d.name, answer)
	}
	send(daemons[0])
	time.Sleep(600 * time.Millisecond)
	send(daemons[1])
	time.Sleep(1500 * time.Millisecond)
	for _, d := range daemons {
		send(d)
	}
	time.Sleep(3 * time.Second)
	for _, d := range daemons {
		if t.trouble {
			d.signal(syscall.SIGTERM)
			<-d.exited
			if err := d.start(); err != nil {
				return failed, err
			}
			t.record.printf("%s was stopped and started", d.name)
			if !awaitReady(ctx, 10*time.Second, d) {
				return failed, fmt.Errorf("%s is not ready", d.name)
			}
		}
		time.Sleep(inTouchTime)
		send(d)
		time.Sleep(700 * time.Millisecond)
		send(d)
		time.Sleep(2200 * time.Millisecond)
	}
	stop()
	callers.Wait()
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	late := 0
	for n, at := range crashes.at {
		if n >= 3 && at.Sub(crashes.at[2]) > inTouchTime {
			late++
		}
	}
	t.record.printf("%d streams were whole, %d were not; %d crashes; %d of them later than contactMs after the third, by machines in touch; the rule allows 3", served.Load(), cut.Load(), len(crashes.at), late)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}

// sendPoison sends the poisonous request and returns the status of the answer.
func sendPoison(ctx context.Context, d *daemon, n int) string {
	c := stub.NewCaller(false)
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	r, err := c.Do(ctx, d.front, stub.Call{
		ID: fmt.Sprintf("poison-%d", n), Host: host, Path: poisonPath, APIKey: "key-1", Timeout: 3 * time.Second,
		PromptParts: "b0b0:300", PromptTokens: 300, OutputTokens: 40, Body: "the same prompt each time",
	})
	if err != nil {
		return "no answer"
	}
	return fmt.Sprintf("status %d %s", r.Status, strings.TrimSpace(r.Body))
}

// callStreams makes requests for streams, one after the other, until the context ends. A
// stream that is cut is taken up once at another daemon.
func callStreams(ctx context.Context, daemons []*daemon, caller int, served, cut *atomic.Int64) {
	c := stub.NewCaller(false)
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("n%d-%d", caller, n)
		header := map[string]string{}
		whole := false
		for try := range 2 {
			d := daemons[(caller+n+try)%len(daemons)]
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 6*time.Second)
			r, err := c.Do(callCtx, d.front, stub.Call{
				ID: fmt.Sprintf("%s-%d", name, try), Host: host, Path: "/stream/note/1", APIKey: "key-1", Timeout: 6 * time.Second,
				PromptParts: fmt.Sprintf("%x:300", name), PromptTokens: 300, OutputTokens: 40, Body: "prompt " + name, Header: header,
			})
			cancel()
			if err == nil && r.Status == http.StatusOK && r.Complete {
				whole = true
				break
			}
			if err == nil && r.Status == http.StatusOK {
				if events := strings.Count(r.Body, "\n\n"); events > 0 {
					header = map[string]string{"Last-Event-Id": strconv.Itoa(events), "Resumes": fmt.Sprintf("%s-%d", name, try)}
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		if whole {
			served.Add(1)
		} else {
			cut.Add(1)
		}
	}
}
