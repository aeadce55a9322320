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
	// maxMessage bounds one message: a configuration document of 1 MB grows by
	// a third as base64.
	maxMessage = 2 << 20
	// writeWithin bounds the wait for a peer that does not read. A partly
	// written message cannot be continued, so the connection ends then.
	writeWithin = 2 * time.Second
)

// errTooLong ends a connection whose peer sends too long a message.
var errTooLong = errors.New("message exceeds the limit")

// stream is a jsonrpc2.ObjectStream of plain JSON objects that counts messages
// by method. jsonrpc2 calls onSend before each write and onRecv after each
// read, on the same goroutine or under the same lock.
type stream struct {
	conn    net.Conn
	meter   *meter
	decoder *json.Decoder
	budget  *budget
	// reading is the length of the message that was read last.
	reading int64
	// writing is the method of the message that is written next.
	writing string

	mu sync.Mutex
	// asked holds the methods of received requests without an answer.
	asked map[jsonrpc2.ID]string
}

// newStream returns a stream on a connection.
func newStream(c net.Conn, m *meter) *stream {
	b := &budget{r: c}
	return &stream{conn: c, meter: m, decoder: json.NewDecoder(b), budget: b, asked: map[jsonrpc2.ID]string{}}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeWithin)); err != nil {
		return err
	}
	if _, err := s.conn.Write(append(data, '\n')); err != nil {
		return errors.Join(err, s.conn.Close())
	}
	s.meter.sent(s.writing, int64(len(data)+1))
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.budget.left = maxMessage
	start := s.decoder.InputOffset()
	err := s.decoder.Decode(v)
	s.reading = s.decoder.InputOffset() - start
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// onSend notes the method of the message that is written next.
func (s *stream) onSend(q *jsonrpc2.Request, a *jsonrpc2.Response) {
	if a == nil {
		s.writing = q.Method
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = s.asked[a.ID]
	delete(s.asked, a.ID)
}

// onRecv counts the message that was read last.
func (s *stream) onRecv(q *jsonrpc2.Request, a *jsonrpc2.Response) {
	method := ""
	if q != nil {
		method = q.Method
	}
	s.meter.received(method, s.reading)
	if a != nil || q.Notif {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[q.ID] = q.Method
}

// budget is a reader that fails once a message is too long.
type budget struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (b *budget) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
