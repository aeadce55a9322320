package wigeonladder

import (
	"context"
	"time"
)

// Platform reads and watches what the platform publishes. Nothing is written.
type Platform interface {
	// Config returns the published configuration document once its revision
	// is above the given one, or the unchanged document when the wait ends.
	Config(ctx context.Context, above uint64, wait time.Duration) ([]byte, error)
	// Live returns the list of VMs once its version is above the given one,
	// or the unchanged list when the wait ends.
	Live(ctx context.Context, above uint64, wait time.Duration) (LiveList, error)
}

// Sink takes the parts of an answer in order.
type Sink interface {
	// Start announces the status and the content type before the first part.
	Start(status int, contentType string) error
	// Write hands on one part: one whole server-sent event of a stream, or the
	// whole body. The tokens are the number that the part completes.
	Write(part []byte, tokens int64) error
}

// Backend sends attempts to backend servers.
type Backend interface {
	// Do sends one attempt and hands its answer to the sink. It returns nil
	// only for a complete answer of this attempt. An *Error tells by its code
	// whether the work ran.
	Do(ctx context.Context, a Attempt, s Sink) (Usage, error)
	// Load asks a server for its own load report.
	Load(ctx context.Context, s Server) (Load, error)
}

// Placer decides when and where a request may run. The policies implement it.
type Placer interface {
	// Place waits until the request may be sent and returns the contract for
	// it. It ends with an *Error when the request is refused or the context
	// ends; then the work did not run.
	Place(ctx context.Context, r Request) (Contract, error)
	// Progress reports the cost so far of a running request.
	Progress(c Contract, cost int64)
	// Release gives the slot back and settles the charge.
	Release(c Contract, u Usage)
}

// Demand is the waiting work of one workspace for one service at one entry
// daemon.
type Demand struct {
	Service   string `json:"v"`
	Workspace string `json:"w"`
	// Waiting is the number of waiting requests; 0 withdraws the demand.
	Waiting int `json:"n"`
	// Urgency is the highest urgency that waits.
	Urgency Urgency `json:"u,omitempty"`
	// OldestWaitMs is the longest wait in milliseconds at that urgency.
	OldestWaitMs int64 `json:"o,omitempty"`
	// Estimate is the expected cost of the head request.
	Estimate int64 `json:"c,omitempty"`
	// Model is the model that the head request needs; empty for any.
	Model string `json:"m,omitempty"`
	// PrefixHash is the prompt prefix of the head request; 0 for none.
	PrefixHash uint64 `json:"p,omitempty"`
	// Avoid names servers that the head request takes only if no other is free.
	Avoid []string `json:"a,omitempty"`
}

// SlotRequest requests one slot at once for a request that finds no queue.
type SlotRequest struct {
	Entry  string `json:"e"`
	Demand Demand `json:"d"`
	// Server is the preferred server; empty for any.
	Server string `json:"s,omitempty"`
}

// SlotOffer answers an Ask.
type SlotOffer struct {
	// Contract is set if OK is true.
	Contract Contract `json:"k,omitzero"`
	OK       bool     `json:"ok,omitempty"`
	// Free is the number of free slots that the home has left for the service.
	Free int `json:"f,omitempty"`
}

// DemandReport replaces the demands of one entry at a home for the workspaces
// and services that it names.
type DemandReport struct {
	Entry string `json:"e"`
	// Full is true if the report names all demands, so that others end.
	Full    bool     `json:"f,omitempty"`
	Demands []Demand `json:"d,omitempty"`
}

// HeldContract is one contract in use, with its cost so far.
type HeldContract struct {
	Contract Contract `json:"k"`
	Cost     int64    `json:"c"`
}

// Renewal lists the contracts of one entry that are in use at one home.
type Renewal struct {
	Entry string         `json:"e"`
	Held  []HeldContract `json:"h,omitempty"`
}

// Release ends a contract at its home.
type Release struct {
	ID    ContractID `json:"id"`
	Usage Usage      `json:"u"`
	// Unused is true if the contract was returned without being used.
	Unused bool `json:"x,omitempty"`
}

// Home counts the slots of backend servers and grants contracts. It is called
// by entry daemons, in the process or through a link.
type Home interface {
	RequestSlot(ctx context.Context, a SlotRequest) (SlotOffer, error)
	ReportDemand(ctx context.Context, r DemandReport) error
	Renew(ctx context.Context, r Renewal) error
	Release(ctx context.Context, r []Release) error
}

