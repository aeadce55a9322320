package front

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// readyTimeout bounds the reading of one question for readiness.
const readyTimeout = 5 * time.Second

// ServeReady answers questions for readiness on a listener until the context
// ends: status 200 on the path while ready returns true, else 503.
func ServeReady(ctx context.Context, l net.Listener, path string, ready func() bool, j wigeonladder.Journal) {
	s := &fasthttp.Server{
		NoDefaultServerHeader: true,
		ReadTimeout:           readyTimeout,
		Logger:                serverLog{j},
		Handler: func(c *fasthttp.RequestCtx) {
			switch {
			case string(c.Path()) != path:
				c.SetStatusCode(fasthttp.StatusNotFound)
			case !ready():
				c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
	go func() {
		if err := s.Serve(l); err != nil && ctx.Err() == nil {
			j.Note("", "readiness_stopped", "error", err)
		}
	}()
	context.AfterFunc(ctx, func() { _ = l.Close() })
}
