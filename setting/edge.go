package setting

import "time"

// Edge are the settings of an edge daemon, which serves callers in front of
// services that a platform lists in its store.
type Edge struct {
	// Name is the name of the VM, Zone its availability zone.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Front, Ready, Peer and Metrics are the IP addresses and ports on which the
	// daemon listens for callers, for questions for readiness, for other daemons
	// and for operators.
	Front   string `json:"front"`
	Ready   string `json:"ready"`
	Peer    string `json:"peer"`
	Metrics string `json:"metrics,omitempty"`
	// Store is the IP address and port of the platform's store.
	Store string `json:"store"`
	// Seeds are peer addresses of daemons to try first.
	Seeds []string `json:"seeds,omitempty"`
	// Memory is what the process may use, in megabytes.
	Memory int `json:"memory"`
	// Files is the number of descriptors that the process may open.
	Files int `json:"files"`
	// Grace is the time between the request to stop and the end of the process.
	Grace Duration `json:"grace"`
	// KeyTrust is how long an API key is accepted after it was withdrawn, at the
	// most; 0 for no bound.
	KeyTrust Duration `json:"keyTrust"`
	// Apply is the time within which a changed configuration is in force, Leave that
	// within which a leaving backend server gets no more calls.
	Apply Duration `json:"apply"`
	Leave Duration `json:"leave"`
	// Retry bounds second sendings over all daemons.
	Retry Retry `json:"retry"`
}

// minApply is the shortest time that Apply and Leave may have: the store is read a
// few times within it.
const minApply = 500 * time.Millisecond

// Retry bounds second sendings of calls to one service over all daemons: in each
// period a part of its calls, and a number beyond these. Both are decimal
// fractions in quotes, since the numbers in settings are whole.
type Retry struct {
	Ratio  float64  `json:"ratio,string"`
	Slack  float64  `json:"slack,string"`
	Period Duration `json:"period"`
}

// DefaultEdge returns the settings that hold where a file does not say otherwise.
// The retry bounds are a tenth of the calls and ten more in ten seconds.
func DefaultEdge() Edge {
	return Edge{
		Memory: 256,
		Files:  4096,
		Grace:  Duration(8 * time.Second),
		Apply:  Duration(2 * time.Second),
		Leave:  Duration(2 * time.Second),
		Retry:  Retry{Ratio: 0.1, Slack: 10, Period: Duration(10 * time.Second)},
	}
}

// ParseEdge reads the settings file of an edge daemon over the defaults. The
// path only names the file in errors.
func ParseEdge(path string, data []byte) (Edge, error) {
	c := newCheck(path)
	s := DefaultEdge()
	if c.decode("edge.json", data, &s) {
		listens := names{}
		c.unique(listens, s.Front, "front", "address")
		c.unique(listens, s.Ready, "ready", "address")
		c.unique(listens, s.Peer, "peer", "address")
		if s.Metrics != "" {
			c.unique(listens, s.Metrics, "metrics", "address")
		}
		for _, x := range []struct {
			key   string
			value Duration
		}{{"apply", s.Apply}, {"leave", s.Leave}} {
			if time.Duration(x.value) < minApply {
				c.refer(x.key, "must be at least %s", minApply)
			}
		}
		if s.Retry.Period <= 0 {
			c.refer("retry.period", "must be longer than 0s")
		}
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return Edge{}, err
	}
	return s, nil
}
