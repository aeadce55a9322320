package inventory

import "time"

const (
	// progressSpan is the time over which the usual rate of changes is measured,
	// progressSpanMin the shortest one that tells it.
	progressSpan    = 10 * time.Second
	progressSpanMin = 2 * time.Second
	// awayFraction is the fraction of a silence for which the store must have
	// performed changes at the usual rate to count as not away. The rest allows for
	// servers behind the same partition, whose heartbeats are missing too.
	awayFraction = 0.75
	// lapseChanges is the number of changes that an outage of the store adds for each
	// entry that lapsed in it: its removal and its return.
	lapseChanges = 2
)

// Outage is what a follower knows of a time in which the store gave it no answer.
type Outage struct {
	// StoreAway is true unless the store performed changes all the while. Without it
	// only this daemon was cut off, and no entry has lapsed because of the outage.
	StoreAway bool
	// Revision is the revision of the store at the end. ChangesPerSecond is the usual
	// rate of changes; 0 if it is unknown.
	Revision         int64
	ChangesPerSecond float64
}

// progressSample is a revision of the store and when it was read.
type progressSample struct {
	at       time.Time
	revision int64
}

// progress measures how fast the revision of the store rises. Backend servers write
// heartbeats all the time, so that a store that is up is never still.
type progress struct {
	// samples are the answers of the last progressSpan, the oldest first; rate is the
	// changes a second in them, 0 if unknown.
	samples []progressSample
	rate    float64
}

// record adds an answer of the store.
func (g *progress) record(revision int64, now time.Time) {
	g.samples = append(g.samples, progressSample{now, revision})
	for len(g.samples) > 2 && now.Sub(g.samples[0].at) > progressSpan {
		g.samples = g.samples[1:]
	}
	if first := g.samples[0]; now.Sub(first.at) >= progressSpanMin {
		g.rate = float64(revision-first.revision) / now.Sub(first.at).Seconds()
	}
}

// end returns what the first answer after a silence tells of it: the revision and the
// changes since the last answer. It measures the rate anew from here on.
func (g *progress) end(p Page, listed bool, now time.Time) Outage {
	o := Outage{StoreAway: true, Revision: p.Revision, ChangesPerSecond: g.rate}
	if len(g.samples) > 0 && g.rate > 0 && !listed {
		last := g.samples[len(g.samples)-1]
		changes := float64(p.Revision - last.revision)
		for _, i := range p.Items {
			if i.Removed {
				changes -= lapseChanges
			}
		}
		o.StoreAway = changes/g.rate < awayFraction*now.Sub(last.at).Seconds()
	}
	g.samples = nil
	return o
}

// since returns how long ago the store performed a change, by the changes that it has
// performed since; 0 if that is unknown.
func (o Outage) since(revision int64) time.Duration {
	if o.ChangesPerSecond <= 0 || revision <= 0 || revision > o.Revision {
		return 0
	}
	return time.Duration(float64(o.Revision-revision) / o.ChangesPerSecond * float64(time.Second))
}
