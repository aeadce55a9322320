package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

const (
	// logQueue is the number of lines that wait to be written. Lines beyond are
	// dropped and counted, because no call may wait for its log.
	logQueue = 4096
	// logPeriod is how often waiting lines are written, in one piece.
	logPeriod = 100 * time.Millisecond
	// logRate is the number of lines that are written in a second at the most.
	logRate = 2000
)

// LogHandler is a log handler that never blocks: lines are written in the background.
type LogHandler struct {
	out     io.Writer
	lines   chan *log.Entry
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewLogHandler returns a handler that writes to an output until the context ends. Wait
// then returns once the last lines are written.
func NewLogHandler(ctx context.Context, out io.Writer) *LogHandler {
	l := &LogHandler{out: out, lines: make(chan *log.Entry, logQueue)}
	l.done.Go(func() {
		t := time.NewTicker(logPeriod)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				l.write(logRate * int(logPeriod) / int(time.Second))
			case <-ctx.Done():
				l.write(logQueue)
				return
			}
		}
	})
	return l
}

// Wait waits until the last lines are written.
func (l *LogHandler) Wait() { l.done.Wait() }

// HandleLog implements log.Handler.
func (l *LogHandler) HandleLog(e *log.Entry) error {
	select {
	case l.lines <- e:
	default:
		l.dropped.Add(1)
	}
	return nil
}

// write writes up to a number of waiting lines.
func (l *LogHandler) write(most int) {
	var b bytes.Buffer
	h := logfmt.New(&b)
	for range most {
		select {
		case e := <-l.lines:
			if err := h.HandleLog(e); err != nil {
				l.dropped.Add(1)
			}
			continue
		default:
		}
		break
	}
	if n := l.dropped.Swap(0); n > 0 {
		fmt.Fprintf(&b, "message=log_dropped lines=%d\n", n)
	}
	if b.Len() > 0 {
		_, _ = l.out.Write(b.Bytes())
	}
}
