package main

import "time"

const (
	// addedRoutes are the routes of three times big_config, each below its count on
	// hbt-tills-grown. The configuration has 0.90 MB; valueBytes is 1 MB.
	addedRoutes = 3 * 1150
	// stormTime and stormGap are for_s and gap_s of a config_storm on hbt-tills-grown,
	// stormPause lies between two storms.
	stormTime  = 4020 * time.Millisecond
	stormGap   = 255 * time.Millisecond
	stormPause = 100 * time.Millisecond
	// historyTime is the time for which the case is played.
	historyTime = 111 * time.Second
)

// configHistory plays configurations in quick succession on machines of the smallest size
// of the sheets.
func configHistory(r *rig) (bool, error) {
	if err := r.addServers(); err != nil {
		return false, err
	}
	version := int64(1)
	put := func() {
		version++
		r.store.PutConfig(withRoutes(config(version), addedRoutes))
		r.note("configuration %d written", version)
	}
	put()
	if err := r.addDaemons(smallestMachine, "a", "b"); err != nil {
		return false, err
	}
	end := time.Now().Add(historyTime)
	r.callAll()
	for time.Now().Before(end) && r.ctx.Err() == nil && !r.faultShown() {
		if r.trouble {
			r.storm(put)
		}
		time.Sleep(stormPause)
	}
	r.summarize()
	return r.faultShown(), nil
}

// storm writes configurations at the pace of config_storm.
func (r *rig) storm(put func()) {
	t := time.NewTicker(stormGap)
	defer t.Stop()
	for end := time.Now().Add(stormTime); time.Now().Before(end) && r.ctx.Err() == nil; <-t.C {
		put()
	}
}
