package conn

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Redialing returns a function that begins another attempt to connect after each
// interval without a connection, beside those that still wait, and returns the first
// connection that opens. After a partition a connection then opens within the
// interval; a single attempt waits until TCP retransmits its SYN, a second or more. The
// dial function must bound each attempt.
func Redialing(dial DialFunc, interval time.Duration) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		results := make(chan dialResult)
		attempt := func() {
			c, err := dial(ctx, address)
			select {
			case results <- dialResult{c, err}:
			case <-ctx.Done():
				if c != nil {
					_ = c.Close()
				}
			}
		}
		go attempt()
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case r := <-results:
				// A refusal is an answer: the address is reachable. The first attempt
				// that times out ends the others too.
				return r.conn, r.err
			case <-t.C:
				go attempt()
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			}
		}
	}
}

// dialResult is what became of one attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}
