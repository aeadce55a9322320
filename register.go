package wigeonladder

import "time"

// ServiceKind is the kind of backend servers that a service consists of. It
// determines how the cost of a request is counted.
type ServiceKind string

// The kinds of services.
const (
	// KindModel is a service of model engines. Cost is counted in tokens.
	KindModel ServiceKind = "model"
	// KindPlain is a service of application servers. Cost is counted in cost
	// units; one call costs one unit unless the service sets CallCost.
	KindPlain ServiceKind = "plain"
)

// VMState is the life-cycle state of a VM as the platform lists it.
type VMState string

// The states of a VM.
const (
	// StateLive is the state of a VM that accepts new work.
	StateLive VMState = "live"
	// StateLeaving is the state of a VM that completes its work and accepts no
	// new work.
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
	// Slots is the initial limit of concurrent requests.
	Slots int `json:"slots"`
	// MaxSlots is the upper bound of the adaptive limit of concurrent requests.
	MaxSlots int `json:"maxSlots"`
	// Models lists the models that the server has loaded.
	Models []string `json:"models,omitempty"`
}

// Route holds the properties of the calls of a plain service whose paths have a
// common prefix.
type Route struct {
	// PathPrefix is matched against the part of the path after /s/{service}.
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

// Workspace is a customer of the fleet. Each workspace is entitled to a fair
// share of each service.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 hashes, in hexadecimal, of the workspace's bearer
	// keys.
	KeyHashes []string `json:"keys"`
}

// Register is the inventory of zones, VMs, services and workspaces, which the
// operators maintain in their asset register.
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

// ShareRule is the operators' rule for the fair share of one workspace.
type ShareRule struct {
	Workspace string `json:"workspace"`
	// Weight is the size of the workspace's share relative to the weights of the
	// others; at least 1.
	Weight int `json:"weight"`
	// Burst is the number of cost units that the workspace may receive beyond
	// its share after it was idle.
	Burst int64 `json:"burst,omitempty"`
}

// Urgency is the priority of a request among the requests of its workspace. The
// highest urgency is served first. It does not change the workspace's share.
type Urgency int

// The urgencies, lowest first.
const (
	UrgencyBatch Urgency = iota
	UrgencyNormal
	UrgencyHigh
)

// UrgencyRule is the operators' rule for the urgency of requests. It applies to
// the requests to a service if their path starts with PathPrefix.
type UrgencyRule struct {
	Service    string  `json:"service"`
	PathPrefix string  `json:"prefix"`
	Urgency    Urgency `json:"urgency"`
}

// Rules are the operators' scheduling rules, which supplement the register.
type Rules struct {
	Shares       []ShareRule   `json:"shares"`
	UrgencyRules []UrgencyRule `json:"urgent,omitempty"`
}

// Share returns the rule for the share of a workspace. A workspace without a
// rule has weight 1 and burst 0.
func (r Rules) Share(workspace string) ShareRule {
	for _, s := range r.Shares {
		if s.Workspace == workspace {
			return s
		}
	}
	return ShareRule{Workspace: workspace, Weight: 1}
}

// Urgency returns the urgency of a request to a service. The rule with the
// longest matching path prefix applies; without a match it is UrgencyNormal.
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
	// Revision increases with every change. A configuration never replaces one
	// with a higher revision.
	Revision uint64   `json:"revision"`
	Register Register `json:"register"`
	Rules    Rules    `json:"rules"`
}

// LiveVM is one entry of the platform's list of VMs, which holds entry VMs and
// backend servers. The list lags behind the actual state.
type LiveVM struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// LiveList is the platform's list of live and leaving VMs.
type LiveList struct {
	// Version increases with every change of the list.
	Version uint64   `json:"version"`
	VMs     []LiveVM `json:"vms"`
}

// State returns the state of a VM; ok is false if the VM is not in the list.
func (l LiveList) State(name string) (s VMState, ok bool) {
	for _, v := range l.VMs {
		if v.Name == name {
			return v.State, true
		}
	}
	return "", false
}

// The latency targets of model requests as callers see them, at the 95th
// percentile.
const (
	// TargetFirstToken is the target for the time to the first token.
	TargetFirstToken = 470 * time.Millisecond
	// TargetInterToken is the target for the time between tokens.
	TargetInterToken = 75 * time.Millisecond
)
