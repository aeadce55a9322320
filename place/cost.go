package place

import "time"

const (
	// displaceWeight is the additional weight of the time to read a shared
	// part: besides that time, a second copy displaces other parts from the
	// cache.
	displaceWeight = 2.0
	// preferredStep is the weight that each position in the preference order
	// adds to the time to read the uncached shared parts.
	preferredStep = 2.5
	// crossZonePenalty is the cost of a server in another zone. Besides the distance
	// it stands for reports of the daemons there, which are older.
	crossZonePenalty = 60 * time.Millisecond
	// failurePenalty is the cost of a server that fails every request, and in
	// proportion at lower failure rates.
	failurePenalty = 1500 * time.Millisecond
)

// offer is what a server offers to a job, in times on that server.
type offer struct {
	// wait is the expected time until the server has read the prompts that were sent to
	// it before, slotWait the time until a slot is free and its limit allows the job,
	// queuedRead the time to read the prompts that wait for it in this daemon.
	wait, slotWait, queuedRead time.Duration
	// read is the time to read the uncached part of the prompt, sharedRead the time to
	// read those uncached parts that other requests share.
	read, sharedRead time.Duration
	// position is the position of the server in the preference order of the prompt.
	position    int
	otherZone   bool
	failureRate float64
}

// cost returns the cost of an offer: the time until the first token, and what the choice
// costs other jobs.
func (o offer) cost() time.Duration {
	copyWeight := displaceWeight + preferredStep*float64(o.position)
	c := o.wait + o.slotWait + o.queuedRead + o.read + time.Duration(copyWeight*float64(o.sharedRead)) +
		time.Duration(o.failureRate*float64(failurePenalty))
	if o.otherZone {
		c += crossZonePenalty
	}
	return c
}
