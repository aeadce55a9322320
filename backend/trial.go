package backend

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// streamType is the content type of server-sent events.
const streamType = "text/event-stream"

// trial is one running attempt.
type trial struct {
	client  *Client
	attempt wigeonladder.Attempt
	sink    wigeonladder.Sink
	id      string
	model   bool

	// notRun is true if the work is known not to have run.
	notRun bool
	sent   time.Time
	first  time.Time
	last   time.Time
	// tokens counts the tokens of this attempt, without those before ResumeFrom.
	tokens int64
	whole  bool
}

// usage returns what the attempt consumed.
func (t *trial) usage(err error) wigeonladder.Usage {
	u := wigeonladder.Usage{Failed: err != nil}
	if t.notRun || t.sent.IsZero() {
		return u
	}
	u.Cost = t.attempt.Request.Estimate
	if t.model {
		u.Cost = PromptCost(t.attempt.Request.Body) + t.tokens
	}
	if t.first.IsZero() {
		return u
	}
	if t.model && t.whole {
		// A whole answer hides its first token; the mean includes it.
		if t.tokens > 0 {
			u.InterToken = t.last.Sub(t.sent) / time.Duration(t.tokens)
		}
		return u
	}
	u.FirstToken = t.first.Sub(t.sent)
	if t.tokens > 1 {
		u.InterToken = t.last.Sub(t.first) / time.Duration(t.tokens-1)
	}
	return u
}

// run sends the attempt and relays the answer.
func (t *trial) run(ctx context.Context) error {
	p := t.client.pool
	l, err := p.take(ctx, t.attempt.Server.Address)
	if err != nil {
		return connectError(ctx, t.attempt.Server.Name, err)
	}
	x := newExchange(ctx, l)
	err = t.exchange(ctx, x)
	unused := t.sent.IsZero() && x.stop()
	p.put(l.address, l, unused || x.end() && err == nil)
	return err
}

// exchange writes the request and reads the answer.
func (t *trial) exchange(ctx context.Context, x *exchange) error {
	if err := t.send(ctx, x); err != nil {
		return err
	}
	limit := t.client.options.FirstByteTimeout
	if t.model && !t.attempt.Request.Stream {
		limit = t.client.options.WholeAnswerTimeout
	}
	if err := x.link.SetReadDeadline(t.sent.Add(limit)); err != nil {
		return t.failed(ctx, err)
	}
	if err := x.readHeader(); err != nil {
		return t.failed(ctx, err)
	}
	if err := t.judge(x); err != nil {
		return err
	}
	if t.isStream(x) {
		return t.relayStream(ctx, x)
	}
	return t.relayWhole(ctx, x)
}

// send writes the request after the last check.
func (t *trial) send(ctx context.Context, x *exchange) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	t.fill(req)
	if err := x.link.SetWriteDeadline(time.Now().Add(t.client.options.FirstByteTimeout)); err != nil {
		return connectError(ctx, t.attempt.Server.Name, err)
	}
	if ctx.Err() != nil {
		return connectError(ctx, t.attempt.Server.Name, ctx.Err())
	}
	if check := t.attempt.BeforeSend; check != nil {
		if err := check(); err != nil {
			return t.late(err)
		}
	}
	t.sent = time.Now()
	err := x.write(req)
	if err == nil {
		return nil
	}
	if x.written == 0 {
		t.notRun = true
		return connectError(ctx, t.attempt.Server.Name, err)
	}
	return t.failed(ctx, err)
}

// fill sets the request that the backend server gets.
func (t *trial) fill(req *fasthttp.Request) {
	r := t.attempt.Request
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(r.Method)
	// With a Host and an unparsed URI, fasthttp writes the path as it is.
	req.SetRequestURI(r.Path)
	req.Header.SetHost(t.attempt.Server.Address)
	req.Header.Set(HeaderAttempt, t.id)
	if t.attempt.ResumeFrom > 0 {
		req.Header.Set(HeaderResume, strconv.FormatInt(t.attempt.ResumeFrom, 10))
	}
	if r.ContentType != "" {
		req.Header.SetContentType(r.ContentType)
	}
	req.SetBodyRaw(r.Body)
}

// late returns the error of a failed last check.
func (t *trial) late(err error) error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		return e
	}
	return wigeonladder.Errorf(wigeonladder.CodeContractLate, t.attempt.Server.Name, "%v", err)
}

// failed returns the error of an attempt of which bytes were written.
func (t *trial) failed(ctx context.Context, err error) error {
	return readError(ctx, t.attempt.Server.Name, err)
}

// errorf returns an error at this attempt's server.
func (t *trial) errorf(c wigeonladder.Code, format string, args ...any) error {
	return wigeonladder.Errorf(c, t.attempt.Server.Name, format, args...)
}

