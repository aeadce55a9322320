package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// ScriptedServer is a backend server that answers with given bytes and records the
// requests. The bytes may be malformed HTTP that no HTTP library would send.
type ScriptedServer struct {
	listener   net.Listener
	answer     func(n int) (answer string, closeAfter bool)
	goroutines sync.WaitGroup

	mu       sync.Mutex
	requests []RecordedRequest
	conns    []net.Conn
}

// RecordedRequest is one request that a ScriptedServer received. Content is its
// body.
type RecordedRequest struct {
	*http.Request
	Content string
}

// NewScriptedServer serves on the listener until Close is called. For request number
// n, counted from 1, it calls answer, sends the bytes and then closes the connection
// if closeAfter is true.
func NewScriptedServer(l net.Listener, answer func(n int) (bytes string, closeAfter bool)) *ScriptedServer {
	s := &ScriptedServer{listener: l, answer: answer}
	s.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.goroutines.Go(func() { s.serve(c) })
		}
	})
	return s
}

// serve records and answers the requests of a connection.
func (s *ScriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, RecordedRequest{Request: r, Content: string(content)})
		n := len(s.requests)
		s.mu.Unlock()
		answer, closeAfter := s.answer(n)
		if _, err := io.WriteString(c, answer); err != nil || closeAfter {
			return
		}
	}
}

// Address returns the IP address and port of the server.
func (s *ScriptedServer) Address() string { return s.listener.Addr().String() }

// Received returns the requests and the number of connections so far.
func (s *ScriptedServer) Received() (requests []RecordedRequest, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RecordedRequest(nil), s.requests...), len(s.conns)
}

// Close closes the listener and all connections, and waits until their goroutines
// have ended.
func (s *ScriptedServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	conns := s.conns
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	s.goroutines.Wait()
}
