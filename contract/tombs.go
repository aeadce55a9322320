package contract

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// tombLife is the least time for which an ended contract is remembered. A
// renewal that was sent before the release cannot arrive later than this.
const tombLife = 10 * time.Second

// tombs remembers ended contracts, so that a late renewal does not count them
// again and a late release frees nothing.
type tombs struct {
	young, old map[wigeonladder.ContractID]bool
	turned     time.Time
}

// add remembers an ended contract.
func (t *tombs) add(id wigeonladder.ContractID, now time.Time) {
	if t.young == nil || now.Sub(t.turned) > tombLife {
		t.old = t.young
		t.young = map[wigeonladder.ContractID]bool{}
		t.turned = now
	}
	t.young[id] = true
}

// has reports whether a contract is remembered as ended.
func (t *tombs) has(id wigeonladder.ContractID) bool {
	return t.young[id] || t.old[id]
}
