package conn

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"
)

// refusalBufferBytes is the most that is read at once of a request that is refused.
const refusalBufferBytes = 32 << 10

// refusalWriteTimeout bounds the writing of a refusal while other connections wait to be
// accepted. The answer fits into the buffer of a new connection.
const refusalWriteTimeout = 100 * time.Millisecond

// defaultMaxRefusing is the default of Limits.MaxRefusing.
const defaultMaxRefusing = 1024

// refuse answers the request on a connection without parsing it, and closes the
// connection. A request that has arrived is answered at once. Otherwise its end is
// awaited in the background, since a connection that is closed with unread bytes is
// reset, and the reset can overtake the answer.
func (l *Listener) refuse(n net.Conn) {
	if l.refusal == nil {
		l.refusal = l.limits.RefusalResponse()
	}
	received, ok := receive(n, l.refusalBuffer[:])
	answered := received > 0
	if answered && ok {
		_ = n.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, err := n.Write(l.refusal)
		ok = err == nil && !isWholeRequest(l.refusalBuffer[:received])
	}
	limit := l.limits.MaxRefusing
	if limit == 0 {
		limit = defaultMaxRefusing
	}
	if !ok || l.shedding.Load() >= int64(limit) {
		_ = n.Close()
		return
	}
	l.shedding.Add(1)
	go func() {
		defer l.shedding.Add(-1)
		defer func() { _ = n.Close() }()
		refuseInBackground(n, l.refusal, answered)
	}()
}

// receive reads what has arrived without waiting. It reports false once the peer has
// closed the connection.
func receive(n net.Conn, b []byte) (received int, ok bool) {
	s, isSocket := n.(syscall.Conn)
	if !isSocket {
		return 0, true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var readErr error
	err = raw.Control(func(fd uintptr) {
		received, _, readErr = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT) // #nosec G115
	})
	if err != nil || received == 0 && readErr == nil {
		return 0, false
	}
	return max(received, 0), received > 0 || readErr == syscall.EAGAIN
}

// refuseInBackground writes the response when the request begins, unless it was
// written, and reads what the peer still sends, for at most lingerTimeout.
func refuseInBackground(n net.Conn, response []byte, answered bool) {
	if n.SetDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	if !answered {
		var first [1]byte
		if _, err := n.Read(first[:]); err != nil {
			return
		}
		if _, err := n.Write(response); err != nil {
			return
		}
	}
	if w, ok := n.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, n, maxLingerBytes)
	}
}

// isWholeRequest reports whether b is a request with its whole body, as far as a
// stated length tells. Others may be whole as well.
func isWholeRequest(b []byte) bool {
	head, body, ok := bytes.Cut(b, []byte("\r\n\r\n"))
	if !ok {
		return false
	}
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Content-Length")) {
			length, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			return err == nil && len(body) >= length
		}
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return bytes.HasSuffix(body, []byte("0\r\n\r\n"))
		}
	}
	return true
}
