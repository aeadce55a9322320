package wigeonladder

import (
	"context"
	"time"
)

// Platform reads and watches the documents that the platform publishes. It
// writes nothing.
type Platform interface {
	// Config returns the published configuration document once its revision
	// exceeds the parameter above. If that does not happen within the time wait,
	// it returns the unchanged document.
	Config(ctx context.Context, above uint64, wait time.Duration) ([]byte, error)
	// Live does the same for the list of VMs and its version.
	Live(ctx context.Context, above uint64, wait time.Duration) (LiveList, error)
}

// Sink receives the parts of an answer in order.
type Sink interface {
	// Start announces the status and the content type before the first part.
	Start(status int, contentType string) error
	// Write passes on one part: one complete server-sent event of a stream, or
	// the complete body. The argument tokens is the number of tokens that the
	// part completes.
	Write(part []byte, tokens int64) error
}

// Backend sends attempts to backend servers.
type Backend interface {
	// Do sends one attempt and passes its answer to the sink. It returns nil
	// only if the answer is complete and belongs to this attempt. The code of
	// an *Error tells whether the request ran.
	Do(ctx context.Context, a Attempt, s Sink) (Usage, error)
	// Load requests the load report of a server.
	Load(ctx context.Context, s Server) (Load, error)
}

// Placer decides when and on which server a request may run. Each scheduling
// policy implements it.
type Placer interface {
	// Place waits until the request may be sent and returns the contract for
	// it. It returns an *Error if the request is refused or the context ends;
	// the request did not run then.
	Place(ctx context.Context, r Request) (Contract, error)
	// Progress reports the cost that a running request has consumed so far.
	Progress(c Contract, cost int64)
	// Release returns the slot and replaces the estimated charge by the actual
	// cost.
	Release(c Contract, u Usage)
}

// Demand describes the requests of one workspace for one service that wait at
// one entry daemon. The head request is the one that is to run next.
type Demand struct {
	Service   string `json:"v"`
	Workspace string `json:"w"`
	// Waiting is the number of waiting requests; 0 withdraws the demand.
	Waiting int `json:"n"`
	// Urgency is the highest urgency among the waiting requests.
	Urgency Urgency `json:"u,omitempty"`
	// OldestWaitMs is the time in milliseconds for which the oldest request of
	// that urgency has waited.
	OldestWaitMs int64 `json:"o,omitempty"`
	// Estimate is the expected cost of the head request in cost units.
	Estimate int64 `json:"c,omitempty"`
	// Model is the model that the head request needs; empty for any.
	Model string `json:"m,omitempty"`
	// PrefixHash is the hash of the prompt prefix of the head request; 0 for
	// none.
	PrefixHash uint64 `json:"p,omitempty"`
	// Avoid names servers that the head request should get only if no other is
	// free.
	Avoid []string `json:"a,omitempty"`
}

// SlotRequest asks a home for one slot at once, for a request that need not
// queue behind others at its entry daemon.
type SlotRequest struct {
	Entry  string `json:"e"`
	Demand Demand `json:"d"`
	// Server is the preferred server; empty for any.
	Server string `json:"s,omitempty"`
}

// SlotOffer answers a SlotRequest.
type SlotOffer struct {
	// Contract is the granted contract; it is set only if OK is true.
	Contract Contract `json:"k,omitzero"`
	OK       bool     `json:"ok,omitempty"`
	// Free is the number of slots for the service that remain free at the home.
	Free int `json:"f,omitempty"`
}

// DemandReport updates the demands of one entry daemon at a home. It replaces
// the demands for the workspaces and services that it names.
type DemandReport struct {
	Entry string `json:"e"`
	// Full is true if the report names all demands of the entry; the home then
	// drops the demands that are not named.
	Full    bool     `json:"f,omitempty"`
	Demands []Demand `json:"d,omitempty"`
}

// HeldContract is a contract in use, with the cost consumed under it so far.
type HeldContract struct {
	Contract Contract `json:"k"`
	Cost     int64    `json:"c"`
}

