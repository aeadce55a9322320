package memory

import (
	"errors"
	"sync"
	"time"
)

// Kind is what bytes are held for.
type Kind int

// The kinds of held bytes.
const (
	// Head is the buffer from which a request is read.
	Head Kind = iota
	// Body is the body of a request, and what else it holds until its answer has been
	// written.
	Body
	// Answer is an answer, until it has been written.
	Answer
	kindCount
)

// String returns the name of a kind in metrics.
func (k Kind) String() string { return [kindCount]string{"head", "body", "answer"}[k] }

// Errors of Account.Grow.
var (
	// ErrShort means that there is no room, and that this connection gives way.
	ErrShort = errors.New("no memory for the request")
	// ErrEvicted means that the connection was chosen to give way to another.
	ErrEvicted = errors.New("evicted for want of memory")
)

const (
	// maxGroupFraction is the part of the limit that one address or workspace may
	// hold, so that it cannot fill the budget with requests that run and cannot be
	// evicted.
	maxGroupFraction = 0.75
	// evictionTimeout bounds the wait for an evicted connection to release its bytes.
	evictionTimeout = 2 * time.Second
)

// Budget bounds the bytes that all connections together hold. It is safe for
// concurrent use.
type Budget struct {
	limit int64

	mu sync.Mutex
	// total is the number of bytes held, evicting the part of it that evicted
	// connections have not released yet.
	total, evicting int64
	kinds           [kindCount]int64
	addresses       map[string]int64
	workspaces      map[string]int64
	// holders contains the accounts that hold bytes.
	holders map[*Account]struct{}
	// accounts and candidates are reused by each search for a victim, which may be
	// frequent when room is short.
	accounts   []*Account
	candidates []Holder
	// released is closed and replaced when bytes are released while others wait.
	released            chan struct{}
	waiting             int
	refusals, evictions int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{
		limit: limit, addresses: map[string]int64{}, workspaces: map[string]int64{},
		holders: map[*Account]struct{}{}, released: make(chan struct{}),
	}
}

// Stats is the state of a Budget.
type Stats struct {
	// Limit is the most bytes that may be held, Held those that are, by kind.
	Limit int64            `json:"limit"`
	Held  map[string]int64 `json:"held"`
	// Refused is the number of connections that found no room, Evicted that of
	// connections that gave way to another; both since the start.
	Refused int64 `json:"refused"`
	Evicted int64 `json:"evicted"`
}

// Stats returns the state of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Limit: b.limit, Held: map[string]int64{}, Refused: b.refusals, Evicted: b.evictions}
	for k, n := range b.kinds {
		s.Held[Kind(k).String()] = n
	}
	return s
}

// Account is what one connection holds. Its methods are safe for concurrent use.
type Account struct {
	budget    *Budget
	address   string
	interrupt func()

	// The fields below are guarded by the budget's lock.
	workspace  string
	bytes      [kindCount]int64
	sum        int64
	pinned     bool
	evicted    bool
	progressAt time.Time
}

// Open returns an account without bytes. To evict the connection the budget calls
// interrupt, which must not block and must make the connection's reads and writes
// fail.
func (b *Budget) Open(address string, interrupt func()) *Account {
	return &Account{budget: b, address: address, interrupt: interrupt, progressAt: time.Now()}
}

// Grow adds n bytes of a kind, and evicts other connections if there is no room for
// them otherwise. The error is ErrShort or ErrEvicted; nothing is added then.
func (a *Account) Grow(kind Kind, n int) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.progressAt = time.Now()
	for end := a.progressAt.Add(evictionTimeout); ; {
		if a.evicted {
			return ErrEvicted
		}
		full := b.groupIsFull(a, int64(n))
		if !full && b.total+int64(n) <= b.limit {
			b.add(a, kind, int64(n))
			return nil
		}
		isShort := full || b.total-b.evicting+int64(n) > b.limit
		if isShort && !b.evictFor(a, int64(n)) || !b.awaitRelease(time.Until(end)) {
			break
		}
	}
	b.refusals++
	return ErrShort
}

