package caller

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// errorBody is the JSON body of an error.
type errorBody struct {
	Code    int                  `json:"code"`
	Name    string               `json:"name"`
	Outcome wigeonladder.Outcome `json:"outcome"`
	Place   string               `json:"place"`
	Detail  string               `json:"detail"`
}

// asError returns the *wigeonladder.Error that err is or wraps. Any other error
// becomes CodeBroken, which leaves open whether the request ran.
func asError(err error) *wigeonladder.Error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		return e
	}
	return wigeonladder.Errorf(wigeonladder.CodeBroken, "", "%v", err)
}

// errorJSON returns the JSON body of an error.
func errorJSON(err error) []byte {
	e := asError(err)
	info := e.Code.Info()
	// The struct holds only strings and numbers, so encoding cannot fail.
	b, _ := json.Marshal(errorBody{Code: int(e.Code), Name: info.Name, Outcome: info.Outcome, Place: e.Place, Detail: e.Detail})
	return b
}

// writeError writes an error as the answer.
func writeError(c *fasthttp.RequestCtx, err error) {
	e := asError(err)
	c.SetStatusCode(e.Code.Info().Status)
	c.Response.Header.Set(headerResultCode, strconv.Itoa(int(e.Code)))
	if seconds := retryAfterSeconds(e); seconds > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	c.SetContentType("application/json")
	c.SetBody(errorJSON(err))
}

// retryAfterSeconds returns the whole seconds after which a request may be sent again;
// 0 for no statement. A retry delay is rounded up, so that no caller returns too early.
func retryAfterSeconds(e *wigeonladder.Error) int {
	if e.RetryDelay > 0 {
		return int((e.RetryDelay + time.Second - 1) / time.Second)
	}
	return e.RetryAfter
}

// errorEvent returns the event that ends an incomplete stream.
func errorEvent(err error) []byte {
	b := append([]byte("event: error\ndata: "), errorJSON(err)...)
	return append(b, "\n\n"...)
}

// handleError answers a request that fasthttp could not read.
func (s *Server) handleError(c *fasthttp.RequestCtx, err error) {
	id := s.options.NewID()
	c.Response.Header.Set(headerRequestID, id)
	e := wigeonladder.Errorf(wigeonladder.CodeMalformed, "", "the request cannot be read")
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e = wigeonladder.Errorf(wigeonladder.CodeTooLarge, "body", "more than %d bytes", s.options.MaxBodyBytes)
	case errors.As(err, &headerTooLarge):
		e = wigeonladder.Errorf(wigeonladder.CodeTooLarge, "header", "more than %d bytes", maxHeaderBytes)
	}
	c.SetConnectionClose()
	if connection, ok := c.Conn().(*conn.Conn); ok {
		connection.KeepResponse()
		connection.Linger()
	}
	writeError(c, e)
	s.noteEnd(wigeonladder.Request{}, id, e)
}

// quoteJSON returns a string in JSON encoding.
func quoteJSON(s string) string {
	b, _ := json.Marshal(s)
	return string(b)
}
