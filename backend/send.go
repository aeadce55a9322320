package backend

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

const (
	// connectWithin bounds the opening of a connection. Nothing was sent then,
	// so that the call goes on at another server, which is sooner than the
	// second try of a lost opening packet.
	connectWithin = 300 * time.Millisecond
	// unackedWithin is how long sent bytes may stay unacknowledged before the
	// connection counts as broken.
	unackedWithin = 2 * time.Second
	// relayIdle is how long an idle connection is kept if the server does not
	// say; onceIdle is the same for calls that may not be repeated, because a
	// server that closes the connection meanwhile leaves their outcome open.
	relayIdle = 10 * time.Second
	onceIdle  = time.Second
	// keepMargin is taken off the idle time that a server states.
	keepMargin = time.Second
	// relayMaxIdle bounds the idle connections to one server.
	relayMaxIdle = 64
	// maxForeign is the number of answers to other calls that are skipped
	// before the own one.
	maxForeign = 2
	// maxBackground is the size of a request in bytes from which it is written
	// while the answer is awaited: a server may answer a long request before it
	// has read it.
	maxBackground = 4 << 10
	// maxRelayAnswer bounds a whole answer in bytes, maxRelayEvent one event.
	maxRelayAnswer = 16 << 20
	maxRelayEvent  = 1 << 20
)

// CallAttempt is one sending of a call to one backend server.
type CallAttempt struct {
	Call      *wigeonladder.Call
	Instance  wigeonladder.Instance
	Workspace string
	// TimeLeft is the time that is left for the answer.
	TimeLeft time.Duration
	// LastEventID is the id of the last event that the caller has, for a stream that
	// goes on; empty otherwise.
	LastEventID string
	// AtMostOnce is true for a call that may not be repeated.
	AtMostOnce bool
	// MaxIdleConns bounds the idle connections to the server; 0 for the usual bound.
	MaxIdleConns int
	// BeforeSend is called at the last step before the first byte.
	BeforeSend func() error
}

// AnswerHead is what the head of an answer says.
type AnswerHead struct {
	wigeonladder.Answer
	// ID is the id of the call that was answered; empty if the answer has none.
	ID string
	// Signed is true if the answer carries the server's signature.
	Signed bool
	// NotRun is true if the server says that the call did not run.
	NotRun bool
	// ContentEncoded is true if the body is not the server's own.
	ContentEncoded bool
	// KeepAliveTimeout is how long the server keeps an idle connection; 0 if it does not
	// say.
	KeepAliveTimeout time.Duration
}

// Codec translates sendings and answers to what backend servers speak.
type Codec interface {
	// WriteCallHead writes the headers of a sending; method, path and body are set.
	WriteCallHead(req *fasthttp.Request, s CallAttempt)
	// ReadAnswerHead reads the head of an answer.
	ReadAnswerHead(h *fasthttp.ResponseHeader) AnswerHead
}

// Relay sends calls to backend servers and hands on their answers unchanged.
type Relay struct {
	codec Codec
	pool  *pool
}

// NewRelay returns a relay without connections.
func NewRelay(codec Codec) *Relay {
	return &Relay{codec: codec, pool: newPool(conn.NewDialer(connectWithin, unackedWithin), relayIdle, relayMaxIdle)}
}

// Close closes the idle connections.
func (r *Relay) Close() { r.pool.close() }

// aliveWithin bounds the connection that tells whether a server has crashed.
const aliveWithin = 300 * time.Millisecond

// AcceptsConnections reports whether a server accepts connections. The connection is kept.
func (r *Relay) AcceptsConnections(i wigeonladder.Instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), aliveWithin)
	defer cancel()
	c, err := r.pool.dialer.DialContext(ctx, "tcp", i.Address)
	if err != nil {
		return false
	}
	r.pool.put(i.Address, newPoolLink(c, i.Address), true)
	return true
}

// Response is an answer whose body is still to be read. It must be closed.
type Response struct {
	AnswerHead
	relay   *Relay
	x       *exchange
	ctx     context.Context
	place   string
	events  *eventReader
	written chan error
	whole   bool
	maxIdle int
}

