package backend

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against an answer that takes more memory than was reserved for it, and
// against one that changes as it is read in pieces.
func TestGrowingBodyReservesWhatItHolds(t *testing.T) {
	errNoRoom := errors.New("no room")
	long := strings.Repeat("answer ", 20_000)
	for name, x := range map[string]struct {
		body          io.Reader
		length        int
		maxBytes, max int
		want          error
	}{
		"with a length":     {strings.NewReader(long), len(long), 1 << 20, 1 << 20, nil},
		"without a length":  {strings.NewReader(long), -1, 1 << 20, 1 << 20, nil},
		"in small pieces":   {iotest.OneByteReader(strings.NewReader(long)), -1, 1 << 20, 1 << 20, nil},
		"as long as may be": {strings.NewReader(long), -1, len(long), 1 << 20, nil},
		"too long":          {strings.NewReader(long), -1, len(long) - 1, 1 << 20, errTooLong},
		"cut":               {strings.NewReader(long[1:]), len(long), 1 << 20, 1 << 20, io.ErrUnexpectedEOF},
		"no room":           {strings.NewReader(long), -1, 1 << 20, 100_000, errNoRoom},
		"no room at once":   {strings.NewReader(long), len(long), 1 << 20, 100_000, errNoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reserved := 0
			g := growingBody{reserve: func(n int) error {
				if reserved+n > x.max {
					return errNoRoom
				}
				reserved += n
				return nil
			}}
			err := g.read(x.body, x.length, x.maxBytes)
			is.Equal(err, x.want)
			is.Equal(reserved, cap(g.bytes))
			if err == nil {
				is.True(bytes.Equal(g.bytes, []byte(long)))
			}
		})
	}
}
