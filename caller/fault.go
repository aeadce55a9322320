package caller

import (
	"encoding/json"
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// problem is the JSON body of an error.
type problem struct {
	Code    int                  `json:"code"`
	Name    string               `json:"name"`
	Outcome wigeonladder.Outcome `json:"outcome"`
	Place   string               `json:"place"`
	Detail  string               `json:"detail"`
}

// asError returns the numbered error in err. An error without a number counts
// as "may have run".
func asError(err error) *wigeonladder.Error {
	var e *wigeonladder.Error
	if errors.As(err, &e) {
		return e
	}
	return wigeonladder.Errorf(wigeonladder.CodeBroken, "", "%v", err)
}

// problemJSON returns the JSON body of an error.
func problemJSON(err error) []byte {
	e := asError(err)
	f := e.Code.Info()
	// A struct of strings and numbers can always be encoded.
	b, _ := json.Marshal(problem{Code: int(e.Code), Name: f.Name, Outcome: f.Outcome, Place: e.Place, Detail: e.Detail})
	return b
}

// writeError answers with an error.
func writeError(c *fasthttp.RequestCtx, err error) {
	e := asError(err)
	c.SetStatusCode(e.Code.Info().Status)
	c.Response.Header.Set(headerCode, strconv.Itoa(int(e.Code)))
	if e.RetryAfter > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(e.RetryAfter))
	}
	c.SetContentType("application/json")
	c.SetBody(problemJSON(err))
}

// errorEvent returns the event that ends a stream without its end mark.
func errorEvent(err error) []byte {
	b := append([]byte("event: error\ndata: "), problemJSON(err)...)
	return append(b, "\n\n"...)
}

// handleError answers a request that fasthttp could not read.
func (s *Server) handleError(c *fasthttp.RequestCtx, err error) {
	id := s.options.NewID()
	c.Response.Header.Set(headerRequest, id)
	e := wigeonladder.Errorf(wigeonladder.CodeMalformed, "", "the request cannot be read")
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e = wigeonladder.Errorf(wigeonladder.CodeTooLarge, "body", "more than %d bytes", s.options.MaxBodyBytes)
	case errors.As(err, &small):
		e = wigeonladder.Errorf(wigeonladder.CodeTooLarge, "header", "more than %d bytes", maxHeader)
	}
	c.SetConnectionClose()
	if w, ok := c.Conn().(*conn.Conn); ok {
		w.KeepResponse()
		w.Linger()
	}
	writeError(c, e)
	s.note(wigeonladder.Request{}, id, e)
}

// quoteJSON returns a string as JSON.
func quoteJSON(s string) string {
	b, _ := json.Marshal(s)
	return string(b)
}
