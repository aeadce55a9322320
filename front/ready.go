package front

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
)

// readinessReadTimeout bounds the reading of one readiness check.
const readinessReadTimeout = 5 * time.Second

// ServeReady answers readiness checks on a listener until the context ends. The
// answer to a request for path has status 200 while ready returns true, else
// 503.
func ServeReady(ctx context.Context, l net.Listener, path string, ready func() bool, j wigeonladder.Journal) {
	s := &fasthttp.Server{
		NoDefaultServerHeader: true,
		ReadTimeout:           readinessReadTimeout,
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
