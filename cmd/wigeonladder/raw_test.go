package main

import (
	"bytes"
	"io"
	"net"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// longValue replaces $LONG in the files of raw; it is above the daemon's limit
// of a header.
var longValue = strings.Repeat("x", 8<<10)

// raw sends the bytes of a file with the line ends of HTTP, closes its sending
// side and prints what comes back: raw ADDRESS FILE.
func raw(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: raw ADDRESS FILE")
	}
	text := strings.ReplaceAll(ts.ReadFile(args[1]), "$LONG", longValue)
	c, err := net.DialTimeout("tcp", args[0], eventDeadline)
	ts.Check(err)
	defer func() { _ = c.Close() }()
	ts.Check(c.SetDeadline(time.Now().Add(eventDeadline)))
	_, err = c.Write([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
	ts.Check(err)
	ts.Check(c.(*net.TCPConn).CloseWrite())
	var answer bytes.Buffer
	_, err = io.Copy(&answer, c)
	ts.Check(err)
	_, _ = ts.Stdout().Write(answer.Bytes())
}
