package operator

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// clientTimeout limits one call.
const clientTimeout = 10 * time.Second

// Client calls the operator interface of one daemon.
type Client struct {
	address string
	key     string
}

// NewClient returns a client of the daemon at an address. Its calls carry the
// given operator key.
func NewClient(address, key string) *Client { return &Client{address: address, key: key} }

// Dump returns the state of the daemon as JSON.
func (c *Client) Dump() ([]byte, error) { return c.call("GET", "/dump") }

// Metrics returns the metrics of the daemon as JSON.
func (c *Client) Metrics() ([]byte, error) { return c.call("GET", "/metrics") }

// Explain returns the recorded events of a request, oldest first.
func (c *Client) Explain(request string) ([]Event, error) {
	b, err := c.call("GET", "/explain?id="+url.QueryEscape(request))
	if err != nil {
		return nil, err
	}
	var events []Event
	return events, errors.Wrap(json.Unmarshal(b, &events), "decoding the answer of the daemon")
}

// Drain starts a graceful shutdown and returns its progress.
func (c *Client) Drain() (DrainStatus, error) { return c.callDrain("POST") }

// DrainStatus returns the progress of a graceful shutdown.
func (c *Client) DrainStatus() (DrainStatus, error) { return c.callDrain("GET") }

// callDrain calls /drain with a method and returns the progress in the answer.
func (c *Client) callDrain(method string) (DrainStatus, error) {
	b, err := c.call(method, "/drain")
	if err != nil {
		return DrainStatus{}, err
	}
	var s DrainStatus
	return s, errors.Wrap(json.Unmarshal(b, &s), "decoding the answer of the daemon")
}

// call sends a request and returns the body of a successful response. For a
// failed call it returns an error with the result code that the daemon gave.
func (c *Client) call(method, path string) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.Set("Authorization", "Bearer "+c.key)
	if err := fasthttp.DoTimeout(req, resp, clientTimeout); err != nil {
		return nil, errors.Wrapf(err, "calling the daemon at %s", c.address)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return append([]byte(nil), resp.Body()...), nil
	}
	var body ErrorBody
	if err := json.Unmarshal(resp.Body(), &body); err != nil {
		return nil, errors.Errorf("daemon at %s answered with status %d", c.address, resp.StatusCode())
	}
	return nil, wigeonladder.Errorf(wigeonladder.Code(body.Code), body.Place, "%s", body.Detail)
}