// Renewal lists the contracts of one home that one entry daemon uses; the
// home extends them.
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

// Home is the role of the daemon that counts the slots of a set of backend
// servers and grants contracts for them. A backend server has one home at a time.
// Entry daemons call it in the same process or through a link.
type Home interface {
	// RequestSlot grants a slot at once if one is free for the demand.
	RequestSlot(ctx context.Context, a SlotRequest) (SlotOffer, error)
	// ReportDemand updates the demands for which the home grants contracts
	// later through Entry.Grant.
	ReportDemand(ctx context.Context, r DemandReport) error
	// Renew keeps contracts in use from expiring.
	Renew(ctx context.Context, r Renewal) error
	// Release ends contracts.
	Release(ctx context.Context, r []Release) error
}

// Entry is the role of the daemon that accepts requests and runs them under
// contracts. Homes call it.
type Entry interface {
	// Grant delivers contracts for reported demand. The entry returns unused
	// contracts through Home.Release.
	Grant(ctx context.Context, cs []Contract) error
	// Recall withdraws contracts that the entry has not used yet.
	Recall(ctx context.Context, ids []ContractID) error
}

// Fleet tells a daemon which daemons are members of the fleet and gives access
// to their roles.
type Fleet interface {
	// Self returns the VM name of this daemon.
	Self() string
	// HomeOf returns the VM name of the home of a backend server; ok is false
	// if no daemon is known to be alive.
	HomeOf(server Server) (vm string, ok bool)
	// Home returns the home role of a daemon, which may be this one.
	Home(vm string) Home
	// Entry returns the entry role of a daemon, which may be this one.
	Entry(vm string) Entry
	// Members returns the VM names of the daemons believed alive, sorted.
	Members() []string
	// State returns the state of a backend server according to all information
	// that this daemon has.
	State(server string) VMState
}

// FairShares is the fair-share state: it counts the service, in cost units,
// that each workspace received in the whole fleet, as far as this daemon knows,
// and decides which workspace is next. A call takes at most logarithmic time in the number of
// workspaces.
type FairShares interface {
	// EstimateCost returns the cost to charge when a request gets a contract.
	// The estimate is learned from earlier requests; if there are none, it is
	// the hint.
	EstimateCost(service, workspace string, hint int64) int64
	// RecordCost records the actual cost of a completed request for later
	// estimates.
	RecordCost(service, workspace string, cost int64)
	// Charge adds a cost, in cost units, that this home granted to a workspace.
	// A negative cost corrects an estimate that was too high.
	Charge(service, workspace string, cost int64)
	// SetBacklogged records whether a workspace has waiting requests.
	SetBacklogged(service, workspace string, backlogged bool)
	// Next returns the workspace with the lowest counter among the backlogged
	// workspaces for which accept returns true; ok is false if there is none.
	Next(service string, accept func(workspace string) bool) (workspace string, ok bool)
}

// Charge is the cost that one home charged to one workspace for one service.
type Charge struct {
	Service   string `json:"v"`
	Workspace string `json:"w"`
	// Total is the cost charged since the start of the home, in cost units.
	Total int64 `json:"t"`
	// Counter is the home's counter of the workspace: the service received, in
	// cost units, divided by the weight.
	Counter float64 `json:"l,omitempty"`
}

// ChargeReport is a report of the charges of one home to the other homes.
type ChargeReport struct {
	// HomeIncarnation is the incarnation of the home.
	HomeIncarnation string `json:"h"`
	// Slots is the number of slots that the home grants. Other homes use it to
	// extrapolate the charges of this home until its next report.
	Slots int      `json:"s,omitempty"`
	Rows  []Charge `json:"r,omitempty"`
}

// ChargeExchange exchanges charges between homes, so that the fair-share
// state of each home covers the whole fleet.
type ChargeExchange interface {
	// Export returns the rows that changed since the last export. At intervals
	// it returns all rows.
	Export() ChargeReport
	// Import applies the charges of another home.
	Import(c ChargeReport)
}

