package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonladder/wigeonladder/member"
)

// Times of dialling.
const (
	dialTimeout    = time.Second
	redialDelayMin = 100 * time.Millisecond
	// redialDelayMax is shorter than the time after which a silent member
	// becomes suspect, so that the end of a partition is noticed within that
	// time.
	redialDelayMax = 2 * time.Second
)

// Errors of dialling. They mean that no request was sent.
var (
	errNoAddress   = errors.New("no address is known")
	errDialBackoff = errors.New("the last dial failed; waiting to dial again")
)

// dialState is the state of dialling one address.
type dialState struct {
	// done is closed when the dial in flight ends; nil if there is none.
	done    chan struct{}
	retryAt time.Time
	backoff *backoff.ExponentialBackOff
}

// link returns the link to a daemon and dials one if there is none. Concurrent
// calls for one address share a dial. vm is empty for a seed, whose VM name is
// not known yet.
func (m *Mesh) link(ctx context.Context, vm, address string) (*link, error) {
	for {
		l, d, mustDial, err := m.linkOrDial(vm, address)
		if l != nil || err != nil {
			return l, err
		}
		if mustDial {
			return m.dialLink(vm, address, d)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-d.done:
		}
	}
}

// linkOrDial returns the link to a daemon if there is one. Otherwise it returns
// a dial: if mustDial is true, the caller must make it; otherwise another caller
// is making it, and d.done is closed when it ends.
func (m *Mesh) linkOrDial(vm, address string) (l *link, d *dialState, mustDial bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[vm]; l != nil && vm != "" && l.isOpen() {
		return l, nil, false, nil
	}
	if address == "" {
		return nil, nil, false, errNoAddress
	}
	d = m.dials[address]
	if d == nil {
		d = &dialState{backoff: backoff.NewExponentialBackOff()}
		d.backoff.InitialInterval, d.backoff.MaxInterval = redialDelayMin, redialDelayMax
		d.backoff.RandomizationFactor = 0
		m.dials[address] = d
	}
	if d.done != nil {
		return nil, &dialState{done: d.done}, false, nil
	}
	if time.Now().Before(d.retryAt) {
		return nil, nil, false, errDialBackoff
	}
	d.done = make(chan struct{})
	return nil, d, true, nil
}

// dialLink dials an address and exchanges hellos. It does not depend on the
// context of the caller, because others may wait for the same link.
func (m *Mesh) dialLink(vm, address string, d *dialState) (*link, error) {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	l, err := m.connect(ctx, vm, address)
	jitter := m.jitter(time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	close(d.done)
	d.done = nil
	if err != nil {
		// Half of the delay is random, so that daemons do not dial at the same
		// time. jitter.Seconds() is a random number of at least 0 and below 1.
		next := d.backoff.NextBackOff()
		d.retryAt = time.Now().Add(next/2 + time.Duration(float64(next/2)*jitter.Seconds()))
		return nil, err
	}
	delete(m.dials, address)
	return l, nil
}

// connect dials an address, exchanges hellos and adds the link. It fails if
// another VM than the expected one answers, or this daemon itself.
func (m *Mesh) connect(ctx context.Context, vm, address string) (*link, error) {
	c, err := m.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l := m.newLink(c, true)
	var answer member.Record
	if err := l.call(ctx, methodHello, m.table.Self(), &answer); err != nil {
		l.close()
		return nil, err
	}
	if answer.VM == m.options.Self.Name || vm != "" && answer.VM != vm {
		l.close()
		return nil, fmt.Errorf("%s is VM %s, not %q", address, answer.VM, vm)
	}
	m.addLink(l, answer.VM)
	return l, nil
}

// addLink makes a link the one that is used for calls to a VM. If two daemons
// dialled each other at the same time, both use the link that the daemon with
// the lower VM name dialled, and make no further calls over the other one.
func (m *Mesh) addLink(l *link, vm string) {
	l.setPeerName(vm)
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.links[vm]
	hasLowerName := m.options.Self.Name < vm
	if old == nil || !old.isOpen() || old.dialled == l.dialled || l.dialled == hasLowerName {
		m.links[vm] = l
	}
}

// closeIdle closes idle links that this daemon dialled, and removes links that
// have ended.
func (m *Mesh) closeIdle() {
	m.mu.Lock()
	var idle []*link
	for vm, l := range m.links {
		switch {
		case !l.isOpen():
			delete(m.links, vm)
		case l.isIdle():
			delete(m.links, vm)
			idle = append(idle, l)
		}
	}
	m.mu.Unlock()
	for _, l := range idle {
		l.close()
	}
}

// close closes the listener. The links end with the context.
func (m *Mesh) close() {
	_ = m.options.Listener.Close()
}

// acceptConnections accepts the links of peers until the context ends.
func (m *Mesh) acceptConnections() {
	for {
		c, err := m.options.Listener.Accept()
		if m.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.note("accept_failed", "error", err)
			m.sleep(redialDelayMin)
			continue
		}
		if !m.trusts(c.RemoteAddr()) {
			m.note("link_refused", "from", c.RemoteAddr())
			_ = c.Close()
			continue
		}
		m.newLink(c, false)
	}
}

// trusts reports whether links from an address are accepted. Before a register
// is known, links from all addresses are accepted, so that a new fleet can
// start; afterwards only those from the IP addresses of the VMs in the register
// and of the seeds. In-memory pipes have no IP address and are always accepted.
func (m *Mesh) trusts(a net.Addr) bool {
	c := m.options.Config()
	if c.Revision == 0 || a.Network() == "pipe" {
		return true
	}
	addresses := slices.Clone(m.options.Seeds)
	for _, v := range c.Register.VMs {
		addresses = append(addresses, v.PeerAddress)
	}
	ip := hostIP(a.String())
	return ip != nil && slices.ContainsFunc(addresses, func(s string) bool { return ip.Equal(hostIP(s)) })
}

// hostIP returns the IP address in an address with a port, or nil if there is
// none.
func hostIP(address string) net.IP {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}
