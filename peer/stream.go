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
	// maxMessageBytes bounds one message: a configuration document of 1 MB grows by
	// a third as base64.
	maxMessageBytes = 2 << 20
	// writeTimeout bounds the wait for a peer that does not read. A partly
	// written message cannot be continued, so the connection ends then.
	writeTimeout = 2 * time.Second
)

// errMessageTooLong ends a connection whose peer sends too long a message.
var errMessageTooLong = errors.New("message exceeds the limit")

// stream is a jsonrpc2.ObjectStream of plain JSON objects that counts messages
// by method. jsonrpc2 calls onSend before each write and onRecv after each
// read, on the same goroutine or under the same lock.
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
	// pendingMethods holds the methods of received requests without an answer.
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

// onSend notes the method of the message that is written next.
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

// onRecv counts the message that was read last.
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

// messageLimiter is a reader that fails once a message is too long.
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
