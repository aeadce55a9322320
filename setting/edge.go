package setting

import "time"

// Edge are the settings of an edge daemon, which serves callers in front of
// services that a platform lists in its store.
type Edge struct {
	// Name is the name of the VM, Zone its availability zone.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress, Ready, Peer and Metrics are the IP addresses and ports on which the
	// daemon listens for callers, for questions for readiness, for other daemons
	// and for operators.
	CallerAddress   string `json:"front"`
	ReadinessAddress   string `json:"ready"`
	PeerAddress    string `json:"peer"`
	MetricsAddress string `json:"metrics,omitempty"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `json:"store"`
	// Seeds are peer addresses of daemons to try first.
	Seeds []string `json:"seeds,omitempty"`
	// MemoryMB is what the process may use, in megabytes.
	MemoryMB int `json:"memory"`
	// MaxOpenFiles is the number of descriptors that the process may open.
	MaxOpenFiles int `json:"files"`
	// ShutdownGracePeriod is the time between the request to stop and the end of the process.
	ShutdownGracePeriod Duration `json:"grace"`
	// KeyTrustTime is how long an API key is accepted after it was withdrawn, at the
	// most; 0 for no bound.
	KeyTrustTime Duration `json:"keyTrust"`
	// MaxApplyDelay is the time within which a changed configuration is in force, Leave that
	// within which a leaving backend server gets no more calls.
	MaxApplyDelay Duration `json:"apply"`
	MaxLeaveDelay Duration `json:"leave"`
	// RetryBudget bounds second sendings over all daemons.
	RetryBudget RetryBudget `json:"retry"`
}

// minApply is the shortest time that Apply and Leave may have: the store is read a
// few times within it.
const minApply = 500 * time.Millisecond

// RetryBudget bounds second sendings of calls to one service over all daemons: in each
// period a part of its calls, and a number beyond these. Both are decimal
// fractions in quotes, since the numbers in settings are whole.
type RetryBudget struct {
	Ratio  float64  `json:"ratio,string"`
	Slack  float64  `json:"slack,string"`
	Period Duration `json:"period"`
}

// DefaultEdge returns the settings that hold where a file does not say otherwise.
// The retry bounds are a tenth of the calls and ten more in ten seconds.
func DefaultEdge() Edge {
	return Edge{
		MemoryMB: 256,
		MaxOpenFiles:  4096,
		ShutdownGracePeriod:  Duration(8 * time.Second),
		MaxApplyDelay:  Duration(2 * time.Second),
		MaxLeaveDelay:  Duration(2 * time.Second),
		RetryBudget:  RetryBudget{Ratio: 0.1, Slack: 10, Period: Duration(10 * time.Second)},
	}
}

// ParseEdge reads the settings file of an edge daemon over the defaults. The
// path only names the file in errors.
func ParseEdge(path string, data []byte) (Edge, error) {
	c := newCheck(path)
	s := DefaultEdge()
	if c.decode("edge.json", data, &s) {
		listens := names{}
		c.unique(listens, s.CallerAddress, "front", "address")
		c.unique(listens, s.ReadinessAddress, "ready", "address")
		c.unique(listens, s.PeerAddress, "peer", "address")
		if s.MetricsAddress != "" {
			c.unique(listens, s.MetricsAddress, "metrics", "address")
		}
		for _, x := range []struct {
			key   string
			value Duration
		}{{"apply", s.MaxApplyDelay}, {"leave", s.MaxLeaveDelay}} {
			if time.Duration(x.value) < minApply {
				c.refer(x.key, "must be at least %s", minApply)
			}
		}
		if s.RetryBudget.Period <= 0 {
			c.refer("retry.period", "must be longer than 0s")
		}
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return Edge{}, err
	}
	return s, nil
}
