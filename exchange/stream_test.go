package exchange

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a peer whose endless message takes all memory, and against a limit
// that sums up over messages.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	defer ours.Close()
	go func() {
		defer theirs.Close()
		value := `"` + strings.Repeat("x", maxMessageBytes/2) + `" `
		for range 3 {
			if _, err := theirs.Write([]byte(value)); err != nil {
				return
			}
		}
		_, _ = theirs.Write([]byte(`"` + strings.Repeat("x", 2*maxMessageBytes)))
	}()
	s := newBoundedStream(ours)
	var v string
	for range 3 {
		is.NoErr(s.ReadObject(&v))
		is.Equal(len(v), maxMessageBytes/2)
	}
	is.Equal(s.ReadObject(&v), errMessageTooLong)
}
