package entry

import (
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// recalledLife is the least time for which a recalled contract is remembered.
const recalledLife = 10 * time.Second

// recalled remembers contracts that were recalled before they arrived.
type recalled struct {
	young, old map[wigeonladder.ContractID]bool
	turned     time.Time
}

// add remembers a recalled contract.
func (r *recalled) add(id wigeonladder.ContractID, now time.Time) {
	if r.young == nil || now.Sub(r.turned) > recalledLife {
		r.old = r.young
		r.young = map[wigeonladder.ContractID]bool{}
		r.turned = now
	}
	r.young[id] = true
}

// has reports whether a contract was recalled.
func (r *recalled) has(id wigeonladder.ContractID) bool {
	return r.young[id] || r.old[id]
}
