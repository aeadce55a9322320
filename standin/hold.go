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
	// openAfterTokens is the number of received tokens after which a stream counts as
	// open.
	openAfterTokens = 3
	// maxOpeningStreams bounds the number of streams that are being opened at the same
	// time, so that the listen queue does not overflow.
	maxOpeningStreams = 50
)

// HoldStreams opens count streams at an entry, calls opened once all of them have
// received their first tokens, and returns when the context is cancelled. It fails
// when a stream ends, so the engines must stall after the first tokens.
func HoldStreams(ctx context.Context, entry, workspace string, count int, opened func()) error {
	caller := NewCaller(WorkspaceKey(workspace)).WithAddress(entry)
	defer caller.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var open atomic.Int64
	openingSemaphore := make(chan struct{}, maxOpeningStreams)
	var streams sync.WaitGroup
	for n := range count {
		select {
		case openingSemaphore <- struct{}{}:
		case <-ctx.Done():
			streams.Wait()
			return context.Cause(ctx)
		}
		streams.Go(func() {
			tokens := 0
			body := fake.ChatBody("", fmt.Sprint(n, strings.Repeat(" x", 1000)), 2*openAfterTokens, true)
			r := caller.WithOnToken(func() {
				if tokens++; tokens == openAfterTokens {
					<-openingSemaphore
					if open.Add(1) == int64(count) {
						opened()
					}
				}
			}).Chat(ctx, body)
			cancel(errors.Errorf("a stream ended: status %d, code %d, %v", r.Status, int(r.Code), r.Err))
		})
	}
	streams.Wait()
	return context.Cause(ctx)
}

// holdCommand returns the command that holds streams open until it is stopped.
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