// judge decides by the response header whether the answer may be used.
func (t *trial) judge(x *exchange) error {
	status := x.header.StatusCode()
	echo := string(x.header.Peek(HeaderAttempt))
	switch {
	case echo == "" && status >= fasthttp.StatusInternalServerError:
		return t.errorf(wigeonladder.CodeBackend, "status %d without %s", status, HeaderAttempt)
	case echo != t.id:
		// This covers the refusal mark too: the mark of another attempt says
		// nothing about this one.
		return t.errorf(wigeonladder.CodeCrossed, "sent %s %q, got %q", HeaderAttempt, t.id, echo)
	case string(x.header.Peek(HeaderNotRun)) == "true":
		t.notRun = true
		return t.errorf(wigeonladder.CodeRefused, "status %d", status)
	case status >= fasthttp.StatusInternalServerError:
		return t.errorf(wigeonladder.CodeBackend, "status %d", status)
	default:
		return t.judgeResume(x)
	}
}

// judgeResume refuses an answer that does not start at the resume point; it
// would repeat tokens that the caller already has.
func (t *trial) judgeResume(x *exchange) error {
	if t.attempt.ResumeFrom == 0 || !t.isStream(x) {
		return nil
	}
	want := strconv.FormatInt(t.attempt.ResumeFrom, 10)
	if got := string(x.header.Peek(HeaderResume)); got != want {
		return t.errorf(wigeonladder.CodeBackend, "sent %s %s, got %q", HeaderResume, want, got)
	}
	return nil
}

// isStream reports whether the answer is a stream of events.
func (t *trial) isStream(x *exchange) bool {
	return t.model && t.attempt.Request.Stream && x.header.StatusCode() == fasthttp.StatusOK &&
		strings.HasPrefix(string(x.header.ContentType()), streamType)
}

// relayWhole reads a whole answer and hands it on.
func (t *trial) relayWhole(ctx context.Context, x *exchange) error {
	status := x.header.StatusCode()
	t.whole = true
	t.first = time.Now()
	// A stream is asked for and got only an answer that says why not.
	if t.model && t.attempt.Request.Stream && status < fasthttp.StatusMultipleChoices {
		return t.errorf(wigeonladder.CodeBackend, "asked for a stream, got %q", x.header.ContentType())
	}
	if err := x.link.SetReadDeadline(time.Now().Add(t.client.options.WholeAnswerTimeout)); err != nil {
		return t.failed(ctx, err)
	}
	body, err := x.readWhole(t.client.options.MaxAnswerBytes)
	if err != nil {
		return t.failed(ctx, err)
	}
	if t.model && status == fasthttp.StatusOK {
		if t.tokens, err = parseAnswer(body); err != nil {
			return t.errorf(wigeonladder.CodeBroken, "%v", err)
		}
	}
	t.last = time.Now()
	if err := t.sink.Start(status, string(x.header.ContentType())); err != nil {
		return t.sinkError(ctx, err)
	}
	if err := t.sink.Write(body, t.tokens); err != nil {
		return t.sinkError(ctx, err)
	}
	return nil
}

// relayStream hands on the events of a stream until it is complete.
func (t *trial) relayStream(ctx context.Context, x *exchange) error {
	c := newCount(t.attempt.ResumeFrom)
	r := newEventReader(x.body, t.client.options.MaxEventBytes)
	started := false
	for {
		event, err := r.next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return t.failed(ctx, err)
		}
		tokens, err := c.add(event)
		if err != nil {
			return t.failed(ctx, err)
		}
		if c.done {
			x.drain()
			return nil
		}
		if !c.content {
			continue
		}
		if !started {
			started = true
			if err := t.sink.Start(x.header.StatusCode(), string(x.header.ContentType())); err != nil {
				return t.sinkError(ctx, err)
			}
		}
		t.mark(tokens)
		if err := t.sink.Write(event, tokens); err != nil {
			return t.sinkError(ctx, err)
		}
		if err := x.link.SetReadDeadline(time.Now().Add(t.client.options.EventTimeout)); err != nil {
			return t.failed(ctx, err)
		}
	}
}

// mark measures the arrival of tokens.
func (t *trial) mark(tokens int64) {
	if tokens == 0 {
		return
	}
	t.last = time.Now()
	if t.first.IsZero() {
		t.first = t.last
	}
	t.tokens += tokens
}

// sinkError returns the error of an answer that cannot be handed on.
func (t *trial) sinkError(ctx context.Context, err error) error {
	var e *wigeonladder.Error
	if errors.As(err, &e) && e.Code.Info().Outcome == wigeonladder.MayHaveRun {
		return e
	}
	if ctx.Err() != nil {
		return t.failed(ctx, err)
	}
	return t.errorf(wigeonladder.CodeCallerLost, "%v", err)
}
