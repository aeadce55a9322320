package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Caller is a stand-in for the callers of one workspace. It sends each request
// once and never retries by itself. It uses net/http, because a caller that
// goes away in the middle of a request needs a client with contexts.
type Caller struct {
	key    string
	client *http.Client
}

// Reply is what a caller got for one request.
type Reply struct {
	Status int
	// Code is the result code; CodeOK for a complete answer.
	Code wigeonladder.Code
	// Request is the id that the entry daemon gave the request.
	Request string
	// Text is the text of a model answer, or the body of a plain one.
	Text   string
	Tokens int
	// Complete is true if the answer had its end mark or its whole length.
	Complete bool
	// First is the time to the first token, Total the time to the end.
	First time.Duration
	Total time.Duration
	// RetryAfter is the time after which a refused caller should come back, in
	// seconds.
	RetryAfter int
}

const (
	// callerTimeout bounds the wait for the header of an answer.
	callerTimeout = 120 * time.Second
	// callerIdle is the number of idle connections kept for each entry daemon.
	callerIdle = 256
)

// NewCaller returns a caller with a bearer key.
func NewCaller(key string) *Caller {
	return &Caller{key: key, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: callerIdle, ResponseHeaderTimeout: callerTimeout},
	}}
}

// Chat sends a chat request to an entry daemon.
func (c *Caller) Chat(ctx context.Context, entry string, body []byte) (Reply, error) {
	return c.ChatEach(ctx, entry, body, 0, nil)
}

// ChatEach sends a chat request with a hint of its cost in tokens, 0 for none,
// and calls each for every token as it comes.
func (c *Caller) ChatEach(ctx context.Context, entry string, body []byte, hint int64, each func()) (Reply, error) {
	r, err := c.do(ctx, entry, "POST", "/v1/chat/completions", "", body, hint, each)
	if err == nil && r.Complete && r.Tokens == 0 {
		r.Text = wholeText(r.Text)
	}
	return r, err
}

// wholeText returns the text of an answer that is not a stream.
func wholeText(body string) string {
	var b struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(body), &b) != nil || len(b.Choices) != 1 {
		return body
	}
	return b.Choices[0].Message.Content
}

// Plain sends a call to a plain service. The ticket is empty for calls that may
// be repeated.
func (c *Caller) Plain(ctx context.Context, entry, method, service, path, ticket string, body []byte) (Reply, error) {
	return c.do(ctx, entry, method, "/s/"+service+path, ticket, body, 0, nil)
}

// Ticket gets a ticket for one call of a plain service.
func (c *Caller) Ticket(ctx context.Context, entry, service, method, path string) (string, error) {
	body, err := json.Marshal(map[string]string{"service": service, "method": method, "path": path})
	if err != nil {
		return "", err
	}
	r, err := c.do(ctx, entry, "POST", "/v1/tickets", "", body, 0, nil)
	if err != nil {
		return "", err
	}
	var answer struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal([]byte(r.Text), &answer); err != nil || answer.Ticket == "" {
		return "", wigeonladder.Errorf(r.Code, entry, "no ticket: %s", r.Text)
	}
	return answer.Ticket, nil
}

// Ready reports whether the entry daemon wants traffic from the load balancer.
func (c *Caller) Ready(ctx context.Context, entry string) bool {
	r, err := c.do(ctx, entry, "GET", "/ready", "", nil, 0, nil)
	return err == nil && r.Status == http.StatusOK
}

// do sends one request and reads the whole reply.
func (c *Caller) do(ctx context.Context, entry, method, path, ticket string, body []byte, hint int64, each func()) (Reply, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	// Without this, net/http sends a request again when a kept connection
	// fails.
	q.GetBody = nil
	q.Header.Set("Authorization", "Bearer "+c.key)
	if ticket != "" {
		q.Header.Set("X-Ticket", ticket)
	}
	if hint > 0 {
		q.Header.Set("X-Cost-Hint", strconv.FormatInt(hint, 10))
	}
	start := time.Now()
	a, err := c.client.Do(q)
	if err != nil {
		return Reply{Total: time.Since(start)}, err
	}
	defer func() { _ = a.Body.Close() }()
	r := Reply{Status: a.StatusCode, Request: a.Header.Get("X-Request-Id")}
	r.RetryAfter, _ = strconv.Atoi(a.Header.Get("Retry-After"))
	if n, err := strconv.Atoi(a.Header.Get("X-Result-Code")); err == nil {
		r.Code = wigeonladder.Code(n)
	}
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		err = r.readStream(a.Body, start, each)
	} else {
		err = r.readWhole(a.Body, start)
	}
	r.Total = time.Since(start)
	return r, err
}

// readWhole reads an answer that is not a stream. net/http reports a body that
// is shorter than announced.
func (r *Reply) readWhole(body io.Reader, start time.Time) error {
	b, err := io.ReadAll(body)
	r.First = time.Since(start)
	r.Text = string(b)
	r.Complete = err == nil && r.Status == http.StatusOK
	return err
}

// chunk is what a caller reads of one event.
type chunk struct {
	Code    int `json:"code"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads server-sent events to the end mark, an error event or the
// end of the connection.
func (r *Reply) readStream(stream io.Reader, start time.Time, each func()) error {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, 4<<10), 1<<20)
	failed := false
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.HasPrefix(line, []byte("event: error")) {
			failed = true
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.Complete = !failed
			continue
		}
		var e chunk
		if err := json.Unmarshal(data, &e); err != nil {
			return err
		}
		if failed {
			r.Code = wigeonladder.Code(e.Code)
			continue
		}
		for _, choice := range e.Choices {
			if r.Tokens == 0 {
				r.First = time.Since(start)
			}
			r.Tokens++
			if each != nil {
				each()
			}
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !r.Complete && !failed {
		return errors.New("the stream ended without an end mark or an error event")
	}
	return nil
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
