package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// contactTimeout bounds the wait for the answers to methodContact.
const contactTimeout = 300 * time.Millisecond

// contactReply is the answer to methodContact.
type contactReply struct {
	// UnbrokenMs is inventory.Contact.Unbroken in milliseconds, rounded down.
	UnbrokenMs int64 `json:"u"`
}

// StoreContact asks the connected daemons for how long the store has answered them
// without a break, and returns the longest time; 0 if none answers within
// contactTimeout. Daemons of earlier versions do not know the question.
func (m *Mesh) StoreContact(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	var conns []*jsonrpc2.Conn
	m.mu.Lock()
	for _, p := range m.peers {
		if p.connected && p.conn != nil {
			conns = append(conns, p.conn)
		}
	}
	m.mu.Unlock()
	replies := make([]contactReply, len(conns))
	var calls sync.WaitGroup
	for i, c := range conns {
		calls.Go(func() {
			if err := c.Call(ctx, methodContact, struct{}{}, &replies[i]); err != nil {
				replies[i] = contactReply{}
			}
		})
	}
	calls.Wait()
	longest := int64(0)
	for _, r := range replies {
		longest = max(longest, r.UnbrokenMs)
	}
	return time.Duration(longest) * time.Millisecond
}

// handleContact answers methodContact.
func (m *Mesh) handleContact() (any, error) {
	if m.options.StoreContact == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: methodContact}
	}
	return contactReply{m.options.StoreContact().Milliseconds()}, nil
}
