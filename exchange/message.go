package exchange

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/place"
)

// Methods of the protocol between daemons.
const (
	// methodHello carries the Member that calls and is answered with a Welcome.
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

// Welcome answers a hello.
type Welcome struct {
	// Self is the daemon that answers.
	Self Member `json:"s"`
	// Known are the addresses of the daemons that it knows.
	Known []string `json:"k"`
}

// Life returns how long a report counts: until three of the next ones are missing.
func (r Report) Life() time.Duration {
	return min(max(3*time.Duration(r.Every)*time.Millisecond, lifeMin), lifeMax)
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
	// Number counts the reports of the incarnation.
	Number int64 `json:"k"`
	// Every is the longest time between two reports in milliseconds.
	Every   int64                      `json:"e"`
	Place   place.Report               `json:"p"`
	Charges *wigeonladder.ChargeReport `json:"c,omitempty"`
	// Totals are the totals of workspaces that changed.
	Totals   []fair.WorkspaceTotals   `json:"t,omitempty"`
	Suspects []wigeonladder.Suspicion `json:"s,omitempty"`
}
