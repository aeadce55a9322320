package retry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against memory that grows with the number of workspaces or requests.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	b, s := NewBudget(), NewSuspects()
	for i := range 3 * maxBuckets {
		b.Earn("v", string(rune(i)))
		s.RecordCrash(uint64(i), "a")
		s.Import([]wigeonladder.Suspicion{{Fingerprint: uint64(i) << 32, Servers: []string{"a"}}})
	}
	is.Equal(len(b.buckets), maxBuckets)
	is.Equal(b.recentlyUsed.Len(), maxBuckets)
	is.Equal(len(s.records), maxSuspects)
	is.Equal(s.order.Len(), maxSuspects)
	is.Equal(len(s.Export()), maxExported)
}

// Guards against two daemons that each saw one crash and do not add them up,
// and against an exchange between daemons that extends a suspicion or restores
// a cleared one.
func TestSuspicionsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const fingerprint = 7
		a, b := NewSuspects(), NewSuspects()
		is.True(a.RecordCrash(fingerprint, "s1"))
		is.True(!a.RecordCrash(fingerprint, "s1")) // not new
		is.NoErr(a.CheckQuarantine(fingerprint, ""))
		is.True(b.RecordCrash(fingerprint, "s2"))
		start := time.Now()
		for a.CheckQuarantine(fingerprint, "") != nil || time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond) // the delay of a link
			a.Import(b.Export())
			time.Sleep(100 * time.Millisecond)
			b.Import(a.Export())
			if time.Since(start) < time.Minute {
				expectCode(is, a.CheckQuarantine(fingerprint, ""), wigeonladder.CodeSuspect)
			}
		}
		is.True(time.Since(start) < suspicionLifetime+sameCrashInterval) // the exchange did not extend the suspicion

		is.True(a.RecordCrash(fingerprint, "s1"))
		old := a.Export()
		time.Sleep(time.Second)
		a.Clear(fingerprint)
		b.Import(a.Export())
		for i := range old {
			old[i].AgeMs += time.Second.Milliseconds()
		}
		a.Import(old)
		b.Import(old)
		is.True(!a.IsSuspect(fingerprint)) // an older crash does not undo a clearing
		is.True(!b.IsSuspect(fingerprint))
	})
}

// Guards against a recent crash that the bounded export leaves out, because a
// peer sends its older records with every heartbeat.
func TestExportPrefersRecentRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const fingerprint = 7
		a, b := NewSuspects(), NewSuspects()
		for i := range 2 * maxExported {
			a.RecordCrash(uint64(100+i), "s1")
		}
		b.Import(a.Export())
		time.Sleep(time.Second)
		b.RecordCrash(fingerprint, "s2")
		b.Import(a.Export())
		is.Equal(b.Export()[0].Fingerprint, uint64(fingerprint)) // the last change comes first
	})
}

// Guards against two simultaneous runs of one suspect, and against a wait for
// the other run that never ends.
func TestOneRunOfASuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSuspects()
		s.RecordCrash(1, "a")
		release, isSuspect, err := s.AcquireRun(context.Background(), 1, "")
		is.NoErr(err)
		is.True(isSuspect)
		_, _, err = s.AcquireRun(context.Background(), 1, "")
		expectCode(is, err, wigeonladder.CodeWaitTooLong)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _, err = s.AcquireRun(ctx, 1, "")
		expectCode(is, err, wigeonladder.CodeCallerGone)
		time.AfterFunc(time.Second, release)
		release, isSuspect, err = s.AcquireRun(context.Background(), 1, "")
		is.NoErr(err)
		is.True(isSuspect)
		release()
	})
}

// Guards against different requests that share a fingerprint.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	seen := map[uint64]bool{}
	for _, r := range []wigeonladder.Request{
		{Workspace: "ab", Service: "c"},
		{Workspace: "a", Service: "bc"},
		{Workspace: "a", Service: "b", Path: "c"},
		{Workspace: "a", Service: "b", Body: []byte("c")},
	} {
		is.True(!seen[Fingerprint(r)])
		seen[Fingerprint(r)] = true
		is.Equal(Fingerprint(r), Fingerprint(r.WithTicket("t")))
	}
}
