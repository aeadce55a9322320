package exchange

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/place"
)

// Methods of the protocol between daemons.
const (
	// methodHello carries the Member that calls and is answered with a HelloReply.
	methodHello = "hello"
	// methodReport carries the Report of the sender to the daemons of its zone.
	methodReport = "report"
	// methodRelay carries the Reports of a zone to a daemon of another one, which
	// passes them on to its zone by methodRelayed.
	methodRelay   = "relay"
	methodRelayed = "relayed"
)

// Member is one daemon.
type Member struct {
	Name    string `json:"n"`
	Zone    string `json:"z"`
	Address string `json:"a"`
	// Incarnation is new at every start.
	Incarnation string `json:"i"`
}

// HelloReply answers a hello.
type HelloReply struct {
	// Self is the daemon that answers.
	Self Member `json:"s"`
	// KnownAddresses are the addresses of the daemons that it knows.
	KnownAddresses []string `json:"k"`
}

// Lifetime returns how long a report counts: until three of the next ones are missing.
func (r Report) Lifetime() time.Duration {
	return min(max(3*time.Duration(r.MaxIntervalMs)*time.Millisecond, lifeMin), lifeMax)
}

// lifeMin and lifeMax bound the time for which a report counts.
const (
	lifeMin = 1500 * time.Millisecond
	lifeMax = 20 * time.Second
)

// Report is what one daemon tells the others.
type Report struct {
	From string `json:"f"`
	// Incarnation tells reports of two starts of a daemon apart.
	Incarnation string `json:"i"`
	// Sequence counts the reports of the incarnation.
	Sequence int64 `json:"k"`
	// MaxIntervalMs is the longest time between two reports in milliseconds.
	MaxIntervalMs int64                      `json:"e"`
	Place         place.Report               `json:"p"`
	Charges       *wigeonladder.ChargeReport `json:"c,omitempty"`
	// Totals are the totals of workspaces that changed.
	Totals     []fair.WorkspaceTotals   `json:"t,omitempty"`
	Suspicions []wigeonladder.Suspicion `json:"s,omitempty"`
}
