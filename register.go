package wigeonladder

import "time"

// ServiceKind tells what a service runs.
type ServiceKind string

// The kinds of services.
const (
	// KindModel is a service of model engines. Its cost is counted in tokens.
	KindModel ServiceKind = "model"
	// KindPlain is a service of application servers. Its cost is counted in
	// cost units; one call costs one unit unless the service sets CallCost.
	KindPlain ServiceKind = "plain"
)

// VMState is the life-cycle state of a VM as the platform lists it.
type VMState string

// The states of a VM.
const (
	// StateLive marks a VM that takes new work.
	StateLive VMState = "live"
	// StateLeaving marks a VM that finishes its work and takes no new work.
	StateLeaving VMState = "leaving"
)

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// VM is a virtual machine that runs one daemon of the fleet (an entry VM).
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// PeerAddress is the IP address and port for links between daemons.
	PeerAddress string `json:"peer"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string `json:"caller"`
}

// Server is a backend server: one replica of a service on its own VM.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is the IP address and port of the server's HTTP interface.
	Address string `json:"address"`
	// Slots is the number of concurrent requests to start from.
	Slots int `json:"slots"`
	// MaxSlots bounds the learned number of concurrent requests.
	MaxSlots int `json:"maxSlots"`
	// Models lists the models that the server has loaded.
	Models []string `json:"models,omitempty"`
}

// Route describes calls of a plain service that share a path prefix.
type Route struct {
	// PathPrefix is matched against the path behind /s/{service}.
	PathPrefix string `json:"prefix"`
	// AtMostOnce marks calls that may not be repeated; they need a ticket.
	AtMostOnce bool `json:"once,omitempty"`
}

// Service is a group of replicas that answer the same requests.
type Service struct {
	Name    string      `json:"name"`
	Kind    ServiceKind `json:"kind"`
	Servers []Server    `json:"servers"`
	Routes  []Route     `json:"routes,omitempty"`
	// CallCost is the cost of one call in cost units, for plain services.
	CallCost int64 `json:"callCost,omitempty"`
}

// Workspace is a customer of the fleet that is owed a fair share.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 hashes, in hexadecimal, of the workspace's bearer
	// keys.
	KeyHashes []string `json:"keys"`
}

// Register is the inventory that the operators keep in their asset register.
type Register struct {
	Zones      []Zone      `json:"zones"`
	VMs        []VM        `json:"vms"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
}

// Service returns the service with the given name.
func (r Register) Service(name string) (Service, bool) {
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Workspace returns the workspace with the given name.
func (r Register) Workspace(name string) (Workspace, bool) {
	for _, w := range r.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// ShareRule is the operators' rule for one workspace.
type ShareRule struct {
	Workspace string `json:"workspace"`
	// Weight is the workspace's part relative to the others; at least 1.
	Weight int `json:"weight"`
	// Burst is the service in cost units that the workspace may run ahead of
	// its share after it was idle.
	Burst int64 `json:"burst,omitempty"`
}

// Urgency orders the work inside one workspace's share. Higher goes first.
type Urgency int

// The urgencies, least urgent first.
const (
	UrgencyBatch Urgency = iota
	UrgencyNormal
	UrgencyHigh
)

// UrgencyRule is the operators' rule that gives an urgency to the requests of a
// service whose path starts with Prefix.
type UrgencyRule struct {
	Service    string  `json:"service"`
	PathPrefix string  `json:"prefix"`
	Urgency    Urgency `json:"urgency"`
}

// Rules are the few things that operators add to the register.
type Rules struct {
	Shares       []ShareRule   `json:"shares"`
	UrgencyRules []UrgencyRule `json:"urgent,omitempty"`
}

// Share returns the rule for a workspace. Without a rule the weight is 1 and
// the burst 0.
func (r Rules) Share(workspace string) ShareRule {
	for _, s := range r.Shares {
		if s.Workspace == workspace {
			return s
		}
	}
	return ShareRule{Workspace: workspace, Weight: 1}
}

// Urgency returns the urgency of a request: the rule with the longest matching
// prefix, UrgencyNormal without one.
func (r Rules) Urgency(service, path string) Urgency {
	best := -1
	urgency := UrgencyNormal
	for _, u := range r.UrgencyRules {
		if u.Service != service || len(u.PathPrefix) <= best || len(path) < len(u.PathPrefix) {
			continue
		}
		if path[:len(u.PathPrefix)] == u.PathPrefix {
			best = len(u.PathPrefix)
			urgency = u.Urgency
		}
	}
	return urgency
}

// Config is one revision of the published configuration.
type Config struct {
	// Revision grows with every change; a lower one never replaces a higher.
	Revision uint64   `json:"revision"`
	Register Register `json:"register"`
	Rules    Rules    `json:"rules"`
}

// LiveVM is one entry of the platform's lagging list of VMs. It covers entry
// VMs and backend servers.
type LiveVM struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// LiveList is the platform's list of live and leaving VMs.
type LiveList struct {
	// Version grows with every change of the list.
	Version uint64   `json:"version"`
	VMs     []LiveVM `json:"vms"`
}

// State returns the state of a VM; ok is false when the list lacks it.
func (l LiveList) State(name string) (s VMState, ok bool) {
	for _, v := range l.VMs {
		if v.Name == name {
			return v.State, true
		}
	}
	return "", false
}

// Targets of the service that callers get, at the 95th percentile.
const (
	TargetFirstToken = 470 * time.Millisecond
	TargetInterToken = 75 * time.Millisecond
)
