package retry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against requests that share nothing but a prompt part and crash one server
// after the other, and against sound requests of the same workspaces and with the
// same first part that are refused with them.
func TestTaintedPartIsQuarantined(t *testing.T) {
	for _, x := range []struct {
		daemons, servers, workspaces int
		// rate is the number of tainted calls in a hundred steps, steps the number
		// of steps.
		rate, steps int
		seeds       uint64
	}{{4, 9, 16, 1, 1500, 20}, {4, 9, 1, 4, 1500, 20}, {30, 60, 16, 12, 1500, 5}, {117, 240, 60, 30, 800, 1}} {
		for seed := range x.seeds {
			t.Run(fmt.Sprintf("%d daemons, seed %d", x.daemons, seed), func(t *testing.T) {
				inFleet(t, seed, x.daemons, x.servers, func(f *fleet) {
					is := is.New(t)
					workspace := func() string { return fmt.Sprint("w", f.random.IntN(x.workspaces)) }
					for n := range x.steps {
						if f.random.IntN(100) < x.rate {
							f.send(f.random.IntN(x.daemons), f.keysOf(workspace(), "first", "tainted"), true)
						}
						if f.random.IntN(100) < 5 {
							f.sendSound(workspace(), "first")
						}
						f.sendSound(workspace(), fmt.Sprint("part", f.random.IntN(100)))
						f.step(n)
					}
					t.Logf("%d crashes, %d tainted calls sent, %d of %d sound calls refused", len(f.crashedAt), len(f.tainted), f.refused, f.sound)
					is.True(f.taintedAfter(5) <= 3)
					is.Equal(f.refused, 0)
				})
			})
		}
	}
}

// Guards against parts that are held responsible for servers which crash by themselves,
// many at once and repeatedly.
func TestUnrelatedCrashesQuarantineNothing(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			daemons := 4 + 8*int(seed%4)
			inFleet(t, seed, daemons, 2*daemons, func(f *fleet) {
				is := is.New(t)
				for n := range 3000 {
					if n%400 == 100 {
						for _, s := range f.servers[:1+f.random.IntN(len(f.servers))] {
							f.crash(s)
						}
					}
					f.sendSound(fmt.Sprint("w", f.random.IntN(16)), fmt.Sprint("first", f.random.IntN(4)), fmt.Sprint("part", f.random.IntN(150)))
					f.step(n)
				}
				is.Equal(f.refused, 0)
				for _, d := range f.daemons {
					is.Equal(d.QuarantinedParts(), 0)
				}
			})
		})
	}
}

// Guards against daemons that restart, or return from a partition, and have to lose
// servers of their own before they refuse a tainted part.
func TestQuarantineIsLearned(t *testing.T) {
	inFleet(t, 1, 6, 9, func(f *fleet) {
		is := is.New(t)
		f.cut = 3
		run := func(steps int, daemons ...int) {
			for n := range steps {
				if n%20 == 0 {
					f.send(daemons[f.random.IntN(len(daemons))], f.keysOf(fmt.Sprint("w", n%7), "first", "tainted"), true)
				}
				f.step(n)
			}
		}
		run(500, 0, 1, 2)
		before := len(f.tainted)
		is.True(f.taintedAfter(5) <= 3)
		f.daemons[1] = NewSuspects()
		f.cut = 0
		for n := range 150 {
			f.step(n)
		}
		run(500, 1, 3, 4, 5)
		is.Equal(len(f.tainted), before)
	})
}

// Guards against a workspace that names the part of another one in calls which crash
// servers, so that the calls of the other one are refused.
func TestWorkspaceCannotQuarantinePartOfAnother(t *testing.T) {
	inFleet(t, 1, 2, 9, func(f *fleet) {
		is := is.New(t)
		for n := range 1000 {
			if n%60 == 0 {
				f.send(0, f.keysOf("attacker", "shared"), true)
			}
			if n%300 == 299 {
				f.sendSound("victim", "shared")
			}
			f.step(n)
		}
		is.True(f.sound > 0)
		is.Equal(f.refused, 0)
	})
}

