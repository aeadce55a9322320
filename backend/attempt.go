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

// attemptRun is the state of one attempt while it runs.
type attemptRun struct {
	client    *Client
	attempt   wigeonladder.Attempt
	sink      wigeonladder.Sink
	attemptID string
	isModel   bool
	// firstOnConn is true if the request is the first on its connection, so that an
	// answer without an id belongs to no other.
	firstOnConn bool

	// notRun is true if it is certain that the request did not run.
	notRun bool
	// sentAt is when the writing of the request began; zero before that.
	sentAt time.Time
	// firstTokenAt and lastTokenAt are the times of the first and the last token,
	// or of the header and the end of a whole answer.
	firstTokenAt time.Time
	lastTokenAt  time.Time
	// tokens counts the tokens of this attempt, without those before
	// ResumeFrom.
	tokens  int64
	isWhole bool
}

// usage returns what the attempt consumed.
func (r *attemptRun) usage(err error) wigeonladder.Usage {
	u := wigeonladder.Usage{Failed: err != nil}
	if r.notRun || r.sentAt.IsZero() {
		return u
	}
	u.Cost = r.attempt.Request.Estimate
	if r.isModel {
		u.Cost = PromptCost(r.attempt.Request.Body) + r.tokens
	}
	if r.firstTokenAt.IsZero() {
		return u
	}
	if r.isModel && r.isWhole {
		// In a whole answer the time of the first token is unknown, so the mean
		// includes the time until then.
		if r.tokens > 0 {
			u.InterToken = r.lastTokenAt.Sub(r.sentAt) / time.Duration(r.tokens)
		}
		return u
	}
	u.FirstToken = r.firstTokenAt.Sub(r.sentAt)
	if r.tokens > 1 {
		u.InterToken = r.lastTokenAt.Sub(r.firstTokenAt) / time.Duration(r.tokens-1)
	}
	return u
}

// run sends the attempt and relays the answer. It keeps the connection for
// reuse if nothing was sent, or if the answer was read completely.
func (r *attemptRun) run(ctx context.Context) error {
	p := r.client.pool
	conn, err := p.get(ctx, r.attempt.Server.Address)
	if err != nil {
		return notSentError(ctx, r.attempt.Server.Name, err)
	}
	x := newExchange(ctx, conn)
	err = r.roundTrip(ctx, x)
	unused := r.sentAt.IsZero() && x.detachContext()
	p.put(conn.address, conn, unused || x.finish() && err == nil)
	if r.mayStillRun(x, err) {
		AwaitDrop(ctx)
	}
	return err
}

// mayStillRun reports whether an attempt that may be repeated failed while its server
// may go on with it.
func (r *attemptRun) mayStillRun(x *exchange, err error) bool {
	var e *wigeonladder.Error
	return !r.attempt.Request.AtMostOnce && errors.As(err, &e) && e.Code == wigeonladder.CodeCrossed && !x.conn.endedByServer
}

// roundTrip writes the request and relays the answer.
func (r *attemptRun) roundTrip(ctx context.Context, x *exchange) error {
	if err := r.send(ctx, x); err != nil {
		return err
	}
	timeout := r.client.options.FirstByteTimeout
	if r.isModel && !r.attempt.Request.Stream {
		timeout = r.client.options.WholeAnswerTimeout
	}
	if err := x.conn.SetReadDeadline(r.sentAt.Add(timeout)); err != nil {
		return r.mayHaveRunError(ctx, err)
	}
	if err := x.readHeader(); err != nil {
		if !r.attempt.Request.AtMostOnce {
			err = x.settleCrossed(err)
		}
		return r.mayHaveRunError(ctx, err)
	}
	if err := r.checkHeader(x); err != nil {
		return err
	}
	if r.isStream(x) {
		return r.relayStream(ctx, x)
	}
	return r.relayWhole(ctx, x)
}