// Entry is what a home needs of an entry daemon.
type Entry interface {
	// Grant hands over contracts for reported demand. Contracts that are not
	// used come back by Release.
	Grant(ctx context.Context, cs []Contract) error
	// Recall withdraws contracts that were not used yet.
	Recall(ctx context.Context, ids []ContractID) error
}

// Fleet tells a daemon who is there and reaches the others.
type Fleet interface {
	// Self returns the VM name of this daemon.
	Self() string
	// HomeOf returns the VM name of the home of a backend server; ok is false
	// when no daemon is known to be alive.
	HomeOf(server Server) (vm string, ok bool)
	// Home returns the home role of a daemon, also of this one.
	Home(vm string) Home
	// Entry returns the entry role of a daemon, also of this one.
	Entry(vm string) Entry
	// Members returns the VM names of the daemons believed alive, sorted.
	Members() []string
	// State returns the state of a backend server by all that is known.
	State(server string) VMState
}

// FairShares keeps the received service of workspaces over the whole fleet, as far
// as this daemon knows it, and orders them. A call costs at most the logarithm
// of the number of workspaces.
type FairShares interface {
	// EstimateCost returns the cost to charge when a request is granted: what is
	// learned from earlier requests, else the hint.
	EstimateCost(service, workspace string, hint int64) int64
	// RecordCost takes over the true cost of a request that ran to its end.
	RecordCost(service, workspace string, cost int64)
	// Charge adds service in cost units that this home granted. A negative cost
	// corrects an earlier estimate.
	Charge(service, workspace string, cost int64)
	// SetBacklogged tells that a workspace has, or no longer has, waiting work.
	SetBacklogged(service, workspace string, backlogged bool)
	// Next returns the backlogged workspace with the lowest counter that accept
	// allows; ok is false if there is none.
	Next(service string, accept func(workspace string) bool) (workspace string, ok bool)
}

// Charge is the service that one home charged to one workspace.
type Charge struct {
	Service   string `json:"v"`
	Workspace string `json:"w"`
	// Total is the cost charged since the home's start, in cost units.
	Total int64 `json:"t"`
	// Counter is the home's counter of the workspace: service by weight.
	Counter float64 `json:"l,omitempty"`
}

// ChargeReport is what one home tells the others of its charges.
type ChargeReport struct {
	// HomeIncarnation is the incarnation of the home.
	HomeIncarnation string `json:"h"`
	// Slots is the number of slots that the home grants, for extrapolation.
	Slots int      `json:"s,omitempty"`
	Rows  []Charge `json:"r,omitempty"`
}

// ChargeExchange exchanges charges between homes.
type ChargeExchange interface {
	// Export returns the rows that changed since the last export, and all rows
	// from time to time.
	Export() ChargeReport
	// Import takes over the charges of another home.
	Import(c ChargeReport)
}

// Runner runs a request to its end: it waits for a contract, sends attempts
// within the retry budget and hands the answer to the sink.
type Runner interface {
	Run(ctx context.Context, r Request, s Sink) (Usage, error)
}

// Tickets guards requests that may not be repeated.
type Tickets interface {
	// Issue returns a new ticket for one call of a workspace.
	Issue(workspace, service, method, path string) (string, error)
	// Run runs the request of a ticket at most once, at the daemon that issued
	// the ticket, and hands the one outcome to the sink of every sending.
	Run(ctx context.Context, r Request, s Sink) error
}

// Journal records decisions, for the log and for operators who ask why.
type Journal interface {
	// Note records an event of a request; the request is empty for events of
	// the daemon itself. The fields are alternating keys and values.
	Note(request, event string, fields ...any)
}

// Limiter learns how many requests one backend server should run at once.
type Limiter interface {
	// Slots returns the current limit, at least 1.
	Slots() int
	// Observe takes the usage of an ended attempt and the number of slots that
	// were in use when it ended.
	Observe(u Usage, inUse int)
}

// Suspicion counts the backend servers that broke while they ran a request.
type Suspicion struct {
	// Fingerprint is the fingerprint of workspace, service, path and body.
	Fingerprint uint64 `json:"p"`
	// Servers are the names of the backend servers that broke.
	Servers []string `json:"s"`
	// AgeMs is the time since the last break in milliseconds.
	AgeMs int64 `json:"a"`
}

// SuspicionExchange exchanges suspicions between daemons.
type SuspicionExchange interface {
	Export() []Suspicion
	Import(l []Suspicion)
}
