package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// shortJob returns a job whose shared part is so short that every zone keeps a
// copy.
func (r *rig) shortJob(partID string) *Job {
	j := r.job("w", partID)
	j.Prompt.Tokens = 1300
	j.Prompt.Parts = []wigeonladder.PromptPart{{ID: partID, Tokens: 300}, {ID: j.ID, Tokens: 1000}}
	return j
}

// Guards against calls with a short shared part that are sent to another zone
// because a server there has read the part before.
func TestShortPartsStayInTheZone(t *testing.T) {
	bubble(t, 3, func(t *testing.T, a *rig) {
		is := is.New(t)
		b := newRig(t.Context(), "zone-b", 3)
		for _, r := range []*rig{a, b} {
			for i := range 3 {
				r.Put(wigeonladder.Instance{ID: fmt.Sprintf("n%d", i), Service: "model", Zone: "zone-b", Slots: 8})
			}
		}
		for s := range 12 {
			partID := fmt.Sprintf("s%d", s)
			la := a.acquire(t, a.shortJob(partID))
			is.Equal(la.Instance.Zone, "zone-a")
			b.Import("a", a.Export(), time.Second)
			lb := b.acquire(t, b.shortJob(partID))
			is.Equal(lb.Instance.Zone, "zone-b")
			finish(la)
			finish(lb)
			a.Import("b", b.Export(), time.Second)
			again := a.acquire(t, a.shortJob(partID))
			is.Equal(again.Instance.ID, la.Instance.ID)
			is.Equal(again.CachedTokens, 300)
			finish(again)
		}
	})
}

// Guards against a call with a short shared part that waits for a server in its
// zone although only another zone has available servers.
func TestShortPartsLeaveAZoneWithoutServers(t *testing.T) {
	bubble(t, 2, func(t *testing.T, _ *rig) {
		b := newRig(t.Context(), "zone-b", 2)
		l := b.acquire(t, b.shortJob("s"))
		is.New(t).Equal(l.Instance.Zone, "zone-a")
		finish(l)
	})
}

// Guards against daemons that put further copies of a part on different servers
// when its first preferred server is busy, because they believe different
// things about the load of the servers.
func TestDaemonsAgreeOnFurtherPreferredServers(t *testing.T) {
	bubble(t, 12, func(t *testing.T, a *rig) {
		const seed = 5
		t.Logf("seed %d", seed)
		random := rand.New(rand.NewPCG(seed, seed))
		b := newRig(t.Context(), "zone-b", 12)
		for s := range 12 {
			partID := fmt.Sprintf("s%d", s)
			used := map[string]bool{}
			for _, r := range []*rig{a, b} {
				for i := range 12 {
					r.services["model"].servers[fmt.Sprintf("m%d", i)].own.unreadTokens = random.IntN(500)
				}
			}
			for range 3 {
				la, lb := a.acquire(t, a.job("w", partID)), b.acquire(t, b.job("w", partID))
				is.New(t).Equal(la.Instance.ID, lb.Instance.ID)
				used[la.Instance.ID] = true
				for _, l := range []*Lease{la, lb} {
					l.pool.mu.Lock()
					l.server.own.unreadTokens += 1 << 20
					l.pool.mu.Unlock()
				}
			}
			is.New(t).Equal(len(used), 3)
			for _, r := range []*rig{a, b} {
				r.mu.Lock()
				for _, x := range r.services["model"].servers {
					x.own = load{}
				}
				r.mu.Unlock()
			}
		}
	})
}

// Guards against calls of several daemons that each crash another server, because
// each daemon chooses one by what it has cached.
func TestIsolatedCallsOfAllDaemonsShareAServer(t *testing.T) {
	bubble(t, 6, func(t *testing.T, a *rig) {
		is := is.New(t)
		b := newRig(t.Context(), "zone-b", 6)
		servers := map[string]bool{}
		for i := range 4 {
			for _, r := range []*rig{a, b} {
				j := r.job("w", fmt.Sprint("part", i))
				j.IsolationKey = 7
				l := r.acquire(t, j)
				servers[l.Instance.ID] = true
				finish(l)
			}
		}
		is.Equal(len(servers), 1)
		j := a.job("w", "part")
		j.IsolationKey = 7
		for id := range servers {
			j.ExcludedServers[id] = true
		}
		l := a.acquire(t, j)
		is.True(!servers[l.Instance.ID]) // a retry goes to another server
		finish(l)
	})
}

// Guards against a suspect part that stays suspect, because its calls all go to a
// server that does not answer.
func TestIsolatedCallsAvoidFailingServers(t *testing.T) {
	bubble(t, 3, func(t *testing.T, r *rig) {
		is := is.New(t)
		servers := map[string]bool{}
		for range 3 {
			j := r.job("w", "part")
			j.IsolationKey = 7
			l := r.acquire(t, j)
			servers[l.Instance.ID] = true
			time.Sleep(l.ExpectedFirstToken + j.TargetLatency + 2*sweepPeriod) // silent
			l.End(Inconclusive)
		}
		is.Equal(len(servers), 3)
	})
}
