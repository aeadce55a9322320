package memory

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against a body that is cut, changed or longer than its limit, and against
// memory that is held for a body without being counted, or for bytes that have not
// arrived.
func TestReadBody(t *testing.T) {
	errCut := errors.New("cut")
	long := strings.Repeat("body ", 20_000)
	for name, x := range map[string]struct {
		body             io.Reader
		length, maxBytes int
		want             error
	}{
		"with a length":      {strings.NewReader(long), len(long), 1 << 20, nil},
		"without a length":   {strings.NewReader(long), -1, 1 << 20, nil},
		"in small pieces":    {iotest.OneByteReader(strings.NewReader(long)), -1, 1 << 20, nil},
		"as long as may be":  {strings.NewReader(long), -1, len(long), nil},
		"too long":           {strings.NewReader(long), -1, len(long) - 1, ErrTooLarge},
		"announced too long": {strings.NewReader(long), len(long), len(long) - 1, ErrTooLarge},
		"too short":          {strings.NewReader(long[1:]), len(long), 1 << 20, io.ErrUnexpectedEOF},
		"cut":                {io.MultiReader(strings.NewReader(long[1:]), iotest.ErrReader(errCut)), len(long), 1 << 20, errCut},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(1 << 30)
			a := b.Open("", func() {})
			body, err := a.ReadBody(x.body, BodyLimits{Length: x.length, MaxBytes: x.maxBytes, BeforeRead: func(arrived int) error {
				is.True(b.total <= max(int64(2*arrived), firstReadBytes))
				return nil
			}})
			is.Equal(err, x.want)
			if err == nil {
				is.Equal(string(body), long)
				is.Equal(b.total, int64(cap(body)))
			}
			a.EndRequest()
			is.Equal(b.total, int64(0))
		})
	}
}

// Guards against a body that is read on although there is no room for it.
func TestReadBodyWithoutRoom(t *testing.T) {
	is := is.New(t)
	a := NewBudget(100_000).Open("", func() {})
	_, err := a.ReadBody(strings.NewReader(strings.Repeat("x", 200_000)), BodyLimits{Length: -1, MaxBytes: 1 << 20})
	is.Equal(err, ErrShort)
}
