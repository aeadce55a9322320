package demo

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// homesFlag is the number of homes in TestExtrapolationAtSize.
var homesFlag = flag.Int("homes", 0, "number of homes of the run that measures extrapolation; 0 for none")

// siteWithHomes returns a site with one entry VM and one model server for each
// home.
func siteWithHomes(s Site, homes int) Site {
	var zones []string
	for _, z := range s.Register.Zones {
		zones = append(zones, z.Name)
	}
	s.Register.VMs = nil
	for i := range homes {
		zone := zones[i%len(zones)]
		s.Register.VMs = append(s.Register.VMs, wigeonladder.VM{Name: fmt.Sprintf("%s-entry-%d", zone, i/len(zones)+1), Zone: zone})
	}
	services := append([]wigeonladder.Service(nil), s.Register.Services...)
	services[0].Servers = newServers(s.ModelService, zones, homes)
	s.Register.Services = services
	return s
}

// TestExtrapolationAtSize prints the gap with and without extrapolation in a
// large fleet with a long time between two exchanges of charges:
//
//	go test ./demo -run TestExtrapolationAtSize -v -args -homes 50 -seeds 1
func TestExtrapolationAtSize(t *testing.T) {
	if *homesFlag == 0 {
		t.Skip("runs with -args -homes N")
	}
	s := siteWithHomes(Guild(), *homesFlag)
	w, _ := s.Workload("backlog")
	w = w.WithTimes(warmUp, 30*time.Second)
	w.DrainTime = time.Second
	for i := range w.Sources {
		w.Sources[i].Clients *= *homesFlag / modelServers
	}
	for _, off := range []bool{false, true} {
		for seed := range uint64(*seedsFlag) {
			t.Run(fmt.Sprintf("without %v seed %d", off, seed+1), func(t *testing.T) {
				t.Parallel()
				r := runPolicy(t, s, w.WithSeed(seed+1), "fleet", MemoryFleetOptions{NoExtrapolation: off, ExchangePeriod: 5 * time.Second})
				t.Logf("gap %.0f, backlogged %d, rate %.0f of %.0f, retained %.3f", r.Gap, r.BackloggedWorkspaces, r.ServiceRate, s.Capacity()*float64(*homesFlag)/modelServers, r.RetainedShare)
			})
		}
	}
}
