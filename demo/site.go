package demo

import (
	"fmt"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Site is the inventory of one user of the fleet, the network delays between
// its zones and clients, and the cost of its requests.
type Site struct {
	Name     string
	Register wigeonladder.Register
	Rules    wigeonladder.Rules
	// ZoneDelay is the one-way delay between zones.
	ZoneDelay time.Duration
	// ClientDelay is the one-way delay between clients and entry VMs.
	ClientDelay time.Duration
	// ModelService and PlainService are the names of the two services.
	ModelService, PlainService string
	// LongCost and ShortCost are the mean costs, in tokens, of the long and of
	// the short requests to the model service.
	LongCost, ShortCost float64
}

// Sizes of the fleet in section 1.1 of docs/design.md. The workspaces that are
// neither large nor medium have weight 1.
const (
	modelServers         = 10
	plainServers         = 3
	serverSlots          = 16
	serverMaxSlots       = 32
	largeWeight          = 4
	mediumWeight         = 2
	largeWorkspaceCount  = 3
	mediumWorkspaceCount = 4
	workspaceCount       = 15
)

// Guild returns the site of the Guild.
func Guild() Site {
	s := Site{
		Name:         "guild",
		ZoneDelay:    1500 * time.Microsecond,
		ClientDelay:  time.Millisecond,
		ModelService: "nib-scribe",
		PlainService: "guild-desk",
		LongCost:     400,
		ShortCost:    120,
	}
	routes := []wigeonladder.Route{{PathPrefix: "/book", AtMostOnce: true}}
	s.addInventory("port-louis", []string{"ebene", "rose-hill", "curepipe"}, "bench", routes)
	return s
}

// Tlaloc returns the site of Tlaloc.
func Tlaloc() Site {
	s := Site{
		Name:         "tlaloc",
		ZoneDelay:    time.Millisecond,
		ClientDelay:  3 * time.Millisecond,
		ModelService: "pool-modelos",
		PlainService: "mostrador-app",
		LongCost:     600,
		ShortCost:    150,
	}
	routes := []wigeonladder.Route{{PathPrefix: "/refund", AtMostOnce: true}, {PathPrefix: "/label", AtMostOnce: true}}
	s.addInventory("bajio", []string{"bajio-uno", "bajio-dos", "bajio-tres"}, "mesa", routes)
	return s
}

// addInventory fills in the register and the rules. Entry VMs and backend
// servers are assigned to the zones in turn. Their numbers are not multiples of
// the number of zones, so the zones differ in size.
func (s *Site) addInventory(region string, zones []string, workspace string, routes []wigeonladder.Route) {
	for _, z := range zones {
		s.Register.Zones = append(s.Register.Zones, wigeonladder.Zone{Name: z, Region: region})
	}
	for i := range 5 {
		zone := zones[i%len(zones)]
		s.Register.VMs = append(s.Register.VMs, wigeonladder.VM{Name: fmt.Sprintf("%s-entry-%d", zone, i/len(zones)+1), Zone: zone})
	}
	s.Register.Services = []wigeonladder.Service{
		{Name: s.ModelService, Kind: wigeonladder.KindModel, Servers: newServers(s.ModelService, zones, modelServers)},
		{Name: s.PlainService, Kind: wigeonladder.KindPlain, Servers: newServers(s.PlainService, zones, plainServers), Routes: routes},
	}
	for i := range workspaceCount {
		name := fmt.Sprintf("%s-%02d", workspace, i+1)
		s.Register.Workspaces = append(s.Register.Workspaces, wigeonladder.Workspace{Name: name})
		s.Rules.Shares = append(s.Rules.Shares, wigeonladder.ShareRule{Workspace: name, Weight: weightOf(i)})
	}
}

// weightOf returns the weight of the workspace with index i.
func weightOf(i int) int {
	switch {
	case i < largeWorkspaceCount:
		return largeWeight
	case i < largeWorkspaceCount+mediumWorkspaceCount:
		return mediumWeight
	default:
		return 1
	}
}

func newServers(service string, zones []string, n int) []wigeonladder.Server {
	list := make([]wigeonladder.Server, n)
	for i := range list {
		list[i] = wigeonladder.Server{
			Name:     fmt.Sprintf("%s-%02d", service, i+1),
			Zone:     zones[i%len(zones)],
			Slots:    serverSlots,
			MaxSlots: serverMaxSlots,
		}
	}
	return list
}

// Zone returns the availability zone of an entry VM or a backend server, or the
// empty string for an unknown name.
func (s Site) Zone(name string) string {
	for _, v := range s.Register.VMs {
		if v.Name == name {
			return v.Zone
		}
	}
	for _, v := range s.Register.Services {
		for _, x := range v.Servers {
			if x.Name == name {
				return x.Zone
			}
		}
	}
	return ""
}
