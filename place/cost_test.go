package place

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a choice that leaves the server which holds a prompt for a short wait,
// and against one that waits for it longer than reading costs.
func TestCostOfAnOffer(t *testing.T) {
	const ms = time.Millisecond
	holds := offer{wait: 100 * ms, read: 20 * ms}
	idle := offer{read: 220 * ms, sharedRead: 200 * ms}
	for name, x := range map[string]struct {
		better, worse offer
	}{
		"holds the prompt":         {holds, idle},
		"idles":                    {idle, offer{wait: 1000 * ms, read: 20 * ms}},
		"free slot":                {holds, offer{wait: 100 * ms, slotWait: 50 * ms, read: 20 * ms}},
		"nothing queued":           {holds, offer{wait: 100 * ms, queuedRead: 50 * ms, read: 20 * ms}},
		"same zone":                {holds, offer{wait: 100 * ms, read: 20 * ms, otherZone: true}},
		"no failures":              {holds, offer{wait: 100 * ms, read: 20 * ms, failureRate: 0.3}},
		"preferred":                {idle, offer{read: 220 * ms, sharedRead: 200 * ms, position: 1}},
		"other zone, shorter wait": {offer{wait: 100 * ms, otherZone: true}, offer{wait: 300 * ms}},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).True(x.better.cost() < x.worse.cost()) })
	}
}
