package fake

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder"
)

const (
	// clientConns bounds the idle connections of a client to one address.
	clientConns = 256
	// maxEvent bounds a line of a stream in bytes.
	maxEvent = 1 << 20
)

// Client is a stand-in for the callers of one workspace. It also speaks to the
// stand-in backend servers. It sends each request once. It uses net/http,
// because a caller that goes away in the middle of a request needs a client
// with contexts.
type Client struct {
	// Address is the IP address and port that is called.
	Address string
	key     string
	each    func()
	http    *http.Client
}

// NewClient returns a client with a bearer key, empty for none, that gives up an
// answer after the limit.
func NewClient(address, key string, limit time.Duration) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: clientConns}
	return &Client{Address: address, key: key, http: &http.Client{Transport: t, Timeout: limit}}
}

// WithAddress returns a copy that calls another address. All copies share their
// connections.
func (c Client) WithAddress(address string) *Client {
	c.Address = address
	return &c
}

// WithKey returns a copy with another key.
func (c Client) WithKey(key string) *Client {
	c.key = key
	return &c
}

// WithOnToken returns a copy that calls each for every token of a stream as it
// comes.
func (c Client) WithOnToken(each func()) *Client {
	c.each = each
	return &c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends one request and reads the whole reply. The headers are alternating
// names and values.
func (c *Client) Send(ctx context.Context, method, path, body string, headers ...string) Reply {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	// Without this, net/http sends a request again when a kept connection
	// fails.
	q.GetBody = nil
	if c.key != "" {
		q.Header.Set("Authorization", "Bearer "+c.key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	start := time.Now()
	a, err := c.http.Do(q)
	if err != nil {
		return Reply{Err: err, TotalTime: time.Since(start)}
	}
	defer func() { _ = a.Body.Close() }()
	return ReadReply(a, start, c.each)
}

// Chat sends a chat request.
func (c *Client) Chat(ctx context.Context, body string, headers ...string) Reply {
	return c.Send(ctx, http.MethodPost, "/v1/chat/completions", body, headers...)
}

// CallPlainService sends a call to a plain service. The ticket is empty for calls that may
// be repeated.
func (c *Client) CallPlainService(ctx context.Context, method, service, path, ticket, body string) Reply {
	if ticket == "" {
		return c.Send(ctx, method, "/s/"+service+path, body)
	}
	return c.Send(ctx, method, "/s/"+service+path, body, "X-Ticket", ticket)
}

// Ticket gets a ticket for one call of a plain service.
func (c *Client) Ticket(ctx context.Context, service, method, path string) (string, error) {
	r := c.Send(ctx, http.MethodPost, "/v1/tickets", fmt.Sprintf(`{"service":%q,"method":%q,"path":%q}`, service, method, path))
	var answer struct{ Ticket string }
	if r.Err != nil {
		return "", r.Err
	}
	if err := json.Unmarshal([]byte(r.Body), &answer); err != nil || answer.Ticket == "" {
		return "", wigeonladder.Errorf(r.Code, c.Address, "no ticket: %s", r.Body)
	}
	return answer.Ticket, nil
}

// Ready reports whether the entry daemon wants traffic from the load balancer.
func (c *Client) Ready(ctx context.Context) bool {
	r := c.Send(ctx, http.MethodGet, "/ready", "")
	return r.Err == nil && r.Status == http.StatusOK
}

// ChatBody returns the body of a chat request.
func ChatBody(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`,
		model, prompt, tokens, stream)
}

// Reply is what a caller got for one request.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	// Code is the result code; CodeOK for a complete answer.
	Code wigeonladder.Code
	// RequestID is the id that the entry daemon gave the request.
	RequestID string
	// Text is the text of a model's answer, or the body of another one.
	Text   string
	Tokens int
	// Complete is true if the answer had its end mark or its whole length.
	Complete bool
	// FirstTokenTime is the time to the first token, or to the first byte of the body if
	// the answer is no stream. TotalTime is the time to the end.
	FirstTokenTime, TotalTime time.Duration
	// RetryAfter is the time after which a refused caller should come back, in
	// seconds.
	RetryAfter int
	// Err is set when the answer broke off or there was none.
	Err error
}

// ReadReply reads an answer to a request that was sent at the start, and calls
// each, which may be nil, for every token of a stream.
func ReadReply(a *http.Response, start time.Time, each func()) Reply {
	r := Reply{Status: a.StatusCode, Header: a.Header, RequestID: a.Header.Get("X-Request-Id")}
	r.RetryAfter, _ = strconv.Atoi(a.Header.Get("Retry-After"))
	if n, err := strconv.Atoi(a.Header.Get("X-Result-Code")); err == nil {
		r.Code = wigeonladder.Code(n)
	}
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(a.Body, start, each)
	} else {
		r.readWhole(a.Body, start)
	}
	r.TotalTime = time.Since(start)
	return r
}

// readWhole reads an answer that is not a stream. net/http reports a body that
// is shorter than announced.
func (r *Reply) readWhole(body io.Reader, start time.Time) {
	in := bufio.NewReader(body)
	_, _ = in.Peek(1)
	r.FirstTokenTime = time.Since(start)
	b, err := io.ReadAll(in)
	r.Body, r.Text, r.Err = string(b), string(b), err
	r.Complete = err == nil && r.Status == http.StatusOK
	var k struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if r.Complete && json.Unmarshal(b, &k) == nil && len(k.Choices) == 1 {
		r.Text = k.Choices[0].Message.Content
	}
}

// readStream reads server-sent events to the end of the answer.
func (r *Reply) readStream(stream io.Reader, start time.Time, each func()) {
	var body, text strings.Builder
	defer func() { r.Body, r.Text = body.String(), text.String() }()
	lines := bufio.NewScanner(io.TeeReader(stream, &body))
	lines.Buffer(make([]byte, 0, 4<<10), maxEvent)
	failed := false
	for lines.Scan() {
		failed = failed || strings.HasPrefix(lines.Text(), "event: error")
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = !failed
			continue
		}
		var k struct {
			Code    int
			Choices []struct{ Delta struct{ Content string } }
		}
		if r.Err = json.Unmarshal([]byte(data), &k); r.Err != nil {
			r.Complete = false
			return
		}
		if failed {
			r.Code = wigeonladder.Code(k.Code)
		}
		for _, choice := range k.Choices {
			text.WriteString(choice.Delta.Content)
			r.token(start, each)
		}
	}
	r.Err = lines.Err()
	if r.Err == nil && !r.Complete && !failed {
		r.Err = errors.New("the stream ended without an end mark or an error event")
	}
	r.Complete = r.Complete && r.Err == nil
}

// token counts a token that came.
func (r *Reply) token(start time.Time, each func()) {
	if r.Tokens == 0 {
		r.FirstTokenTime = time.Since(start)
	}
	r.Tokens++
	if each != nil {
		each()
	}
}
