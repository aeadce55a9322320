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
	// clientIdleConns is the maximum number of idle connections of a client to one
	// address.
	clientIdleConns = 256
	// maxEventLineBytes is the maximum length of a line of a stream.
	maxEventLineBytes = 1 << 20
)

// Client is a stand-in for the callers of one workspace. It can also call the
// stand-in backend servers directly. It sends each request once, without retries.
// It uses net/http, whose requests can be canceled by a context: tests need callers
// that disconnect in the middle of a request.
type Client struct {
	// Address is the IP address and port to call.
	Address string
	key     string
	onToken func()
	http    *http.Client
}

// NewClient returns a client with a bearer key, empty for none. A request that is
// not answered completely within the timeout fails.
func NewClient(address, key string, timeout time.Duration) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: clientIdleConns}
	return &Client{Address: address, key: key, http: &http.Client{Transport: t, Timeout: timeout}}
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

// WithOnToken returns a copy that calls onToken for every token of a stream when
// it arrives.
func (c Client) WithOnToken(onToken func()) *Client {
	c.onToken = onToken
	return &c
}

// Close closes the idle connections of the client and its copies.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends one request and reads the whole reply. The headers are alternating
// names and values.
func (c *Client) Send(ctx context.Context, method, path, body string, headers ...string) Reply {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	// With GetBody set, net/http would send a request again when a reused
	// connection fails.
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
	return ReadReply(a, start, c.onToken)
}

// Chat sends a chat request with the body.
func (c *Client) Chat(ctx context.Context, body string, headers ...string) Reply {
	return c.Send(ctx, http.MethodPost, "/v1/chat/completions", body, headers...)
}

// CallPlainService calls a plain service. The ticket is empty for calls that may be
// repeated.
func (c *Client) CallPlainService(ctx context.Context, method, service, path, ticket, body string) Reply {
	if ticket == "" {
		return c.Send(ctx, method, "/s/"+service+path, body)
	}
	return c.Send(ctx, method, "/s/"+service+path, body, "X-Ticket", ticket)
}

// Ticket requests a ticket for one call of a plain service.
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

// Ready reports whether the readiness check of the entry daemon succeeds.
func (c *Client) Ready(ctx context.Context) bool {
	r := c.Send(ctx, http.MethodGet, "/ready", "")
	return r.Err == nil && r.Status == http.StatusOK
}

// ChatBody returns the body of a chat request with one user message.
func ChatBody(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`,
		model, prompt, tokens, stream)
}

// Reply is what a caller received for one request.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	// Code is the result code; CodeOK for a complete answer.
	Code wigeonladder.Code
	// RequestID is the id that the entry daemon assigned to the request.
	RequestID string
	// Text is the text of a model's answer. For another answer it is the body.
	Text string
	// Tokens is the number of tokens that arrived in a stream.
	Tokens int
	// Complete is true if the answer was not cut short: a stream had its end mark
	// and no error event, and another answer had status 200 and its announced
	// length.
	Complete bool
	// FirstTokenTime is the time to the first token. If the answer is not a stream,
	// it is the time to the first byte of the body. TotalTime is the time to the end.
	FirstTokenTime, TotalTime time.Duration
	// RetryAfter is the number of seconds after which a refused caller should send
	// the request again.
	RetryAfter int
	// Err is set if there was no answer or only a part of it.
	Err error
}

// ReadReply reads the answer to a request that was sent at the time start. It
// calls onToken, which may be nil, for every token of a stream.
func ReadReply(a *http.Response, start time.Time, onToken func()) Reply {
	r := Reply{Status: a.StatusCode, Header: a.Header, RequestID: a.Header.Get("X-Request-Id")}
	r.RetryAfter, _ = strconv.Atoi(a.Header.Get("Retry-After"))
	if n, err := strconv.Atoi(a.Header.Get("X-Result-Code")); err == nil {
		r.Code = wigeonladder.Code(n)
	}
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(a.Body, start, onToken)
	} else {
		r.readWhole(a.Body, start)
	}
	r.TotalTime = time.Since(start)
	return r
}

// readWhole reads an answer that is not a stream. If the body is shorter than
// announced, net/http returns an error.
func (r *Reply) readWhole(body io.Reader, start time.Time) {
	in := bufio.NewReader(body)
	_, _ = in.Peek(1)
	r.FirstTokenTime = time.Since(start)
	b, err := io.ReadAll(in)
	r.Body, r.Text, r.Err = string(b), string(b), err
	r.Complete = err == nil && r.Status == http.StatusOK
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if r.Complete && json.Unmarshal(b, &answer) == nil && len(answer.Choices) == 1 {
		r.Text = answer.Choices[0].Message.Content
	}
}

// readStream reads server-sent events until the stream ends.
func (r *Reply) readStream(stream io.Reader, start time.Time, onToken func()) {
	var body, text strings.Builder
	defer func() { r.Body, r.Text = body.String(), text.String() }()
	lines := bufio.NewScanner(io.TeeReader(stream, &body))
	lines.Buffer(make([]byte, 0, 4<<10), maxEventLineBytes)
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
		var chunk struct {
			Code    int
			Choices []struct{ Delta struct{ Content string } }
		}
		if r.Err = json.Unmarshal([]byte(data), &chunk); r.Err != nil {
			r.Complete = false
			return
		}
		if failed {
			r.Code = wigeonladder.Code(chunk.Code)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
			r.recordToken(start, onToken)
		}
	}
	r.Err = lines.Err()
	if r.Err == nil && !r.Complete && !failed {
		r.Err = errors.New("the stream ended without an end mark or an error event")
	}
	r.Complete = r.Complete && r.Err == nil
}

// recordToken counts a token that arrived.
func (r *Reply) recordToken(start time.Time, onToken func()) {
	if r.Tokens == 0 {
		r.FirstTokenTime = time.Since(start)
	}
	r.Tokens++
	if onToken != nil {
		onToken()
	}
}
