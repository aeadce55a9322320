package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder/operator"
)

// drainPollInterval is the interval at which the progress of a graceful shutdown is
// polled.
const drainPollInterval = 500 * time.Millisecond

// newDrain returns the command that starts a graceful shutdown and reports its
// progress until the last request has ended.
func newDrain() command {
	s := newSubcommand("drain", "stop a daemon gracefully and wait for its last request")
	var t operatorTarget
	t.addFlags(s)
	return command{sub: s, run: func(ctx context.Context, out io.Writer) error {
		return drain(ctx, operator.NewClient(t.address, t.key), out)
	}}
}

// drain starts the shutdown and prints a line whenever the number of open requests
// changes. A daemon answers operators for one more second after its last request
// has ended, so that this poll sees the end.
func drain(ctx context.Context, c *operator.Client, out io.Writer) error {
	status, err := c.Drain()
	if err != nil {
		return err
	}
	tick := time.NewTicker(drainPollInterval)
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
