package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder/operator"
)

// drainPoll is the period at which a graceful stop is reported.
const drainPoll = 500 * time.Millisecond

// newDrain returns the command that starts a graceful stop and reports until
// the last request has ended.
func newDrain() command {
	s := newSubcommand("drain", "stop a daemon gracefully and wait for its last request")
	var t target
	t.flags(s)
	return command{sub: s, run: func(ctx context.Context, out io.Writer) error {
		return drain(ctx, operator.NewClient(t.address, t.key), out)
	}}
}

// drain starts the stop and prints a line at each change of the number of open
// requests. A daemon answers its operators for a second after the last request has
// ended, so that the end is seen.
func drain(ctx context.Context, c *operator.Client, out io.Writer) error {
	status, err := c.Drain()
	if err != nil {
		return err
	}
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	last := -1
	for !status.Done {
		if status.OpenRequests != last {
			_, _ = fmt.Fprintf(out, "draining open=%d\n", status.OpenRequests)
			last = status.OpenRequests
		}
		select {
		case <-ctx.Done():
			return errors.New("stopped waiting; the daemon goes on draining")
		case <-tick.C:
		}
		next, err := c.DrainStatus()
		if err != nil {
			return errors.Wrapf(err, "the daemon stopped answering with %d open requests", status.OpenRequests)
		}
		status = next
	}
	_, _ = fmt.Fprintln(out, "drained")
	return nil
}
