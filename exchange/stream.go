package exchange

import (
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes bounds one incoming message. It exceeds what unpacks to maxUnpacked,
// and every page of the store that another daemon relays.
const maxMessageBytes = 2 * maxUnpacked

// errMessageTooLong ends a connection on which a message exceeds maxMessageBytes.
var errMessageTooLong = errors.New("a message exceeds the size limit")

// boundedStream is a stream of messages of at most maxMessageBytes each, not counting
// what its decoder has read ahead.
type boundedStream struct {
	jsonrpc2.ObjectStream
	reader *boundedReader
}

// newBoundedStream returns the stream of messages on a connection.
func newBoundedStream(c net.Conn) boundedStream {
	r := &boundedReader{Conn: c}
	return boundedStream{jsonrpc2.NewPlainObjectStream(r), r}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s boundedStream) ReadObject(v any) error {
	s.reader.remaining = maxMessageBytes
	return s.ObjectStream.ReadObject(v)
}

// boundedReader reads at most remaining bytes from a connection.
type boundedReader struct {
	net.Conn
	remaining int
}

var _ io.ReadWriteCloser = (*boundedReader)(nil)

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMessageTooLong
	}
	n, err := r.Conn.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	return n, err
}
