package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The disruption of cases 1 to 3, within the largest dose that the site's days have:
// two of three replicas of a service (share 0.6), three in a hundred of their answers,
// for 5 seconds.
const (
	extraReplicas = 2
	extraEvery    = 34
	extraFrom     = 2 * time.Second
	extraFor      = 5 * time.Second
	traffic       = 9 * time.Second
	// requestsPerS is within the sheet of the grown site: 94.9 bookings a second
	// before three replicas.
	requestsPerS = 80
)

// extraBytes are the additional bytes that a faulty replica writes after a complete
// answer, at the point where the next answer is expected.
type extraBytes struct {
	mu   sync.Mutex
	text string
	// answers counts the answers of each replica, extras those before which it wrote
	// additional bytes.
	answers, extras map[string]int
	from, to        time.Time
	trouble         bool
}

func newExtraBytes(text string, trouble bool) *extraBytes {
	now := time.Now()
	return &extraBytes{
		text: text, trouble: trouble, answers: map[string]int{}, extras: map[string]int{},
		from: now.Add(extraFrom), to: now.Add(extraFrom + extraFor),
	}
}

// before returns the additional bytes before the n-th answer on a channel; eligible
// tells whether the case wants them before this answer.
func (x *extraBytes) before(p *replica, n int, eligible bool) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	if !x.trouble || now.Before(x.from) || now.After(x.to) || p.index >= extraReplicas {
		return ""
	}
	id := p.instance.ID
	x.answers[id]++
	if n == 1 || !eligible || (x.extras[id]+1)*extraEvery > x.answers[id] {
		return ""
	}
	x.extras[id]++
	return x.text
}

// newDesk starts a small deployment: four daemons in three zones, and a replica of the
// application in each zone.
func newDesk(r *rig, handle func(p *replica, c net.Conn, n int, q *http.Request, body []byte) bool) bool {
	r.store.PutConfig(config(7))
	for i, zone := range []string{"ebene", "rose-hill", "curepipe"} {
		r.addReplica(fmt.Sprintf("app-%d", i+1), appService, zone, 6, handle)
	}
	var seeds []string
	for i, zone := range []string{"ebene", "ebene", "rose-hill", "curepipe"} {
		d := r.addDaemon(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, seeds)
		seeds = append(seeds, d.settings.PeerAddress)
	}
	for _, d := range r.daemons {
		if !d.awaitReady() {
			return false
		}
	}
	return true
}

// press sends requests at a steady rate, in turn to the daemons, and waits for their
// answers.
func press(r *rig, perS int, d time.Duration, next func(i int) request, done func(q request, a answer)) {
	var wg sync.WaitGroup
	t := time.NewTicker(time.Second / time.Duration(perS))
	defer t.Stop()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		<-t.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := next(i)
			done(q, r.send(r.daemons[i%len(r.daemons)], q))
		}()
	}
	wg.Wait()
}

// cutRefusal: the additional bytes are the beginning of a refusal.
func cutRefusal(r *rig, trouble bool) bool {
	var x *extraBytes
	ready := newDesk(r, func(p *replica, c net.Conn, n int, q *http.Request, _ []byte) bool {
		id := q.Header.Get("Attempt-Id")
		p.rig.ran(id, p.instance.ID)
		time.Sleep(15 * time.Millisecond)
		extra := x.before(p, n, true)
		if extra != "" {
			p.rig.note("replica %s writes additional bytes %q and then the answer to %s, status 200", p.instance.ID, extra, id)
		}
		_, err := io.WriteString(c, extra+wholeText(id, 200, "booked: "+id))
		return err == nil
	})
	if !ready {
		notRun("the daemons are not ready")
	}
	x = newExtraBytes("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 0.2", trouble)
	var mu sync.Mutex
	held := true
	press(r, requestsPerS, traffic, func(i int) request {
		return request{id: fmt.Sprintf("b%05d", i), method: "POST", path: "/booking/slot", body: "bench slot 4, deposit", timeout: time.Second}
	}, func(q request, a answer) {
		runs := r.runsOf(q.id)
		if len(runs) > 1 {
			r.note("TWICE: %s, which is not idempotent, ran at %s; the requester got %d", q.id, strings.Join(runs, " and "), a.status)
		}
		if len(runs) > 0 && (a.status == 429 || a.status == 503) {
			r.note("REFUSED: %s ran at %s and was answered %d", q.id, strings.Join(runs, " and "), a.status)
		}
		mu.Lock()
		defer mu.Unlock()
		held = held && len(runs) <= 1
	})
	return held
}

// cutSuccess: the additional bytes are the beginning of an earlier answer with success.
func cutSuccess(r *rig, trouble bool) bool {
	var x *extraBytes
	var mu sync.Mutex
	gaveSuccess := map[string]bool{}
	failing := map[string]int{}
	ready := newDesk(r, func(p *replica, c net.Conn, n int, q *http.Request, _ []byte) bool {
		id := q.Header.Get("Attempt-Id")
		p.rig.ran(id, p.instance.ID)
		time.Sleep(15 * time.Millisecond)
		// A replica fails one in eight lookups, as the sheet has it.
		mu.Lock()
		failing[p.instance.ID]++
		status := 200
		if failing[p.instance.ID]%8 == 0 {
			status = 500
		}
		gaveSuccess[id] = gaveSuccess[id] || status == 200
		mu.Unlock()
		extra := x.before(p, n, status == 500)
		if extra != "" {
			p.rig.note("replica %s writes additional bytes %q and then the answer to %s, status %d", p.instance.ID, extra, id, status)
		}
		body := "order ready: " + id
		if status == 500 {
			body = "database error: " + id
		}
		_, err := io.WriteString(c, extra+wholeText(id, status, body))
		return err == nil
	})
	if !ready {
		notRun("the daemons are not ready")
	}
	x = newExtraBytes("HTTP/1.1 200 OK", trouble)
	held := true
	press(r, requestsPerS, traffic, func(i int) request {
		return request{id: fmt.Sprintf("l%05d", i), method: "GET", path: "/lookup/order", timeout: time.Second}
	}, func(q request, a answer) {
		mu.Lock()
		defer mu.Unlock()
		if a.status == 200 && a.complete && !gaveSuccess[q.id] {
			r.note("MIXED: %s got success with the body %q, and every replica that ran it (%s) had answered with a failure", q.id, a.body, strings.Join(r.runsOf(q.id), ", "))
			held = false
		}
	})
	return held
}
