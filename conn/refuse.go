package conn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
	received, ok := receive(n, l.refusalBuffer[:])
	answered := received > 0
	if answered && ok {
		_ = n.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, err := n.Write(l.response())
		ok = err == nil && !isWholeRequest(l.refusalBuffer[:received])
	}
	if !ok || !l.mayLinger() {
		_ = n.Close()
		return
	}
	l.lingerOn(n, answered)
}

// refuseNext accepts and refuses the next connection if one waits, and reports whether
// one did. During a flood most connections are refused: this takes half of the system
// calls of Accept and refuse.
func (l *Listener) refuseNext() bool {
	s, ok := l.Listener.(syscall.Conn)
	if !ok || l.limits.RefusalResponse == nil {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	peer := -1
	err = raw.Control(func(fd uintptr) {
		if n, _, e := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); e == nil { // #nosec G115
			peer = n
		}
	})
	if err != nil || peer < 0 {
		return false
	}
	l.refuseSocket(peer)
	return true
}

// refuseSocket does the same as refuse on a socket that does not block.
func (l *Listener) refuseSocket(fd int) {
	received, err := unix.Read(fd, l.refusalBuffer[:])
	answered := received > 0
	if answered {
		_, err = unix.Write(fd, l.response())
	}
	ended := received == 0 && err == nil
	if ended || answered && (err != nil || isWholeRequest(l.refusalBuffer[:received])) || !l.mayLinger() {
		_ = unix.Close(fd)
		return
	}
	l.lingerOn(socket{os.NewFile(uintptr(fd), "caller")}, answered) // #nosec G115
}

// socket is a socket that was accepted without the net package.
type socket struct{ *os.File }

// CloseWrite shuts down the sending side.
func (s socket) CloseWrite() error {
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var shutdownErr error
	err = raw.Control(func(fd uintptr) { shutdownErr = unix.Shutdown(int(fd), unix.SHUT_WR) }) // #nosec G115
	return errors.Join(err, shutdownErr)
}

// response returns the response to refused requests.
func (l *Listener) response() []byte {
	if l.refusal == nil {
		l.refusal = l.limits.RefusalResponse()
	}
	return l.refusal
}

// mayLinger reports whether one more connection may wait for the end of its request.
func (l *Listener) mayLinger() bool {
	limit := l.limits.MaxRefusing
	if limit == 0 {
		limit = defaultMaxRefusing
	}
	return l.shedding.Load() < int64(limit)
}

// lingerOn answers the request on a connection, unless it was answered, and awaits its end
// in the background.
func (l *Listener) lingerOn(c refusedConn, answered bool) {
	l.shedding.Add(1)
	response := l.response()
	go func() {
		defer l.shedding.Add(-1)
		defer func() { _ = c.Close() }()
		refuseInBackground(c, response, answered)
	}()
}

// refusedConn is a connection whose request is refused.
type refusedConn interface {
	io.ReadWriteCloser
	SetDeadline(t time.Time) error
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
func refuseInBackground(n refusedConn, response []byte, answered bool) {
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
