package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// startServer serves the operator interface on loopback with the key "secret".
// drained is set when a client starts the shutdown.
func startServer(t *testing.T, j *Journal) (address string, drained *bool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	drained = new(bool)
	sum := sha256.Sum256([]byte("secret"))
	s := NewServer(ctx, Options{
		Listener:    ln,
		KeyHashes:   []string{hex.EncodeToString(sum[:])},
		Journal:     j,
		Dump:        func() any { return map[string]int{"revision": 7} },
		Metrics:     func() string { return "{}" },
		Drain:       func() { *drained = true },
		DrainStatus: func() DrainStatus { return DrainStatus{Draining: *drained, Done: *drained} },
	})
	t.Cleanup(func() {
		cancel()
		<-s.Done()
	})
	return ln.Addr().String(), drained
}

// wantCode fails the test unless the error carries the code.
func wantCode(t *testing.T, err error, c wigeonladder.Code) {
	t.Helper()
	var e *wigeonladder.Error
	if !errors.As(err, &e) || e.Code != c {
		t.Fatalf("got error %v, want code %v", err, c)
	}
}

// Guards against clients without an operator key that drain a daemon or read
// its state.
func TestOnlyOperatorsMayCall(t *testing.T) {
	is := is.New(t)
	address, drained := startServer(t, NewJournal(nil))
	for _, key := range []string{"", "wrong"} {
		c := NewClient(address, key)
		_, err := c.Drain()
		wantCode(t, err, wigeonladder.CodeNotOperator)
		_, err = c.Dump()
		wantCode(t, err, wigeonladder.CodeNotOperator)
		_, err = c.Explain("r1")
		wantCode(t, err, wigeonladder.CodeNotOperator)
	}
	is.Equal(*drained, false)
	s, err := NewClient(address, "secret").Drain()
	is.NoErr(err)
	is.Equal(s.Done, true)
}

// Guards against events of another request in an explanation, and against wrong
// event counts.
func TestExplain(t *testing.T) {
	is := is.New(t)
	j := NewJournal(nil)
	j.Note("r1", "queued", "reason", "no free slot")
	j.Note("r2", "queued")
	j.Note("r1", "granted", "server")
	c := NewClient(func() string { a, _ := startServer(t, j); return a }(), "secret")
	l, err := c.Explain("r1")
	is.NoErr(err)
	is.Equal(len(l), 2)
	is.Equal(l[0].Fields[0], Field{Key: "reason", Value: "no free slot"})
	is.Equal(l[1].Name, "granted")
	_, err = c.Explain("r3")
	wantCode(t, err, wigeonladder.CodeNotFound)
	is.Equal(j.EventCounts().Get("queued").String(), "2")
}

// Guards against a journal whose memory grows with the number of events.
func TestJournalIsBounded(t *testing.T) {
	is := is.New(t)
	j := NewJournal(nil)
	for range journalEvents + 10 {
		j.Note("", "tick")
	}
	is.Equal(len(j.LastEvents(2*journalEvents)), journalEvents)
}
