package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// Times of case 5, from the start of the disruption.
const (
	lostFor   = 4500 * time.Millisecond // the store loses answers; the largest dose
	lateBy    = 5900 * time.Millisecond // the pages name 1 to 6 s
	heartbeat = 1200 * time.Millisecond
	drainMs   = 2 * time.Second
	contactMs = 3 * time.Second
	drainAt   = lostFor + contactMs + 100*time.Millisecond
	exitAt    = drainAt + drainMs + 1200*time.Millisecond
	endAt     = exitAt + 2*time.Second
	// The quiet zone has no requests around the moment at which the replica drains.
	lullFrom = drainAt - 200*time.Millisecond
	lullTo   = drainAt + 1200*time.Millisecond
)

// beatingReplica is a replica that writes its entry at each heartbeat.
type beatingReplica struct {
	*replica
	sequence int
	draining atomic.Bool
	gone     atomic.Bool
}

// streamEvents and streamGap are the length of a reply and the time between its events.
const (
	streamEvents = 24
	streamGap    = 40 * time.Millisecond
)

// stream answers a request with a stream of events, until the replica exits.
func (b *beatingReplica) stream(c net.Conn, id string) bool {
	leaving := ""
	if b.draining.Load() {
		leaving = "Server-Leaving: 1\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\n%sTransfer-Encoding: chunked\r\n\r\n", id, stub.Sign(id), leaving)
	for n := 1; n <= streamEvents && err == nil; n++ {
		time.Sleep(streamGap)
		if b.gone.Load() {
			b.rig.note("%s exits while it runs %s, after event %d", b.instance.ID, id, n-1)
			return false
		}
		e := stub.Event(id, n)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil
}

// entry returns the next entry of the replica.
func (b *beatingReplica) entry() []byte {
	b.sequence++
	state := "ready"
	if b.draining.Load() {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": b.instance.Service, "address": b.instance.Address, "zone": b.instance.Zone, "slots": b.instance.Slots,
		"state": state, "born": b.instance.StartUnixMs, "sequence": b.sequence, "version": "v1", "coldRemainingMs": 0,
	})
	must(err)
	return data
}

// lateWrite: the store performs a heartbeat of a replica late, without having answered
// it, after it has acknowledged that the replica drains.
func lateWrite(r *rig, trouble bool) bool {
	r.store.PutConfig(config(7))
	zones := []string{"rose-hill", "ebene", "curepipe"}
	var sent sync.Map // the time at which each request was sent
	var drainAcked atomic.Int64
	var held atomic.Bool
	held.Store(true)
	beating := make([]*beatingReplica, len(zones))
	for i, zone := range zones {
		b := &beatingReplica{}
		b.replica = r.addReplica(fmt.Sprintf("engine-%d", i+1), modelService, zone, 48, func(p *replica, c net.Conn, _ int, q *http.Request, _ []byte) bool {
			id := q.Header.Get("Attempt-Id")
			p.rig.ran(id, p.instance.ID)
			if at, ok := sent.Load(id); ok && drainAcked.Load() != 0 && b.draining.Load() {
				if late := at.(time.Time).Sub(time.Unix(0, drainAcked.Load())); late > drainMs {
					p.rig.note("DRAIN: %s reached %s, sent %v after the ack that it is draining", id, p.instance.ID, late.Round(time.Millisecond))
					held.Store(false)
				}
			}
			return b.stream(c, id)
		})
		beating[i] = b
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
	start := time.Now()
	r.note("the store begins to lose answers to writes, for %v", lostFor)
	var wg sync.WaitGroup
	for i, b := range beating {
		wg.Go(func() {
			// The beats of the replicas are spread; the last one of engine-1 while the store
			// loses answers comes at 4.3 s.
			next := start.Add(700*time.Millisecond + time.Duration(i)*300*time.Millisecond)
			for time.Since(start) < endAt && !b.gone.Load() {
				time.Sleep(time.Until(next))
				at := time.Since(start)
				value := b.entry()
				id := b.instance.ID
				if trouble && i == 0 && at < lostFor && at+heartbeat > lostFor {
					r.note("the store does not answer the heartbeat %d of %s (ready) and performs it %v later", b.sequence, id, lateBy)
					sequence := b.sequence
					time.AfterFunc(lateBy, func() {
						r.note("the store performs the heartbeat %d of %s (ready)", sequence, id)
						r.store.PutRaw("servers/"+id, value)
					})
				} else {
					r.store.PutRaw("servers/"+id, value)
					r.note("%s writes its heartbeat %d (draining %v)", id, b.sequence, b.draining.Load())
				}
				next = next.Add(heartbeat)
				if i == 0 && time.Since(start) < drainAt && time.Until(next) > time.Until(start.Add(drainAt)) {
					time.Sleep(time.Until(start.Add(drainAt)))
					b.draining.Store(true)
					r.store.PutRaw("servers/"+id, b.entry())
					drainAcked.Store(time.Now().UnixNano())
					r.note("the store acknowledges that %s is draining (heartbeat %d)", id, b.sequence)
				}
			}
		})
	}
	time.AfterFunc(time.Until(start.Add(exitAt)), func() {
		r.note("%s exits", beating[0].instance.ID)
		beating[0].gone.Store(true)
		_ = beating[0].listener.Close()
		r.store.RemoveServer(beating[0].instance.ID)
	})
	// Requests: five a second in each of the zones ebene and curepipe, and in rose-hill
	// but for the lull.
	var calls sync.WaitGroup
	for i := 0; time.Since(start) < endAt; i++ {
		at := time.Since(start)
		for k, d := range r.daemons[1:] {
			if d.settings.Zone == "rose-hill" && at > lullFrom && at < lullTo {
				continue
			}
			q := request{id: fmt.Sprintf("r%d%04d", k, i), method: "POST", path: "/reply/draft", body: "a reply to the customer", timeout: 10 * time.Second}
			q.headers = fmt.Sprintf("Model: m\r\nToken-Usage: 150,120\r\nPrompt-Prefix: %x:150\r\n", 1<<20+i)
			calls.Go(func() {
				sent.Store(q.id, time.Now())
				r.send(d, q)
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	calls.Wait()
	wg.Wait()
	return held.Load()
}