// Send sends a call and reads the head of its answer. The error tells by its
// code whether the call may have run.
func (r *Relay) Send(ctx context.Context, s CallAttempt) (*Response, *wigeonladder.Error) {
	name := s.Instance.ID
	l, err := r.take(ctx, s)
	if err != nil {
		return nil, asError(connectError(ctx, name, err))
	}
	if err := s.BeforeSend(); err != nil {
		r.pool.put(l.address, l, true)
		return nil, asError(err)
	}
	p := &Response{relay: r, x: newExchange(ctx, l), ctx: ctx, place: name, maxIdle: relayMaxIdle}
	if s.MaxIdleConns > 0 {
		p.maxIdle = min(s.MaxIdleConns, relayMaxIdle)
	}
	if err := p.write(s); err != nil {
		p.Close()
		if p.x.written == 0 {
			return nil, asError(connectError(ctx, name, err))
		}
		return nil, asError(readError(ctx, name, err))
	}
	if err := p.readHead(s.Call.ID); err != nil {
		p.Close()
		return nil, asError(readError(ctx, name, err))
	}
	return p, nil
}

// take returns a connection for a sending.
func (r *Relay) take(ctx context.Context, s CallAttempt) (*link, error) {
	for {
		l, err := r.pool.take(ctx, s.Instance.Address)
		if err != nil || l.idle.IsZero() {
			return l, err
		}
		idle := time.Since(l.idle)
		if s.AtMostOnce && idle > onceIdle || l.keep > 0 && idle > l.keep-keepMargin {
			_ = l.Close()
			continue
		}
		return l, nil
	}
}

// asError returns the *Error that an error is or wraps.
func asError(err error) *wigeonladder.Error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		return e
	}
	return wigeonladder.Errorf(wigeonladder.CodeBackend, "", "%v", err)
}

// write sends the request, a long one in the background.
func (p *Response) write(s CallAttempt) error {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(s.Call.Method)
	req.Header.SetRequestURI(s.Call.Path)
	req.Header.SetNoDefaultContentType(true)
	req.SetBodyRaw(s.Call.Body)
	p.relay.codec.WriteCallHead(req, s)
	if len(s.Call.Body) < maxBackground {
		defer fasthttp.ReleaseRequest(req)
		return p.x.write(req)
	}
	p.written = make(chan error, 1)
	go func() {
		defer fasthttp.ReleaseRequest(req)
		p.written <- p.x.write(req)
	}()
	return nil
}

// readHead reads the head of the answer to a call. Whole answers to other calls
// that lie in front of it are skipped.
func (p *Response) readHead(id string) error {
	for range maxForeign + 1 {
		if err := p.x.readHeader(); err != nil {
			return err
		}
		p.AnswerHead = p.relay.codec.ReadAnswerHead(&p.x.header)
		if p.ID == id || p.ID == "" && p.NotRun {
			p.x.link.keep = p.KeepAliveTimeout
			return nil
		}
		if p.x.header.ContentLength() < -1 {
			break
		}
		if _, err := p.x.readWhole(maxRelayAnswer); err != nil {
			return err
		}
	}
	return wigeonladder.Errorf(wigeonladder.CodeCrossed, p.place, "the answer belongs to call %q", p.ID)
}

// ReadBody reads the whole body. An end that looks like a break is an error.
func (p *Response) ReadBody() ([]byte, *wigeonladder.Error) {
	var b []byte
	var err error
	if p.x.header.ContentLength() < -1 && !p.x.noBody {
		b, err = io.ReadAll(io.LimitReader(p.x.body, maxRelayAnswer+1))
		if err == nil && len(b) > maxRelayAnswer {
			err = errTooLong
		}
	} else {
		b, err = p.x.readWhole(maxRelayAnswer)
	}
	if err != nil {
		return nil, asError(readError(p.ctx, p.place, err))
	}
	p.whole = true
	return b, nil
}

// NextEvent returns the next event of a stream with its framing; it is valid until
// the next call. At the end of a complete stream it returns nil.
func (p *Response) NextEvent() ([]byte, *wigeonladder.Error) {
	if p.events == nil {
		p.events = newEventReader(p.x.body, maxRelayEvent)
	}
	e, err := p.events.next()
	if errors.Is(err, io.EOF) {
		p.whole = true
		return nil, nil
	}
	if err != nil {
		return nil, asError(readError(p.ctx, p.place, err))
	}
	return e, nil
}

// Close ends the exchange. The connection is kept only if the request was
// written and the answer read to their ends.
func (p *Response) Close() {
	reuse := p.whole && p.isWritten()
	if !p.x.end() {
		reuse = false
	}
	if !reuse {
		_ = p.x.link.Close()
		return
	}
	p.relay.pool.putMost(p.x.link.address, p.x.link, true, p.maxIdle)
}

// isWritten reports whether the whole request was written.
func (p *Response) isWritten() bool {
	if p.written == nil {
		return true
	}
	select {
	case err := <-p.written:
		return err == nil
	default:
		return false
	}
}
