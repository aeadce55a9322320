package retry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

// joinedSink is the sink of all attempts of one request. It joins their output
// into one answer and tracks what was sent to the caller's sink.
type joinedSink struct {
	callerSink wigeonladder.Sink
	// reportProgress receives the number of tokens of the current attempt; nil
	// for none.
	reportProgress func(tokens int64)

	started    bool
	callerLost bool
	// totalTokens counts the tokens of all attempts that the caller got.
	totalTokens int64
	// attemptTokens counts the tokens of the current attempt.
	attemptTokens int64
	// attemptOutput is true if the current attempt produced any output.
	attemptOutput bool
	// firstOutput is true if no attempt before the current one started the
	// answer, so that no part can be a repetition.
	firstOutput bool
	// tokenlessParts holds the hashes of the parts without tokens that the
	// caller got, such as the event that opens a stream. A resumed stream may
	// repeat them.
	tokenlessParts map[uint64]bool
}

func newJoinedSink(s wigeonladder.Sink) *joinedSink {
	return &joinedSink{callerSink: s, firstOutput: true, tokenlessParts: map[uint64]bool{}}
}

// beginAttempt resets the state of the current attempt.
func (l *joinedSink) beginAttempt(progress func(int64)) {
	l.reportProgress = progress
	l.firstOutput = l.firstOutput && !l.started
	l.attemptTokens, l.attemptOutput = 0, false
}

// Start implements wigeonladder.Sink. Only the first call reaches the caller.
func (l *joinedSink) Start(status int, contentType string) error {
	l.attemptOutput = true
	if l.started {
		return nil
	}
	l.started = true
	return l.recordFailure(l.callerSink.Start(status, contentType))
}

// Write implements wigeonladder.Sink.
func (l *joinedSink) Write(part []byte, tokens int64) error {
	l.attemptOutput = true
	if tokens == 0 && l.repeated(part) {
		return nil
	}
	if err := l.recordFailure(l.callerSink.Write(part, tokens)); err != nil {
		return err
	}
	l.totalTokens += tokens
	l.attemptTokens += tokens
	if tokens > 0 && l.reportProgress != nil {
		l.reportProgress(l.attemptTokens)
	}
	return nil
}

// repeated reports whether the caller already got the same part from an earlier
// attempt, and records the part.
func (l *joinedSink) repeated(part []byte) bool {
	h := xxhash.Sum64(part)
	if !l.firstOutput && l.tokenlessParts[h] {
		return true
	}
	l.tokenlessParts[h] = true
	return false
}

// recordFailure sets callerLost if err is not nil, and returns err.
func (l *joinedSink) recordFailure(err error) error {
	if err != nil {
		l.callerLost = true
	}
	return err
}

// resumable reports whether another attempt can continue the answer.
func (l *joinedSink) resumable(stream bool) bool {
	return !l.callerLost && (!l.started || stream)
}
