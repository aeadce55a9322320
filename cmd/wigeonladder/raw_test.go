package main

import (
	"bytes"
	"io"
	"net"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// longHeaderValue replaces $LONG in the files of the command raw; it exceeds the
// daemon's limit for headers.
var longHeaderValue = strings.Repeat("x", 8<<10)

// sendRaw implements raw ADDRESS FILE. It sends the bytes of a file with the line
// ends of HTTP, closes the sending side of the connection and prints the answer.
func sendRaw(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: raw ADDRESS FILE")
	}
	text := strings.ReplaceAll(ts.ReadFile(args[1]), "$LONG", longHeaderValue)
	c, err := net.DialTimeout("tcp", args[0], eventTimeout)
	ts.Check(err)
	defer func() { _ = c.Close() }()
	ts.Check(c.SetDeadline(time.Now().Add(eventTimeout)))
	_, err = c.Write([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
	ts.Check(err)
	ts.Check(c.(*net.TCPConn).CloseWrite())
	var answer bytes.Buffer
	_, err = io.Copy(&answer, c)
	ts.Check(err)
	_, _ = ts.Stdout().Write(answer.Bytes())
}
