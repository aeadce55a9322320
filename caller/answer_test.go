package caller_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
	"github.com/wigeonladder/wigeonladder/caller"
	"github.com/wigeonladder/wigeonladder/fake"
)

// Guards against answers that are incomplete, mixed up between callers or not
// those of the engine, while many callers at once share connections.
func TestEveryAnswerIsComplete(t *testing.T) {
	r := newRig(t, fake.EngineOptions{Slots: 16, FirstToken: time.Millisecond, InterToken: 100 * time.Microsecond}, nil)
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	var g sync.WaitGroup
	for n := range 64 {
		g.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(n)))
			for i := range 6 {
				sendRandom(t, r, rnd, fmt.Sprintf("%d/%d", n, i))
			}
		})
	}
	g.Wait()
	is.New(t).Equal(r.engine.Running(), 0)
}

// sendRandom requests a stream, a whole answer or a plain call at random, and
// checks the answer.
func sendRandom(t *testing.T, r *rig, rnd *rand.Rand, name string) {
	prompt := name + strings.Repeat("x", rnd.IntN(9000))
	if rnd.IntN(3) == 0 {
		wantDesk(t, r.send("PUT", "/s/desk/status/"+name, "key-birch", prompt), "PUT", "/status/"+name, prompt)
		return
	}
	body := chatJSON(prompt, 1+rnd.IntN(60), rnd.IntN(2) == 0)
	wantAnswer(t, r.chat(body), body)
}

// Guards against reporting a bad answer of a backend server as a success.
func TestBadAnswersBecomeErrors(t *testing.T) {
	cases := []struct {
		name   string
		faults fake.EngineFaults
		stream bool
		// afterStart is true if events were sent before the fault shows.
		afterStart bool
		code       wigeonladder.Code
	}{
		{"crossed stream", fake.EngineFaults{WrongAttemptID: true}, true, false, wigeonladder.CodeCrossed},
		{"crossed whole", fake.EngineFaults{WrongAttemptID: true}, false, false, wigeonladder.CodeCrossed},
		{"truncated stream", fake.EngineFaults{Truncate: true}, true, true, wigeonladder.CodeBroken},
		{"truncated whole", fake.EngineFaults{Truncate: true}, false, false, wigeonladder.CodeBroken},
		{"broken stream", fake.EngineFaults{BreakAfter: 5}, true, true, wigeonladder.CodeBroken},
		{"lost token", fake.EngineFaults{SkipToken: 7}, true, true, wigeonladder.CodeBackend},
		{"refused stream", fake.EngineFaults{Refuse: true}, true, false, wigeonladder.CodeRefused},
		{"refused whole", fake.EngineFaults{Refuse: true}, false, false, wigeonladder.CodeRefused},
		{"failed", fake.EngineFaults{Fail: true}, true, false, wigeonladder.CodeBackend},
		{"crash", fake.EngineFaults{CrashMarker: "hello"}, true, false, wigeonladder.CodeBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, fake.EngineOptions{}, nil)
			r.engine.SetFaults(c.faults)
			body := chatJSON("hello", 20, c.stream)
			a := r.chat(body)
			if !c.afterStart {
				wantCode(t, a, c.code)
				return
			}
			wantBrokenStream(t, a, c.code, fake.EngineAnswer([]byte(body)))
		})
	}
}

// wantBrokenStream asserts a stream that begins with a part of the answer and
// ends with an error event instead of doneEvent.
func wantBrokenStream(t *testing.T, a fake.Reply, c wigeonladder.Code, whole string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(a.Err)
	is.Equal(a.Status, 200)
	is.Equal(a.Code, c)
	is.True(!a.Complete)
	is.True(a.Text != "" && a.Text != whole)
	is.True(strings.Contains(a.Body, fmt.Sprintf("event: error\ndata: {\"code\":%d,", int(c))))
}

// Guards against mixing up answers when many attempts fail at once in different
// ways and each is followed by a second attempt: a late, crossed, truncated or
// interrupted answer must never become part of another.
func TestFaultsNeverMixAnswers(t *testing.T) {
	faults := []fake.EngineFaults{
		{WrongAttemptID: true},
		{Truncate: true},
		{BreakAfter: 4},
		{SkipToken: 3},
		{SlowFactor: 3000}, // the first token comes long after the attempt's timeout
		{StallAfter: 2},
		{Fail: true},
	}
	var engines []*fake.Engine
	for _, f := range faults {
		e := fake.NewEngine(fake.EngineOptions{Listener: fake.ListenLoopback(), FirstToken: time.Millisecond})
		e.SetFaults(f)
		t.Cleanup(e.Crash)
		engines = append(engines, e)
	}
	var next atomic.Int64
	r := newRig(t, fake.EngineOptions{}, func(r *rig, o *caller.Options) {
		r.client = backend.NewClient(backend.Options{FirstByteTimeout: time.Second, EventTimeout: time.Second, WholeAnswerTimeout: time.Second})
		o.Runner = fake.RunnerFunc(func(ctx context.Context, q wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
			bad := engines[int(next.Add(1))%len(engines)]
			c := &countingSink{Sink: s}
			a := wigeonladder.Attempt{Request: q, Number: 1, Server: wigeonladder.Server{Name: "bad", Address: bad.Address()}}
			u, err := r.client.Do(ctx, a, c)
			var e *wigeonladder.Error
			if !errors.As(err, &e) || c.parts > 0 && e.Code != wigeonladder.CodeBroken && e.Code != wigeonladder.CodeTimeout {
				return u, err
			}
			a.Number, a.ResumeFrom = 2, c.tokens
			a.Server = wigeonladder.Server{Name: "good", Address: r.engine.Address()}
			return r.client.Do(ctx, a, c)
		})
	})
	var whole, broken atomic.Int64
	var g sync.WaitGroup
	for n := range 70 {
		g.Go(func() {
			body := chatJSON(fmt.Sprint("mixed ", n), 12, n%2 == 0)
			a := r.chat(body)
			switch {
			case a.Complete && a.Text == fake.EngineAnswer([]byte(body)):
				whole.Add(1)
			case !a.Complete && (a.Status != 200 || strings.Contains(a.Body, "event: error")):
				broken.Add(1)
			default:
				t.Errorf("%d: got %d %v %.300q", n, a.Status, a.Err, a.Body)
			}
		})
	}
	g.Wait()
	t.Logf("%d whole, %d with a code", whole.Load(), broken.Load())
	is.New(t).Equal(whole.Load()+broken.Load(), int64(70))
	is.New(t).True(whole.Load() >= 60)
}

// countingSink counts the parts and tokens that reached the caller.
type countingSink struct {
	wigeonladder.Sink
	parts  int
	tokens int64
	// total, if not nil, also counts the tokens. A test may read it while the
	// sink is in use.
	total *atomic.Int64
}

func (c *countingSink) Write(part []byte, tokens int64) error {
	c.parts++
	c.tokens += tokens
	err := c.Sink.Write(part, tokens)
	if c.total != nil {
		c.total.Add(tokens)
	}
	return err
}
