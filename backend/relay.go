package backend

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

const (
	// relayDialTimeout limits the wait of a call for a connection to open. Since
	// nothing has been sent by then, the call can be tried at another server. That
	// is faster than waiting for TCP to retransmit a lost SYN. While connections
	// open slowly a call waits longer, up to relayDialTimeoutMax.
	relayDialTimeout    = 300 * time.Millisecond
	relayDialTimeoutMax = 1500 * time.Millisecond
	// unackedTimeout limits the time that sent data may stay unacknowledged before the
	// connection counts as broken.
	unackedTimeout = 2 * time.Second
	// relayIdleTimeout is the longest time that an idle connection is kept. A
	// shorter time that the server states takes precedence. atMostOnceIdleTimeout is the
	// limit for calls that may not be repeated: if the server closes the
	// connection while such a call is sent, it is unknown whether the call ran.
	relayIdleTimeout      = 10 * time.Second
	atMostOnceIdleTimeout = time.Second
	// keepAliveMargin is subtracted from the idle time that a server states.
	keepAliveMargin = time.Second
	// relayMaxIdleConns bounds the idle connections to one server.
	relayMaxIdleConns = 64
	// maxSkippedAnswers bounds the answers to other calls that are skipped
	// before the answer to the call itself.
	maxSkippedAnswers = 2
	// maxSkippedAnswerBytes bounds the body of each of these.
	maxSkippedAnswerBytes = 1 << 20
	// backgroundWriteMinBytes is the size of a body from which the request is
	// written in the background while the answer is awaited, since a server may
	// answer a long request before it has read all of it.
	backgroundWriteMinBytes = 4 << 10
	// maxRelayAnswerBytes bounds a whole answer or all events of a stream,
	// maxRelayEventBytes one event.
	maxRelayAnswerBytes = 16 << 20
	maxRelayEventBytes  = 1 << 20
)

// Relay sends calls to backend servers and returns their answers unchanged.
type Relay struct {
	codec Codec
	pool  *pool
}

// NewRelay returns a relay that has no connections yet.
func NewRelay(codec Codec) *Relay {
	return &Relay{codec: codec, pool: newPool(conn.NewDialer(relayDialTimeoutMax, unackedTimeout), relayDialTimeout, relayIdleTimeout, relayMaxIdleConns)}
}

// Close closes the idle connections.
func (r *Relay) Close() { r.pool.close() }

// probeTimeout bounds the opening of the connection by which AcceptsConnections
// checks a server.
const probeTimeout = 300 * time.Millisecond

// AcceptsConnections reports whether a server accepts connections, which tells
// whether it has crashed. The connection is kept for reuse.
func (r *Relay) AcceptsConnections(i wigeonladder.Instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := r.pool.dialer.DialContext(ctx, "tcp", i.Address)
	if err != nil {
		return false
	}
	r.pool.put(i.Address, newServerConn(c, i.Address), true)
	return true
}

// Response is the answer to a call. Its head has been read; its body is read by
// either ReadBody or NextEvent. It must be closed.
type Response struct {
	AnswerHead
	relay    *Relay
	exchange *exchange
	ctx      context.Context
	place    string
	// events is set by the first call of NextEvent, hasEvents once it has returned
	// an event.
	events    *eventReader
	hasEvents bool
	// writeResult receives the result of a background write; nil if the request
	// was written directly. written is true once that result was received, and writeErr
	// is the result.
	writeResult chan error
	written     bool
	writeErr    error
	fullyRead   bool
	// unmatched is true once an answer arrived that states no id or that of
	// another call. More such answers may follow on the connection.
	unmatched    bool
	maxIdleConns int
	reserve      func(n int) error
}

// Send sends a call and reads the head of its answer. The code of the error
// tells whether the call may have run.
func (r *Relay) Send(ctx context.Context, a CallAttempt) (*Response, *wigeonladder.Error) {
	serverID := a.Instance.ID
	c, err := r.getConn(ctx, a)
	if err != nil {
		return nil, asError(notSentError(ctx, serverID, err))
	}
	if err := a.checkBeforeSend(); err != nil {
		r.pool.putUnused(c)
		return nil, err
	}
	firstOnConn := !c.used
	p := &Response{relay: r, exchange: newExchange(ctx, c), ctx: ctx, place: serverID, maxIdleConns: relayMaxIdleConns, reserve: a.ReserveAnswer}
	if a.MaxIdleConns > 0 {
		p.maxIdleConns = min(a.MaxIdleConns, relayMaxIdleConns)
	}
	if err := p.write(a); err != nil {
		p.Close()
		if p.exchange.writtenBytes == 0 {
			return nil, asError(notSentError(ctx, serverID, err))
		}
		return nil, asError(mayHaveRunError(ctx, serverID, err))
	}
	if err := p.readAnswerHead(a, firstOnConn); err != nil {
		if a.Exclusive {
			err = p.exchange.settleCrossed(err)
		}
		notRun := p.failedCheck()
		p.Close()
		if notRun != nil {
			return nil, notRun
		}
		return nil, p.readError(err, p.exchange.conn.endedByServer)
	}
	return p, nil
}

