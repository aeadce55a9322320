package peer

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/member"
)

// The methods. The names are short because they are repeated in every message.
const (
	methodHello   = "hi"
	methodPing    = "p"
	methodBeat    = "b"
	methodConfig  = "c"
	methodAsk     = "a"
	methodDemand  = "d"
	methodRenew   = "n"
	methodRelease = "r"
	methodGrant   = "g"
	methodRecall  = "x"
	methodTicket  = "t"
	methodHolds   = "h"
)

// deadlines bound each call by method.
var deadlines = map[string]time.Duration{
	methodHello:   time.Second,
	methodPing:    2 * time.Second,
	methodBeat:    2 * time.Second,
	methodConfig:  3 * time.Second,
	methodAsk:     time.Second,
	methodDemand:  time.Second,
	methodRenew:   time.Second,
	methodRelease: 2 * time.Second,
	methodGrant:   time.Second,
	methodRecall:  time.Second,
	// A ticket waits for a slot and runs; a resend asks again after that.
	methodTicket: 10 * time.Minute,
	methodHolds:  time.Second,
}

// queues name the methods whose requests are handled in order of arrival;
// requests in one queue wait for each other.
var queues = map[string]string{
	methodBeat:   "beat",
	methodDemand: "demand",
	methodRenew:  "renew",
	methodGrant:  "grant",
	methodRecall: "grant",
}

// beat is a heartbeat and also its answer.
type beat struct {
	Record   member.Record `json:"r"`
	Revision uint64        `json:"c,omitempty"`
	// Digest is the digest of the sender's members. Behind asks for all records.
	Digest uint32 `json:"d,omitempty"`
	Behind bool   `json:"f,omitempty"`
	// Version is the version of the sender's list of leaving servers. The list
	// itself comes along only for a peer that has an older one.
	Version uint64              `json:"l,omitempty"`
	Leaving *member.LeavingList `json:"s,omitempty"`

	Charges  *wigeonladder.ChargeReport `json:"e,omitempty"`
	Suspects []wigeonladder.Suspicion   `json:"x,omitempty"`
	Relay    []member.Record            `json:"m,omitempty"`
}

// demand is a numbered demand report. Numbers grow over the life of the
// sender's incarnation.
type demand struct {
	Number      uint64                    `json:"n"`
	Incarnation string                    `json:"i"`
	Report      wigeonladder.DemandReport `json:"r"`
}

// grant hands over contracts.
type grant struct {
	Contracts []wigeonladder.Contract `json:"k"`
}

// recall withdraws contracts.
type recall struct {
	IDs []wigeonladder.ContractID `json:"i"`
}

// releases ends contracts.
type releases struct {
	List []wigeonladder.Release `json:"r"`
}

// document is the configuration document as published.
type document struct {
	Revision uint64 `json:"c"`
	Document []byte `json:"d"`
}

// holds asks whether an entry holds a contract on a server.
type holds struct {
	Server string `json:"s"`
}

// ticketRun forwards a request to the incarnation that issued its ticket.
type ticketRun struct {
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

// newTicketRun returns the message for a request.
func newTicketRun(incarnation string, r wigeonladder.Request) ticketRun {
	return ticketRun{
		Incarnation: incarnation, ID: r.ID, Workspace: r.Workspace, Service: r.Service,
		Urgency: r.Urgency, Estimate: r.Estimate, Ticket: r.Ticket,
		Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body,
	}
}

// request returns the request of the message. Its arrival is counted anew, on
// this daemon's clock.
func (t ticketRun) request() wigeonladder.Request {
	return wigeonladder.Request{
		ID: t.ID, Workspace: t.Workspace, Service: t.Service,
		Urgency: t.Urgency, Estimate: t.Estimate, AtMostOnce: true, Ticket: t.Ticket,
		Arrived: time.Now(),
		Method:  t.Method, Path: t.Path, ContentType: t.ContentType, Body: t.Body,
	}
}
