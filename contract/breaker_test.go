package contract

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fake"
)

// end ends a contract with the result code of its attempt.
func (b *bench) end(c wigeonladder.Contract, code wigeonladder.Code) {
	b.is.NoErr(b.ledger.Release(context.Background(), []wigeonladder.Release{
		{ID: c.ID, Usage: wigeonladder.Usage{Failed: code != wigeonladder.CodeOK, Code: code}},
	}))
	synctest.Wait()
}

// unreachable has the load reports of all servers fail, or succeed again. A
// report that is read at the same moment ends first.
func (b *bench) unreachable(err error) {
	time.Sleep(time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadErr = err
}

// attempts asks every 10 ms for some time and ends each contract with a code.
// It returns the number of contracts.
func (b *bench) attempts(vm string, lasts time.Duration, code wigeonladder.Code) int {
	n := 0
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if o := b.ask(vm, "w"); o.OK {
			n++
			b.end(o.Contract, code)
		}
	}
	return n
}

// Guards against a server that fails at once and therefore looks the most free:
// it would get all the work.
func TestDeadServerGetsFewProbes(t *testing.T) {
	run(t, func(b *bench) {
		b.unreachable(fake.ErrCut)
		n := b.attempts("e1", time.Minute, wigeonladder.CodeConnect)
		t.Logf("%d attempts in a minute", n)
		b.is.True(n >= 5) // probes go on, in case that only load reports fail
		b.is.True(n <= 20)
		b.unreachable(nil)
		time.Sleep(loadPeriod + tick)
		b.is.Equal(b.free(), 4)
	}, 4)
}

// Guards against a failed attempt, a lost load report and waiting work that
// together keep a server away after it is back.
func TestReportOpensAgain(t *testing.T) {
	run(t, func(b *bench) {
		b.unreachable(fake.ErrCut)
		b.end(b.ask("e1", "w").Contract, wigeonladder.CodeConnect)
		b.is.Equal(b.free(), 0) // the home does not reach it either
		b.demand("e2", "w", 1, wigeonladder.UrgencyNormal, 0)
		b.unreachable(nil)
		time.Sleep(loadPeriod)
		synctest.Wait()
		b.is.Equal(len(b.entries["e2"].got), 1)
	}, 1)
}

// Guards against one entry's cut link that takes a healthy server away from the
// other entries, and against work of that entry that runs into the cut.
func TestOneEntryCutOff(t *testing.T) {
	run(t, func(b *bench) {
		failed := 0
		for range 3000 {
			if o := b.ask("e1", "w"); o.OK {
				failed++
				b.end(o.Contract, wigeonladder.CodeConnect)
			}
			o := b.ask("e2", "w")
			b.is.True(o.OK)
			b.end(o.Contract, wigeonladder.CodeOK)
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("%d attempts over the cut link in 30 s", failed)
		b.is.True(failed <= 12)
		for end := time.Now().Add(breakMax); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if o := b.ask("e1", "w"); o.OK {
				b.end(o.Contract, wigeonladder.CodeOK) // one good contract
				break
			}
		}
		b.is.True(b.attempts("e1", time.Second, wigeonladder.CodeOK) > 90)
	}, 1)
}

// Guards against waiting work of an entry that is cut off from a server and
// hides the work of others for the free slot.
func TestBlockedEntryHidesNoDemand(t *testing.T) {
	run(t, func(b *bench) {
		b.end(b.ask("e1", "w").Contract, wigeonladder.CodeTimeout)
		b.demand("e1", "w", 1, wigeonladder.UrgencyHigh, 500)
		b.is.Equal(len(b.entries["e1"].got), 0)
		b.demand("e2", "w", 1, wigeonladder.UrgencyNormal, 0)
		b.is.Equal(len(b.entries["e2"].got), 1)
		b.release(b.entries["e2"].got[0], 1, false)
		time.Sleep(breakMin + tick)
		synctest.Wait()
		b.is.Equal(len(b.entries["e1"].got), 1) // the probe
	}, 1)
}

// Guards against a single request that crashes or is refused by a server and
// takes the server away from everybody.
func TestOneRequestBlocksNobody(t *testing.T) {
	for _, code := range []wigeonladder.Code{
		wigeonladder.CodeBroken, wigeonladder.CodeRefused, wigeonladder.CodeBackend, wigeonladder.CodeCallerLost,
	} {
		run(t, func(b *bench) {
			b.end(b.ask("e1", "w").Contract, code)
			b.is.True(b.ask("e1", "w").OK)
		}, 1)
	}
}

// Guards against grants on a server that the home does not hear of, against a
// server that is closed for one lost report, and against a home that alone is
// cut off and keeps a server from entries that reach it.
func TestFailedReportsClose(t *testing.T) {
	run(t, func(b *bench) {
		b.unreachable(fake.ErrCut)
		time.Sleep(loadPeriod)
		b.is.Equal(b.free(), 1)
		time.Sleep(unheardLimit - loadPeriod + breakMin/4)
		b.is.Equal(b.free(), 0)
		time.Sleep(breakMin + tick)
		o := b.ask("e1", "w")
		b.is.True(o.OK)
		b.end(o.Contract, wigeonladder.CodeOK) // the probe tells that it lives
		b.is.True(b.attempts("e1", 10*time.Second, wigeonladder.CodeOK) > 900)
	}, 1)
}

// Guards against requests that hang on a server of a cut zone: the home that
// takes it over has no sign of life of it.
func TestSilentServerGetsNoWork(t *testing.T) {
	run(t, func(b *bench) {
		b.unreachable(context.DeadlineExceeded)
		time.Sleep(unheardLimit + loadPeriod)
		b.is.Equal(b.free(), 0)
		b.is.Equal(b.attempts("e1", time.Minute, wigeonladder.CodeTimeout), 0)
		b.unreachable(nil)
		time.Sleep(loadPeriod + tick)
		b.is.Equal(b.free(), 4)
	}, 4)
}

// Guards against a retry on the server that just failed the request, and
// against a request that waits although only that server is free.
func TestAvoid(t *testing.T) {
	run(t, func(b *bench) {
		ask := func() string {
			o, err := b.ledger.RequestSlot(context.Background(), wigeonladder.SlotRequest{Entry: "e1", Server: "s0", Demand: wigeonladder.Demand{
				Service: "desk", Workspace: "w", Waiting: 1, Avoid: []string{"s0"},
			}})
			b.is.NoErr(err)
			return o.Contract.Server
		}
		b.is.Equal(ask(), "s1")
		b.is.Equal(ask(), "s0")
		b.is.Equal(ask(), "")
	}, 1, 1)
}

// Guards against a server that is kept from an entry although the entry's probe has
// had tokens from it: a free slot then idles while work waits.
func TestTokensOfAProbeEndTheBlock(t *testing.T) {
	run(t, func(b *bench) {
		b.end(b.ask("e1", "w").Contract, wigeonladder.CodeConnect)
		b.is.True(!b.ask("e1", "w").OK)
		time.Sleep(2 * breakMin)
		probe := b.ask("e1", "w")
		b.is.True(probe.OK)
		b.is.True(!b.ask("e1", "w").OK)
		b.is.NoErr(b.ledger.Renew(context.Background(), wigeonladder.Renewal{
			Entry: "e1", Held: []wigeonladder.HeldContract{{Contract: probe.Contract, Cost: 5}},
		}))
		b.is.True(b.ask("e1", "w").OK)
	}, 4)
}
