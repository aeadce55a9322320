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

// EngineOptions describes a stand-in for a model engine.
type EngineOptions struct {
	Listener net.Listener
	// Slots is the number of requests that run at full speed; more are
	// admitted and slow all of them down. Zero means no bound.
	Slots int
	// FirstToken and InterToken are the times at full speed.
	FirstToken time.Duration
	InterToken time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
}

// EngineFaults are the faults of an engine. The zero value has none.
type EngineFaults struct {
	// Times is the number of chat requests to which the faults apply; zero
	// means all.
	Times int `json:"times,omitempty"`
	// SlowFactor multiplies all times if it is above zero.
	SlowFactor float64 `json:"slow,omitempty"`
	// BreakAfter closes the connection after that many tokens of a stream.
	BreakAfter int `json:"breakAfter,omitempty"`
	// WrongAttemptID echoes the id of another attempt.
	WrongAttemptID bool `json:"crossed,omitempty"`
	// Truncate ends a stream halfway without an end mark and a whole answer
	// halfway through its announced length.
	Truncate bool `json:"truncate,omitempty"`
	// SkipToken leaves out the token with that number, counted from 1.
	SkipToken int `json:"lose,omitempty"`
	// StallAfter sends nothing more after that many tokens; below zero it
	// sends nothing at all.
	StallAfter int `json:"stallAfter,omitempty"`
	// Refuse refuses with the mark that the work did not run.
	Refuse bool `json:"refuse,omitempty"`
	// Fail answers with status 500.
	Fail bool `json:"fail,omitempty"`
	// IgnoreResume starts every stream at its first token.
	IgnoreResume bool `json:"ignoreResume,omitempty"`
	// CrashMarker makes the engine die when a request body contains it.
	CrashMarker string `json:"marker,omitempty"`
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	*server
	options EngineOptions

	mu      sync.Mutex
	faults  EngineFaults
	left    int
	running int
	served  int
	history []sample
}

// sample is the number of running requests from a time on.
type sample struct {
	at      time.Time
	running int
}

// NewEngine serves a stand-in engine on the listener until Die is called.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{options: o}
	e.server = newServer(o.Listener, e.handle)
	return e
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.left = f.Times
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

// Load returns the lagging load report.
func (e *Engine) Load() wigeonladder.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := time.Now().Add(-e.options.LoadLag)
	running := 0
	for _, s := range e.history {
		if s.at.After(limit) {
			break
		}
		running = s.running
	}
	return wigeonladder.Load{Running: running}
}

// change counts a request in or out. The caller holds no lock.
func (e *Engine) change(by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += by
	if by > 0 {
		e.served++
	}
	now := time.Now()
	limit := now.Add(-e.options.LoadLag)
	for len(e.history) > 1 && e.history[1].at.Before(limit) {
		e.history = e.history[1:]
	}
	e.history = append(e.history, sample{now, e.running})
}

// take returns the faults for one chat request.
func (e *Engine) take() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if f.Times == 0 {
		return f
	}
	if e.left == 0 {
		return EngineFaults{}
	}
	e.left--
	return f
}

// stretch returns how much longer a step takes with the present load.
func (e *Engine) stretch(d time.Duration, slow float64) time.Duration {
	e.mu.Lock()
	running, slots := e.running, e.options.Slots
	e.mu.Unlock()
	f := 1.0
	if slots > 0 && running > slots {
		f = float64(running) / float64(slots)
	}
	if slow > 0 {
		f *= slow
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
		control(c, e.SetFaults)
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
	f := e.take()
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
		refuse(c)
	case f.Fail:
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		c.SetBodyString(`{"error":{"message":"failed"}}`)
	case err != nil:
		c.SetStatusCode(fasthttp.StatusBadRequest)
		c.SetBodyString(`{"error":{"message":"the body is not JSON"}}`)
	case b.Stream:
		e.stream(c, &run{id: id, body: body, seed: xxhash.Sum64(body), total: AnswerTokens(body), faults: f})
	default:
		e.whole(c, &run{id: id, body: body, seed: xxhash.Sum64(body), total: AnswerTokens(body), faults: f})
	}
}

