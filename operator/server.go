package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// DrainStatus is the progress of a graceful shutdown.
type DrainStatus struct {
	Draining bool `json:"draining"`
	// OpenRequests is the number of requests that have not ended.
	OpenRequests int `json:"open"`
	// Done is true once the last request has ended or was cut off.
	Done bool `json:"done"`
}

// Options configure a Server.
type Options struct {
	Listener net.Listener
	// KeyHashes are the SHA-256 hashes, in hexadecimal, of the operators' keys.
	KeyHashes []string
	Journal   *Journal
	// Dump returns the state of the daemon, which is sent as JSON.
	Dump func() any
	// Metrics returns the metrics as a JSON object.
	Metrics func() string
	// Drain starts a graceful shutdown. Further calls have no effect.
	Drain func()
	// DrainStatus returns the progress of a graceful shutdown.
	DrainStatus func() DrainStatus
}

// Server is the HTTP server for operators.
type Server struct {
	options Options
	http    *fasthttp.Server
	done    chan struct{}
}

// Timeouts of the server.
const (
	readTimeout  = 5 * time.Second
	closeTimeout = time.Second
)

// NewServer starts a server. It serves until the context ends.
func NewServer(ctx context.Context, o Options) *Server {
	s := &Server{options: o, done: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout,
		Logger:                discardLogger{},
	}
	go func() {
		defer close(s.done)
		if err := s.http.Serve(o.Listener); err != nil {
			o.Journal.Note("", "operator_server_ended", "error", err)
		}
	}()
	go func() {
		<-ctx.Done()
		closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if err := s.http.ShutdownWithContext(closeCtx); err != nil {
			o.Journal.Note("", "operator_server_closed", "error", err)
		}
	}()
	return s
}

// Done returns a channel that is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// handle checks the operator key of a call and answers it.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	if !s.isAuthorized(c) {
		replyError(c, wigeonladder.Errorf(wigeonladder.CodeNotOperator, c.RemoteAddr().String(), "the operator key is missing or unknown"))
		return
	}
	switch string(c.Method()) + " " + string(c.Path()) {
	case "GET /dump":
		replyJSON(c, s.options.Dump())
	case "GET /explain":
		s.explain(c)
	case "GET /metrics":
		c.SetContentType("application/json")
		c.SetBodyString(s.options.Metrics())
	case "POST /drain":
		s.options.Drain()
		replyJSON(c, s.options.DrainStatus())
	case "GET /drain":
		replyJSON(c, s.options.DrainStatus())
	default:
		replyError(c, wigeonladder.Errorf(wigeonladder.CodeNotFound, string(c.Path()), "no such operator call"))
	}
}

// explain answers with the recorded events of one request.
func (s *Server) explain(c *fasthttp.RequestCtx) {
	id := string(c.QueryArgs().Peek("id"))
	events := s.options.Journal.Explain(id)
	if len(events) == 0 {
		replyError(c, wigeonladder.Errorf(wigeonladder.CodeNotFound, "request "+id, "this daemon has no record of the request"))
		return
	}
	replyJSON(c, events)
}

// isAuthorized reports whether the call carries an operator key. It compares
// with every key in constant time, so that the duration reveals nothing about
// them.
func (s *Server) isAuthorized(c *fasthttp.RequestCtx) bool {
	key, ok := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	found := false
	for _, k := range s.options.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(k)), []byte(hash)) == 1 {
			found = true
		}
	}
	return found
}

// replyJSON sends a value as JSON.
func replyJSON(c *fasthttp.RequestCtx, v any) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		replyError(c, wigeonladder.Errorf(wigeonladder.CodeMalformed, string(c.Path()), "encoding the answer: %v", err))
		return
	}
	c.SetContentType("application/json")
	c.SetBody(append(b, '\n'))
}

// ErrorBody is the JSON body of the response to a failed call.
type ErrorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Place   string `json:"place,omitempty"`
	Detail  string `json:"detail"`
}

// replyError sends an error as an ErrorBody, with the HTTP status of its code.
func replyError(c *fasthttp.RequestCtx, e *wigeonladder.Error) {
	info := e.Code.Info()
	c.Response.Header.Set("X-Result-Code", strconv.Itoa(int(e.Code)))
	replyJSON(c, ErrorBody{Code: int(e.Code), Name: info.Name, Outcome: string(info.Outcome), Place: e.Place, Detail: e.Detail})
	c.SetStatusCode(info.Status)
}

// discardLogger discards the log lines of fasthttp, because events go to the
// journal.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
