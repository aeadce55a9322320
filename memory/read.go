package memory

import (
	"errors"
	"io"
	"runtime"
)

const (
	// firstReadBytes is the most that is reserved for a body before any of it has
	// arrived, so that an announced length costs nothing.
	firstReadBytes = 16 << 10
	// readsPerTurn is the number of reads of a body, of at most one chunk each, after
	// which other connections get the processor.
	readsPerTurn = 1024
)

// ErrTooLarge is the error of a body that exceeds its limit.
var ErrTooLarge = errors.New("the body exceeds the limit")

// BodyLimits bounds a body that is read.
type BodyLimits struct {
	// Length is the stated length, -1 if there is none. MaxBytes is the most that is
	// read.
	Length, MaxBytes int
	// BeforeRead is called before each read with the number of bytes that have
	// arrived; nil for none.
	BeforeRead func(arrived int) error
}

// ReadBody reads a whole body. The memory for it grows as it arrives and counts as
// Body; it stays reserved until EndRequest.
func (a *Account) ReadBody(r io.Reader, l BodyLimits) ([]byte, error) {
	if l.Length > l.MaxBytes {
		return nil, ErrTooLarge
	}
	if l.Length >= 0 {
		l.MaxBytes = l.Length
	}
	body, err := a.growBody(nil, min(firstReadBytes, l.MaxBytes))
	for reads := 1; err == nil; reads++ {
		if len(body) == cap(body) && len(body) < l.MaxBytes {
			if body, err = a.growBody(body, min(2*cap(body), l.MaxBytes)); err != nil {
				break
			}
		}
		var n int
		n, err = readSome(r, body, l)
		body = body[:len(body)+n]
		if reads%readsPerTurn == 0 {
			runtime.Gosched()
		}
	}
	switch {
	case !errors.Is(err, io.EOF):
		return nil, err
	case len(body) < l.Length:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// readSome reads into the free part of body. A byte beyond the most that is read is an
// error.
func readSome(r io.Reader, body []byte, l BodyLimits) (int, error) {
	if l.BeforeRead != nil {
		if err := l.BeforeRead(len(body)); err != nil {
			return 0, err
		}
	}
	if len(body) < l.MaxBytes {
		return r.Read(body[len(body):cap(body)])
	}
	var beyond [1]byte
	if n, err := r.Read(beyond[:]); n == 0 {
		return 0, err
	}
	return 0, ErrTooLarge
}

// growBody returns body with another capacity.
func (a *Account) growBody(body []byte, capacity int) ([]byte, error) {
	if err := a.Grow(Body, capacity); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, capacity), body...)
	a.Shrink(Body, cap(body))
	return grown, nil
}
