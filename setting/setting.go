package setting

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Settings are what one daemon learns at its start. Everything else comes from
// the platform.
type Settings struct {
	// Name is the VM name of the daemon in the register.
	Name string `json:"name"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// PeerAddress, Caller and Operator are the IP addresses and ports on which the
	// daemon listens for other daemons, callers and operators.
	PeerAddress     string `json:"peer"`
	CallerAddress   string `json:"caller"`
	OperatorAddress string `json:"operator"`
	// PlatformAddress is the IP address and port of the configuration service.
	PlatformAddress string `json:"platform"`
	// OperatorKeyHashes are the SHA-256 hashes, in hexadecimal, of the keys that may
	// operate the daemon.
	OperatorKeyHashes []string `json:"operators,omitempty"`
	// Seeds are peer addresses of other daemons to try first.
	Seeds []string `json:"links,omitempty"`
	// Limits are the bounds of what callers may use.
	Limits `json:"limits"`
	// LeadTime is how long a stopping daemon still accepts requests, so that
	// the load balancer has time to notice.
	LeadTime Duration `json:"leadTime"`
	// DrainTimeout is how long a stopping daemon waits for the last request.
	DrainTimeout Duration `json:"drainLimit"`
}

// Limits are the bounds of what callers may use.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int `json:"maxBody"`
	// MaxWaiting is the largest number of waiting requests per service.
	MaxWaiting int `json:"maxWaiting"`
	// MaxWait is the longest time that a request waits for a slot.
	MaxWait Duration `json:"maxWait"`
}

// Default returns the settings that hold where a file does not say otherwise.
// The keys without a default are empty.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes:    4 << 20,
			MaxWaiting: 2000,
			MaxWait:    Duration(time.Minute),
		},
		LeadTime:   Duration(3 * time.Second),
		DrainTimeout: Duration(2 * time.Minute),
	}
}

// ParseSettings reads the settings file of a daemon over the defaults. The path
// only names the file in errors.
func ParseSettings(path string, data []byte) (Settings, error) {
	c := newCheck(path)
	s := Default()
	if c.decode("settings.json", data, &s) {
		c.settings(s)
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// ParseConfig reads one revision of the published configuration.
func ParseConfig(path string, data []byte) (wigeonladder.Config, error) {
	c := newCheck(path)
	var v wigeonladder.Config
	if c.decode("config.json", data, &v) {
		c.register("register", v.Register)
		c.rules("rules", v.Rules, "register", v.Register)
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return wigeonladder.Config{}, err
	}
	return v, nil
}

// ParseRegister reads a register that stands alone in a file.
func ParseRegister(path string, data []byte) (wigeonladder.Register, error) {
	c := newCheck(path)
	var v wigeonladder.Register
	if c.decode("register.json", data, &v) {
		c.register("", v)
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return wigeonladder.Register{}, err
	}
	return v, nil
}

// ParseRules reads rules that stand alone in a file and checks them against the
// register that they refer to.
func ParseRules(path string, data []byte, r wigeonladder.Register) (wigeonladder.Rules, error) {
	c := newCheck(path)
	var v wigeonladder.Rules
	if c.decode("rules.json", data, &v) {
		c.rules("", v, noPlace, r)
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return wigeonladder.Rules{}, err
	}
	return v, nil
}