// Guards against a quarantine that never ends, and against one after whose end more
// than a few calls reach servers while tainted calls go on.
func TestQuarantineEndsWithTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSuspects()
		f := &fleet{random: rngOf(1)}
		crashes := 0
		try := func(server string) bool {
			k := f.keysOf("w", "tainted")
			if s.AdmitCall(k, "") != nil {
				return false
			}
			sentAt := time.Now()
			time.Sleep(time.Millisecond)
			s.RecordCallCrash(k, server, time.Now(), sentAt)
			crashes++
			return true
		}
		for n := range 3 * 3600 {
			try(fmt.Sprint("server-", n))
			time.Sleep(time.Second)
		}
		is.True(crashes >= 3)                   // the part is tried again
		is.True(crashes <= quarantineCrashes+3) // but seldom while it crashes servers

		time.Sleep(30 * time.Hour)
		k := f.keysOf("w", "tainted")
		is.NoErr(s.AdmitCall(k, ""))
		is.NoErr(s.AdmitCall(k, ""))                                                        // a long request is checked twice
		expectCode(is, s.AdmitCall(f.keysOf("w", "tainted"), ""), wigeonladder.CodeSuspect) // one trial at a time
		s.RecordAnswer(k)
		is.NoErr(s.AdmitCall(f.keysOf("w", "tainted"), ""))
		is.Equal(s.IsolationKey(f.keysOf("w", "tainted")), uint64(0))
	})
}

// Guards against parts that are quarantined because they are always used beside a
// tainted one: a call with only one of them shows which it is.
func TestPartsWithTheSameCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSuspects()
		f := &fleet{random: rngOf(1)}
		for i := range 2 {
			sentAt := time.Now()
			time.Sleep(time.Second)
			s.RecordCallCrash(f.keysOf("w", "first", "tainted"), fmt.Sprint("server-", i), time.Now(), sentAt)
			time.Sleep(time.Second)
		}
		expectCode(is, s.CheckCall(f.keysOf("w", "first", "tainted"), ""), wigeonladder.CodeSuspect)
		is.NoErr(s.CheckCall(f.keysOf("other", "first", "tainted"), "")) // seen with one workspace only
		onlyFirst := f.keysOf("w", "first")
		is.NoErr(s.CheckCall(onlyFirst, ""))
		is.True(s.IsolationKey(onlyFirst) != 0)
		is.NoErr(s.CheckCall(f.keysOf("w", "tainted"), ""))
		s.RecordAnswer(onlyFirst)
		is.Equal(s.IsolationKey(onlyFirst), uint64(0))
		expectCode(is, s.CheckCall(f.keysOf("w", "tainted"), ""), wigeonladder.CodeSuspect)
		is.NoErr(s.CheckCall(onlyFirst, ""))
	})
}

// Guards against a report that arrives late and makes a cleared part suspect again, or
// clears one that crashed a server since.
func TestReportsOfPartsCross(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := NewSuspects(), NewSuspects()
		f := &fleet{random: rngOf(1)}
		k := f.keysOf("w", "part")
		a.RecordCallCrash(k, "server-1", time.Now(), time.Now())
		time.Sleep(time.Second)
		old := a.Export()
		a.RecordAnswer(k)
		cleared := a.Export()
		b.Import(cleared)
		for i := range old {
			old[i].AgeMs += 100
			if old[i].Part {
				old[i].CrashAgesMs[0] += 100
			}
		}
		time.Sleep(100 * time.Millisecond)
		b.Import(old)
		a.Import(old)
		is.Equal(a.IsolationKey(k), uint64(0))
		is.Equal(b.IsolationKey(k), uint64(0))
		b.RecordCallCrash(k, "server-2", time.Now(), time.Now())
		for i := range cleared {
			if cleared[i].Part {
				cleared[i].AgeMs += 100
				cleared[i].ClearedAgeMs += 100
			}
		}
		b.Import(cleared)
		is.True(b.IsolationKey(k) != 0)
		a.Import(b.ExportChanges())
		is.True(a.IsolationKey(k) != 0)
	})
}

