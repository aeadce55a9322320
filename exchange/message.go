package exchange

import (
	"cmp"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/place"
	"github.com/wigeonladder/wigeonladder/stream"
)

// Methods of the protocol between daemons.
const (
	// methodHello carries the Member of the caller; the answer is a HelloReply.
	methodHello = "hello"
	// methodReport carries the Report of the sender to the daemons of its zone.
	methodReport = "report"
	// methodRelay carries the reports of a zone to a daemon of another zone,
	// which forwards them to the daemons of its zone with methodRelayed.
	methodRelay   = "relay"
	methodRelayed = "relayed"
	// methodPass carries reports to a daemon of the zone that passes them on.
	methodPass = "pass"
	// methodWatch asks the daemon that reads the store for the zone for changes.
	methodWatch = "watch"
	// methodContact asks a daemon for how long the store has answered it.
	methodContact = "contact"
	// methodOrigins carries the origins of streams to a daemon that keeps them,
	// methodFind asks it for one.
	methodOrigins = "origins"
	methodFind    = "find"
)

// Member identifies one daemon.
type Member struct {
	Name    string `json:"n"`
	Zone    string `json:"z"`
	Address string `json:"a"`
	// Incarnation is new at every start of the daemon.
	Incarnation string `json:"i"`
	// MemoryMB is the memory of the daemon's machine in units of 2^20 bytes; 0 if it is
	// not known, as of a daemon of an earlier version.
	MemoryMB int64 `json:"m,omitempty"`
}

// compareForHub orders daemons by how well they serve as the hub of a zone, the best
// first: large machines, whose processors are not busy with the messages of a zone, and
// among equal ones the first by name.
func compareForHub(a, b Member) int {
	return cmp.Or(cmp.Compare(b.MemoryMB, a.MemoryMB), cmp.Compare(a.Name, b.Name))
}

// compareForReader orders daemons by how well they read the store for a zone, the best
// first: large machines, which encode what they have read for each other daemon in time,
// and among equal ones the last by name.
func compareForReader(a, b Member) int {
	return cmp.Or(cmp.Compare(b.MemoryMB, a.MemoryMB), cmp.Compare(b.Name, a.Name))
}

// HelloReply is the answer to a hello.
type HelloReply struct {
	// Self is the daemon that answers.
	Self Member `json:"s"`
	// KnownAddresses are the addresses of the daemons that it connects to, and
	// its own.
	KnownAddresses []string `json:"k"`
	// Passes is true if the daemon passes the reports of others on.
	Passes bool `json:"p,omitempty"`
	// Columns is true if the daemon reads reports in columns of this version. Earlier
	// ones had the keys c and d.
	Columns bool `json:"e,omitempty"`
	// Feeds is true if the daemon offers to others what it reads from the store.
	Feeds bool `json:"f,omitempty"`
	// Known contains the suspicions and limits that a daemon needs before it takes
	// calls; nil from a daemon of an earlier version.
	Known *Report `json:"w,omitempty"`
}

// Lifetime returns how long a report is valid: until the next three reports
// have failed to arrive.
func (r Report) Lifetime() time.Duration {
	return min(max(3*time.Duration(r.MaxIntervalMs)*time.Millisecond, lifetimeMin), lifetimeMax)
}

// lifetimeMin and lifetimeMax bound the lifetime of a report.
const (
	lifetimeMin = 1500 * time.Millisecond
	lifetimeMax = 20 * time.Second
)

// Report is the message in which one daemon reports its state to the others.
type Report struct {
	From string `json:"f"`
	// Zone is the zone of the daemon.
	Zone string `json:"z,omitempty"`
	// Incarnation distinguishes reports from different starts of a daemon.
	Incarnation string `json:"i"`
	// Sequence numbers the reports of one incarnation in ascending order.
	Sequence int64 `json:"k"`
	// MaxIntervalMs is the longest time between two reports in milliseconds.
	MaxIntervalMs int64 `json:"e"`
	// Draining is true if the daemon is stopping and takes no calls soon.
	Draining bool                       `json:"d,omitempty"`
	Place    place.Report               `json:"p"`
	Charges  *wigeonladder.ChargeReport `json:"c,omitempty"`
	// Totals are the totals of the workspaces whose totals changed.
	Totals     []fair.WorkspaceTotals   `json:"t,omitempty"`
	Suspicions []wigeonladder.Suspicion `json:"s,omitempty"`
	// Versions tells which software versions servers have had; only in the answer to a
	// hello.
	Versions *stream.Report `json:"v,omitempty"`
}
