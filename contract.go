package wigeonladder

import "time"

// ContractID names a contract. Home is the incarnation of the daemon that
// granted it, so that a restarted home cannot reuse a number.
type ContractID struct {
	HomeIncarnation string `json:"h"`
	Number          uint64 `json:"n"`
}

// Contract lends one slot of one backend server to one entry daemon for one
// request.
type Contract struct {
	ID        ContractID `json:"id"`
	Server    string     `json:"s"`
	Service   string     `json:"v"`
	Workspace string     `json:"w"`
	// Entry is the VM of the daemon that may use the slot.
	Entry string `json:"e"`
	// Estimate is the cost charged at the grant.
	Estimate int64 `json:"c"`
	// Received is when the entry got the contract, on its own monotonic
	// clock. The use-by time counts from it.
	Received time.Time `json:"-"`
}

// WithReceived returns a copy of the contract with the time of its arrival.
func (c Contract) WithReceived(t time.Time) Contract {
	c.Received = t
	return c
}

// Times of a contract's life.
const (
	// ContractUseTimeout is how long after its arrival a contract may be put to
	// use.
	ContractUseTimeout = 500 * time.Millisecond
	// ContractRenewInterval is the period of renewals.
	ContractRenewInterval = time.Second
	// ContractExpiry is the time without renewal after which the home takes
	// the slot back.
	ContractExpiry = 5 * time.Second
	// ContractTakeoverDelay is how long a new home waits for renewals before it
	// grants slots of a server that it took over.
	ContractTakeoverDelay = 1500 * time.Millisecond
)
