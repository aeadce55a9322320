package setting

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Settings holds the settings that a daemon reads from its file when it starts.
// All other configuration comes from the platform.
type Settings struct {
	// Name is the name of the daemon's VM in the register.
	Name string `json:"name"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// PeerAddress, CallerAddress and OperatorAddress are the IP addresses and
	// ports on which the daemon listens for other daemons, callers and operators.
	PeerAddress     string `json:"peer"`
	CallerAddress   string `json:"caller"`
	OperatorAddress string `json:"operator"`
	// PlatformAddress is the IP address and port of the configuration service.
	PlatformAddress string `json:"platform"`
	// OperatorKeyHashes are the hexadecimal SHA-256 hashes of the keys that
	// authenticate operators.
	OperatorKeyHashes []string `json:"operators,omitempty"`
	// Seeds are peer addresses of other daemons, to which the daemon connects
	// first in order to join the fleet.
	Seeds []string `json:"links,omitempty"`
	// Limits bound what callers may use.
	Limits `json:"limits"`
	// LeadTime is how long a daemon still accepts requests after a graceful
	// shutdown began, so that the load balancer can take it out of rotation.
	LeadTime Duration `json:"leadTime"`
	// DrainTimeout is how long a graceful shutdown waits for open requests.
	DrainTimeout Duration `json:"drainLimit"`
}

// Limits bounds what callers may use.
type Limits struct {
	// MaxBodyBytes is the largest accepted size of a request body.
	MaxBodyBytes int `json:"maxBody"`
	// CallerMemoryMB bounds the bodies of requests and the whole answers that callers
	// make the daemon hold, in units of 2^20 bytes.
	CallerMemoryMB int `json:"callerMemory"`
	// MaxConns is the largest number of open connections of callers; others are
	// closed.
	MaxConns int `json:"maxConnections"`
	// MaxWaiting is the largest number of queued requests per service.
	MaxWaiting int `json:"maxWaiting"`
	// MaxWait is the longest time for which a request waits for a slot.
	MaxWait Duration `json:"maxWait"`
}

// Default returns the default settings. Keys that have no default are empty.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes:   4 << 20,
			CallerMemoryMB: 256,
			MaxConns:       20_000,
			MaxWaiting:     2000,
			MaxWait:        Duration(time.Minute),
		},
		LeadTime:     Duration(3 * time.Second),
		DrainTimeout: Duration(2 * time.Minute),
	}
}

// ParseSettings parses and validates the settings file of a daemon; keys that are
// missing in the file keep their defaults. The path is only used in errors.
func ParseSettings(path string, data []byte) (Settings, error) {
	c := newChecker(path)
	s := Default()
	if c.decode("settings.json", data, &s) {
		c.checkSettings(s)
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// ParseConfig parses and validates one revision of the published configuration.
// The path is only used in errors.
func ParseConfig(path string, data []byte) (wigeonladder.Config, error) {
	c := newChecker(path)
	var v wigeonladder.Config
	if c.decode("config.json", data, &v) {
		c.checkRegister("register", v.Register)
		c.checkRules("rules", v.Rules, "register", v.Register)
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return wigeonladder.Config{}, err
	}
	return v, nil
}

// ParseRegister parses and validates a register in a file of its own. The path is
// only used in errors.
func ParseRegister(path string, data []byte) (wigeonladder.Register, error) {
	c := newChecker(path)
	var v wigeonladder.Register
	if c.decode("register.json", data, &v) {
		c.checkRegister("", v)
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return wigeonladder.Register{}, err
	}
	return v, nil
}

// ParseRules parses rules in a file of their own and validates them against the
// register that they refer to. The path is only used in errors.
func ParseRules(path string, data []byte, r wigeonladder.Register) (wigeonladder.Rules, error) {
	c := newChecker(path)
	var v wigeonladder.Rules
	if c.decode("rules.json", data, &v) {
		c.checkRules("", v, otherDocument, r)
	}
	if err := c.errs.ErrorOrNil(); err != nil {
		return wigeonladder.Rules{}, err
	}
	return v, nil
}
