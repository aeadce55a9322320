package wigeonladder

import "time"

// ContractID identifies a contract. HomeIncarnation is the incarnation of the
// daemon that granted it; without it a restarted home could reuse the ID of an
// earlier contract.
type ContractID struct {
	HomeIncarnation string `json:"h"`
	Number          uint64 `json:"n"`
}

// Contract is a lease: the home of a backend server lends one slot of the server
// to one entry daemon for one request. The entry must use the contract soon
// after its arrival and renew it while the request runs.
type Contract struct {
	ID        ContractID `json:"id"`
	Server    string     `json:"s"`
	Service   string     `json:"v"`
	Workspace string     `json:"w"`
	// Entry is the VM of the daemon that may use the slot.
	Entry string `json:"e"`
	// Estimate is the cost in cost units that the home charged at the grant.
	Estimate int64 `json:"c"`
	// Received is the time at which the entry received the contract, by the
	// entry's monotonic clock. ContractUseTimeout counts from it.
	Received time.Time `json:"-"`
}

// WithReceived returns a copy of the contract with the time of its arrival.
func (c Contract) WithReceived(t time.Time) Contract {
	c.Received = t
	return c
}

// Timeouts and intervals of contracts.
const (
	// ContractUseTimeout is the time after its arrival within which a contract
	// must be put to use.
	ContractUseTimeout = 500 * time.Millisecond
	// ContractRenewInterval is the interval at which an entry renews the
	// contracts that it uses.
	ContractRenewInterval = time.Second
	// ContractExpiry is the time without a renewal after which a contract
	// expires and its home takes the slot back.
	ContractExpiry = 5 * time.Second
	// ContractTakeoverDelay is how long a new home waits for renewals before it
	// grants slots of a server that it took over. The renewals tell it which
	// slots are in use.
	ContractTakeoverDelay = 1500 * time.Millisecond
)