// Runner runs a request to its end: it waits for a contract, sends attempts
// within the retry budget and passes the answer to the sink.
type Runner interface {
	Run(ctx context.Context, r Request, s Sink) (Usage, error)
}

// Tickets ensures that a request that may not be repeated runs at most once.
type Tickets interface {
	// Issue returns a new ticket for one call of a workspace.
	Issue(workspace, service, method, path string) (string, error)
	// Run runs the request of a ticket at most once, at the daemon that issued
	// the ticket. A caller may send the request again with the same ticket; each
	// of these calls of Run passes the one outcome to its own sink.
	Run(ctx context.Context, r Request, s Sink) error
}

// StreamOrigin is the service, and the version of its software, at which a stream began.
type StreamOrigin struct {
	Service string `json:"s"`
	Version string `json:"v"`
}

// StreamOrigins tells at which version each stream began. It must be safe for concurrent
// use.
type StreamOrigins interface {
	// Begin records that the call with an id began a stream at a backend server. It is
	// called before the first event is sent to the caller.
	Begin(workspace, callID string, o StreamOrigin, server string)
	// Find returns the origin of the stream that the call with an id began, at any
	// daemon. It may ask other daemons. The origin is known but has no version if the
	// stream may have begun at one of several.
	Find(ctx context.Context, workspace, callID string) (o StreamOrigin, known bool)
	// SingleVersion returns the version of a service if it is certain that its servers
	// have had no other one for the given time.
	SingleVersion(service string, during time.Duration) (version string, ok bool)
}

// Journal records decisions, for the log and for operators who ask why.
type Journal interface {
	// Note records an event of a request; request is its ID, or empty for an
	// event of the daemon itself. The fields are alternating keys and values.
	Note(request, event string, fields ...any)
}

// Limiter adapts the concurrency limit of one backend server.
type Limiter interface {
	// Slots returns the current limit, at least 1.
	Slots() int
	// Observe adapts the limit to the usage of an ended attempt and the number
	// of slots that were in use when it ended.
	Observe(u Usage, inUse int)
}

// Suspicion records the backend servers that crashed, or broke off the answer,
// while they ran a request or requests with one prompt part. The request or the part is
// suspected to be the cause.
type Suspicion struct {
	// Fingerprint is the fingerprint of workspace, service, path and body, or of a
	// prompt part.
	Fingerprint uint64 `json:"p"`
	// Servers are the names of these backend servers; empty if the suspicion was
	// cleared.
	Servers []string `json:"s"`
	// AgeMs is the time since the last failure, or since the suspicion was
	// cleared, in milliseconds.
	AgeMs int64 `json:"a"`
	// Part is true for a prompt part. The fields below are only set for one.
	Part bool `json:"t,omitempty"`
	// CrashAgesMs are the times since the crashes of Servers in milliseconds, LeadsMs
	// the times in milliseconds between the sending of the last unanswered request
	// and each crash.
	CrashAgesMs []int64 `json:"g,omitempty"`
	LeadsMs     []int64 `json:"l,omitempty"`
	// Workspaces are the first workspaces whose requests were unanswered at a crash.
	Workspaces []string `json:"w,omitempty"`
	// ClearedAgeMs is the time since an answer last cleared the part in milliseconds;
	// 0 if none has.
	ClearedAgeMs int64 `json:"c,omitempty"`
	// Independent is the number of crashes that the sender found to be independent of
	// each other.
	Independent int `json:"i,omitempty"`
	// Trials is the number of trials after a quarantine that crashed a server.
	Trials int `json:"n,omitempty"`
}

// SuspicionExchange exchanges suspicions between daemons, so that all of them
// quarantine a request that makes backend servers fail.
type SuspicionExchange interface {
	// Export returns the suspicions that changed last.
	Export() []Suspicion
	// Import applies the suspicions of another daemon.
	Import(l []Suspicion)
}
