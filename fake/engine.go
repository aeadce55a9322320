package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// EngineOptions are the options of an Engine.
type EngineOptions struct {
	Listener net.Listener
	// Slots is the number of requests that run at full speed. Further requests are
	// admitted and slow all of them down. Zero means that requests never slow down.
	Slots int
	// FirstToken is the time to the first token and InterToken the time between two
	// tokens, both at full speed.
	FirstToken time.Duration
	InterToken time.Duration
	// LoadLag is the age of the load in a load report.
	LoadLag time.Duration
}

// EngineFaults are the faults that an Engine injects. The zero value has none.
type EngineFaults struct {
	// Times is the number of chat requests to which the faults apply; zero
	// means all.
	Times int `json:"times,omitempty"`
	// SlowFactor multiplies all times if it is above zero.
	SlowFactor float64 `json:"slow,omitempty"`
	// BreakAfter closes the connection after that many tokens of a stream.
	BreakAfter int `json:"breakAfter,omitempty"`
	// WrongAttemptID puts the id of another attempt into the answer.
	WrongAttemptID bool `json:"crossed,omitempty"`
	// Truncate ends a stream in the middle without an end mark, and another answer
	// in the middle of its announced length.
	Truncate bool `json:"truncate,omitempty"`
	// SkipToken omits the token with that number, counted from 1, from a stream.
	SkipToken int `json:"lose,omitempty"`
	// StallAfter sends nothing more after that many tokens. If it is below zero,
	// the engine sends nothing at all.
	StallAfter int `json:"stallAfter,omitempty"`
	// Refuse answers with the header that says that the request did not run.
	Refuse bool `json:"refuse,omitempty"`
	// Fail answers with status 500.
	Fail bool `json:"fail,omitempty"`
	// IgnoreResume starts every stream at its first token.
	IgnoreResume bool `json:"ignoreResume,omitempty"`
	// CrashMarker makes the engine crash when a request body contains it.
	CrashMarker string `json:"marker,omitempty"`
}

// Engine is a stand-in for a model engine with continuous batching: it admits every
// request, and its speed depends on the number of running requests.
type Engine struct {
	*server
	options EngineOptions

	mu                 sync.Mutex
	faults             EngineFaults
	faultyRequestsLeft int
	running            int
	served             int
	runningHistory     []runningSample
}

// runningSample is the number of running requests since a time.
type runningSample struct {
	at      time.Time
	running int
}

// NewEngine serves an Engine on the listener until Crash is called.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{options: o}
	e.server = newServer(o.Listener, e.handle)
	return e
}

// SetFaults replaces the faults for the chat requests that follow.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultyRequestsLeft = f.Times
}

// Running returns the number of requests that run now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Served returns the number of chat requests that were admitted.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// Load returns the load report, which is LoadLag old.
func (e *Engine) Load() wigeonladder.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-e.options.LoadLag)
	running := 0
	for _, s := range e.runningHistory {
		if s.at.After(cutoff) {
			break
		}
		running = s.running
	}
	return wigeonladder.Load{Running: running}
}

// addRunning changes the number of running requests and records the new number for
// Load. An increase also counts as one request for Served.
func (e *Engine) addRunning(by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += by
	if by > 0 {
		e.served++
	}
	now := time.Now()
	cutoff := now.Add(-e.options.LoadLag)
	for len(e.runningHistory) > 1 && e.runningHistory[1].at.Before(cutoff) {
		e.runningHistory = e.runningHistory[1:]
	}
	e.runningHistory = append(e.runningHistory, runningSample{now, e.running})
}

// takeFaults returns the faults for one chat request and counts the request.
func (e *Engine) takeFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if f.Times == 0 {
		return f
	}
	if e.faultyRequestsLeft == 0 {
		return EngineFaults{}
	}
	e.faultyRequestsLeft--
	return f
}

// scaledTime returns how long a step of duration d at full speed takes at the
// present load, multiplied by slowFactor if that is above zero.
func (e *Engine) scaledTime(d time.Duration, slowFactor float64) time.Duration {
	e.mu.Lock()
	running, slots := e.running, e.options.Slots
	e.mu.Unlock()
	f := 1.0
	if slots > 0 && running > slots {
		f = float64(running) / float64(slots)
	}
	if slowFactor > 0 {
		f *= slowFactor
	}
	return time.Duration(float64(d) * f)
}

// handle routes a request.
func (e *Engine) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/v1/chat/completions":
		e.chat(c)
	case "/load":
		writeJSON(c, e.Load())
	case "/control/faults":
		applyFaults(c, e.SetFaults)
	case "/control/served":
		writeJSON(c, e.Served())
	case "/control/die":
		e.Crash()
	default:
		c.Error("no such path", fasthttp.StatusNotFound)
	}
}

// chat answers one chat request.
func (e *Engine) chat(c *fasthttp.RequestCtx) {
	body := bytes.Clone(c.PostBody())
	f := e.takeFaults()
	if f.CrashMarker != "" && bytes.Contains(body, []byte(f.CrashMarker)) {
		e.Crash()
		return
	}
	id := string(c.Request.Header.Peek(attemptHeader))
	if f.WrongAttemptID {
		id += "0"
	}
	c.Response.Header.Set(attemptHeader, id)
	var b chatBody
	switch err := json.Unmarshal(body, &b); {
	case f.Refuse:
		refuseNotRun(c)
	case f.Fail:
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		c.SetBodyString(`{"error":{"message":"failed"}}`)
	case err != nil:
		c.SetStatusCode(fasthttp.StatusBadRequest)
		c.SetBodyString(`{"error":{"message":"the body is not JSON"}}`)
	case b.Stream:
		e.answerStream(c, &chatRun{id: id, body: body, seed: xxhash.Sum64(body), totalTokens: AnswerTokens(body), faults: f})
	default:
		e.answerWhole(c, &chatRun{id: id, body: body, seed: xxhash.Sum64(body), totalTokens: AnswerTokens(body), faults: f})
	}
}

