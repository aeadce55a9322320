package setting

import (
	"github.com/wigeonladder/wigeonladder"
)

// otherDocument is the JSON path of a register that lies in another document and
// was validated there.
const otherDocument = "-"

// firstPaths maps each value that must be unique to the JSON path of its first
// occurrence.
type firstPaths map[string]string

// checkUnique records an error if the value occurred before.
func (c *checker) checkUnique(seen firstPaths, value, at, what string) {
	if first, ok := seen[value]; ok {
		c.addUnlessRejected(at, "%s %q is already used at %s", what, value, first)
		return
	}
	if !c.rejectedPaths[at] {
		seen[value] = at
	}
}

// checkSettings checks what the schema of the settings cannot express.
func (c *checker) checkSettings(s Settings) {
	if s.MaxWait == 0 {
		c.addUnlessRejected("limits.maxWait", "must be longer than 0s")
	}
	listenAddresses := firstPaths{}
	c.checkUnique(listenAddresses, s.PeerAddress, "peer", "address")
	c.checkUnique(listenAddresses, s.CallerAddress, "caller", "address")
	c.checkUnique(listenAddresses, s.OperatorAddress, "operator", "address")
}

// checkRegister checks the names, addresses and references of a register.
func (c *checker) checkRegister(at string, r wigeonladder.Register) {
	zones := c.checkZones(joinKey(at, "zones"), r.Zones)
	// VMs and backend servers share the platform's list of VMs, so a name must be
	// unique among both.
	vms, addresses := firstPaths{}, firstPaths{}
	for i, v := range r.VMs {
		p := joinIndex(joinKey(at, "vms"), i)
		c.checkUnique(vms, v.Name, joinKey(p, "name"), "VM name")
		c.checkUnique(addresses, v.PeerAddress, joinKey(p, "peer"), "address")
		c.checkUnique(addresses, v.CallerAddress, joinKey(p, "caller"), "address")
		c.checkZone(zones, v.Zone, joinKey(p, "zone"))
	}
	services := firstPaths{}
	for i, s := range r.Services {
		p := joinIndex(joinKey(at, "services"), i)
		c.checkUnique(services, s.Name, joinKey(p, "name"), "service name")
		c.checkRoutes(p, s)
		for j, b := range s.Servers {
			q := joinIndex(joinKey(p, "servers"), j)
			c.checkUnique(vms, b.Name, joinKey(q, "name"), "VM name")
			c.checkUnique(addresses, b.Address, joinKey(q, "address"), "address")
			c.checkZone(zones, b.Zone, joinKey(q, "zone"))
			c.checkSlots(q, b)
		}
	}
	c.checkWorkspaces(joinKey(at, "workspaces"), r.Workspaces)
}

// checkZones checks that the names of the zones are unique and returns them. It
// returns nil if the list has errors; references to zones are then not checked.
func (c *checker) checkZones(at string, l []wigeonladder.Zone) firstPaths {
	zones := firstPaths{}
	for i, z := range l {
		c.checkUnique(zones, z.Name, joinKey(joinIndex(at, i), "name"), "zone name")
	}
	if !c.accepted(at) {
		return nil
	}
	return zones
}

// checkZone checks a reference to a zone.
func (c *checker) checkZone(zones firstPaths, name, at string) {
	if _, ok := zones[name]; !ok && zones != nil {
		c.addUnlessRejected(at, "unknown zone %q", name)
	}
}

// checkRoutes checks the routes of a service.
func (c *checker) checkRoutes(at string, s wigeonladder.Service) {
	prefixes := firstPaths{}
	for i, r := range s.Routes {
		p := joinIndex(joinKey(at, "routes"), i)
		c.checkUnique(prefixes, r.PathPrefix, joinKey(p, "prefix"), "route prefix")
		if r.AtMostOnce && s.Kind == wigeonladder.KindModel {
			c.addUnlessRejected(joinKey(p, "once"), "calls of a model service can be repeated")
		}
	}
}

// checkSlots checks that a server's MaxSlots, up to which the limiter may raise its
// limit, is not below Slots, with which the limit starts.
func (c *checker) checkSlots(at string, b wigeonladder.Server) {
	p := joinKey(at, "maxSlots")
	if b.MaxSlots < b.Slots && !c.rejectedPaths[joinKey(at, "slots")] {
		c.addUnlessRejected(p, "%d is below the %d slots to start from", b.MaxSlots, b.Slots)
	}
}

// checkWorkspaces checks that names and key hashes are unique. If two workspaces had
// the same key, one could be charged for the calls of the other.
func (c *checker) checkWorkspaces(at string, l []wigeonladder.Workspace) {
	known, keys := firstPaths{}, firstPaths{}
	for i, w := range l {
		p := joinIndex(at, i)
		c.checkUnique(known, w.Name, joinKey(p, "name"), "workspace name")
		for j, k := range w.KeyHashes {
			c.checkUnique(keys, k, joinIndex(joinKey(p, "keys"), j), "key hash")
		}
	}
}

// checkRules checks rules against the register at the given JSON path.
func (c *checker) checkRules(at string, r wigeonladder.Rules, registerAt string, reg wigeonladder.Register) {
	workspaces := firstPaths{}
	for i, s := range r.Shares {
		p := joinKey(joinIndex(joinKey(at, "shares"), i), "workspace")
		c.checkUnique(workspaces, s.Workspace, p, "workspace")
		if _, ok := reg.Workspace(s.Workspace); !ok && c.accepted(joinKey(registerAt, "workspaces")) {
			c.addUnlessRejected(p, "unknown workspace %q", s.Workspace)
		}
	}
	urgent := firstPaths{}
	for i, u := range r.UrgencyRules {
		p := joinIndex(joinKey(at, "urgent"), i)
		c.checkUnique(urgent, u.Service+u.PathPrefix, joinKey(p, "prefix"), "service and prefix")
		if _, ok := reg.Service(u.Service); !ok && c.accepted(joinKey(registerAt, "services")) {
			c.addUnlessRejected(joinKey(p, "service"), "unknown service %q", u.Service)
		}
	}
}
