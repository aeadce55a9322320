package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/wigeonladder/wigeonladder"
)

// Numbers of the fleet in the requirements.
const (
	// Daemons to Zones are the size of the fleet in section 1.7 of docs/design.md.
	// Models is the number of model services.
	Daemons    = 390
	Servers    = 6200
	Workspaces = 220
	Models     = 7
	Zones      = 8

	// minWorkspaces is the number of workspaces of the smallest fleet, that of the
	// first users.
	minWorkspaces = 15
	// serverSlots and maxServerSlots are the initial limit of concurrent requests of
	// each server and its upper bound. 7,500 requests per second of 360 tokens at
	// 50 ms per token are 135,000 concurrent requests, which is 22 for each server.
	serverSlots    = 22
	maxServerSlots = 44
)

// Size is the size of a fleet.
type Size struct {
	Daemons, Servers, Workspaces, Services, Zones int
}

// SizeFor returns the size of a fleet with a number of daemons and proportional
// numbers of servers and workspaces.
func SizeFor(daemons int) Size {
	return Size{
		Daemons:    daemons,
		Servers:    daemons * Servers / Daemons,
		Workspaces: max(minWorkspaces, daemons*Workspaces/Daemons),
		Services:   Models,
		Zones:      Zones,
	}
}

// Config returns a configuration of this size.
func (s Size) Config() wigeonladder.Config {
	c := wigeonladder.Config{Revision: 1}
	for i := range s.Zones {
		c.Register.Zones = append(c.Register.Zones, wigeonladder.Zone{Name: zoneName(i), Region: fmt.Sprint("region-", i/2)})
	}
	for i := range s.Daemons {
		c.Register.VMs = append(c.Register.VMs, s.vm(i))
	}
	for i := range s.Services {
		c.Register.Services = append(c.Register.Services, s.service(i))
	}
	for i := range s.Workspaces {
		key := fmt.Sprintf("%064x", i)
		c.Register.Workspaces = append(c.Register.Workspaces, wigeonladder.Workspace{Name: WorkspaceName(i), KeyHashes: []string{key}})
		c.Rules.Shares = append(c.Rules.Shares, wigeonladder.ShareRule{Workspace: WorkspaceName(i), Weight: 1 + i%4})
	}
	return c
}

// Document returns the configuration as the platform publishes it.
func (s Size) Document() []byte {
	data, err := json.Marshal(s.Config())
	if err != nil {
		panic(err) // every value of Config can be encoded
	}
	return data
}

// vm returns VM i of the register.
func (s Size) vm(i int) wigeonladder.VM {
	ip := fmt.Sprintf("10.0.%d.%d", i/250, 1+i%250)
	return wigeonladder.VM{
		Name: fmt.Sprintf("vm-%03d", i), Zone: zoneName(i % s.Zones), PeerAddress: ip + ":7000", CallerAddress: ip + ":8000",
	}
}

// service returns service i with its part of the servers.
func (s Size) service(i int) wigeonladder.Service {
	v := wigeonladder.Service{Name: ServiceName(i), Kind: wigeonladder.KindModel}
	for n := i; n < s.Servers; n += s.Services {
		v.Servers = append(v.Servers, wigeonladder.Server{
			Name: fmt.Sprintf("engine-%04d", n), Zone: zoneName((n / s.Services) % s.Zones),
			Address: fmt.Sprintf("10.1.%d.%d:9000", n/250, 1+n%250),
			Slots:   serverSlots, MaxSlots: maxServerSlots, Models: []string{fmt.Sprint("model-", i)},
		})
	}
	return v
}

// WorkspaceName returns the name of workspace i.
func WorkspaceName(i int) string { return fmt.Sprintf("workspace-%03d", i) }

// ServiceName returns the name of service i.
func ServiceName(i int) string { return fmt.Sprint("service-", i) }

func zoneName(i int) string { return fmt.Sprint("zone-", i) }
