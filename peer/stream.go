package peer

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Limits of a connection.
const (
	// maxMessageBytes limits one message. A configuration document of 1 MB
	// grows by a third as base64.
	maxMessageBytes = 2 << 20
	// writeTimeout limits the wait for a peer that does not read. A partly
	// written message cannot be continued, so the connection is closed then.
	writeTimeout = 2 * time.Second
)

// errMessageTooLong ends a connection whose peer sends a message above
// maxMessageBytes.
var errMessageTooLong = errors.New("message exceeds the limit")

// stream is a jsonrpc2.ObjectStream of plain JSON objects that counts messages
// and bytes by method. jsonrpc2 calls onSend before each write, under the lock
// that it holds for the write, and onRecv after each read, on the goroutine
// that reads.
type stream struct {
	conn    net.Conn
	meter   *meter
	decoder *json.Decoder
	limiter *messageLimiter
	// lastReadBytes is the length of the message that was read last.
	lastReadBytes int64
	// writeMethod is the method of the message that is written next.
	writeMethod string

	mu sync.Mutex
	// pendingMethods holds the methods of the received requests that are not
	// answered yet.
	pendingMethods map[jsonrpc2.ID]string
}

// newStream returns a stream on a connection.
func newStream(c net.Conn, m *meter) *stream {
	b := &messageLimiter{r: c}
	return &stream{conn: c, meter: m, decoder: json.NewDecoder(b), limiter: b, pendingMethods: map[jsonrpc2.ID]string{}}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.conn.Write(append(data, '\n')); err != nil {
		return errors.Join(err, s.conn.Close())
	}
	s.meter.sent(s.writeMethod, int64(len(data)+1))
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.limiter.bytesLeft = maxMessageBytes
	start := s.decoder.InputOffset()
	err := s.decoder.Decode(v)
	s.lastReadBytes = s.decoder.InputOffset() - start
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// onSend sets the method by which the next written message is counted; an
// answer is counted by the method of its request.
func (s *stream) onSend(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp == nil {
		s.writeMethod = req.Method
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeMethod = s.pendingMethods[resp.ID]
	delete(s.pendingMethods, resp.ID)
}

// onRecv counts the message that was read last. An answer is counted by the
// method of its request.
func (s *stream) onRecv(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	method := ""
	if req != nil {
		method = req.Method
	}
	s.meter.received(method, s.lastReadBytes)
	if resp != nil || req.Notif {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingMethods[req.ID] = req.Method
}

// messageLimiter is a reader that fails once one message exceeds the limit.
type messageLimiter struct {
	r         io.Reader
	bytesLeft int
}

// Read implements io.Reader.
func (b *messageLimiter) Read(p []byte) (int, error) {
	if b.bytesLeft <= 0 {
		return 0, errMessageTooLong
	}
	n, err := b.r.Read(p[:min(len(p), b.bytesLeft)])
	b.bytesLeft -= n
	return n, err
}
