package caller

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/backend"
)

// Paths of the interface towards callers.
const (
	chatPath    = backend.ChatPath
	ticketsPath = "/v1/tickets"
	plainPrefix = "/s/"
)

// Header names of the interface towards callers.
const (
	headerRequest = "X-Request-Id"
	headerCode    = "X-Result-Code"
	headerService = "X-Service"
	headerTicket  = "X-Ticket"
	headerHint    = "X-Cost-Hint"
)

const (
	// defaultMaxTokens is the expected length of an answer without max_tokens.
	defaultMaxTokens = 256
	// maxMaxTokens bounds max_tokens and X-Cost-Hint, so that estimates cannot
	// overflow.
	maxMaxTokens = 1 << 30
	// prefixBytes is how much of the messages the prefix hash covers.
	prefixBytes = 1 << 10
	// defaultCallCost is the cost of one call of a plain service.
	defaultCallCost = 1
)

// parse turns an HTTP request into a request of its workspace. For a ticket
// request it is the call that the ticket is for. The body is taken over from
// fasthttp, which would otherwise keep a second copy until the answer ends.
func (s *Server) parse(c *fasthttp.RequestCtx, id, path string) (wigeonladder.Request, error) {
	r := wigeonladder.Request{ID: id, Arrived: time.Now()}
	x := s.current()
	key, err := bearer(c.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if err != nil {
		return r, err
	}
	if r.Workspace, err = x.workspace(key); err != nil {
		return r, err
	}
	switch {
	case path == chatPath && c.IsPost():
		r, err = x.parseChat(r, string(c.Request.Header.Peek(headerService)), c.Request.SwapBody(nil))
		return withHint(r, c.Request.Header.Peek(headerHint), err)
	case path == ticketsPath && c.IsPost():
		return x.parseTicket(r, c.PostBody())
	case strings.HasPrefix(path, plainPrefix):
		r.Method = string(c.Method())
		r.ContentType = string(c.Request.Header.ContentType())
		r.Body = c.Request.SwapBody(nil)
		r.Ticket = string(c.Request.Header.Peek(headerTicket))
		r, err := x.parsePlain(r, path, string(c.URI().QueryString()))
		r, err = withHint(r, c.Request.Header.Peek(headerHint), err)
		if err == nil && r.AtMostOnce && r.Ticket == "" {
			err = wigeonladder.Errorf(wigeonladder.CodeNeedTicket, headerTicket, "%s %s needs a ticket", r.Method, r.Path)
		}
		return r, err
	default:
		return r, wigeonladder.Errorf(wigeonladder.CodeNoService, "", "no such method and path")
	}
}

// bearer returns the key of an Authorization header.
func bearer(header []byte) ([]byte, error) {
	scheme, key, ok := bytes.Cut(header, []byte(" "))
	if !ok || !bytes.EqualFold(scheme, []byte("bearer")) || len(bytes.TrimSpace(key)) == 0 {
		return nil, wigeonladder.Errorf(wigeonladder.CodeNoCredential, fasthttp.HeaderAuthorization, "no bearer key")
	}
	return bytes.TrimSpace(key), nil
}

// withHint sets the estimate to the caller's hint in cost units, if it gave one.
func withHint(r wigeonladder.Request, hint []byte, err error) (wigeonladder.Request, error) {
	if err != nil || hint == nil {
		return r, err
	}
	n, err := strconv.ParseInt(string(hint), 10, 64)
	if err != nil || n < 1 || n > maxMaxTokens {
		return r, malformed(headerHint, "must be a whole number between 1 and 2^30")
	}
	r.Estimate = n
	return r, nil
}

// chatBody is what is read of a chat request.
type chatBody struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens *int64          `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// parseChat fills in a chat request.
func (x *index) parseChat(r wigeonladder.Request, service string, body []byte) (wigeonladder.Request, error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return r, malformed("body", err.Error())
	}
	if len(b.Messages) == 0 || b.Messages[0] != '[' {
		return r, malformed("messages", "must be a list")
	}
	tokens := int64(defaultMaxTokens)
	if b.MaxTokens != nil {
		tokens = *b.MaxTokens
	}
	if tokens < 1 || tokens > maxMaxTokens {
		return r, malformed("max_tokens", "must be between 1 and 2^30")
	}
	v, model, err := x.chatService(service, b.Model)
	if err != nil {
		return r, err
	}
	r.Service = v.Name
	r.Model = model
	r.Urgency = x.rules.Urgency(v.Name, chatPath)
	r.Estimate = backend.PromptCost(body) + tokens
	r.PrefixHash = xxhash.Sum64(b.Messages[:min(len(b.Messages), prefixBytes)])
	r.Method = fasthttp.MethodPost
	r.Path = chatPath
	r.ContentType = "application/json"
	r.Body = body
	r.Stream = b.Stream
	return r, nil
}

// parsePlain fills in a call of a plain service from the decoded path
// /s/{service}/{path}. What follows the service is matched with the routes and
// sent on in one canonical form, so that no spelling of a path leads around a
// route that may not be repeated.
func (x *index) parsePlain(r wigeonladder.Request, full, query string) (wigeonladder.Request, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(full, plainPrefix), "/")
	path = "/" + path
	v, ok := x.services[service]
	if !ok || v.Kind != wigeonladder.KindPlain {
		return r, wigeonladder.Errorf(wigeonladder.CodeNoService, "", "no plain service %q", service)
	}
	r.Service = v.Name
	r.Urgency = x.rules.Urgency(v.Name, path)
	r.Estimate = v.CallCost
	if r.Estimate <= 0 {
		r.Estimate = defaultCallCost
	}
	for _, route := range v.Routes {
		r.AtMostOnce = r.AtMostOnce || route.AtMostOnce && hasPrefixFold(path, route.PathPrefix)
	}
	r.Path = (&url.URL{Path: path}).EscapedPath()
	if strings.ContainsFunc(query, isUnsafe) {
		return r, malformed("path", "the query contains a space or a control character")
	}
	if query != "" {
		r.Path += "?" + query
	}
	return r, nil
}

// hasPrefixFold reports whether a path has a prefix in any case: a server that
// ignores case must not run a call that may not be repeated without a ticket.
func hasPrefixFold(path, prefix string) bool {
	return len(path) >= len(prefix) && strings.EqualFold(path[:len(prefix)], prefix)
}

// isUnsafe reports whether a character would end the request line.
func isUnsafe(r rune) bool { return r <= ' ' || r == 0x7f }

// ticketBody is the body of a request for a ticket.
type ticketBody struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
}

// parseTicket fills in the call that a ticket is asked for.
func (x *index) parseTicket(r wigeonladder.Request, body []byte) (wigeonladder.Request, error) {
	var b ticketBody
	if err := json.Unmarshal(body, &b); err != nil {
		return r, malformed("body", err.Error())
	}
	if b.Method == "" || !strings.HasPrefix(b.Path, "/") {
		return r, malformed("body", "method and path are needed; the path starts with a slash")
	}
	u := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(u)
	if err := u.Parse([]byte("fleet"), []byte(plainPrefix+b.Service+b.Path)); err != nil {
		return r, malformed("path", err.Error())
	}
	r.Method = b.Method
	return x.parsePlain(r, string(u.Path()), string(u.QueryString()))
}

// malformed returns the error of a request that cannot be parsed.
func malformed(place, detail string) error {
	return wigeonladder.Errorf(wigeonladder.CodeMalformed, place, "%s", detail)
}
