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
	// logQueueLines is the number of lines that can wait to be written. Further
	// lines are dropped and counted, because no call may wait for its log lines.
	logQueueLines = 4096
	// logWriteInterval is how often the waiting lines are written, in a single
	// write.
	logWriteInterval = 100 * time.Millisecond
	// logLinesPerSecond is the largest number of lines that are written in a
	// second.
	logLinesPerSecond = 2000
)

// LogHandler is a log handler that never blocks: it queues lines, writes them
// in the background, and drops lines while the queue is full.
type LogHandler struct {
	out     io.Writer
	lines   chan *log.Entry
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewLogHandler returns a handler that writes to an output until the context
// ends. Wait then returns once the last lines are written.
func NewLogHandler(ctx context.Context, out io.Writer) *LogHandler {
	l := &LogHandler{out: out, lines: make(chan *log.Entry, logQueueLines)}
	l.done.Go(func() {
		t := time.NewTicker(logWriteInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				l.write(logLinesPerSecond * int(logWriteInterval) / int(time.Second))
			case <-ctx.Done():
				l.write(logQueueLines)
				return
			}
		}
	})
	return l
}

// Wait returns once the context of the handler has ended and the last lines are
// written.
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

// write writes up to maxLines waiting lines and the number of lines that were
// dropped, if any.
func (l *LogHandler) write(maxLines int) {
	var b bytes.Buffer
	h := logfmt.New(&b)
	for range maxLines {
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
