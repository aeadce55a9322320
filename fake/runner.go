package fake

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/wigeonladder/wigeonladder"
)

// KeyHash returns the hash of a bearer key as it stands in the register.
func KeyHash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// RunnerFunc is a function that implements wigeonladder.Runner.
type RunnerFunc func(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error)

// Run implements wigeonladder.Runner.
func (f RunnerFunc) Run(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) (wigeonladder.Usage, error) {
	return f(ctx, r, s)
}

// Tickets is a stand-in for tickets that keeps no record of calls. It runs every
// call whose ticket was issued for that call, as often as it is sent.
type Tickets struct {
	Runner wigeonladder.Runner
}

// Issue implements wigeonladder.Tickets. The ticket is the description of the call
// in plain text.
func (t Tickets) Issue(workspace, service, method, path string) (string, error) {
	return strings.Join([]string{workspace, service, method, path}, " "), nil
}

// Run implements wigeonladder.Tickets.
func (t Tickets) Run(ctx context.Context, r wigeonladder.Request, s wigeonladder.Sink) error {
	want, _ := t.Issue(r.Workspace, r.Service, r.Method, r.Path)
	if r.Ticket != want {
		return wigeonladder.Errorf(wigeonladder.CodeBadTicket, r.Ticket, "the ticket is for another call than %q", want)
	}
	_, err := t.Runner.Run(ctx, r, s)
	return err
}
