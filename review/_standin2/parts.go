package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// partsServers, partsSlots and partsCache are those of till-assist on hbt-tills-grown.
	partsServers = 60
	partsSlots   = 64
	partsCache   = 621038
	// shortParts is the number of parts in the Prompt-Prefix of a call, partTokens the
	// length of each. The head of the call stays
	// below maxHeaderBytes, 16,384, and the prompt is about as long as on the sheet.
	shortParts = 1100
	partTokens = 12
	// partsCallers callers of one tenant send a call each partsGap to each daemon.
	partsCallers = 12
	partsGap     = 120 * time.Millisecond
	// partsTokensPerS is tokensPerS there.
	partsTokensPerS = 2400000
	partsTime       = 108 * time.Second
)

// promptParts plays a tenant whose prompts consist of many short parts, on machines of
// the smallest size of hbt-tills-grown.
func promptParts(r *rig) (bool, error) {
	for n := range partsServers {
		if _, err := r.addServer(fmt.Sprintf("i-model%02d", n), modelService, []string{"a", "b"}[n%2], partsSlots); err != nil {
			return false, err
		}
	}
	c := config(1)
	c.Services[1].Engine = &route.Engine{Slots: partsSlots, CacheTokens: partsCache}
	c.Services[1].MaxConns, c.Limits.TokensPerSecond = 750, partsTokensPerS
	r.store.PutConfig(c)
	if err := r.addDaemons(smallestMachine, "a", "b"); err != nil {
		return false, err
	}
	end := time.Now().Add(partsTime)
	var callers sync.WaitGroup
	for i, d := range r.daemons {
		for k := range partsCallers {
			callers.Go(func() {
				c := stub.NewCaller(true)
				defer c.Close()
				for n := 0; time.Now().Before(end) && r.ctx.Err() == nil && !r.faultShown(); n++ {
					id := fmt.Sprintf("p%d-%d-%d", i, k, n)
					r.send(c, d.front, stub.Call{
						ID: id, Host: host, Path: "/stream/x", Body: "body", APIKey: apiKey, Timeout: 8 * time.Second,
						PromptParts: r.prompt((i*partsCallers+k)<<20 | n), PromptTokens: shortParts * partTokens, OutputTokens: 20,
					}, "long prompt list: ")
					time.Sleep(partsGap)
				}
			})
		}
	}
	callers.Wait()
	r.summarize()
	return r.faultShown(), nil
}

// prompt returns the parts of a prompt: many short ones, or three without the
// disruption.
func (r *rig) prompt(n int) string {
	if !r.trouble {
		return fmt.Sprintf("%x:4400,%x:4400,%x:4400", 3*n, 3*n+1, 3*n+2)
	}
	var b strings.Builder
	for i := range shortParts {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:%d", n*shortParts+i, partTokens)
	}
	return b.String()
}
