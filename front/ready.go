package front

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/conn"
)

// readinessReadTimeout bounds the reading of one readiness check.
const readinessReadTimeout = 5 * time.Second

// maxReadinessConns bounds the open connections for readiness checks, so that they
// leave descriptors for callers and backend servers.
const maxReadinessConns = 32

// serverLog receives the log lines of fasthttp.
type serverLog struct{ journal wigeonladder.Journal }

// Printf implements fasthttp.Logger. It records only that an error occurred,
// because the lines may quote a request.
func (l serverLog) Printf(string, ...any) { l.journal.Note("", "front_connection_error") }

// ServeReady answers readiness checks on a listener until the context ends. The
// answer to a request for path has status 200 while ready returns true, else
// 503.
func ServeReady(ctx context.Context, l net.Listener, path string, ready func() bool, j wigeonladder.Journal) {
	s := &fasthttp.Server{
		NoDefaultServerHeader: true,
		ReadTimeout:           readinessReadTimeout,
		IdleTimeout:           readinessReadTimeout,
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
		if err := s.Serve(conn.NewListener(l, conn.Limits{MaxOpen: maxReadinessConns})); err != nil && ctx.Err() == nil {
			j.Note("", "readiness_stopped", "error", err)
		}
	}()
	context.AfterFunc(ctx, func() { _ = l.Close() })
}