// checkBeforeSend calls BeforeSend. Its error always means that the call did not run,
// since nothing was sent.
func (a CallAttempt) checkBeforeSend() *wigeonladder.Error {
	if a.BeforeSend == nil {
		return nil
	}
	err := a.BeforeSend()
	var e *wigeonladder.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &e) && e.Code.Info().Outcome == wigeonladder.NotRun:
		return e
	}
	return wigeonladder.Errorf(wigeonladder.CodeContractLate, a.Instance.ID, "%v", err)
}

// getConn returns a connection whose server is not expected to close it while
// the call is sent.
func (r *Relay) getConn(ctx context.Context, a CallAttempt) (*serverConn, error) {
	for {
		c, err := r.pool.get(ctx, a.Instance.Address)
		if err != nil || c.idleSince.IsZero() {
			return c, err
		}
		idle := time.Since(c.idleSince)
		if a.AtMostOnce && idle > atMostOnceIdleTimeout || c.keepAliveTimeout > 0 && idle > c.keepAliveTimeout-keepAliveMargin {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

// asError returns the *wigeonladder.Error that err is or wraps. Any other error
// becomes CodeBackend.
func asError(err error) *wigeonladder.Error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		return e
	}
	return wigeonladder.Errorf(wigeonladder.CodeBackend, "", "%v", err)
}

// write writes the request, a long one in the background.
func (p *Response) write(a CallAttempt) error {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(a.Call.Method)
	req.Header.SetRequestURI(a.Call.Path)
	req.Header.SetNoDefaultContentType(true)
	req.SetBodyRaw(a.Call.Body)
	p.relay.codec.WriteCallHead(req, a)
	if len(a.Call.Body) < backgroundWriteMinBytes {
		defer fasthttp.ReleaseRequest(req)
		return p.exchange.write(req)
	}
	p.exchange.noBody = req.Header.IsHead()
	p.writeResult = make(chan error, 1)
	begun := make(chan struct{})
	go func() {
		defer fasthttp.ReleaseRequest(req)
		// The goroutine may start late in a daemon that is short of processor time.
		err := a.checkBeforeSend()
		if err == nil && !p.exchange.conn.usable() {
			err = asError(notSentError(p.ctx, p.place, errUnusable))
		}
		if err != nil {
			p.writeResult <- err
			_ = p.exchange.conn.Close()
			close(begun)
			return
		}
		close(begun)
		p.writeResult <- p.exchange.send(req)
	}()
	// Bytes that arrive before the request is written are no answer to it.
	<-begun
	return nil
}

// failedCheck returns the error of a check before a background write if that kept the
// request from being sent, or nil.
func (p *Response) failedCheck() *wigeonladder.Error {
	var e *wigeonladder.Error
	if p.awaitWritten(0) && errors.As(p.writeErr, &e) && p.exchange.writtenBytes == 0 {
		return e
	}
	return nil
}

// awaitWritten waits until a background write has ended, for the given time at most. It
// reports whether it has.
func (p *Response) awaitWritten(timeout time.Duration) bool {
	if p.writeResult == nil || p.written {
		return true
	}
	select {
	case p.writeErr = <-p.writeResult:
		p.written = true
		return true
	default:
	}
	if timeout <= 0 {
		return false
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case p.writeErr = <-p.writeResult:
		p.written = true
		return true
	case <-t.C:
	case <-p.ctx.Done():
	}
	return false
}

// readAnswerHead reads the head of the answer to the call. It skips up to
// maxSkippedAnswers whole answers to other calls that arrive first.
//
// A refusal without an id belongs to the call only if the call is the first on
// its connection. On a used connection the server may have repeated an earlier
// refusal while it runs this call, so the call waits for an answer with its id; one
// that may run on two servers at once waits RunEndTimeout at most.
func (p *Response) readAnswerHead(a CallAttempt, firstOnConn bool) error {
	for range maxSkippedAnswers + 1 {
		if err := p.exchange.readHeader(); errors.Is(err, os.ErrDeadlineExceeded) && p.unmatched {
			break
		} else if err != nil {
			return err
		}
		p.AnswerHead = p.relay.codec.ReadAnswerHead(&p.exchange.header)
		if p.isContradictory() {
			return strayBytesError("status %d, id %q, not run %v, signed %v, a header repeated %v", p.Status, p.ID, p.NotRun, p.Signed, p.Repeated)
		}
		if a.OnHead != nil {
			a.OnHead(p.AnswerHead)
		}
		refusalWithoutID := p.ID == "" && p.NotRun
		if p.ID != a.Call.ID {
			p.unmatched = true
		}
		if p.ID == a.Call.ID || refusalWithoutID && firstOnConn {
			p.exchange.conn.keepAliveTimeout = p.KeepAliveTimeout
			return p.exchange.conn.SetReadDeadline(time.Time{})
		}
		if p.exchange.header.ContentLength() < -1 {
			break
		}
		if refusalWithoutID && !a.AtMostOnce && !a.Exclusive {
			if err := p.exchange.conn.SetReadDeadline(time.Now().Add(RunEndTimeout)); err != nil {
				return err
			}
		}
		firstOnConn = false
		if err := p.exchange.skipBody(maxSkippedAnswerBytes); err != nil {
			return err
		}
	}
	return wigeonladder.Errorf(wigeonladder.CodeCrossed, p.place, "the answer belongs to call %q", p.ID)
}

// readError returns the error of an answer that could not be read. It is CodeCrossed
// in place of an error that stands for the end of the run while the server may go on.
func (p *Response) readError(err error, ended bool) *wigeonladder.Error {
	e := asError(mayHaveRunError(p.ctx, p.place, err))
	if !ended && (e.Code == wigeonladder.CodeBroken || e.Code == wigeonladder.CodeBackend) {
		return wigeonladder.Errorf(wigeonladder.CodeCrossed, p.place, "%s", e.Detail)
	}
	return e
}

// isUnframed reports whether the body ends with the connection.
func (p *Response) isUnframed() bool {
	return p.exchange.header.ContentLength() < -1 && !p.exchange.noBody
}

// ReadBody reads the whole body. A body that ends too early or exceeds the size
// limit is an error; it is CodeCrossed if the server may still run the call.
func (p *Response) ReadBody() ([]byte, *wigeonladder.Error) {
	b, err := p.exchange.readReserved(maxRelayAnswerBytes, p.isUnframed(), p.reserve)
	if err == nil && p.isUnframed() && !p.endsWithConnection() {
		err = io.ErrUnexpectedEOF
		if p.reserve != nil {
			_ = p.reserve(-cap(b))
		}
	}
	if err != nil {
		return nil, p.readError(err, p.exchange.runEnded())
	}
	p.fullyRead = true
	return b, nil
}

// NextEvent returns the next event of a stream with its framing. The event is
// valid until the next call. At the end of the stream it returns nil. An end
// inside an event is an error, and so is the end of the connection before the
// first event of a stream that states no length.
func (p *Response) NextEvent() ([]byte, *wigeonladder.Error) {
	if p.events == nil {
		p.exchange.conn.allowRead(bodyBytes(maxRelayAnswerBytes))
		p.events = newEventReader(p.exchange.body, maxRelayEventBytes)
		p.events.reserve = p.reserve
	}
	e, err := p.events.next()
	if errors.Is(err, io.EOF) && p.isUnframed() && (!p.hasEvents || !p.endsWithConnection()) {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, io.EOF) {
		p.fullyRead = true
		return nil, nil
	}
	if err != nil {
		return nil, p.readError(err, p.exchange.runEnded())
	}
	p.hasEvents = true
	return e, nil
}

// Close ends the exchange. The connection is kept for reuse only if the request
// was written, the answer was read completely, and every answer on the
// connection stated the id of its call.
func (p *Response) Close() {
	if p.events != nil {
		p.events.release()
	}
	reuse := p.fullyRead && !p.unmatched && p.isWritten()
	if !p.exchange.finish() {
		reuse = false
	}
	if !reuse {
		_ = p.exchange.conn.Close()
		return
	}
	p.relay.pool.putWithLimit(p.exchange.conn.address, p.exchange.conn, true, p.maxIdleConns)
}

// isWritten reports whether the request was written completely.
func (p *Response) isWritten() bool { return p.awaitWritten(0) && p.writeErr == nil }

// endsWithConnection reports whether the end of the connection, which has been read, is
// the end of an answer that states no length. A reset may look like an end: the write of
// the request gets its error instead of the read.
func (p *Response) endsWithConnection() bool {
	return p.awaitWritten(RunEndTimeout) && p.writeErr == nil && !p.exchange.conn.wasReset()
}
