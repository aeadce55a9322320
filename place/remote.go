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
type remoteDaemons struct {
	byName map[string]*remoteDaemon
	// nextExpiry is a time before which no report expires.
	nextExpiry time.Time
}

// newRemoteDaemons returns the loads before any report.
func newRemoteDaemons() *remoteDaemons { return &remoteDaemons{byName: map[string]*remoteDaemon{}} }

// replace replaces the loads that a daemon reported.
func (d *remoteDaemons) replace(from string, loads []serverLoad, until time.Time) {
	r := d.byName[from]
	if r == nil {
		r = &remoteDaemon{}
		d.byName[from] = r
	}
	if until.Before(d.nextExpiry) {
		d.nextExpiry = until
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

// expire forgets the daemons whose reports are no longer valid. Most calls return at
// once.
func (d *remoteDaemons) expire(now time.Time) {
	if now.Before(d.nextExpiry) {
		return
	}
	d.nextExpiry = now.Add(maxExpiryDelay)
	for name, r := range d.byName {
		if now.After(r.until) {
			r.clear()
			delete(d.byName, name)
		} else if r.until.Before(d.nextExpiry) {
			d.nextExpiry = r.until
		}
	}
}

// maxExpiryDelay is the longest time between two searches for expired reports.
const maxExpiryDelay = 10 * time.Second
