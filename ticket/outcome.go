package ticket

import (
	"errors"

	"github.com/wigeonladder/wigeonladder"
)

// MaxBodyBytes bounds the body of an answer that is kept. A longer answer ends as
// CodeTicketUnknown, because it cannot be returned again in full.
const MaxBodyBytes = 256 << 10

// Outcome is the final result of a ticket: an answer if Code is CodeOK, otherwise
// an error.
type Outcome struct {
	Status      int    `json:"s,omitempty"`
	ContentType string `json:"t,omitempty"`
	Body        []byte `json:"b,omitempty"`
	// Tokens is the number of tokens of the whole answer.
	Tokens     int64             `json:"n,omitempty"`
	Code       wigeonladder.Code `json:"c,omitempty"`
	Place      string            `json:"p,omitempty"`
	Detail     string            `json:"d,omitempty"`
	RetryAfter int               `json:"r,omitempty"`
}

// ErrorOutcome returns the outcome for an error. An error without a code gives
// CodeTicketUnknown, because the request may have run.
func ErrorOutcome(err error) Outcome {
	var e *wigeonladder.Error
	if !errors.As(err, &e) {
		return Outcome{Code: wigeonladder.CodeTicketUnknown, Detail: err.Error()}
	}
	return Outcome{Code: e.Code, Place: e.Place, Detail: e.Detail, RetryAfter: e.RetryAfter}
}

// Err returns the error that the outcome carries, or nil for an answer.
func (o Outcome) Err() error {
	if o.Code == wigeonladder.CodeOK {
		return nil
	}
	return &wigeonladder.Error{Code: o.Code, Place: o.Place, Detail: o.Detail, RetryAfter: o.RetryAfter}
}

// Deliver writes the answer to a sink, or returns the error.
func (o Outcome) Deliver(s wigeonladder.Sink) error {
	if err := o.Err(); err != nil {
		return err
	}
	if err := s.Start(o.Status, o.ContentType); err != nil {
		return err
	}
	return s.Write(o.Body, o.Tokens)
}

// notRun reports whether the outcome states that the request did not run.
func (o Outcome) notRun() bool {
	return o.Code.Info().Outcome == wigeonladder.NotRun
}

// sizeBytes approximates the memory that the outcome occupies.
func (o Outcome) sizeBytes() int {
	return len(o.Body) + len(o.ContentType) + len(o.Place) + len(o.Detail)
}

// recordingSink is a sink that keeps an answer of up to MaxBodyBytes.
type recordingSink struct {
	out     Outcome
	started bool
	tooLong bool
}

// Start implements wigeonladder.Sink.
func (r *recordingSink) Start(status int, contentType string) error {
	r.started = true
	r.out.Status, r.out.ContentType = status, contentType
	return nil
}

// Write implements wigeonladder.Sink. It never fails, so that an answer beyond
// MaxBodyBytes does not end the run.
func (r *recordingSink) Write(part []byte, tokens int64) error {
	r.started = true
	r.out.Tokens += tokens
	if len(r.out.Body)+len(part) > MaxBodyBytes {
		r.tooLong = true
		return nil
	}
	r.out.Body = append(r.out.Body, part...)
	return nil
}

// outcome returns the outcome of a run that ended with err.
func (r *recordingSink) outcome(err error) Outcome {
	if err == nil && !r.tooLong {
		return r.out
	}
	if err == nil {
		return unknownOutcome("the answer exceeds %d bytes", MaxBodyBytes)
	}
	o := ErrorOutcome(err)
	// After output the error cannot be "not run".
	if o.notRun() && !r.started {
		return o
	}
	return unknownOutcome("%s", err)
}

// unknownOutcome returns the outcome of a request that may have run.
func unknownOutcome(format string, args ...any) Outcome {
	return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeTicketUnknown, "", format, args...))
}
