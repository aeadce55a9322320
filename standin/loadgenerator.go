package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// answerTimeout bounds the time until an answer is complete.
const answerTimeout = 10 * time.Minute

// NewCaller returns a client with a bearer key and no address.
func NewCaller(key string) *fake.Client { return fake.NewClient("", key, answerTimeout) }

// LoadGenerator sends the requests of one process that acts as callers of a
// workspace.
type LoadGenerator struct {
	// Entries are the caller addresses of the entry daemons. Requests go to them in
	// turn.
	Entries   []string
	Workspace string
	// Kind is stream, whole or plain.
	Kind string
	// Service and Path are the service and path of plain calls.
	Service string
	Path    string
	// Count is the number of requests, Parallel the number of concurrent ones.
	Count    int
	Parallel int
	// Tokens is the largest length of a model answer.
	Tokens int
	Seed   uint64
	// Retry makes the generator behave like a load balancer with callers that retry.
	// It prefers entries that are ready, and sends a request again to another entry
	// if it was refused as "not run" or its connection was refused. A request whose
	// connection breaks after it was sent is not sent again and counts as failed.
	Retry bool
}

// CallResults counts how the requests of a LoadGenerator ended.
type CallResults struct {
	mu sync.Mutex
	// Whole counts complete answers with the expected text, Wrong complete answers
	// with another text, Refused requests that were answered as "not run", and Failed
	// all others.
	Whole, Wrong, Refused, Failed int
	// Codes counts the result codes of requests that got no whole answer.
	Codes map[wigeonladder.Code]int
	// IDs are the request ids, in no particular order.
	IDs []string
	// ConnErrors describe the first requests whose connection broke.
	ConnErrors []string
}

// String formats the counts on one line.
func (t *CallResults) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var codes []string
	for c, n := range t.Codes {
		codes = append(codes, fmt.Sprintf("%d:%d", int(c), n))
	}
	sort.Strings(codes)
	return fmt.Sprintf("whole=%d wrong=%d refused=%d failed=%d codes=%s",
		t.Whole, t.Wrong, t.Refused, t.Failed, strings.Join(codes, ","))
}

// add counts one reply.
func (t *CallResults) add(r fake.Reply, want string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.RequestID != "" {
		t.IDs = append(t.IDs, r.RequestID)
	}
	switch {
	case r.Complete && r.Text == want:
		t.Whole++
		return
	case r.Complete:
		t.Wrong++
	case r.Code != wigeonladder.CodeOK && r.Code.Info().Outcome == wigeonladder.NotRun:
		t.Refused++
	default:
		t.Failed++
	}
	t.Codes[r.Code]++
	if r.Err != nil && len(t.ConnErrors) < maxConnErrors {
		t.ConnErrors = append(t.ConnErrors, fmt.Sprintf("request %q after %v: %v", r.RequestID, r.TotalTime.Round(time.Millisecond), r.Err))
	}
}

// maxConnErrors bounds the length of ConnErrors.
const maxConnErrors = 10

// maxAttempts bounds how often one request is sent if Retry is set.
const maxAttempts = 20

// retryDelay is the delay before a request is sent again.
const retryDelay = 200 * time.Millisecond

// Run sends the requests and compares every answer with the expected one. It returns
// when all have ended.
func (c LoadGenerator) Run(ctx context.Context) *CallResults {
	t := &CallResults{Codes: map[wigeonladder.Code]int{}}
	caller := NewCaller(WorkspaceKey(c.Workspace))
	defer caller.Close()
	pick := func(n int) string { return c.Entries[n%len(c.Entries)] }
	if c.Retry {
		probes, stop := context.WithCancel(ctx)
		b := newBalancer(probes, c.Entries, caller.Close)
		defer b.wait()
		defer stop()
		pick = b.pick
	}
	requestNumbers := make(chan int)
	var senders sync.WaitGroup
	for range max(1, c.Parallel) {
		senders.Go(func() {
			for n := range requestNumbers {
				body, want := c.requestBody(n)
				t.add(c.send(ctx, caller, pick, n, body), want)
			}
		})
	}
	for n := range c.Count {
		if ctx.Err() != nil {
			break
		}
		requestNumbers <- n
	}
	close(requestNumbers)
	senders.Wait()
	return t
}

// send sends a request, first to the entry that pick returns for n. If Retry is set,
// it sends the request again to the entries that follow, as long as it is refused as
// "not run" or its connection is refused.
func (c LoadGenerator) send(ctx context.Context, caller *fake.Client, pick func(int) string, n int, body string) (r fake.Reply) {
	for i := range maxAttempts {
		r = c.sendOnce(ctx, caller.WithAddress(pick(n+i)), body)
		refused := r.Code != wigeonladder.CodeOK && r.Code.Info().Outcome == wigeonladder.NotRun
		mayRetry := refused || errors.Is(r.Err, syscall.ECONNREFUSED)
		if !c.Retry || !mayRetry || ctx.Err() != nil {
			return r
		}
		time.Sleep(retryDelay)
	}
	return r
}

// sendOnce sends a request once.
func (c LoadGenerator) sendOnce(ctx context.Context, caller *fake.Client, body string) fake.Reply {
	if c.Kind == "plain" {
		return caller.CallPlainService(ctx, "POST", c.Service, c.Path, "", body)
	}
	return caller.Chat(ctx, body)
}

// requestBody returns the body of request number n and the expected answer.
func (c LoadGenerator) requestBody(n int) (body, want string) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(n)))
	if c.Kind == "plain" {
		body = fmt.Sprintf(`{"order":%d,"workspace":%q}`, rng.IntN(1<<30), c.Workspace)
		return body, string(fake.PlainServiceAnswer("POST", c.Path, []byte(body)))
	}
	body = fmt.Sprintf(`{"messages":[{"role":"user","content":"%s %d %d"}],"max_tokens":%d,"stream":%t}`,
		c.Workspace, n, rng.Uint64(), 1+rng.IntN(max(1, c.Tokens)), c.Kind != "whole")
	return body, fake.EngineAnswer([]byte(body))
}