// groupIsFull reports whether the address or the workspace of an account would hold
// more than its part with n more bytes.
func (b *Budget) groupIsFull(a *Account, n int64) bool {
	limit := int64(maxGroupFraction * float64(b.limit))
	if b.total+n <= limit {
		return false
	}
	return b.addresses[a.address]+n > limit && len(b.addresses) > 1 || a.workspace != "" && b.workspaces[a.workspace]+n > limit && len(b.workspaces) > 1
}

// evictFor evicts the connection that gives way to n more bytes of an account. It
// reports false if that is the account itself.
func (b *Budget) evictFor(a *Account, n int64) bool {
	now := time.Now()
	b.accounts = append(b.accounts[:0], a)
	b.candidates = append(b.candidates[:0], Holder{Address: a.address, Workspace: a.workspace, Bytes: a.sum + n})
	for x := range b.holders {
		if x != a && !x.evicted {
			b.accounts = append(b.accounts, x)
			b.candidates = append(b.candidates, Holder{Address: x.address, Workspace: x.workspace, Bytes: x.sum, Idle: now.Sub(x.progressAt), Pinned: x.pinned})
		}
	}
	i := Victim(b.candidates, Dominant(b.workspaces, b.total), Dominant(b.addresses, b.total))
	if i <= 0 {
		return false
	}
	victim := b.accounts[i]
	victim.evicted = true
	b.evicting += victim.sum
	b.evictions++
	victim.interrupt()
	return true
}

// awaitRelease waits without the lock until bytes are released. It reports false if
// that takes longer than timeout.
func (b *Budget) awaitRelease(timeout time.Duration) bool {
	released := b.released
	b.waiting++
	b.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	ok := true
	select {
	case <-released:
	case <-t.C:
		ok = false
	}
	b.mu.Lock()
	b.waiting--
	return ok
}

// add adds n bytes, which may be negative, to an account.
func (b *Budget) add(a *Account, kind Kind, n int64) {
	a.bytes[kind] += n
	a.sum += n
	b.kinds[kind] += n
	b.total += n
	if a.evicted {
		b.evicting += n
	}
	addTo(b.addresses, a.address, n)
	if a.workspace != "" {
		addTo(b.workspaces, a.workspace, n)
	}
	if a.sum > 0 {
		b.holders[a] = struct{}{}
	} else {
		delete(b.holders, a)
	}
	if n < 0 && b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// addTo adds n to the entry of a group, and removes an entry that becomes 0.
func addTo(groups map[string]int64, name string, n int64) {
	if groups[name] += n; groups[name] == 0 {
		delete(groups, name)
	}
}

// Shrink removes n bytes of a kind.
func (a *Account) Shrink(kind Kind, n int) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.add(a, kind, -int64(n))
}

// Progress records that bytes have moved on the connection.
func (a *Account) Progress() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progressAt = time.Now()
}

// SetWorkspace assigns what the account holds to a workspace.
func (a *Account) SetWorkspace(name string) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.workspace != "" {
		addTo(a.budget.workspaces, a.workspace, -a.sum)
	}
	if a.workspace = name; name != "" && a.sum != 0 {
		addTo(a.budget.workspaces, name, a.sum)
	}
}

// Pin protects the connection from eviction while its request runs. It reports false
// if the connection has been evicted.
func (a *Account) Pin() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.pinned = !a.evicted
	return a.pinned
}

// Unpin ends the effect of Pin, when the answer is written.
func (a *Account) Unpin() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.pinned, a.progressAt = false, time.Now()
}

// Evicted reports whether the connection was chosen to give way.
func (a *Account) Evicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// EndRequest removes what is held for a body and an answer, and ends the effect of
// Pin, SetWorkspace and an eviction.
func (a *Account) EndRequest() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range []Kind{Body, Answer} {
		if n := a.bytes[k]; n != 0 {
			b.add(a, k, -n)
		}
	}
	if a.workspace != "" {
		addTo(b.workspaces, a.workspace, -a.sum)
	}
	if a.evicted {
		b.evicting -= a.sum
	}
	a.workspace, a.pinned, a.evicted = "", false, false
}
