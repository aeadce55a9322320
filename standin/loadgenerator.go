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

// callLimit bounds one answer.
const callLimit = 10 * time.Minute

// NewCaller returns a caller with a bearer key and no address.
func NewCaller(key string) *fake.Client { return fake.NewClient("", key, callLimit) }

// LoadGenerator describes the requests of one calling process.
type LoadGenerator struct {
	// Entries are the caller addresses of the entry daemons, used in turn.
	Entries   []string
	Workspace string
	// Kind is stream, whole or plain.
	Kind string
	// Service and Path are those of plain calls.
	Service string
	Path    string
	// Count is the number of requests, Parallel how many run at once.
	Count    int
	Parallel int
	// Tokens is the largest length of a model answer.
	Tokens int
	Seed   uint64
	// Retry prefers entries that are ready, and sends a request again that was
	// refused as "not run" or met no listener, at another entry, as a load
	// balancer and a patient caller do. A request whose connection breaks after
	// it was sent is not sent again and counts as failed.
	Retry bool
}

// CallResults counts how the requests of a calling process ended.
type CallResults struct {
	mu sync.Mutex
	// Whole answers were complete and right, wrong ones complete and not what
	// the request must give.
	Whole, Wrong, Refused, Failed int
	// Codes counts the result codes of requests that got no whole answer.
	Codes map[wigeonladder.Code]int
	// IDs are the request ids, in no order.
	IDs []string
	// ConnErrors describe the first requests whose connection broke.
	ConnErrors []string
}

// String returns the tally in one line.
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
	if r.Request != "" {
		t.IDs = append(t.IDs, r.Request)
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
	if r.Err != nil && len(t.ConnErrors) < maxFaults {
		t.ConnErrors = append(t.ConnErrors, fmt.Sprintf("request %q after %v: %v", r.Request, r.Total.Round(time.Millisecond), r.Err))
	}
}

// maxFaults bounds the faults that a tally describes.
const maxFaults = 10

// maxRetries bounds how often a patient caller sends a request again.
const maxRetries = 20

// retryPause is the pause of a patient caller.
const retryPause = 200 * time.Millisecond

// Run sends the requests and compares every answer whole with what its request
// must give.
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
	numbers := make(chan int)
	var all sync.WaitGroup
	for range max(1, c.Parallel) {
		all.Go(func() {
			for n := range numbers {
				body, want := c.body(n)
				t.add(c.send(ctx, caller, pick, n, body), want)
			}
		})
	}
	for n := range c.Count {
		if ctx.Err() != nil {
			break
		}
		numbers <- n
	}
	close(numbers)
	all.Wait()
	return t
}

// send sends a request, first to the entry that pick chooses for n, again if the
// caller is patient.
func (c LoadGenerator) send(ctx context.Context, caller *fake.Client, pick func(int) string, n int, body string) (r fake.Reply) {
	for i := range maxRetries {
		r = c.once(ctx, caller.WithAddress(pick(n+i)), body)
		refused := r.Code != wigeonladder.CodeOK && r.Code.Info().Outcome == wigeonladder.NotRun
		again := refused || errors.Is(r.Err, syscall.ECONNREFUSED)
		if !c.Retry || !again || ctx.Err() != nil {
			return r
		}
		time.Sleep(retryPause)
	}
	return r
}

func (c LoadGenerator) once(ctx context.Context, caller *fake.Client, body string) fake.Reply {
	if c.Kind == "plain" {
		return caller.Plain(ctx, "POST", c.Service, c.Path, "", body)
	}
	return caller.Chat(ctx, body)
}

// body returns the body of request number n and the answer it must get.
func (c LoadGenerator) body(n int) (body, want string) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(n)))
	if c.Kind == "plain" {
		body = fmt.Sprintf(`{"order":%d,"workspace":%q}`, rng.IntN(1<<30), c.Workspace)
		return body, string(fake.DeskAnswer("POST", c.Path, []byte(body)))
	}
	body = fmt.Sprintf(`{"messages":[{"role":"user","content":"%s %d %d"}],"max_tokens":%d,"stream":%t}`,
		c.Workspace, n, rng.Uint64(), 1+rng.IntN(max(1, c.Tokens)), c.Kind != "whole")
	return body, fake.Answer([]byte(body))
}
