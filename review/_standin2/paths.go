package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

const (
	// longPath is the length of a path. With it the head of a request has about 15,000
	// bytes; maxHeaderBytes is 16,384.
	longPath = 14800
	// pathCallers callers, each with one kept connection, send a request to each daemon
	// each pathGap.
	pathCallers = 16
	pathGap     = 50 * time.Millisecond
	pathTime    = 100 * time.Second
)

// unknownPaths plays callers that ask for a route that never existed, by long paths, on
// machines of the smallest size of the sheets.
func unknownPaths(r *rig) (bool, error) {
	if err := r.addServers(); err != nil {
		return false, err
	}
	r.store.PutConfig(config(1))
	if err := r.addDaemons(smallestMachine, "a", "b"); err != nil {
		return false, err
	}
	r.callAll()
	end := time.Now().Add(pathTime)
	path := "/never-existed/"
	if r.trouble {
		path += strings.Repeat("x", longPath-len(path)-8)
	}
	var callers sync.WaitGroup
	for i, d := range r.daemons {
		for k := range pathCallers {
			callers.Go(func() {
				c := stub.NewCaller(true)
				defer c.Close()
				for n := 0; time.Now().Before(end) && r.ctx.Err() == nil && !r.faultShown(); n++ {
					q := stub.Call{ID: fmt.Sprintf("u%d-%d-%d", i, k, n), Method: "GET", Host: host, Path: fmt.Sprintf("%s%08d", path, n), Timeout: 2500 * time.Millisecond}
					r.send(c, d.front, q, "unknown route: ")
					time.Sleep(pathGap)
				}
			})
		}
	}
	callers.Wait()
	r.summarize()
	return r.faultShown(), nil
}
