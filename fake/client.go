package fake

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// clientConns bounds the idle connections of a client.
const clientConns = 256

// Client is a stand-in for a caller of the fleet. It also speaks to the
// stand-in backend servers.
type Client struct {
	// URL is the address with its scheme, without a path.
	URL string
	// Key is the bearer key; empty for none.
	Key  string
	http *http.Client
}

// NewClient returns a client that gives up an answer after the limit.
func NewClient(address, key string, limit time.Duration) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: clientConns}
	return &Client{URL: "http://" + address, Key: key, http: &http.Client{Transport: t, Timeout: limit}}
}

// WithKey returns a copy of the client with another key, on the same
// connections.
func (c Client) WithKey(key string) *Client {
	c.Key = key
	return &c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Reply is a caller's view of an answer.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	// FirstByte is the time to the first byte of the body.
	FirstByte time.Duration
	// Err is set when the answer broke off or there was none.
	Err error
}

// Send sends one request. The headers are alternating names and values.
func (c *Client) Send(ctx context.Context, method, path, body string, headers ...string) Reply {
	q, err := http.NewRequestWithContext(ctx, method, c.URL+path, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	if c.Key != "" {
		q.Header.Set("Authorization", "Bearer "+c.Key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	start := time.Now()
	a, err := c.http.Do(q)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = a.Body.Close() }()
	r := bufio.NewReader(a.Body)
	_, _ = r.Peek(1)
	first := time.Since(start)
	b, err := io.ReadAll(r)
	return Reply{Status: a.StatusCode, Header: a.Header, Body: string(b), FirstByte: first, Err: err}
}

// Chat sends a chat request.
func (c *Client) Chat(ctx context.Context, body string) Reply {
	return c.Send(ctx, http.MethodPost, "/v1/chat/completions", body)
}

// ChatBody returns the body of a chat request.
func ChatBody(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`,
		model, prompt, tokens, stream)
}

// Text returns the text of a model's answer and whether the answer is complete.
func (r Reply) Text() (text string, complete bool) {
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return streamText(r.Body)
	}
	var k struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if r.Err != nil || r.Status != http.StatusOK || json.Unmarshal([]byte(r.Body), &k) != nil || len(k.Choices) == 0 {
		return "", false
	}
	return k.Choices[0].Message.Content, true
}

// streamText returns the text of a stream and whether it has its end mark.
func streamText(body string) (text string, complete bool) {
	for _, event := range strings.Split(body, "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var k struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &k) == nil && len(k.Choices) > 0 {
			text += k.Choices[0].Delta.Content
		}
	}
	return text, false
}