// send writes the request, immediately after the attempt's BeforeSend check.
func (r *attemptRun) send(ctx context.Context, x *exchange) error {
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	r.fillRequest(httpRequest)
	if err := x.conn.SetWriteDeadline(time.Now().Add(r.client.options.FirstByteTimeout)); err != nil {
		return notSentError(ctx, r.attempt.Server.Name, err)
	}
	if ctx.Err() != nil {
		return notSentError(ctx, r.attempt.Server.Name, ctx.Err())
	}
	if check := r.attempt.BeforeSend; check != nil {
		if err := check(); err != nil {
			return r.beforeSendError(err)
		}
	}
	r.firstOnConn = !x.conn.used
	r.sentAt = time.Now()
	err := x.write(httpRequest)
	if err == nil {
		return nil
	}
	if x.writtenBytes == 0 {
		r.notRun = true
		return notSentError(ctx, r.attempt.Server.Name, err)
	}
	return r.mayHaveRunError(ctx, err)
}

// fillRequest fills in the HTTP request for the backend server.
func (r *attemptRun) fillRequest(httpRequest *fasthttp.Request) {
	request := r.attempt.Request
	httpRequest.Header.SetNoDefaultContentType(true)
	httpRequest.Header.SetMethod(request.Method)
	// With a Host and an unparsed URI, fasthttp writes the path unchanged.
	httpRequest.SetRequestURI(request.Path)
	httpRequest.Header.SetHost(r.attempt.Server.Address)
	httpRequest.Header.Set(HeaderAttempt, r.attemptID)
	if r.attempt.ResumeFrom > 0 {
		httpRequest.Header.Set(HeaderResume, strconv.FormatInt(r.attempt.ResumeFrom, 10))
	}
	if request.ContentType != "" {
		httpRequest.Header.SetContentType(request.ContentType)
	}
	httpRequest.SetBodyRaw(request.Body)
}

// beforeSendError returns the error of an attempt whose BeforeSend check
// failed.
func (r *attemptRun) beforeSendError(err error) error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		return e
	}
	return wigeonladder.Errorf(wigeonladder.CodeContractLate, r.attempt.Server.Name, "%v", err)
}

// mayHaveRunError returns the error of an attempt of which bytes were written.
func (r *attemptRun) mayHaveRunError(ctx context.Context, err error) error {
	return mayHaveRunError(ctx, r.attempt.Server.Name, err)
}

// errorf returns an error that names this attempt's server.
func (r *attemptRun) errorf(c wigeonladder.Code, format string, args ...any) error {
	return wigeonladder.Errorf(c, r.attempt.Server.Name, format, args...)
}

// checkHeader checks by the response header whether the answer may be used.
func (r *attemptRun) checkHeader(x *exchange) error {
	status := x.header.StatusCode()
	echo := string(x.header.Peek(HeaderAttempt))
	refused := string(x.header.Peek(HeaderNotRun)) == "true"
	switch {
	case Repeated(&x.header, HeaderAttempt, HeaderNotRun, HeaderResume), refused && status < fasthttp.StatusBadRequest:
		return r.errorf(wigeonladder.CodeCrossed, "status %d with contradictory headers", status)
	case echo == "" && status >= fasthttp.StatusInternalServerError && r.firstOnConn:
		return r.errorf(wigeonladder.CodeBackend, "status %d without %s", status, HeaderAttempt)
	case echo != r.attemptID:
		// The echo is checked before a refusal, because the refusal of another
		// attempt does not tell whether this one ran.
		return r.errorf(wigeonladder.CodeCrossed, "sent %s %q, got %q", HeaderAttempt, r.attemptID, echo)
	case refused:
		r.notRun = true
		return r.errorf(wigeonladder.CodeRefused, "status %d", status)
	case status >= fasthttp.StatusInternalServerError:
		return r.errorf(wigeonladder.CodeBackend, "status %d", status)
	default:
		return r.checkResumePoint(x)
	}
}