// Guards against a quarantined part that is forgotten when many servers crash under
// many other calls.
func TestQuarantinedPartsAreNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSuspects()
		f := &fleet{random: rngOf(1)}
		for i := range 2 {
			sentAt := time.Now()
			time.Sleep(time.Second)
			s.RecordCallCrash(f.keysOf("w", "tainted"), fmt.Sprint("server-", i), time.Now(), sentAt)
			time.Sleep(time.Second)
		}
		for i := range 2 * maxSuspects {
			s.RecordCallCrash(f.keysOf("w", fmt.Sprint("part-", i)), fmt.Sprint("other-", i), time.Now(), time.Now())
		}
		is.Equal(len(s.records), maxSuspects)
		is.True(len(s.pending) <= maxSuspects)
		is.Equal(len(s.crashLog.times), maxLoggedCrashes)
		expectCode(is, s.CheckCall(f.keysOf("w", "tainted"), ""), wigeonladder.CodeSuspect)
		is.True(s.Export()[0].Part)
		is.Equal(len(s.ExportChanges()), maxExportedChanges)
	})
}

// Guards against a clearing that looks later with each report, because each daemon adds
// the delay of the one before it, and that clears crashes which came after it.
func TestClearingsDoNotMove(t *testing.T) {
	inFleet(t, 1, 60, 90, func(f *fleet) {
		is := is.New(t)
		k := f.keysOf("w0", "part")
		f.daemons[0].RecordCallCrash(k, "server-x", time.Now(), time.Now())
		for n := range 100 {
			f.step(n)
		}
		f.daemons[1].RecordAnswer(k)
		for n := range 2000 {
			f.step(n)
		}
		age := time.Since(f.daemons[5].records[k.Parts[0]].Value.(*suspect).clearedAt)
		t.Logf("the clearing seems %v old", age)
		is.True(age >= 19*time.Second)
		for n := range 800 {
			if n%10 == 0 {
				f.send(f.random.IntN(60), f.keysOf(fmt.Sprint("w", n%7), "part"), true)
			}
			f.step(n)
		}
		t.Logf("%d crashes, %d tainted calls sent", len(f.crashedAt), len(f.tainted))
		is.True(f.taintedAfter(5) <= 3)
	})
}

// Guards against a crash that several workspaces saw and that counts for one of them.
func TestWorkspacesOfOneCrashAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := NewSuspects(), NewSuspects()
		f := &fleet{random: rngOf(1)}
		for i := range 2 {
			sentAt := time.Now()
			time.Sleep(time.Second)
			server := fmt.Sprint("server-", i)
			a.RecordCallCrash(f.keysOf("v", "tainted"), server, time.Now(), sentAt)
			b.RecordCallCrash(f.keysOf("w", "tainted"), server, time.Now(), sentAt)
			time.Sleep(time.Second)
		}
		is.NoErr(a.CheckCall(f.keysOf("x", "tainted"), "")) // seen with one workspace only
		a.Import(b.Export())
		expectCode(is, a.CheckCall(f.keysOf("x", "tainted"), ""), wigeonladder.CodeSuspect)
	})
}

// Guards against a daemon that ends when a quarantined part is evicted, because more
// parts are quarantined than records are kept.
func TestEvictedPartIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSuspects()
		f := &fleet{random: rngOf(1)}
		for i := range 2 {
			sentAt := time.Now()
			time.Sleep(time.Second)
			s.RecordCallCrash(f.keysOf("w", "tainted"), fmt.Sprint("server-", i), time.Now(), sentAt)
			time.Sleep(time.Second)
		}
		is.Equal(s.QuarantinedParts(), 1)
		for range 3 { // two calls and the part
			s.evict()
		}
		is.NoErr(s.CheckCall(f.keysOf("w", "tainted"), ""))
		is.Equal(s.QuarantinedParts(), 0)
	})
}
