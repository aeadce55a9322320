package edge

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
)

// fullPipe is a non-blocking pipe: it takes a write of a piece whole or not at all, and
// a part of a longer one.
type fullPipe struct {
	mu   sync.Mutex
	room int
	got  bytes.Buffer
}

// Write implements io.Writer.
func (f *fullPipe) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(b)
	if n > f.room {
		n = 0
		if len(b) > logPieceBytes {
			n = f.room
		}
	}
	f.room -= n
	f.got.Write(b[:n])
	if n < len(b) {
		return n, syscall.EAGAIN
	}
	return n, nil
}

// drain makes room in the pipe.
func (f *fullPipe) drain(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.room += n
}

// lines returns what the pipe got, by lines.
func (f *fullPipe) lines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Split(strings.TrimSuffix(f.got.String(), "\n"), "\n")
}

// Guards against lines that end in the middle because the reader of the log is slow, and
// against lines on the state of the daemon that are dropped in a flood of calls, such as
// the one that it stops.
func TestLogKeepsLinesWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		out := &fullPipe{room: 10_000}
		h := NewLogHandler(ctx, out)
		l := &log.Logger{Handler: h, Level: log.InfoLevel}
		for n := range 3 * logQueueLines {
			l.WithFields(log.Fields{"request": fmt.Sprint(n), "detail": strings.Repeat("x", n%300)}).Info("call")
		}
		l.WithFields(log.Fields{"detail": strings.Repeat("y", 2*logPieceBytes)}).Info("long")
		time.Sleep(time.Second)
		for range 100 {
			out.drain(20_000)
			time.Sleep(logWriteInterval)
		}
		l.Info("stopping")
		out.drain(1 << 20)
		cancel()
		h.Wait()
		stopping, dropped := false, false
		for _, s := range out.lines() {
			is.Equal(strings.Count(s, "message="), 1)
			is.True(!strings.Contains(s, "message=call") || strings.Contains(s, "request="))
			is.True(len(s) < logPieceBytes)
			stopping = stopping || strings.Contains(s, "message=stopping")
			dropped = dropped || s == fmt.Sprintf("message=log_dropped lines=%d state_lines=0", 2*logQueueLines)
		}
		is.True(stopping)
		is.True(dropped)
	})
}
