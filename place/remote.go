package place

import "time"

// remoteDaemon is the load that another daemon reported last.
type remoteDaemon struct {
	// until is the time until which the report is valid.
	until time.Time
	loads []serverLoad
}

// serverLoad is the load of a daemon on one server.
type serverLoad struct {
	server *server
	load   load
}

// remoteDaemons holds the loads of the other daemons by their names. The cost of a
// report grows with the servers that the daemon uses, and not with those of the
// fleet.
type remoteDaemons map[string]*remoteDaemon

// replace replaces the loads that a daemon reported.
func (d remoteDaemons) replace(from string, loads []serverLoad, until time.Time) {
	r := d[from]
	if r == nil {
		r = &remoteDaemon{}
		d[from] = r
	}
	r.clear()
	r.until = until
	r.loads = append(r.loads, loads...)
	for _, l := range loads {
		l.server.remoteSum = l.server.remoteSum.add(l.load)
	}
}

// clear removes the loads of the daemon from the servers.
func (r *remoteDaemon) clear() {
	for _, l := range r.loads {
		l.server.remoteSum = l.server.remoteSum.sub(l.load)
	}
	clear(r.loads)
	r.loads = r.loads[:0]
}

// expire forgets the daemons whose reports are no longer valid.
func (d remoteDaemons) expire(now time.Time) {
	for name, r := range d {
		if now.After(r.until) {
			r.clear()
			delete(d, name)
		}
	}
}