// run is one chat request that runs.
type run struct {
	id     string
	body   []byte
	seed   uint64
	total  int
	from   int
	faults EngineFaults
}

// step waits for the token with number i, counted from 0.
func (e *Engine) step(ctx context.Context, r *run, i int) error {
	if r.faults.StallAfter < 0 || r.faults.StallAfter > 0 && i >= r.faults.StallAfter {
		<-ctx.Done()
		return ctx.Err()
	}
	d := e.options.InterToken
	if i == r.from {
		d = e.options.FirstToken
	}
	return pause(ctx, e.stretch(d, r.faults.SlowFactor))
}

// whole answers with one JSON body.
func (e *Engine) whole(c *fasthttp.RequestCtx, r *run) {
	ctx, cancel := e.watch(c)
	defer cancel()
	e.change(1)
	defer e.change(-1)
	for i := range r.total {
		if e.step(ctx, r, i) != nil {
			return
		}
	}
	c.SetContentType("application/json")
	answer := wholeAnswer(r)
	if r.faults.Truncate {
		breakOff(c, answer)
		return
	}
	c.SetBody(answer)
}

// breakOff announces the length of the answer, sends half and closes.
func breakOff(c *fasthttp.RequestCtx, answer []byte) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		attemptHeader, c.Response.Header.Peek(attemptHeader), len(answer))
	c.HijackSetNoResponse(true)
	c.Hijack(func(n net.Conn) {
		_, _ = n.Write([]byte(head))
		_, _ = n.Write(answer[:len(answer)/2])
	})
}

// wholeAnswer returns the JSON body of an answer.
func wholeAnswer(r *run) []byte {
	var s bytes.Buffer
	for i := range r.total {
		s.WriteString(token(r.seed, i))
	}
	b, _ := json.Marshal(map[string]any{
		"id":      r.id,
		"choices": []any{map[string]any{"index": 0, "message": map[string]string{"role": "assistant", "content": s.String()}}},
		"usage":   map[string]int{"prompt_tokens": len(r.body) / 4, "completion_tokens": r.total},
	})
	return b
}

// stream answers with server-sent events.
func (e *Engine) stream(c *fasthttp.RequestCtx, r *run) {
	if n, err := strconv.Atoi(string(c.Request.Header.Peek(resumeHeader))); err == nil && n > 0 && !r.faults.IgnoreResume {
		r.from = min(n, r.total)
		c.Response.Header.Set(resumeHeader, strconv.Itoa(r.from))
	}
	c.SetContentType("text/event-stream")
	ctx, cancel := e.watch(c)
	e.change(1)
	c.Response.ImmediateHeaderFlush = true
	c.SetBodyStream(&events{engine: e, run: r, ctx: ctx, cancel: cancel, next: r.from}, -1)
}

// events is the body of a stream. fasthttp sends what one Read returns before
// the next Read, so a broken stream has sent all events before the break.
type events struct {
	engine *Engine
	run    *run
	ctx    context.Context
	cancel context.CancelFunc
	// next is the number of the next token.
	next  int
	ended bool
	left  []byte
}

// Read implements io.Reader. An error other than io.EOF breaks the connection.
func (v *events) Read(b []byte) (int, error) {
	if len(v.left) == 0 {
		if err := v.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(b, v.left)
	v.left = v.left[n:]
	return n, nil
}

// Close implements io.Closer.
func (v *events) Close() error {
	v.cancel()
	v.engine.change(-1)
	return nil
}

// fill prepares the next event.
func (v *events) fill() error {
	r := v.run
	if v.ended {
		return io.EOF
	}
	i := v.next
	if i >= r.total {
		v.ended = true
		v.left = fmt.Appendf(nil, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n",
			r.id, len(r.body)/4, r.total)
		return nil
	}
	if err := v.engine.step(v.ctx, r, i); err != nil {
		return err
	}
	if r.faults.BreakAfter > 0 && i >= r.faults.BreakAfter {
		return ErrLinkCut
	}
	if r.faults.Truncate && i >= (r.total+1)/2 {
		return io.EOF
	}
	v.next++
	if r.faults.SkipToken == v.next {
		return v.fill()
	}
	v.left = fmt.Appendf(nil, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", r.id, token(r.seed, i))
	return nil
}
