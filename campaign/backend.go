package campaign

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Limits of a client of backend servers, as in package backend.
const (
	connectLimit   = time.Second
	firstByteLimit = 30 * time.Second
	idleLimit      = 15 * time.Second
	loadLimit      = 2 * time.Second
)

// client sends attempts of one start of a daemon. It implements
// wigeonladder.Backend.
type client struct {
	fleet *fleet
	node  *node
	life  context.Context
}

// Do implements wigeonladder.Backend.
func (k *client) Do(ctx context.Context, a wigeonladder.Attempt, out wigeonladder.Sink) (wigeonladder.Usage, error) {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer context.AfterFunc(k.life, func() { cancel(errKilled) })()
	defer cancel(nil)
	s := k.fleet.servers[a.Server.Name]
	w := way(k.node.vm.PeerAddress, s.spec.Address)
	if err := k.connect(ctx, s, w); err != nil {
		return wigeonladder.Usage{}, err
	}
	if k.life.Err() != nil {
		return wigeonladder.Usage{}, errKilled
	}
	if err := a.BeforeSend(); err != nil {
		return wigeonladder.Usage{}, err
	}
	c := k.fleet.call(string(a.Request.Body))
	k.fleet.sent(k, s, c, a, start)
	replies := make(chan reply, c.tokens+2)
	gone, hangUp := context.WithCancel(k.fleet.ctx)
	defer hangUp()
	go func() {
		// What was written arrives even if the sender is gone by then.
		if k.fleet.net.pass(k.fleet.ctx, w) && sleep(k.fleet.ctx, k.fleet.net.delay(w)) {
			s.serve(gone, c, a, replies)
		}
	}()
	return k.read(ctx, w, a, s, replies, out)
}

// connect opens a connection; it stands still while the daemon is paused.
func (k *client) connect(ctx context.Context, s *server, w [2]string) error {
	if !k.node.awake(ctx) {
		return context.Cause(ctx)
	}
	limit, cancel := context.WithTimeout(ctx, connectLimit)
	defer cancel()
	if !k.fleet.net.pass(limit, w) || !sleep(limit, 2*k.fleet.net.delay(w)) {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, s.spec.Name, "no connection within %v", connectLimit)
	}
	if _, down, _ := s.state(); down {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, s.spec.Name, "connection refused")
	}
	if !k.node.awake(ctx) {
		return context.Cause(ctx)
	}
	return nil
}

// read hands the answer on until it ends.
func (k *client) read(ctx context.Context, w [2]string, a wigeonladder.Attempt, s *server, replies <-chan reply, out wigeonladder.Sink) (wigeonladder.Usage, error) {
	start, tokens := time.Now(), int64(0)
	usage := wigeonladder.Usage{Failed: true}
	limit := firstByteLimit
	for {
		r, err := k.next(ctx, w, s, replies, limit)
		switch {
		case err != nil:
			return usage, err
		case r.err != nil:
			return usage, r.err
		case r.part == "":
			usage.Failed = false
			return usage, nil
		}
		if tokens == 0 {
			usage.FirstToken = time.Since(start)
			if err := out.Start(200, "text/plain"); err != nil {
				return usage, err
			}
		}
		tokens++
		usage.Cost = tokens
		if tokens > 1 {
			usage.InterToken = (time.Since(start) - usage.FirstToken) / time.Duration(tokens-1)
		}
		if err := out.Write([]byte(r.part+"\n"), 1); err != nil {
			return usage, err
		}
		limit = idleLimit
	}
}

// next waits for the next part of an answer.
func (k *client) next(ctx context.Context, w [2]string, s *server, replies <-chan reply, limit time.Duration) (reply, error) {
	idle, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var r reply
	select {
	case r = <-replies:
		if k.fleet.net.pass(idle, w) && sleep(idle, k.fleet.net.delay(w)) && k.node.awake(ctx) {
			return r, nil
		}
	case <-idle.Done():
	}
	if ctx.Err() != nil {
		return r, context.Cause(ctx)
	}
	return r, wigeonladder.Errorf(wigeonladder.CodeTimeout, s.spec.Name, "nothing for %v", limit)
}

// Load implements wigeonladder.Backend.
func (k *client) Load(ctx context.Context, spec wigeonladder.Server) (wigeonladder.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	s := k.fleet.servers[spec.Name]
	running := s.load()
	w := way(k.node.vm.PeerAddress, s.spec.Address)
	if !k.node.awake(ctx) || !k.fleet.net.pass(ctx, w) || !sleep(ctx, 2*k.fleet.net.delay(w)) {
		return wigeonladder.Load{}, ctx.Err()
	}
	if _, down, _ := s.state(); down {
		return wigeonladder.Load{}, wigeonladder.Errorf(wigeonladder.CodeConnect, spec.Name, "connection refused")
	}
	return wigeonladder.Load{Running: running}, nil
}
