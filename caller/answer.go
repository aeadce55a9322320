package caller

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// doneEvent is the end mark of a complete stream.
const doneEvent = "data: [DONE]\n\n"

// streamType is the content type of server-sent events.
const streamType = "text/event-stream"

// issue answers with a new ticket.
func (s *Server) issue(c *fasthttp.RequestCtx, r wigeonladder.Request) {
	ticket, err := s.options.Tickets.Issue(r.Workspace, r.Service, r.Method, r.Path)
	s.note(r, r.ID, err)
	if err != nil {
		writeError(c, err)
		return
	}
	c.SetContentType("application/json")
	c.SetBodyString(`{"ticket":` + quoteJSON(ticket) + `}`)
}

// run runs a request and answers with its outcome.
func (s *Server) run(c *fasthttp.RequestCtx, r wigeonladder.Request) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	stop := watch(c.Conn(), func() { cancel(net.ErrClosed) })
	end := func() {
		stop()
		cancel(context.Canceled)
	}
	s.open.Add(1)
	if r.Stream {
		s.stream(ctx, c, r, end)
		return
	}
	defer s.open.Add(-1)
	defer end()
	var w whole
	err := s.send(ctx, r, &w)
	s.note(r, r.ID, err)
	s.writeWhole(c, &w, err)
}

// writeWhole answers with a complete answer or an error.
func (s *Server) writeWhole(c *fasthttp.RequestCtx, w *whole, err error) {
	if s.ctx.Err() != nil {
		c.SetConnectionClose()
	}
	if err != nil {
		writeError(c, err)
		return
	}
	w.write(c)
}

// watch calls gone when the caller goes.
func watch(n net.Conn, gone func()) (stop func()) {
	w, ok := n.(*conn.Conn)
	if !ok {
		return func() {}
	}
	return w.Watch(gone)
}

// send runs a request to its end.
func (s *Server) send(ctx context.Context, r wigeonladder.Request, w wigeonladder.Sink) error {
	if r.Once {
		return s.options.Tickets.Run(ctx, r, w)
	}
	_, err := s.options.Runner.Run(ctx, r, w)
	return err
}

// whole is the sink of an answer that is sent only when it is complete.
type whole struct {
	status      int
	contentType string
	body        []byte
}

// Start implements wigeonladder.Sink.
func (w *whole) Start(status int, contentType string) error {
	w.status, w.contentType = status, contentType
	w.body = w.body[:0]
	return nil
}

// Write implements wigeonladder.Sink.
func (w *whole) Write(part []byte, _ int64) error {
	w.body = append(w.body, part...)
	return nil
}

// isStream reports whether the answer is a stream of events.
func (w *whole) isStream() bool { return strings.HasPrefix(w.contentType, streamType) }

// write sends the answer.
func (w *whole) write(c *fasthttp.RequestCtx) {
	if w.status != 0 {
		c.SetStatusCode(w.status)
	}
	if w.contentType != "" {
		c.SetContentType(w.contentType)
	}
	c.SetBody(w.body)
}

// stream runs a request whose answer is sent event by event. The header is
// sent with the first event; an error before it is answered as an error.
func (s *Server) stream(ctx context.Context, c *fasthttp.RequestCtx, r wigeonladder.Request, end func()) {
	p := newPipe(end)
	go func() {
		defer s.open.Add(-1)
		err := s.send(ctx, r, p)
		s.note(r, r.ID, err)
		p.finish(err)
		<-p.closed
	}()
	if done, err := p.wait(); done {
		_ = p.Close()
		s.writeWhole(c, &p.whole, err)
		return
	}
	c.SetStatusCode(p.whole.status)
	c.SetContentType(p.whole.contentType)
	c.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	c.SetBodyStream(p, -1)
}

// pipe is the sink of a stream and the body of its response. It holds one part
// at a time, so a slow caller slows down the reading from the backend server.
type pipe struct {
	end func()
	// whole holds the status and, if the answer is no stream of events, all of
	// it.
	whole whole

	started chan struct{}
	parts   chan []byte
	taken   chan struct{}
	closed  chan struct{}
	once    sync.Once

	// err is the outcome; finished is closed behind it.
	err      error
	finished chan struct{}

	part []byte
	last bool
}

// newPipe returns a pipe; end is called when the response has been written.
func newPipe(end func()) *pipe {
	return &pipe{
		end:      end,
		whole:    whole{status: fasthttp.StatusOK, contentType: streamType},
		started:  make(chan struct{}),
		parts:    make(chan []byte),
		taken:    make(chan struct{}),
		closed:   make(chan struct{}),
		finished: make(chan struct{}),
	}
}

// Start implements wigeonladder.Sink. A start after the first part, as a
// resumed stream has it, changes nothing.
func (p *pipe) Start(status int, contentType string) error {
	select {
	case <-p.started:
	default:
		return p.whole.Start(status, contentType)
	}
	return nil
}

// Write implements wigeonladder.Sink. It returns when the part was copied.
func (p *pipe) Write(part []byte, tokens int64) error {
	if !p.whole.isStream() {
		return p.whole.Write(part, tokens)
	}
	if len(part) == 0 {
		return nil
	}
	p.start()
	select {
	case p.parts <- part:
	case <-p.closed:
		return net.ErrClosed
	}
	select {
	case <-p.taken:
		return nil
	case <-p.closed:
		return net.ErrClosed
	}
}

// start lets the response begin.
func (p *pipe) start() {
	select {
	case <-p.started:
	default:
		close(p.started)
	}
}

// finish announces the outcome.
func (p *pipe) finish(err error) {
	p.err = err
	close(p.finished)
}

// wait returns when the first event is there. If the answer ended before or is
// no stream of events, done is true and err is the outcome.
func (p *pipe) wait() (done bool, err error) {
	select {
	case <-p.started:
		return false, nil
	case <-p.finished:
	}
	return p.err != nil || !p.whole.isStream(), p.err
}

// Read implements io.Reader for the response's body.
func (p *pipe) Read(b []byte) (int, error) {
	if len(p.part) == 0 {
		if p.last {
			return 0, io.EOF
		}
		p.next()
	}
	n := copy(b, p.part)
	p.part = p.part[n:]
	if len(p.part) == 0 && !p.last {
		select {
		case p.taken <- struct{}{}:
		case <-p.finished:
		}
	}
	return n, nil
}

// next waits for the next part or the end.
func (p *pipe) next() {
	select {
	case p.part = <-p.parts:
	case <-p.finished:
		p.last = true
		p.part = []byte(doneEvent)
		if p.err != nil {
			p.part = errorEvent(p.err)
		}
	}
}

// Close implements io.Closer: the response was written or the caller is gone.
func (p *pipe) Close() error {
	p.once.Do(func() {
		close(p.closed)
		p.end()
	})
	return nil
}
