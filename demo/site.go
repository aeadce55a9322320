package demo

import (
	"fmt"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Site is the inventory of one user of the fleet and its delays.
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
	// LongCost and ShortCost are the mean costs in tokens of long and of short
	// model work.
	LongCost, ShortCost float64
}

// Sizes of section 1.1.
const (
	modelServers  = 10
	plainServers  = 3
	serverSlots   = 16
	serverMost    = 32
	largeWeight   = 4
	mediumWeight  = 2
	largeCount    = 3
	mediumCount   = 4
	workspaceSize = 15
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
	once := []wigeonladder.Route{{PathPrefix: "/book", AtMostOnce: true}}
	s.build("port-louis", []string{"ebene", "rose-hill", "curepipe"}, "bench", once)
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
	once := []wigeonladder.Route{{PathPrefix: "/refund", AtMostOnce: true}, {PathPrefix: "/label", AtMostOnce: true}}
	s.build("bajio", []string{"bajio-uno", "bajio-dos", "bajio-tres"}, "mesa", once)
	return s
}

// build fills register and rules: entry VMs and servers go to the zones in
// turn, so that the zones differ in size.
func (s *Site) build(region string, zones []string, workspace string, once []wigeonladder.Route) {
	for _, z := range zones {
		s.Register.Zones = append(s.Register.Zones, wigeonladder.Zone{Name: z, Region: region})
	}
	for i := range 5 {
		zone := zones[i%len(zones)]
		s.Register.VMs = append(s.Register.VMs, wigeonladder.VM{Name: fmt.Sprintf("%s-entry-%d", zone, i/len(zones)+1), Zone: zone})
	}
	s.Register.Services = []wigeonladder.Service{
		{Name: s.ModelService, Kind: wigeonladder.KindModel, Servers: servers(s.ModelService, zones, modelServers)},
		{Name: s.PlainService, Kind: wigeonladder.KindPlain, Servers: servers(s.PlainService, zones, plainServers), Routes: once},
	}
	for i := range workspaceSize {
		name := fmt.Sprintf("%s-%02d", workspace, i+1)
		s.Register.Workspaces = append(s.Register.Workspaces, wigeonladder.Workspace{Name: name})
		s.Rules.Shares = append(s.Rules.Shares, wigeonladder.ShareRule{Workspace: name, Weight: weightOf(i)})
	}
}

// weightOf returns the weight of the workspace with the given number.
func weightOf(i int) int {
	switch {
	case i < largeCount:
		return largeWeight
	case i < largeCount+mediumCount:
		return mediumWeight
	default:
		return 1
	}
}

func servers(service string, zones []string, n int) []wigeonladder.Server {
	list := make([]wigeonladder.Server, n)
	for i := range list {
		list[i] = wigeonladder.Server{
			Name:     fmt.Sprintf("%s-%02d", service, i+1),
			Zone:     zones[i%len(zones)],
			Slots:    serverSlots,
			MaxSlots: serverMost,
		}
	}
	return list
}

// Zone returns the availability zone of an entry VM or a backend server.
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
