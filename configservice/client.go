package configservice

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// maxResponseBytes limits the body of a response. The platform holds values
	// of up to 1 MB.
	maxResponseBytes = 2 << 20
	// dialTimeout limits the time to connect.
	dialTimeout = 3 * time.Second
	// responseMargin is the time for a response in addition to the wait of the
	// long poll.
	responseMargin = 5 * time.Second
)

// Client reads from the configuration service over HTTP. It implements
// wigeonladder.Platform:
//
//	GET /config?above=N&wait=MS
//	GET /live?above=N&wait=MS
//
// Each path has a connection of its own and one call at a time, because a long
// poll occupies its connection.
type Client struct {
	config *pollConn
	live   *pollConn
}

// NewClient returns a client of the service at an IP address and port. It
// connects at the first call.
func NewClient(address string) *Client {
	return &Client{config: newPollConn(address, "/config"), live: newPollConn(address, "/live")}
}

// Config implements wigeonladder.Platform.
func (c *Client) Config(ctx context.Context, above uint64, wait time.Duration) ([]byte, error) {
	return c.config.poll(ctx, above, wait)
}

// Live implements wigeonladder.Platform. It returns an error if a VM in the
// live list has an unknown state.
func (c *Client) Live(ctx context.Context, above uint64, wait time.Duration) (wigeonladder.LiveList, error) {
	body, err := c.live.poll(ctx, above, wait)
	if err != nil {
		return wigeonladder.LiveList{}, err
	}
	var l wigeonladder.LiveList
	if err := json.Unmarshal(body, &l); err != nil {
		return wigeonladder.LiveList{}, errors.Wrap(err, "platform /live")
	}
	for _, v := range l.VMs {
		if v.State != wigeonladder.StateLive && v.State != wigeonladder.StateLeaving {
			return wigeonladder.LiveList{}, errors.Errorf("platform /live: VM %q has the unknown state %q", v.Name, v.State)
		}
	}
	return l, nil
}

// Close closes idle connections. Running calls end with their contexts.
func (c *Client) Close() {
	c.config.host.CloseIdleConnections()
	c.live.host.CloseIdleConnections()
}

// pollConn is a connection for one long poll at a time. fasthttp does not
// support contexts, so pollConn closes the connection when the context of the
// call ends.
type pollConn struct {
	path string
	host *fasthttp.HostClient
	// callSlot holds one token while no call runs.
	callSlot chan struct{}

	mu   sync.Mutex
	conn net.Conn
	// canceled is true once the context of the running call has ended.
	canceled bool
}

func newPollConn(address, path string) *pollConn {
	p := &pollConn{path: path, callSlot: make(chan struct{}, 1)}
	p.callSlot <- struct{}{}
	p.host = &fasthttp.HostClient{
		Addr:                     address,
		Dial:                     p.dial,
		MaxConns:                 1,
		MaxResponseBodySize:      maxResponseBytes,
		NoDefaultUserAgentHeader: true,
		// The Watcher retries failed calls with backoff.
		MaxIdemponentCallAttempts: 1,
	}
	return p
}

// dial connects and stores the connection for cancelCall.
func (p *pollConn) dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.canceled {
		_ = conn.Close()
		return nil, context.Canceled
	}
	p.conn = conn
	return conn, nil
}

// cancelCall ends the running call by closing its connection.
func (p *pollConn) cancelCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.canceled = true
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

// poll sends one long poll and returns the body of the response.
func (p *pollConn) poll(ctx context.Context, above uint64, wait time.Duration) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.callSlot:
	}
	defer func() { p.callSlot <- struct{}{} }()
	p.mu.Lock()
	p.canceled = false
	p.mu.Unlock()
	cancelDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(cancelDone)
		p.cancelCall()
	})
	body, err := p.send(above, wait)
	if !stop() {
		// cancelCall is running or has run. Wait for its end, so that it does not
		// close the connection of the next call.
		<-cancelDone
		return nil, ctx.Err()
	}
	return body, err
}

// send sends one HTTP request and reads the response.
func (p *pollConn) send(above uint64, wait time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u := req.URI()
	u.SetScheme("http")
	u.SetHost(p.host.Addr)
	u.SetPath(p.path)
	u.QueryArgs().Set("above", strconv.FormatUint(above, 10))
	u.QueryArgs().Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	if err := p.host.DoTimeout(req, resp, wait+responseMargin); err != nil {
		return nil, errors.Wrap(err, "platform "+p.path)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("platform %s: status %d", p.path, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}
