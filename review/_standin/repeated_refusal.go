package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// Figures of case 3. The other small site has 26.2 resumable streams a second.
const (
	notesPerS  = 26
	noteEvents = 20
	noteGap    = 50 * time.Millisecond
	// stillAfter is the time from which two replicas may not work on one request.
	stillAfter = 400 * time.Millisecond
)

// repeatedRefusal: a faulty replica writes an earlier refusal once more on a kept
// channel, and then the stream that it runs. It is one of the few replicas that do not
// drop a request when its channel closes.
func repeatedRefusal(r *rig, trouble bool) bool {
	r.store.PutConfig(config(7))
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	var x atomic.Pointer[extraBytes]
	var mu sync.Mutex
	type run struct {
		replica    string
		began, end time.Time
	}
	runs := map[string][]run{}
	handle := func(p *replica, c net.Conn, n int, q *http.Request, _ []byte) bool {
		id := q.Header.Get("Attempt-Id")
		p.rig.ran(id, p.instance.ID)
		began := time.Now()
		extra := ""
		if e := x.Load(); e != nil {
			extra = e.before(p, n, true)
		}
		if extra != "" {
			p.rig.note("replica %s writes a refusal once more, and then the stream of %s", p.instance.ID, id)
		}
		_, err := fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", extra, id, stub.Sign(id))
		for k := 1; k <= noteEvents; k++ {
			time.Sleep(noteGap)
			e := stub.Event(id, k)
			if err == nil {
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
			}
			if err != nil && p.index >= extraReplicas {
				break
			}
		}
		mu.Lock()
		runs[id] = append(runs[id], run{p.instance.ID, began, time.Now()})
		mu.Unlock()
		p.rig.note("replica %s has ended its work on %s", p.instance.ID, id)
		if err == nil {
			_, err = io.WriteString(c, "0\r\n\r\n")
		}
		return err == nil
	}
	for i, zone := range []string{"ebene", "rose-hill", "curepipe"} {
		r.addReplica(fmt.Sprintf("engine-%d", i+1), modelService, zone, 48, handle)
	}
	var seeds []string
	for i, zone := range []string{"ebene", "ebene", "rose-hill", "curepipe"} {
		d := r.addDaemon(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, seeds)
		seeds = append(seeds, d.settings.PeerAddress)
	}
	for _, d := range r.daemons {
		if !d.awaitReady() {
			notRun("the daemons are not ready")
		}
	}
	x.Store(newExtraBytes(refusal, trouble))
	press(r, notesPerS, traffic, func(i int) request {
		return request{
			id: fmt.Sprintf("n%05d", i), method: "POST", path: "/note/tine", body: "tine alignment", timeout: 5 * time.Second,
			headers: fmt.Sprintf("Model: m\r\nToken-Usage: 150,100\r\nPrompt-Prefix: %x:150\r\n", 1<<20+i),
		}
	}, func(request, answer) {})
	// The replica that does not drop requests may still be at work.
	time.Sleep(noteEvents*noteGap + time.Second)
	held := true
	mu.Lock()
	defer mu.Unlock()
	for id, l := range runs {
		for _, a := range l {
			for _, b := range l {
				if a.replica != b.replica && b.began.After(a.began) && a.end.Sub(b.began) > stillAfter {
					r.note("TWICE: %s went on at %s while %s still worked on it, for %v", id, b.replica, a.replica, a.end.Sub(b.began).Round(time.Millisecond))
					held = false
				}
			}
		}
	}
	return held
}
