package ticket

import (
	"errors"

	"github.com/wigeonladder/wigeonladder"
)

// MaxBodyBytes bounds the answer that is remembered. A longer answer ends as
// CodeTicketUnknown, because it cannot be repeated whole.
const MaxBodyBytes = 256 << 10

// Outcome is the one whole, bounded answer to a ticket: an answer if Code is
// CodeOK, otherwise the code of the error.
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

// ErrorOutcome returns the outcome that carries an error. An error without a code
// may have run.
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

// Deliver hands the answer to a sink, or returns the error.
func (o Outcome) Deliver(s wigeonladder.Sink) error {
	if err := o.Err(); err != nil {
		return err
	}
	if err := s.Start(o.Status, o.ContentType); err != nil {
		return err
	}
	return s.Write(o.Body, o.Tokens)
}

// notRun reports whether the outcome says that the work did not run.
func (o Outcome) notRun() bool {
	return o.Code.Info().Outcome == wigeonladder.NotRun
}

// size is the memory that the outcome occupies, roughly.
func (o Outcome) size() int {
	return len(o.Body) + len(o.ContentType) + len(o.Place) + len(o.Detail)
}

// record is a sink that keeps the whole answer up to MaxBody.
type record struct {
	out     Outcome
	started bool
	over    bool
}

// Start implements wigeonladder.Sink.
func (r *record) Start(status int, contentType string) error {
	r.started = true
	r.out.Status, r.out.ContentType = status, contentType
	return nil
}

// Write implements wigeonladder.Sink. It never fails, so that a long answer
// does not break off the work.
func (r *record) Write(part []byte, tokens int64) error {
	r.started = true
	r.out.Tokens += tokens
	if len(r.out.Body)+len(part) > MaxBodyBytes {
		r.over = true
		return nil
	}
	r.out.Body = append(r.out.Body, part...)
	return nil
}

// end returns the outcome of an attempt that ended with err.
func (r *record) end(err error) Outcome {
	if err == nil && !r.over {
		return r.out
	}
	if err == nil {
		return unknown("the answer exceeds %d bytes", MaxBodyBytes)
	}
	o := ErrorOutcome(err)
	// A runner that had an answer cannot claim that nothing ran.
	if o.notRun() && !r.started {
		return o
	}
	return unknown("%s", err)
}

// unknown returns the outcome of an attempt of which nothing is known.
func unknown(format string, args ...any) Outcome {
	return ErrorOutcome(wigeonladder.Errorf(wigeonladder.CodeTicketUnknown, "", format, args...))
}