// chatRun is one running chat request. resumeFrom is the number of tokens that the
// caller already has.
type chatRun struct {
	id          string
	body        []byte
	seed        uint64
	totalTokens int
	resumeFrom  int
	faults      EngineFaults
}

// waitForToken waits until token number i, counted from 0, is generated. It returns
// an error if the request ends before.
func (e *Engine) waitForToken(ctx context.Context, r *chatRun, i int) error {
	if r.faults.StallAfter < 0 || r.faults.StallAfter > 0 && i >= r.faults.StallAfter {
		<-ctx.Done()
		return ctx.Err()
	}
	d := e.options.InterToken
	if i == r.resumeFrom {
		d = e.options.FirstToken
	}
	return sleep(ctx, e.scaledTime(d, r.faults.SlowFactor))
}

// answerWhole runs a request and answers with one JSON body.
func (e *Engine) answerWhole(c *fasthttp.RequestCtx, r *chatRun) {
	ctx, cancel := e.watchCaller(c)
	defer cancel()
	e.addRunning(1)
	defer e.addRunning(-1)
	for i := range r.totalTokens {
		if e.waitForToken(ctx, r, i) != nil {
			return
		}
	}
	c.SetContentType("application/json")
	answer := wholeAnswerBody(r)
	if r.faults.Truncate {
		sendTruncated(c, answer)
		return
	}
	c.SetBody(answer)
}

// sendTruncated announces the whole length of the answer, sends half of it and
// closes the connection.
func sendTruncated(c *fasthttp.RequestCtx, answer []byte) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		attemptHeader, c.Response.Header.Peek(attemptHeader), len(answer))
	c.HijackSetNoResponse(true)
	c.Hijack(func(n net.Conn) {
		_, _ = n.Write([]byte(head))
		_, _ = n.Write(answer[:len(answer)/2])
	})
}

// wholeAnswerBody returns the JSON body of an answer that is not a stream.
func wholeAnswerBody(r *chatRun) []byte {
	var s bytes.Buffer
	for i := range r.totalTokens {
		s.WriteString(token(r.seed, i))
	}
	b, _ := json.Marshal(map[string]any{
		"id":      r.id,
		"choices": []any{map[string]any{"index": 0, "message": map[string]string{"role": "assistant", "content": s.String()}}},
		"usage":   map[string]int{"prompt_tokens": len(r.body) / 4, "completion_tokens": r.totalTokens},
	})
	return b
}

// answerStream answers with server-sent events.
func (e *Engine) answerStream(c *fasthttp.RequestCtx, r *chatRun) {
	if n, err := strconv.Atoi(string(c.Request.Header.Peek(resumeHeader))); err == nil && n > 0 && !r.faults.IgnoreResume {
		r.resumeFrom = min(n, r.totalTokens)
		c.Response.Header.Set(resumeHeader, strconv.Itoa(r.resumeFrom))
	}
	c.SetContentType("text/event-stream")
	ctx, cancel := e.watchCaller(c)
	e.addRunning(1)
	c.Response.ImmediateHeaderFlush = true
	c.SetBodyStream(&eventStream{engine: e, run: r, ctx: ctx, cancel: cancel, nextToken: r.resumeFrom}, -1)
}

// eventStream generates the body of a stream. fasthttp sends what one Read returns
// before the next Read, so a stream that breaks has sent all earlier events.
type eventStream struct {
	engine *Engine
	run    *chatRun
	ctx    context.Context
	cancel context.CancelFunc
	// nextToken is the number of the next token, counted from 0.
	nextToken int
	ended     bool
	unread    []byte
}

// Read implements io.Reader. An error other than io.EOF makes fasthttp close the
// connection without the end of the body.
func (v *eventStream) Read(b []byte) (int, error) {
	if len(v.unread) == 0 {
		if err := v.prepareEvent(); err != nil {
			return 0, err
		}
	}
	n := copy(b, v.unread)
	v.unread = v.unread[n:]
	return n, nil
}

// Close implements io.Closer. It ends the request.
func (v *eventStream) Close() error {
	v.cancel()
	v.engine.addRunning(-1)
	return nil
}

// prepareEvent waits for the next token and stores its event in unread.
func (v *eventStream) prepareEvent() error {
	r := v.run
	if v.ended {
		return io.EOF
	}
	i := v.nextToken
	if i >= r.totalTokens {
		v.ended = true
		v.unread = fmt.Appendf(nil, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n",
			r.id, len(r.body)/4, r.totalTokens)
		return nil
	}
	if err := v.engine.waitForToken(v.ctx, r, i); err != nil {
		return err
	}
	if r.faults.BreakAfter > 0 && i >= r.faults.BreakAfter {
		return ErrLinkCut
	}
	if r.faults.Truncate && i >= (r.totalTokens+1)/2 {
		return io.EOF
	}
	v.nextToken++
	if r.faults.SkipToken == v.nextToken {
		return v.prepareEvent()
	}
	v.unread = fmt.Appendf(nil, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", r.id, token(r.seed, i))
	return nil
}
