package contract

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// releaseWithCode releases a contract with the result code of its attempt.
func (b *rig) releaseWithCode(c wigeonladder.Contract, code wigeonladder.Code) {
	b.is.NoErr(b.ledger.Release(context.Background(), []wigeonladder.Release{
		{ID: c.ID, Usage: wigeonladder.Usage{Failed: code != wigeonladder.CodeOK, Code: code}},
	}))
	synctest.Wait()
}

// setLoadError makes the load requests of all servers fail, or succeed again if
// err is nil. The sleep lets a load request of the same moment end first.
func (b *rig) setLoadError(err error) {
	time.Sleep(time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadErr = err
}

// countAttempts requests a slot every 10 ms for some time, releases each
// contract with the code and returns the number of contracts.
func (b *rig) countAttempts(vm string, lasts time.Duration, code wigeonladder.Code) int {
	n := 0
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if o := b.requestSlot(vm, "w"); o.OK {
			n++
			b.releaseWithCode(o.Contract, code)
		}
	}
	return n
}

// Guards against a server that gets all requests because each of them fails at
// once, so that the server always has the most free slots.
func TestUnreachableServerGetsFewProbes(t *testing.T) {
	run(t, func(b *rig) {
		b.setLoadError(fake.ErrLinkCut)
		n := b.countAttempts("e1", time.Minute, wigeonladder.CodeConnect)
		t.Logf("%d attempts in a minute", n)
		b.is.True(n >= 5) // probes continue, in case only the load requests fail
		b.is.True(n <= 20)
		b.setLoadError(nil)
		time.Sleep(loadInterval + refreshInterval)
		b.is.Equal(b.free(), 4)
	}, 4)
}

// Guards against a breaker that stays open after the server is back, when an
// attempt has failed, a load request has failed and requests wait.
func TestLoadReportClosesBreaker(t *testing.T) {
	run(t, func(b *rig) {
		b.setLoadError(fake.ErrLinkCut)
		b.releaseWithCode(b.requestSlot("e1", "w").Contract, wigeonladder.CodeConnect)
		b.is.Equal(b.free(), 0) // the home does not reach the server either
		b.reportDemand("e2", "w", 1, wigeonladder.UrgencyNormal, 0)
		b.setLoadError(nil)
		time.Sleep(loadInterval)
		synctest.Wait()
		b.is.Equal(len(b.entries["e2"].granted), 1)
	}, 1)
}

// Guards against the cut link of one entry that takes a healthy server away
// from the other entries, and against requests of that entry that are sent over
// the cut link.
func TestCutLinkBlocksOneEntry(t *testing.T) {
	run(t, func(b *rig) {
		failed := 0
		for range 3000 {
			if o := b.requestSlot("e1", "w"); o.OK {
				failed++
				b.releaseWithCode(o.Contract, wigeonladder.CodeConnect)
			}
			o := b.requestSlot("e2", "w")
			b.is.True(o.OK)
			b.releaseWithCode(o.Contract, wigeonladder.CodeOK)
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("%d attempts over the cut link in 30 s", failed)
		b.is.True(failed <= 12)
		for end := time.Now().Add(maxProbeDelay); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if o := b.requestSlot("e1", "w"); o.OK {
				b.releaseWithCode(o.Contract, wigeonladder.CodeOK) // one successful attempt
				break
			}
		}
		b.is.True(b.countAttempts("e1", time.Second, wigeonladder.CodeOK) > 90)
	}, 1)
}

// Guards against the demand of an entry that is cut off from a server, which
// hides the demand of other entries for the free slot.
func TestBlockedEntryHidesNoDemand(t *testing.T) {
	run(t, func(b *rig) {
		b.releaseWithCode(b.requestSlot("e1", "w").Contract, wigeonladder.CodeTimeout)
		b.reportDemand("e1", "w", 1, wigeonladder.UrgencyHigh, 500)
		b.is.Equal(len(b.entries["e1"].granted), 0)
		b.reportDemand("e2", "w", 1, wigeonladder.UrgencyNormal, 0)
		b.is.Equal(len(b.entries["e2"].granted), 1)
		b.release(b.entries["e2"].granted[0], 1, false)
		time.Sleep(minProbeDelay + refreshInterval)
		synctest.Wait()
		b.is.Equal(len(b.entries["e1"].granted), 1) // the probe
	}, 1)
}

