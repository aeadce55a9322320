package retry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

// relay is the sink of all attempts of one request. It joins their answers into
// one and knows what was handed on.
type relay struct {
	sink wigeonladder.Sink
	// progress takes the tokens of the running attempt.
	progress func(tokens int64)

	started bool
	failed  bool
	// tokens counts the tokens that were handed on in all attempts.
	tokens int64
	// here counts those of the running attempt.
	here int64
	// touched is true if the running attempt handed on anything.
	touched bool
	// first is true until the first attempt that handed on something ended.
	first bool
	// bare holds the parts without tokens that were handed on, such as the
	// event that opens a stream. A resumed stream may bring them again.
	bare map[uint64]bool
}

func newRelay(s wigeonladder.Sink) *relay {
	return &relay{sink: s, first: true, bare: map[uint64]bool{}}
}

// begin prepares for an attempt.
func (l *relay) begin(progress func(int64)) {
	l.progress = progress
	l.first = l.first && !l.started
	l.here, l.touched = 0, false
}

// Start implements wigeonladder.Sink. Only the first start is handed on.
func (l *relay) Start(status int, contentType string) error {
	l.touched = true
	if l.started {
		return nil
	}
	l.started = true
	return l.watch(l.sink.Start(status, contentType))
}

// Write implements wigeonladder.Sink.
func (l *relay) Write(part []byte, tokens int64) error {
	l.touched = true
	if tokens == 0 && l.repeated(part) {
		return nil
	}
	if err := l.watch(l.sink.Write(part, tokens)); err != nil {
		return err
	}
	l.tokens += tokens
	l.here += tokens
	if tokens > 0 && l.progress != nil {
		l.progress(l.here)
	}
	return nil
}

// repeated reports whether an earlier attempt handed on the same part.
func (l *relay) repeated(part []byte) bool {
	h := xxhash.Sum64(part)
	if !l.first && l.bare[h] {
		return true
	}
	l.bare[h] = true
	return false
}

// watch remembers that the caller can no longer be reached.
func (l *relay) watch(err error) error {
	if err != nil {
		l.failed = true
	}
	return err
}

// resumable reports whether another attempt can continue what was handed on.
func (l *relay) resumable(stream bool) bool {
	return !l.failed && (!l.started || stream)
}