// checkResumePoint rejects a stream that does not start at the resume point,
// since it would repeat tokens that the caller already has.
func (r *attemptRun) checkResumePoint(x *exchange) error {
	if r.attempt.ResumeFrom == 0 || !r.isStream(x) {
		return nil
	}
	want := strconv.FormatInt(r.attempt.ResumeFrom, 10)
	if got := string(x.header.Peek(HeaderResume)); got != want {
		return r.errorf(wigeonladder.CodeBackend, "sent %s %s, got %q", HeaderResume, want, got)
	}
	return nil
}

// isStream reports whether the answer is a stream of events.
func (r *attemptRun) isStream(x *exchange) bool {
	return r.isModel && r.attempt.Request.Stream && x.header.StatusCode() == fasthttp.StatusOK &&
		strings.HasPrefix(string(x.header.ContentType()), streamType)
}

// relayWhole reads a whole answer and writes it to the sink.
func (r *attemptRun) relayWhole(ctx context.Context, x *exchange) error {
	status := x.header.StatusCode()
	r.isWhole = true
	r.firstTokenAt = time.Now()
	// A server may answer a request for a stream with a whole answer only if
	// that is an error or a redirect.
	if r.isModel && r.attempt.Request.Stream && status < fasthttp.StatusMultipleChoices {
		return r.errorf(wigeonladder.CodeBackend, "asked for a stream, got %q", x.header.ContentType())
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(r.client.options.WholeAnswerTimeout)); err != nil {
		return r.mayHaveRunError(ctx, err)
	}
	body, err := x.readBody(r.client.options.MaxAnswerBytes)
	if err != nil {
		return r.mayHaveRunError(ctx, err)
	}
	if r.isModel && status == fasthttp.StatusOK {
		if r.tokens, err = answerTokens(body); err != nil {
			return r.errorf(wigeonladder.CodeBroken, "%v", err)
		}
	}
	r.lastTokenAt = time.Now()
	if err := r.sink.Start(status, string(x.header.ContentType())); err != nil {
		return r.sinkError(ctx, err)
	}
	if err := r.sink.Write(body, r.tokens); err != nil {
		return r.sinkError(ctx, err)
	}
	return nil
}

// relayStream writes the events of a stream to the sink until the stream is
// complete.
func (r *attemptRun) relayStream(ctx context.Context, x *exchange) error {
	check := newStreamCheck(r.attempt.ResumeFrom)
	maxEventBytes := r.client.options.MaxEventBytes
	events := newEventReader(x.body, maxEventBytes)
	x.conn.allowRead(bodyBytes(maxEventBytes))
	started := false
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return r.mayHaveRunError(ctx, err)
		}
		tokens, err := check.add(event)
		if err != nil {
			return r.mayHaveRunError(ctx, err)
		}
		if check.done {
			x.awaitBodyEnd()
			return nil
		}
		if !check.hasContent {
			continue
		}
		if !started {
			started = true
			if err := r.sink.Start(x.header.StatusCode(), string(x.header.ContentType())); err != nil {
				return r.sinkError(ctx, err)
			}
		}
		r.recordTokens(tokens)
		if err := r.sink.Write(event, tokens); err != nil {
			return r.sinkError(ctx, err)
		}
		x.conn.allowRead(bodyBytes(maxEventBytes))
		if err := x.conn.SetReadDeadline(time.Now().Add(r.client.options.EventTimeout)); err != nil {
			return r.mayHaveRunError(ctx, err)
		}
	}
}

// recordTokens counts tokens and records the times of the first and the last.
func (r *attemptRun) recordTokens(tokens int64) {
	if tokens == 0 {
		return
	}
	r.lastTokenAt = time.Now()
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = r.lastTokenAt
	}
	r.tokens += tokens
}

// sinkError returns the error of an answer that could not be written to the
// sink.
func (r *attemptRun) sinkError(ctx context.Context, err error) error {
	var e *wigeonladder.Error
	if errors.As(err, &e) && e.Code.Info().Outcome == wigeonladder.MayHaveRun {
		return e
	}
	if ctx.Err() != nil {
		return r.mayHaveRunError(ctx, err)
	}
	return r.errorf(wigeonladder.CodeCallerLost, "%v", err)
}
