package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// headServers and headSlots are those of pool-modelos on tlaloc-retornos.
	headServers = 12
	headSlots   = 48
	// headLines is the number of header lines without a value in a head, which stays below
	// maxHeaderBytes, 16,384.
	headLines = 3900
	// headCallers callers call each daemon at the same time, again and again.
	headCallers = 1000
	headTime    = 100 * time.Second
	// A stream has headEvents events, one each headDelay.
	headEvents = 20
	headDelay  = 250 * time.Millisecond
)

// manyHeaders plays callers whose requests have many short header lines, on machines of
// tlaloc-retornos.
func manyHeaders(r *rig) (bool, error) {
	for n := range 2 {
		if _, err := r.addServer(fmt.Sprintf("i-app%d", n), appService, []string{"a", "b"}[n], 6); err != nil {
			return false, err
		}
	}
	for n := range headServers {
		s, err := r.addServer(fmt.Sprintf("i-engine%02d", n), modelService, []string{"a", "b"}[n%2], headSlots)
		if err != nil {
			return false, err
		}
		s.EventCount, s.Delay = headEvents, headDelay
	}
	r.store.PutConfig(config(1))
	if err := r.addDaemons(tlalocMachine, "a", "b"); err != nil {
		return false, err
	}
	r.callAll()
	end := time.Now().Add(headTime)
	var callers sync.WaitGroup
	for i, d := range r.daemons {
		for k := range headCallers {
			callers.Go(func() {
				for n := 0; time.Now().Before(end) && r.ctx.Err() == nil && !r.faultShown(); n++ {
					r.sendHead(d.front, fmt.Sprintf("h%d-%d-%d", i, k, n))
				}
			})
		}
	}
	callers.Wait()
	r.summarize()
	return r.faultShown(), nil
}

// sendHead sends one request and reads its answer.
func (r *rig) sendHead(address, id string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.count("long head: no connection")
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	line := "a:\r\n"
	more := strings.Repeat(line, headLines)
	if !r.trouble {
		more = "a:" + strings.Repeat("b", len(more)-4) + "\r\n"
	}
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	_, err = io.WriteString(c, "POST /stream/x HTTP/1.1\r\nHost: "+host+"\r\nAttempt-Id: "+id+"\r\nRequest-Timeout-Ms: 8000\r\nAuthorization: Token "+apiKey+
		"\r\nModel: m\r\nToken-Usage: 100,20\r\nPrompt-Prefix: 5c1e07a2:50,"+fmt.Sprintf("%x", len(id))+":50\r\nConnection: close\r\n"+more+"Content-Length: 0\r\n\r\n")
	b, _ := io.ReadAll(c)
	status, _, _ := strings.Cut(string(b), "\r\n")
	if status == "" {
		status = "no answer"
	}
	r.count("long head: " + status)
	if r.get("long head: "+status) <= notedCalls {
		r.note("long head: %s /stream/x (%d bytes of headers): %s", id, len(more), status)
	}
	if !strings.Contains(status, "200") {
		time.Sleep(200 * time.Millisecond)
	}
}
