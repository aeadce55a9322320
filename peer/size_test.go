package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against a call whose request or answer is not counted as traffic. It
// also logs the size of each kind of message.
func TestMessageSizes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.startAll()
		f.waitWithin(5*time.Second, "all known", f.converged)
		a := f.nodes["vm-000"]
		close(f.nodes["vm-001"].unblockForwarded)
		home, entry := a.Home("vm-001"), a.Entry("vm-001")
		k := wigeonladder.Contract{ID: wigeonladder.ContractID{HomeIncarnation: "01234567", Number: 12345}, Server: "engine-12", Service: "nib-scribe", Workspace: "workspace-7", Entry: "vm-000", Estimate: 900}
		d := wigeonladder.Demand{Service: k.Service, Workspace: k.Workspace, Waiting: 3, Urgency: 1, OldestWaitMs: 120, Estimate: 900}
		_, _ = home.RequestSlot(t.Context(), wigeonladder.SlotRequest{Entry: k.Entry, Demand: d})
		_ = home.ReportDemand(t.Context(), wigeonladder.DemandReport{Entry: k.Entry, Demands: []wigeonladder.Demand{d}})
		_ = home.Renew(t.Context(), wigeonladder.Renewal{Entry: k.Entry, Held: []wigeonladder.HeldContract{{Contract: k, Cost: 55}}})
		_ = home.Release(t.Context(), []wigeonladder.Release{{ID: k.ID, Usage: wigeonladder.Usage{Cost: 950}}})
		_ = entry.Grant(t.Context(), []wigeonladder.Contract{k})
		_ = entry.Recall(t.Context(), []wigeonladder.ContractID{k.ID})
		_, _ = a.EntryHoldsContract(t.Context(), "vm-001", k.Server)
		_, _ = a.Forward(t.Context(), "vm-001", "i", wigeonladder.Request{Path: "/x", Ticket: "vm:i:1:abc", Body: make([]byte, 100)})
		out, in := a.Traffic().Out, a.Traffic().In
		for _, method := range []string{methodRequestSlot, methodReportDemand, methodRenew, methodRelease, methodGrant, methodRecall, methodHoldsContract, methodForward} {
			t.Logf("%s: request %d bytes, answer %d bytes", method, out[method].Bytes, in[method].Bytes)
			if out[method].Messages != 1 || in[method].Messages != 1 {
				t.Errorf("%s: %d sent, %d received, want 1 each", method, out[method].Messages, in[method].Messages)
			}
		}
		f.stop()
	})
}
