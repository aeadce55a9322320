package backend

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// ChatPath is the path of chat requests.
const ChatPath = "/v1/chat/completions"

// Names of the HTTP headers between the fleet and backend servers.
const (
	// HeaderAttempt carries the attempt's id in both directions.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderResume carries the number of tokens after which a stream is to be
	// resumed. A server that resumes there returns the header with the same
	// value.
	HeaderResume = "X-Resume-From"
	// HeaderNotRun marks the refusal of a request that did not run.
	HeaderNotRun = "X-Not-Run"
)

// bytesPerToken is the approximate length of a token in a prompt.
const bytesPerToken = 4

// loadTimeout bounds the fetching of one load report.
const loadTimeout = 2 * time.Second

// maxLoadBytes bounds the size of a load report.
const maxLoadBytes = 4 << 10

// Options are the settings of a Client. A zero value selects the default.
type Options struct {
	// Kind returns the kind of a service. If Kind is nil or returns an empty
	// kind, requests to ChatPath count as requests to a model.
	Kind func(service string) wigeonladder.ServiceKind
	// LocalIP is the IP address from which connections are opened; empty for
	// any. If each daemon has its own address, the address tells to which
	// daemon a connection between zones belongs.
	LocalIP string
	// ConnectTimeout bounds the opening of a connection; 1 s by default.
	ConnectTimeout time.Duration
	// FirstByteTimeout bounds the time to write a request, and the time from
	// sending it to the first token of a stream or to the header of a plain
	// answer; 30 s by default.
	FirstByteTimeout time.Duration
	// EventTimeout bounds the time between two events of a stream; 15 s by
	// default.
	EventTimeout time.Duration
	// WholeAnswerTimeout bounds the time from sending a request to the header
	// of a whole model answer, and the time to read the body of any whole
	// answer; 10 min by default.
	WholeAnswerTimeout time.Duration
	// MaxAnswerBytes bounds a whole answer; 8 MiB by default.
	MaxAnswerBytes int
	// MaxEventBytes bounds one event of a stream; 256 KiB by default.
	MaxEventBytes int
	// MaxIdleConns bounds the idle connections to one server; 32 by default.
	MaxIdleConns int
	// IdleConnTimeout is how long an idle connection is kept; 20 s by default.
	IdleConnTimeout time.Duration
}

// withDefaults returns a copy in which zero values are replaced by the
// defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.ConnectTimeout, time.Second)
	setDefault(&o.FirstByteTimeout, 30*time.Second)
	setDefault(&o.EventTimeout, 15*time.Second)
	setDefault(&o.WholeAnswerTimeout, 10*time.Minute)
	setDefault(&o.MaxAnswerBytes, 8<<20)
	setDefault(&o.MaxEventBytes, 256<<10)
	setDefault(&o.MaxIdleConns, 32)
	setDefault(&o.IdleConnTimeout, 20*time.Second)
	if o.Kind == nil {
		o.Kind = func(string) wigeonladder.ServiceKind { return "" }
	}
	return o
}

// setDefault sets v to d if v is zero.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Client sends attempts to backend servers. It implements wigeonladder.Backend.
type Client struct {
	options Options
	pool    *pool
}

var _ wigeonladder.Backend = (*Client)(nil)

// NewClient returns a client. It starts no goroutines.
func NewClient(o Options) *Client {
	o = o.withDefaults()
	return &Client{options: o, pool: newPool(net.Dialer{Timeout: o.ConnectTimeout, LocalAddr: localAddr(o.LocalIP)}, o.ConnectTimeout, o.IdleConnTimeout, o.MaxIdleConns)}
}

// localAddr returns the address from which connections are opened; nil for any.
func localAddr(ip string) net.Addr {
	if a := net.ParseIP(ip); a != nil && !a.IsUnspecified() {
		return &net.TCPAddr{IP: a}
	}
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// AttemptID returns the id that the attempt carries in HeaderAttempt.
func AttemptID(a wigeonladder.Attempt) string {
	return a.Request.ID + "." + strconv.Itoa(a.Number)
}

// PromptCost returns the estimated number of tokens in a request body. It is
// part of the cost of every attempt of a model request that may have run.
func PromptCost(body []byte) int64 {
	return int64(len(body) / bytesPerToken)
}

// Do implements wigeonladder.Backend. It passes stream events to the sink with
// their framing, but without "data: [DONE]", which package caller writes
// after a nil error. A part is valid only until Write returns. Status codes
// below 500 are answers. From 500 on they are errors: CodeRefused if the server
// states that the request did not run, otherwise CodeBackend.
//
// After CodeBroken and CodeTimeout a stream may be resumed after the tokens
// that were passed on. After CodeCrossed and CodeBackend it must not be
// resumed, because one of these tokens may be missing.
func (c *Client) Do(ctx context.Context, a wigeonladder.Attempt, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	run := &attemptRun{client: c, attempt: a, sink: s, attemptID: AttemptID(a), isModel: c.isModel(a.Request)}
	err := run.run(ctx)
	return run.usage(err), err
}

// isModel reports whether a request goes to a model service.
func (c *Client) isModel(r wigeonladder.Request) bool {
	switch c.options.Kind(r.Service) {
	case wigeonladder.KindModel:
		return true
	case wigeonladder.KindPlain:
		return false
	default:
		return r.Path == ChatPath
	}
}

// Load implements wigeonladder.Backend.
func (c *Client) Load(ctx context.Context, s wigeonladder.Server) (wigeonladder.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var load wigeonladder.Load
	conn, err := c.pool.get(ctx, s.Address)
	if err != nil {
		return load, notSentError(ctx, s.Name, err)
	}
	x := newExchange(ctx, conn)
	body, err := x.getDocument("/load")
	c.pool.put(s.Address, conn, x.finish() && err == nil)
	if err != nil {
		return load, mayHaveRunError(ctx, s.Name, err)
	}
	if err := json.Unmarshal(body, &load); err != nil {
		return wigeonladder.Load{}, wigeonladder.Errorf(wigeonladder.CodeBackend, s.Name, "load report: %v", err)
	}
	return load, nil
}

// getDocument fetches a small document.
func (x *exchange) getDocument(path string) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(path)
	req.Header.SetHost(x.conn.address)
	if err := x.write(req); err != nil {
		return nil, err
	}
	if err := x.readHeader(); err != nil {
		return nil, err
	}
	if id := x.header.Peek(HeaderAttempt); len(id) > 0 {
		return nil, strayBytesError("the answer belongs to call %q", id)
	}
	if status := x.header.StatusCode(); status != fasthttp.StatusOK {
		return nil, wigeonladder.Errorf(wigeonladder.CodeBackend, "", "status %d", status)
	}
	return x.readBody(maxLoadBytes)
}
