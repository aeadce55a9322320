package fake

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// Caller is a stand-in for the callers of one workspace. It sends each request
// once and never retries by itself.
type Caller struct {
	key    string
	client *fasthttp.Client
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

// callerTimeout bounds the silence on a caller's connection.
const callerTimeout = 120 * time.Second

// NewCaller returns a caller with a bearer key.
func NewCaller(key string) *Caller {
	return &Caller{key: key, client: &fasthttp.Client{
		StreamResponseBody:        true,
		MaxConnsPerHost:           1 << 16,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadTimeout:               callerTimeout,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Chat sends a chat request to an entry daemon.
func (c *Caller) Chat(entry string, body []byte) (Reply, error) {
	r, err := c.do(entry, "POST", "/v1/chat/completions", "", body)
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
func (c *Caller) Plain(entry, method, service, path, ticket string, body []byte) (Reply, error) {
	return c.do(entry, method, "/s/"+service+path, ticket, body)
}

// Ticket gets a ticket for one call of a plain service.
func (c *Caller) Ticket(entry, service, method, path string) (string, error) {
	body, err := json.Marshal(map[string]string{"service": service, "method": method, "path": path})
	if err != nil {
		return "", err
	}
	r, err := c.do(entry, "POST", "/v1/tickets", "", body)
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
func (c *Caller) Ready(entry string) bool {
	r, err := c.do(entry, "GET", "/ready", "", nil)
	return err == nil && r.Status == fasthttp.StatusOK
}

// do sends one request and reads the whole reply.
func (c *Caller) do(entry, method, path, ticket string, body []byte) (Reply, error) {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.Header.SetMethod(method)
	q.SetRequestURI("http://" + entry + path)
	q.Header.Set("Authorization", "Bearer "+c.key)
	if ticket != "" {
		q.Header.Set("X-Ticket", ticket)
	}
	q.SetBody(body)
	start := time.Now()
	if err := c.client.Do(q, a); err != nil {
		return Reply{Total: time.Since(start)}, err
	}
	defer func() { _ = a.CloseBodyStream() }()
	r := Reply{Status: a.StatusCode(), Request: string(a.Header.Peek("X-Request-Id"))}
	r.RetryAfter, _ = strconv.Atoi(string(a.Header.Peek("Retry-After")))
	if n, err := strconv.Atoi(string(a.Header.Peek("X-Result-Code"))); err == nil {
		r.Code = wigeonladder.Code(n)
	}
	var err error
	if strings.HasPrefix(string(a.Header.ContentType()), "text/event-stream") {
		err = r.readStream(a.BodyStream(), start)
	} else {
		err = r.readWhole(a, start)
	}
	r.Total = time.Since(start)
	return r, err
}

// readWhole reads an answer that is not a stream.
func (r *Reply) readWhole(a *fasthttp.Response, start time.Time) error {
	b, err := io.ReadAll(a.BodyStream())
	r.First = time.Since(start)
	r.Text = string(b)
	if n := a.Header.ContentLength(); err == nil && n >= 0 && n != len(b) {
		err = io.ErrUnexpectedEOF
	}
	r.Complete = err == nil && r.Status == fasthttp.StatusOK
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
func (r *Reply) readStream(stream io.Reader, start time.Time) error {
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
