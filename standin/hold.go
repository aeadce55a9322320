package standin

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder/fake"
)

const (
	// heldTokens is after how many tokens a stream counts as open.
	heldTokens = 3
	// opening bounds the streams that are being opened at once, so that the
	// listen queue does not overflow.
	opening = 50
)

// HoldStreams opens that many streams at an entry and calls opened when all of them
// have brought their first tokens. It returns when the context has ended. The
// engines must stall, or the streams end.
func HoldStreams(ctx context.Context, entry, workspace string, count int, opened func()) error {
	caller := NewCaller(WorkspaceKey(workspace)).WithAddress(entry)
	defer caller.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var open atomic.Int64
	turns := make(chan struct{}, opening)
	var all sync.WaitGroup
	for n := range count {
		select {
		case turns <- struct{}{}:
		case <-ctx.Done():
			all.Wait()
			return context.Cause(ctx)
		}
		all.Go(func() {
			tokens := 0
			body := fake.ChatBody("", fmt.Sprint(n, strings.Repeat(" x", 1000)), 2*heldTokens, true)
			r := caller.WithOnToken(func() {
				if tokens++; tokens == heldTokens {
					<-turns
					if open.Add(1) == int64(count) {
						opened()
					}
				}
			}).Chat(ctx, body)
			cancel(errors.Errorf("a stream ended: status %d, code %d, %v", r.Status, int(r.Code), r.Err))
		})
	}
	all.Wait()
	return context.Cause(ctx)
}

// holdCommand holds streams open until it is told to stop.
func holdCommand() (*flaggy.Subcommand, func(context.Context, io.Writer) error) {
	s := flaggy.NewSubcommand("hold")
	s.Description = "open streams at an entry and hold them until told to stop"
	entry, workspace, count := "", "", 1000
	s.AddPositionalValue(&entry, "entry", 1, true, "caller address")
	s.AddPositionalValue(&workspace, "workspace", 2, true, "workspace")
	s.Int(&count, "n", "count", "number of streams")
	return s, func(ctx context.Context, out io.Writer) error {
		err := HoldStreams(ctx, entry, workspace, count, func() { _, _ = fmt.Fprintln(out, "open") })
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	}
}
