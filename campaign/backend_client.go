package campaign

import (
	"context"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// The timeouts of package backend.
const (
	connectTimeout   = time.Second
	firstByteTimeout = 30 * time.Second
	idleTimeout      = 15 * time.Second
	loadTimeout      = 2 * time.Second
)

// backendClient sends the attempts of one run of a daemon to backend servers.
// It implements wigeonladder.Backend.
type backendClient struct {
	fleet    *fleet
	node     *node
	lifetime context.Context
}

// Do implements wigeonladder.Backend.
func (k *backendClient) Do(ctx context.Context, a wigeonladder.Attempt, out wigeonladder.Sink) (wigeonladder.Usage, error) {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer context.AfterFunc(k.lifetime, func() { cancel(errKilled) })()
	defer cancel(nil)
	s := k.fleet.servers[a.Server.Name]
	pair := addressPair(k.node.vm.PeerAddress, s.spec.Address)
	if err := k.connect(ctx, s, pair); err != nil {
		return wigeonladder.Usage{}, err
	}
	if k.lifetime.Err() != nil {
		return wigeonladder.Usage{}, errKilled
	}
	if err := a.BeforeSend(); err != nil {
		return wigeonladder.Usage{}, err
	}
	c := k.fleet.call(string(a.Request.Body))
	k.fleet.checkAttempt(k, s, c, a, start)
	replies := make(chan reply, c.tokens+2)
	connClosed, closeConn := context.WithCancel(k.fleet.ctx)
	defer closeConn()
	go func() {
		// The request arrives even if its sender has ended by then.
		if k.fleet.network.waitOpen(k.fleet.ctx, pair) && sleep(k.fleet.ctx, k.fleet.network.messageDelay(pair)) {
			s.serve(connClosed, c, a, replies)
		}
	}()
	return k.readAnswer(ctx, pair, a, s, replies, out)
}

// connect opens a connection. It waits while the daemon is paused.
func (k *backendClient) connect(ctx context.Context, s *server, pair [2]string) error {
	if !k.node.waitResumed(ctx) {
		return context.Cause(ctx)
	}
	limit, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if !k.fleet.network.waitOpen(limit, pair) || !sleep(limit, 2*k.fleet.network.messageDelay(pair)) {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, s.spec.Name, "no connection within %v", connectTimeout)
	}
	if _, down, _ := s.state(); down {
		return wigeonladder.Errorf(wigeonladder.CodeConnect, s.spec.Name, "connection refused")
	}
	if !k.node.waitResumed(ctx) {
		return context.Cause(ctx)
	}
	return nil
}

// readAnswer passes the answer on to the sink until it ends.
func (k *backendClient) readAnswer(ctx context.Context, pair [2]string, a wigeonladder.Attempt, s *server, replies <-chan reply, out wigeonladder.Sink) (wigeonladder.Usage, error) {
	start, tokens := time.Now(), int64(0)
	usage := wigeonladder.Usage{Failed: true}
	limit := firstByteTimeout
	for {
		r, err := k.nextReply(ctx, pair, s, replies, limit)
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
		limit = idleTimeout
	}
}

// nextReply waits for the next part of the answer.
func (k *backendClient) nextReply(ctx context.Context, pair [2]string, s *server, replies <-chan reply, limit time.Duration) (reply, error) {
	idle, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var r reply
	select {
	case r = <-replies:
		if k.fleet.network.waitOpen(idle, pair) && sleep(idle, k.fleet.network.messageDelay(pair)) && k.node.waitResumed(ctx) {
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
func (k *backendClient) Load(ctx context.Context, spec wigeonladder.Server) (wigeonladder.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	s := k.fleet.servers[spec.Name]
	running := s.runningCount()
	pair := addressPair(k.node.vm.PeerAddress, s.spec.Address)
	if !k.node.waitResumed(ctx) || !k.fleet.network.waitOpen(ctx, pair) || !sleep(ctx, 2*k.fleet.network.messageDelay(pair)) {
		return wigeonladder.Load{}, ctx.Err()
	}
	if _, down, _ := s.state(); down {
		return wigeonladder.Load{}, wigeonladder.Errorf(wigeonladder.CodeConnect, spec.Name, "connection refused")
	}
	return wigeonladder.Load{Running: running}, nil
}
