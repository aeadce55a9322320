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

// Header names between the fleet and backend servers.
const (
	// HeaderAttempt carries the attempt's id in both directions.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderResume carries the number of tokens behind which a stream goes on.
	// A server that honours it repeats it in its answer.
	HeaderResume = "X-Resume-From"
	// HeaderNotRun marks a refusal of work that did not run.
	HeaderNotRun = "X-Not-Run"
)

// bytesPerToken is the rough length of a token in a prompt.
const bytesPerToken = 4

// loadLimit bounds one load report.
const loadLimit = 2 * time.Second

// maxLoadBody bounds the size of a load report in bytes.
const maxLoadBody = 4 << 10

// Options are the settings of a Client. Zero values take the defaults.
type Options struct {
	// Kind returns the kind of a service. Without it, requests to ChatPath
	// count as requests to a model.
	Kind func(service string) wigeonladder.ServiceKind
	// LocalIP is the IP address to call from; empty for any. Links between zones
	// can then be told apart by who uses them.
	LocalIP string
	// ConnectTimeout bounds the opening of a connection; 1 s by default.
	ConnectTimeout time.Duration
	// FirstByteTimeout bounds the time to the first token of a stream and to the
	// first byte of a plain answer; 30 s by default.
	FirstByteTimeout time.Duration
	// EventTimeout bounds the time between two events of a stream; 15 s by default.
	EventTimeout time.Duration
	// WholeAnswerTimeout bounds the time to a whole model answer; 10 min by default.
	WholeAnswerTimeout time.Duration
	// MaxAnswerBytes bounds a whole answer in bytes; 8 MiB by default.
	MaxAnswerBytes int
	// MaxEventBytes bounds one event in bytes; 256 KiB by default.
	MaxEventBytes int
	// MaxIdleConns bounds the idle connections per server; 32 by default.
	MaxIdleConns int
	// IdleConnTimeout is how long an idle connection is kept; 20 s by default.
	IdleConnTimeout time.Duration
}

// withDefaults returns a copy with the defaults filled in.
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

// setDefault sets a value that is zero.
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
	return &Client{options: o, pool: newPool(net.Dialer{Timeout: o.ConnectTimeout, LocalAddr: localAddr(o.LocalIP)}, o.IdleConnTimeout, o.MaxIdleConns)}
}

// localAddr returns the address to call from, nil for any.
func localAddr(ip string) net.Addr {
	if a := net.ParseIP(ip); a != nil && !a.IsUnspecified() {
		return &net.TCPAddr{IP: a}
	}
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// AttemptID returns the id that an attempt carries.
func AttemptID(a wigeonladder.Attempt) string {
	return a.Request.ID + "." + strconv.Itoa(a.Number)
}

// PromptCost returns the estimated number of tokens of a request body. It is
// part of the cost of every attempt of a model request that was sent.
func PromptCost(body []byte) int64 {
	return int64(len(body) / bytesPerToken)
}

// Do implements wigeonladder.Backend. Stream events are handed on with their
// framing, without "data: [DONE]", which the caller's side writes after a nil
// error. A part is valid only until Write returns. Status codes below 500 are
// answers; from 500 on they are CodeBackend.
//
// A stream may be resumed behind the tokens handed on after CodeBroken and
// CodeTimeout. After CodeCrossed and CodeBackend it must not: a token may be
// missing among them.
func (c *Client) Do(ctx context.Context, a wigeonladder.Attempt, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	t := &trial{client: c, attempt: a, sink: s, id: AttemptID(a), model: c.isModel(a.Request)}
	err := t.run(ctx)
	return t.usage(err), err
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
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	var load wigeonladder.Load
	l, err := c.pool.take(ctx, s.Address)
	if err != nil {
		return load, connectError(ctx, s.Name, err)
	}
	x := newExchange(ctx, l)
	body, err := x.get("/load")
	c.pool.put(s.Address, l, x.end() && err == nil)
	if err != nil {
		return load, readError(ctx, s.Name, err)
	}
	if err := json.Unmarshal(body, &load); err != nil {
		return wigeonladder.Load{}, wigeonladder.Errorf(wigeonladder.CodeBackend, s.Name, "load report: %v", err)
	}
	return load, nil
}

// get fetches a small JSON document.
func (x *exchange) get(path string) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(path)
	req.Header.SetHost(x.link.address)
	if err := x.write(req); err != nil {
		return nil, err
	}
	if err := x.readHeader(); err != nil {
		return nil, err
	}
	if status := x.header.StatusCode(); status != fasthttp.StatusOK {
		return nil, wigeonladder.Errorf(wigeonladder.CodeBackend, "", "status %d", status)
	}
	return x.readWhole(maxLoadBody)
}
