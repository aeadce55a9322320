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

// Paths of the HTTP API for callers.
const (
	chatPath    = backend.ChatPath
	ticketsPath = "/v1/tickets"
	plainPrefix = "/s/"
)

// Names of the HTTP headers of the API for callers.
const (
	headerRequestID  = "X-Request-Id"
	headerResultCode = "X-Result-Code"
	headerService    = "X-Service"
	headerTicket     = "X-Ticket"
	headerCostHint   = "X-Cost-Hint"
)

const (
	// defaultMaxTokens is the expected length of an answer if the request
	// states no max_tokens.
	defaultMaxTokens = 256
	// maxCost is the largest max_tokens, in tokens, and the largest
	// X-Cost-Hint, in cost units. It ensures that estimates cannot overflow.
	maxCost = 1 << 30
	// maxHashedPrefixBytes is the length of the part of the messages that the
	// prefix hash covers.
	maxHashedPrefixBytes = 1 << 10
	// defaultCallCost is the cost in cost units of a call if its plain service
	// states none.
	defaultCallCost = 1
)

// parseRequest turns an HTTP request into a request of its workspace. A request
// for a ticket becomes the call that the ticket is for. The body is read once the
// caller has been admitted.
func (s *Server) parseRequest(c *fasthttp.RequestCtx, id, path string) (wigeonladder.Request, error) {
	r := wigeonladder.Request{ID: id, Arrived: time.Now()}
	x := s.currentIndex()
	key, err := bearer(c.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if err != nil {
		return r, err
	}
	if r.Workspace, err = x.workspace(key); err != nil {
		return r, err
	}
	isChat, isTicket := path == chatPath && c.IsPost(), path == ticketsPath && c.IsPost()
	if !isChat && !isTicket && !strings.HasPrefix(path, plainPrefix) {
		return r, wigeonladder.Errorf(wigeonladder.CodeNoService, "", "no such method and path")
	}
	body, err := s.readBody(c)
	switch {
	case err != nil:
		return r, err
	case isChat:
		r, err = x.parseChat(r, string(c.Request.Header.Peek(headerService)), body)
		return withCostHint(r, c.Request.Header.Peek(headerCostHint), err)
	case isTicket:
		return x.parseTicket(r, body)
	default:
		r.Method = string(c.Method())
		r.ContentType = string(c.Request.Header.ContentType())
		r.Body = body
		r.Ticket = string(c.Request.Header.Peek(headerTicket))
		r, err := x.parsePlain(r, path, string(c.URI().QueryString()))
		r, err = withCostHint(r, c.Request.Header.Peek(headerCostHint), err)
		if err == nil && r.AtMostOnce && r.Ticket == "" {
			err = wigeonladder.Errorf(wigeonladder.CodeNeedTicket, headerTicket, "%s %s needs a ticket", r.Method, r.Path)
		}
		return r, err
	}
}

// bearer returns the key in an Authorization header.
func bearer(header []byte) ([]byte, error) {
	scheme, key, ok := bytes.Cut(header, []byte(" "))
	if !ok || !bytes.EqualFold(scheme, []byte("bearer")) || len(bytes.TrimSpace(key)) == 0 {
		return nil, wigeonladder.Errorf(wigeonladder.CodeNoCredential, fasthttp.HeaderAuthorization, "no bearer key")
	}
	return bytes.TrimSpace(key), nil
}

// withCostHint sets the estimate to the caller's hint, if any, in cost units. If
// err is not nil, it returns err and the request unchanged.
func withCostHint(r wigeonladder.Request, hint []byte, err error) (wigeonladder.Request, error) {
	if err != nil || hint == nil {
		return r, err
	}
	n, err := strconv.ParseInt(string(hint), 10, 64)
	if err != nil || n < 1 || n > maxCost {
		return r, malformedError(headerCostHint, "must be a whole number between 1 and 2^30")
	}
	r.Estimate = n
	return r, nil
}

// chatBody holds the fields of a chat request that are read.
type chatBody struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens *int64          `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// parseChat completes the request r from the body of a chat request.
func (x *index) parseChat(r wigeonladder.Request, service string, body []byte) (wigeonladder.Request, error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return r, malformedError("body", err.Error())
	}
	if len(b.Messages) == 0 || b.Messages[0] != '[' {
		return r, malformedError("messages", "must be a list")
	}
	tokens := int64(defaultMaxTokens)
	if b.MaxTokens != nil {
		tokens = *b.MaxTokens
	}
	if tokens < 1 || tokens > maxCost {
		return r, malformedError("max_tokens", "must be between 1 and 2^30")
	}
	v, model, err := x.chatService(service, b.Model)
	if err != nil {
		return r, err
	}
	r.Service = v.Name
	r.Model = model
	r.Urgency = x.rules.Urgency(v.Name, chatPath)
	r.Estimate = backend.PromptCost(body) + tokens
	r.PrefixHash = xxhash.Sum64(b.Messages[:min(len(b.Messages), maxHashedPrefixBytes)])
	r.Method = fasthttp.MethodPost
	r.Path = chatPath
	r.ContentType = "application/json"
	r.Body = body
	r.Stream = b.Stream
	return r, nil
}

// parsePlain completes the request r from the decoded path /s/{service}/{path}
// of a plain service's call. The part after the service is matched against the
// routes and sent to the server in one canonical form. This prevents a
// different spelling of the path from avoiding an at-most-once route.
func (x *index) parsePlain(r wigeonladder.Request, fullPath, query string) (wigeonladder.Request, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(fullPath, plainPrefix), "/")
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
	if strings.ContainsFunc(query, isSpaceOrControl) {
		return r, malformedError("path", "the query contains a space or a control character")
	}
	if query != "" {
		r.Path += "?" + query
	}
	return r, nil
}

// hasPrefixFold reports whether a path has a prefix, ignoring case. Otherwise a
// server that ignores case could run an at-most-once call without a ticket.
func hasPrefixFold(path, prefix string) bool {
	return len(path) >= len(prefix) && strings.EqualFold(path[:len(prefix)], prefix)
}

// isSpaceOrControl reports whether a character is a space or a control
// character, which would end the path or the request line too early.
func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// ticketBody is the body of a request for a ticket.
type ticketBody struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
}

// parseTicket completes the request r as the call for which a ticket is
// requested.
func (x *index) parseTicket(r wigeonladder.Request, body []byte) (wigeonladder.Request, error) {
	var b ticketBody
	if err := json.Unmarshal(body, &b); err != nil {
		return r, malformedError("body", err.Error())
	}
	if b.Method == "" || !strings.HasPrefix(b.Path, "/") {
		return r, malformedError("body", "method and path are needed; the path starts with a slash")
	}
	u := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(u)
	if err := u.Parse([]byte("fleet"), []byte(plainPrefix+b.Service+b.Path)); err != nil {
		return r, malformedError("path", err.Error())
	}
	r.Method = b.Method
	return x.parsePlain(r, string(u.Path()), string(u.QueryString()))
}

// malformedError returns the error of a request that cannot be parsed.
func malformedError(place, detail string) error {
	return wigeonladder.Errorf(wigeonladder.CodeMalformed, place, "%s", detail)
}