// Guards against a single request that crashes a server or is refused by it,
// and takes the server away from all entries.
func TestCrashedRequestOpensNoBreaker(t *testing.T) {
	for _, code := range []wigeonladder.Code{
		wigeonladder.CodeBroken, wigeonladder.CodeRefused, wigeonladder.CodeBackend, wigeonladder.CodeCallerLost,
	} {
		run(t, func(b *rig) {
			b.releaseWithCode(b.requestSlot("e1", "w").Contract, code)
			b.is.True(b.requestSlot("e1", "w").OK)
		}, 1)
	}
}

// Guards against grants on a server that the home does not reach, against a
// breaker that opens after one failed load request, and against a home that
// alone is cut off and keeps a server from entries that reach it.
func TestFailedLoadReportsOpenBreaker(t *testing.T) {
	run(t, func(b *rig) {
		b.setLoadError(fake.ErrLinkCut)
		time.Sleep(loadInterval)
		b.is.Equal(b.free(), 1)
		time.Sleep(unreachedLimit - loadInterval + minProbeDelay/4)
		b.is.Equal(b.free(), 0)
		time.Sleep(minProbeDelay + refreshInterval)
		o := b.requestSlot("e1", "w")
		b.is.True(o.OK)
		b.releaseWithCode(o.Contract, wigeonladder.CodeOK) // the probe shows that the server is alive
		b.is.True(b.countAttempts("e1", 10*time.Second, wigeonladder.CodeOK) > 900)
	}, 1)
}

// Guards against requests that hang on a server of a zone that is cut off: the
// home that takes it over gets no answer to its load requests.
func TestTimedOutLoadReportsPreventGrants(t *testing.T) {
	run(t, func(b *rig) {
		b.setLoadError(context.DeadlineExceeded)
		time.Sleep(unreachedLimit + loadInterval)
		b.is.Equal(b.free(), 0)
		b.is.Equal(b.countAttempts("e1", time.Minute, wigeonladder.CodeTimeout), 0)
		b.setLoadError(nil)
		time.Sleep(loadInterval + refreshInterval)
		b.is.Equal(b.free(), 4)
	}, 4)
}

// Guards against a retry on the server that just failed the request, and
// against a request that waits although that server has a free slot and no
// other has.
func TestAvoidedServerIsTakenLast(t *testing.T) {
	run(t, func(b *rig) {
		grantedServer := func() string {
			o, err := b.ledger.RequestSlot(context.Background(), wigeonladder.SlotRequest{Entry: "e1", Server: "s0", Demand: wigeonladder.Demand{
				Service: "desk", Workspace: "w", Waiting: 1, Avoid: []string{"s0"},
			}})
			b.is.NoErr(err)
			return o.Contract.Server
		}
		b.is.Equal(grantedServer(), "s1")
		b.is.Equal(grantedServer(), "s0")
		b.is.Equal(grantedServer(), "")
	}, 1, 1)
}

// Guards against a breaker that keeps a server from an entry although the
// entry's probe received tokens from it: free slots then stay idle while
// requests wait.
func TestTokensOfAProbeCloseEntryBreaker(t *testing.T) {
	run(t, func(b *rig) {
		b.releaseWithCode(b.requestSlot("e1", "w").Contract, wigeonladder.CodeConnect)
		b.is.True(!b.requestSlot("e1", "w").OK)
		time.Sleep(2 * minProbeDelay)
		probe := b.requestSlot("e1", "w")
		b.is.True(probe.OK)
		b.is.True(!b.requestSlot("e1", "w").OK)
		b.is.NoErr(b.ledger.Renew(context.Background(), wigeonladder.Renewal{
			Entry: "e1", Held: []wigeonladder.HeldContract{{Contract: probe.Contract, Cost: 5}},
		}))
		b.is.True(b.requestSlot("e1", "w").OK)
	}, 4)
}
