package setting

import (
	"github.com/wigeonladder/wigeonladder"
)

// noPlace stands for a part that lies in another document and was checked
// there.
const noPlace = "-"

// names finds values that occur twice. It maps a value to the JSON path of its
// first occurrence.
type names map[string]string

// unique records a fault if the value occurred before.
func (c *check) unique(seen names, value, at, what string) {
	if first, ok := seen[value]; ok {
		c.refer(at, "%s %q is already used at %s", what, value, first)
		return
	}
	if !c.wrong[at] {
		seen[value] = at
	}
}

// settings checks what the schema of settings leaves open.
func (c *check) settings(s Settings) {
	if s.MaxWait == 0 {
		c.refer("limits.maxWait", "must be longer than 0s")
	}
	listens := names{}
	c.unique(listens, s.PeerAddress, "peer", "address")
	c.unique(listens, s.CallerAddress, "caller", "address")
	c.unique(listens, s.OperatorAddress, "operator", "address")
}

// register checks names, addresses and references of a register.
func (c *check) register(at string, r wigeonladder.Register) {
	zones := c.zones(join(at, "zones"), r.Zones)
	// VMs and backend servers share the platform's list of VMs, so a name
	// must be unique over both.
	vms, addresses := names{}, names{}
	for i, v := range r.VMs {
		p := index(join(at, "vms"), i)
		c.unique(vms, v.Name, join(p, "name"), "VM name")
		c.unique(addresses, v.PeerAddress, join(p, "peer"), "address")
		c.unique(addresses, v.CallerAddress, join(p, "caller"), "address")
		c.zone(zones, v.Zone, join(p, "zone"))
	}
	services := names{}
	for i, s := range r.Services {
		p := index(join(at, "services"), i)
		c.unique(services, s.Name, join(p, "name"), "service name")
		c.routes(p, s)
		for j, b := range s.Servers {
			q := index(join(p, "servers"), j)
			c.unique(vms, b.Name, join(q, "name"), "VM name")
			c.unique(addresses, b.Address, join(q, "address"), "address")
			c.zone(zones, b.Zone, join(q, "zone"))
			c.slots(q, b)
		}
	}
	c.workspaces(join(at, "workspaces"), r.Workspaces)
}

// zones returns the known zones, or nil if the list of zones has faults.
func (c *check) zones(at string, l []wigeonladder.Zone) names {
	zones := names{}
	for i, z := range l {
		c.unique(zones, z.Name, join(index(at, i), "name"), "zone name")
	}
	if !c.sound(at) {
		return nil
	}
	return zones
}

// zone checks a reference to a zone.
func (c *check) zone(zones names, name, at string) {
	if _, ok := zones[name]; !ok && zones != nil {
		c.refer(at, "unknown zone %q", name)
	}
}

// routes checks the routes of a service.
func (c *check) routes(at string, s wigeonladder.Service) {
	prefixes := names{}
	for i, r := range s.Routes {
		p := index(join(at, "routes"), i)
		c.unique(prefixes, r.PathPrefix, join(p, "prefix"), "route prefix")
		if r.AtMostOnce && s.Kind == wigeonladder.KindModel {
			c.refer(join(p, "once"), "calls of a model service can be repeated")
		}
	}
}

// slots checks that the learned limit of a server has room to start from.
func (c *check) slots(at string, b wigeonladder.Server) {
	p := join(at, "maxSlots")
	if b.MaxSlots < b.Slots && !c.wrong[join(at, "slots")] {
		c.refer(p, "%d is below the %d slots to start from", b.MaxSlots, b.Slots)
	}
}

// workspaces checks names and keys. A key that proves two workspaces would let
// one be charged for the other.
func (c *check) workspaces(at string, l []wigeonladder.Workspace) {
	known, keys := names{}, names{}
	for i, w := range l {
		p := index(at, i)
		c.unique(known, w.Name, join(p, "name"), "workspace name")
		for j, k := range w.KeyHashes {
			c.unique(keys, k, index(join(p, "keys"), j), "key hash")
		}
	}
}

// rules checks rules against the register that lies at the given JSON path.
func (c *check) rules(at string, r wigeonladder.Rules, registerAt string, reg wigeonladder.Register) {
	shared := names{}
	for i, s := range r.Shares {
		p := join(index(join(at, "shares"), i), "workspace")
		c.unique(shared, s.Workspace, p, "workspace")
		if _, ok := reg.Workspace(s.Workspace); !ok && c.sound(join(registerAt, "workspaces")) {
			c.refer(p, "unknown workspace %q", s.Workspace)
		}
	}
	urgent := names{}
	for i, u := range r.UrgencyRules {
		p := index(join(at, "urgent"), i)
		c.unique(urgent, u.Service+u.PathPrefix, join(p, "prefix"), "service and prefix")
		if _, ok := reg.Service(u.Service); !ok && c.sound(join(registerAt, "services")) {
			c.refer(join(p, "service"), "unknown service %q", u.Service)
		}
	}
}
