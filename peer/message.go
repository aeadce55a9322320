package peer

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/member"
)

// The JSON-RPC methods. Their names are short because every message repeats one.
const (
	methodHello         = "hi"
	methodPing          = "p"
	methodHeartbeat     = "b"
	methodFetchConfig   = "c"
	methodRequestSlot   = "a"
	methodReportDemand  = "d"
	methodRenew         = "n"
	methodRelease       = "r"
	methodGrant         = "g"
	methodRecall        = "x"
	methodForward       = "t"
	methodHoldsContract = "h"
)

// callTimeouts holds the timeout of a call by method.
var callTimeouts = map[string]time.Duration{
	methodHello:        time.Second,
	methodPing:         2 * time.Second,
	methodHeartbeat:    2 * time.Second,
	methodFetchConfig:  3 * time.Second,
	methodRequestSlot:  time.Second,
	methodReportDemand: time.Second,
	methodRenew:        time.Second,
	methodRelease:      2 * time.Second,
	methodGrant:        time.Second,
	methodRecall:       time.Second,
	// A forwarded request waits for a slot and then runs. After this time the
	// sender may forward it again.
	methodForward:       10 * time.Minute,
	methodHoldsContract: time.Second,
}

// methodQueues names the queue of each method whose requests are handled in
// order of arrival. Requests in the same queue wait for each other.
var methodQueues = map[string]string{
	methodHeartbeat:    "beat",
	methodReportDemand: "demand",
	methodRenew:        "renew",
	methodGrant:        "grant",
	methodRecall:       "grant",
}

// heartbeat is a heartbeat or the answer to one. Its record shows that the
// sender is alive.
type heartbeat struct {
	Record member.Record `json:"r"`
	// Revision is the revision of the configuration in force at the sender.
	Revision uint64 `json:"c,omitempty"`
	// Digest is the digest of the sender's membership. NeedsAllRecords asks the
	// receiver for all its records.
	Digest          uint32 `json:"d,omitempty"`
	NeedsAllRecords bool   `json:"f,omitempty"`
	// LeavingVersion is the version of the sender's list of leaving servers.
	// The list itself is included only if the receiver has an older one.
	LeavingVersion uint64              `json:"l,omitempty"`
	Leaving        *member.LeavingList `json:"s,omitempty"`

	Charges        *wigeonladder.ChargeReport `json:"e,omitempty"`
	Suspicions     []wigeonladder.Suspicion   `json:"x,omitempty"`
	RelayedRecords []member.Record            `json:"m,omitempty"`
}

// numberedDemandReport is a demand report with its sequence number. Sequence
// increases with each report that the incarnation sends.
type numberedDemandReport struct {
	Sequence    uint64                    `json:"n"`
	Incarnation string                    `json:"i"`
	Report      wigeonladder.DemandReport `json:"r"`
}

// grantParams are the parameters of Entry.Grant.
type grantParams struct {
	Contracts []wigeonladder.Contract `json:"k"`
}

// recallParams are the parameters of Entry.Recall.
type recallParams struct {
	IDs []wigeonladder.ContractID `json:"i"`
}

// releaseParams are the parameters of Home.Release.
type releaseParams struct {
	Releases []wigeonladder.Release `json:"r"`
}

// configDocument is a configuration document as it was published, with its
// revision.
type configDocument struct {
	Revision uint64 `json:"c"`
	Document []byte `json:"d"`
}

// holdsContractParams asks an entry whether it holds a contract on a server.
type holdsContractParams struct {
	Server string `json:"s"`
}

// forwardedRequest is a request that is sent to the incarnation that issued its
// ticket.
type forwardedRequest struct {
	Incarnation string               `json:"i"`
	ID          string               `json:"id"`
	Workspace   string               `json:"w"`
	Service     string               `json:"v"`
	Urgency     wigeonladder.Urgency `json:"u,omitempty"`
	Estimate    int64                `json:"c,omitempty"`
	Ticket      string               `json:"t"`
	Method      string               `json:"m"`
	Path        string               `json:"p"`
	ContentType string               `json:"ct,omitempty"`
	Body        []byte               `json:"b,omitempty"`
}

// newForwardedRequest returns the message for a request.
func newForwardedRequest(incarnation string, r wigeonladder.Request) forwardedRequest {
	return forwardedRequest{
		Incarnation: incarnation, ID: r.ID, Workspace: r.Workspace, Service: r.Service,
		Urgency: r.Urgency, Estimate: r.Estimate, Ticket: r.Ticket,
		Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body,
	}
}

// request returns the request of the message. Its time of arrival is the time
// at which this daemon received it, by the clock of this daemon.
func (f forwardedRequest) request() wigeonladder.Request {
	return wigeonladder.Request{
		ID: f.ID, Workspace: f.Workspace, Service: f.Service,
		Urgency: f.Urgency, Estimate: f.Estimate, AtMostOnce: true, Ticket: f.Ticket,
		Arrived: time.Now(),
		Method:  f.Method, Path: f.Path, ContentType: f.ContentType, Body: f.Body,
	}
}
