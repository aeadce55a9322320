package memory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the wrong connection giving way: one that progresses, one that runs,
// or one of a caller that holds little.
func TestVictim(t *testing.T) {
	mb := func(n int64) int64 { return n << 20 }
	for name, x := range map[string]struct {
		holders []Holder
		want    int
	}{
		"none":               {nil, -1},
		"all pinned":         {[]Holder{{Bytes: mb(1), Pinned: true}}, -1},
		"most bytes":         {[]Holder{{Bytes: mb(1)}, {Bytes: mb(2)}, {Bytes: mb(1)}}, 1},
		"least progress":     {[]Holder{{Bytes: mb(1)}, {Bytes: mb(1), Idle: time.Second}}, 1},
		"bytes and progress": {[]Holder{{Bytes: mb(4)}, {Bytes: mb(1), Idle: 5 * time.Second}}, 1},
		"pinned holds most":  {[]Holder{{Bytes: mb(9), Pinned: true}, {Bytes: mb(1)}}, 1},
		"of the dominant workspace": {
			[]Holder{{Workspace: "a", Bytes: mb(3)}, {Workspace: "b", Bytes: mb(2), Idle: time.Minute}, {Workspace: "a", Bytes: mb(1)}}, 0,
		},
		"of the dominant address": {
			[]Holder{{Address: "a", Bytes: mb(1)}, {Address: "b", Bytes: mb(2)}, {Address: "b", Bytes: mb(1)}}, 1,
		},
		"the dominant workspace is pinned": {
			[]Holder{{Workspace: "a", Bytes: mb(9), Pinned: true}, {Workspace: "b", Bytes: mb(1)}}, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(victimOf(x.holders), x.want)
		})
	}
}

// victimOf returns the victim among holders, whose bytes are all that is held.
func victimOf(holders []Holder) int {
	total, workspaces, addresses := int64(0), map[string]int64{}, map[string]int64{}
	for _, h := range holders {
		total += h.Bytes
		workspaces[h.Workspace] += h.Bytes
		addresses[h.Address] += h.Bytes
	}
	return Victim(holders, Dominant(workspaces, total), Dominant(addresses, total))
}
