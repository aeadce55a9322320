package place

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuatedZones replaces the availability zones whose servers get no calls. Jobs
// that wait for one of these servers move to others at once, or are refused if there
// are none. Calls that run are not affected. The servers of a zone whose evacuation ends
// count as cold: the store says only later whether they are.
func (p *Pool) SetEvacuatedZones(zones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.evacuatedZones = make(map[string]bool, len(zones))
	for _, z := range zones {
		p.evacuatedZones[z] = true
	}
	for _, g := range p.services {
		for _, s := range g.order {
			if s.evacuated && !p.evacuatedZones[s.instance.Zone] {
				p.warmUp(s, now)
			}
			s.evacuated = p.evacuatedZones[s.instance.Zone]
		}
		g.lastDrain = time.Time{}
		p.drain(g)
		p.refuseUnplaceable(g, now)
	}
}

// EvacuatedZones returns the availability zones whose servers get no calls, sorted.
func (p *Pool) EvacuatedZones() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.evacuatedZones))
}
