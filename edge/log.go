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
	// logQueueLines is the number of lines on calls, and of lines on the daemon's
	// state, that can wait to be written. Further lines are dropped and counted,
	// because no call may wait for its log lines.
	logQueueLines = 4096
	// logWriteInterval is how often the waiting lines are written.
	logWriteInterval = 100 * time.Millisecond
	// logLinesPerSecond is the largest number of lines on calls that are written in a
	// second.
	logLinesPerSecond = 2000
	// logPieceBytes is the size up to which a pipe takes a write whole or not at all
	// (PIPE_BUF). Longer lines are cut.
	logPieceBytes = 4096
	// logFinalTries is the number of attempts, each logWriteInterval after the one
	// before, to write the last lines to a pipe that is full.
	logFinalTries = 10
)

// LogHandler is a log handler that never blocks: it queues lines, writes them
// in the background, and drops lines while a queue is full. Lines on calls, which have
// a field "request", never displace those on the daemon's state.
type LogHandler struct {
	out          io.Writer
	state, calls chan *log.Entry
	// dropped counts the lines that were dropped since the last write, droppedState
	// those of them on the daemon's state.
	dropped, droppedState atomic.Int64
	// unwritten contains the bytes that the output did not take.
	unwritten []byte
	done      sync.WaitGroup
}

// NewLogHandler returns a handler that writes to an output until the context
// ends. Wait then returns once the last lines are written.
func NewLogHandler(ctx context.Context, out io.Writer) *LogHandler {
	l := &LogHandler{out: out, state: make(chan *log.Entry, logQueueLines), calls: make(chan *log.Entry, logQueueLines)}
	l.done.Go(func() {
		t := time.NewTicker(logWriteInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				l.write(logLinesPerSecond * int(logWriteInterval) / int(time.Second))
			case <-ctx.Done():
				l.write(logQueueLines)
				for n := 0; n < logFinalTries && len(l.unwritten) > 0; n++ {
					<-t.C
					l.flush()
				}
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
	lines := l.state
	if _, ok := e.Fields["request"]; ok {
		lines = l.calls
	}
	select {
	case lines <- e:
	default:
		l.dropped.Add(1)
		if lines == l.state {
			l.droppedState.Add(1)
		}
	}
	return nil
}

// write writes the waiting lines on the daemon's state, up to maxCalls lines on calls,
// and the number of lines that were dropped, if any. While the output does not take
// what was written before, the lines stay in their queues.
func (l *LogHandler) write(maxCalls int) {
	if !l.flush() {
		return
	}
	for range logQueueLines {
		if !l.format(l.state) {
			break
		}
	}
	for range maxCalls {
		if !l.format(l.calls) {
			break
		}
	}
	if n := l.dropped.Swap(0); n > 0 {
		l.unwritten = fmt.Appendf(l.unwritten, "message=log_dropped lines=%d state_lines=%d\n", n, l.droppedState.Swap(0))
	}
	l.flush()
}

// format adds the next line of a queue to the unwritten bytes. It reports whether there
// was one.
func (l *LogHandler) format(lines <-chan *log.Entry) bool {
	select {
	case e := <-lines:
		var b bytes.Buffer
		if err := logfmt.New(&b).HandleLog(e); err != nil {
			l.dropped.Add(1)
			return true
		}
		line := b.Bytes()
		if len(line) > logPieceBytes {
			line = append(line[:logPieceBytes-1], '\n')
		}
		l.unwritten = append(l.unwritten, line...)
		return true
	default:
		return false
	}
}

// flush writes the unwritten bytes in pieces of whole lines. It reports whether the
// output took all of them; a pipe that is full takes none.
func (l *LogHandler) flush() bool {
	for len(l.unwritten) > 0 {
		piece := l.unwritten[:min(len(l.unwritten), logPieceBytes)]
		if end := bytes.LastIndexByte(piece, '\n'); end >= 0 {
			piece = piece[:end+1]
		}
		n, err := l.out.Write(piece)
		l.unwritten = l.unwritten[n:]
		if err != nil {
			return false
		}
	}
	l.unwritten = nil
	return true
}
