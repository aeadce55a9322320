package setting

import "time"

// Edge holds the settings of an edge daemon, which routes callers to the services
// that a platform lists in its store.
type Edge struct {
	// Name is the name of the daemon's VM, Zone the VM's availability zone.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress, ReadinessAddress, PeerAddress and MetricsAddress are the IP
	// addresses and ports on which the daemon listens for callers, readiness
	// probes, other daemons and operators.
	CallerAddress    string `json:"front"`
	ReadinessAddress string `json:"ready"`
	PeerAddress      string `json:"peer"`
	MetricsAddress   string `json:"metrics,omitempty"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `json:"store"`
	// Seeds are peer addresses of other daemons, to which the daemon connects
	// first in order to join the fleet.
	Seeds []string `json:"seeds,omitempty"`
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes.
	MemoryMB Count `json:"memory"`
	// MaxOpenFiles is the number of file descriptors that the process may open.
	MaxOpenFiles Count `json:"files"`
	// LinkMbps is the rate of the machine's network link in megabits a second in each
	// direction; 0 if it is not known.
	LinkMbps Decimal `json:"bandwidth,omitempty"`
	// ShutdownGracePeriod is the time that the process has between the signal to
	// stop and its exit.
	ShutdownGracePeriod Duration `json:"grace"`
	// KeyTrustTime is the longest time for which an API key is still accepted after
	// it was revoked; 0 means no limit.
	KeyTrustTime Duration `json:"keyTrust"`
	// MaxApplyDelay is the longest time until a changed configuration is in force.
	// MaxLeaveDelay is the longest time until a leaving backend server gets no more
	// calls.
	MaxApplyDelay Duration `json:"apply"`
	MaxLeaveDelay Duration `json:"leave"`
	// MaxEvacuationDelay is the longest time until the backend servers of a zone that is
	// evacuated get no more calls; 0 means that no bound is promised.
	MaxEvacuationDelay Duration `json:"evacuate"`
	// Cold bounds the requests that a cold backend server gets from all daemons together.
	Cold ColdBound `json:"cold"`
	// RetryBudget bounds the retries of all daemons together.
	RetryBudget RetryBudget `json:"retry"`
}

// minApplyOrLeaveDelay is the smallest value of MaxApplyDelay and MaxLeaveDelay, and of
// MaxEvacuationDelay if it is a bound. The store is polled several times within these delays.
const minApplyOrLeaveDelay = 500 * time.Millisecond

// minMemoryMB and minOpenFiles are the smallest values of MemoryMB and
// MaxOpenFiles with which a daemon can serve.
const (
	minMemoryMB  = 32
	minOpenFiles = 256
)

// ColdBound bounds the requests that a cold backend server gets in any second: Overage
// times the rate that the configuration names, plus Slack.
type ColdBound struct {
	Overage Decimal `json:"overage"`
	Slack   Decimal `json:"slack"`
}

// RetryBudget bounds the retries that all daemons together may make of calls to
// one service: in each Period, Ratio times the number of calls plus Slack.
type RetryBudget struct {
	Ratio  Decimal  `json:"ratio"`
	Slack  Decimal  `json:"slack"`
	Period Duration `json:"period"`
}

// DefaultEdge returns the default settings of an edge daemon. Keys that have no
// default are empty. The retry budget is a tenth of the calls plus ten in ten
// seconds.
func DefaultEdge() Edge {
	return Edge{
		MemoryMB:            256,
		MaxOpenFiles:        4096,
		ShutdownGracePeriod: Duration(8 * time.Second),
		MaxApplyDelay:       Duration(2 * time.Second),
		MaxLeaveDelay:       Duration(2 * time.Second),
		Cold:                ColdBound{Overage: 1},
		RetryBudget:         RetryBudget{Ratio: 0.1, Slack: 10, Period: Duration(10 * time.Second)},
	}
}

// ParseEdge parses and validates the settings file of an edge daemon; keys that
// are missing in the file keep their defaults. The path is only used in errors.
func ParseEdge(path string, data []byte) (Edge, error) {
	c := newChecker(path)
	s := DefaultEdge()
	if c.decode("edge.json", data, &s) {
		listenAddresses := firstPaths{}
		c.checkUnique(listenAddresses, s.CallerAddress, "front", "address")
		c.checkUnique(listenAddresses, s.ReadinessAddress, "ready", "address")
		c.checkUnique(listenAddresses, s.PeerAddress, "peer", "address")
		if s.MetricsAddress != "" {
			c.checkUnique(listenAddresses, s.MetricsAddress, "metrics", "address")
		}
		for _, x := range []struct {
			key   string
			value Duration
		}{{"apply", s.MaxApplyDelay}, {"leave", s.MaxLeaveDelay}} {
			if time.Duration(x.value) < minApplyOrLeaveDelay {
				c.addUnlessRejected(x.key, "must be at least %s", minApplyOrLeaveDelay)
			}
		}
		if s.MaxEvacuationDelay != 0 && time.Duration(s.MaxEvacuationDelay) < minApplyOrLeaveDelay {
			c.addUnlessRejected("evacuate", "must be 0s or at least %s", minApplyOrLeaveDelay)
		}
		if s.MemoryMB < minMemoryMB {
			c.addUnlessRejected("memory", "must be at least %d", minMemoryMB)
		}
		if s.MaxOpenFiles < minOpenFiles {
			c.addUnlessRejected("files", "must be at least %d", minOpenFiles)
		}
		if s.RetryBudget.Period <= 0 {
			c.addUnlessRejected("retry.period", "must be longer than 0s")
		}
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return Edge{}, err
	}
	return s, nil
}
