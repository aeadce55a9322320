package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonladder/wigeonladder"
)

const (
	fleetStep   = 10 * time.Millisecond
	answerDelay = 200 * time.Millisecond
	downTime    = 3 * time.Second
	reportDelay = 200 * time.Millisecond
	// contactTime is the time within which the daemons have to agree.
	contactTime = 3 * time.Second
)

// fleet is a number of daemons, of which only the Suspects exist, in front of servers
// that crash when they begin to answer a call with a tainted part.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	daemons []*Suspects
	servers []*fleetServer
	running []*fleetCall
	// cut separates the daemons below it from the others; 0 for no cut.
	cut int
	// crashedAt holds the times of the crashes that tainted calls caused, tainted
	// those at which such calls were sent.
	crashedAt, tainted []time.Time
	// sound counts the sound calls, refused those of them that were refused.
	sound, refused int
}

// fleetServer is a server that starts again after a crash.
type fleetServer struct {
	name        string
	incarnation int
	downUntil   time.Time
}

// fleetCall is a call that runs.
type fleetCall struct {
	daemon   *Suspects
	keys     CallKeys
	server   *fleetServer
	sentAt   time.Time
	answerAt time.Time
	tainted  bool
}

// rngOf returns the random numbers of a seed.
func rngOf(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// inFleet runs a test with a fleet on virtual time.
func inFleet(t *testing.T, seed uint64, daemons, servers int, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, random: rngOf(seed)}
		for range daemons {
			f.daemons = append(f.daemons, NewSuspects())
		}
		for i := range servers {
			f.servers = append(f.servers, &fleetServer{name: fmt.Sprint("server-", i)})
		}
		test(f)
	})
}

// keysOf returns the keys of a new call of a workspace with shared parts.
func (f *fleet) keysOf(workspace string, parts ...string) CallKeys {
	p := wigeonladder.Prompt{Model: "m"}
	for _, id := range append(parts, "own") {
		p.Parts = append(p.Parts, wigeonladder.PromptPart{ID: id, Tokens: 1})
	}
	body := fmt.Append(nil, f.random.Uint64())
	return NewCallKeys(wigeonladder.Request{Workspace: workspace, Service: "s", Body: body}, p)
}

// send sends a call over a daemon and reports whether it was not refused.
func (f *fleet) send(daemon int, k CallKeys, tainted bool) bool {
	d := f.daemons[daemon]
	if d.CheckCall(k, "") != nil || d.AdmitCall(k, "") != nil {
		return false
	}
	c := &fleetCall{daemon: d, keys: k, sentAt: time.Now(), tainted: tainted}
	c.answerAt = c.sentAt.Add(answerDelay/2 + time.Duration(f.random.Int64N(int64(answerDelay))))
	c.server = f.choose(d.IsolationKey(k))
	if c.server == nil {
		return true
	}
	if tainted {
		f.tainted = append(f.tainted, time.Now())
	}
	f.running = append(f.running, c)
	return true
}

// choose returns the server of a call; nil if all are down.
func (f *fleet) choose(isolationKey uint64) *fleetServer {
	up := slices.DeleteFunc(slices.Clone(f.servers), func(s *fleetServer) bool { return time.Now().Before(s.downUntil) })
	if len(up) == 0 {
		return nil
	}
	if isolationKey == 0 {
		return up[f.random.IntN(len(up))]
	}
	return slices.MinFunc(up, func(a, b *fleetServer) int {
		return int(int64(partFingerprint(a.name, "", fmt.Sprint(isolationKey)) - partFingerprint(b.name, "", fmt.Sprint(isolationKey))))
	})
}

// crash ends the current incarnation of a server.
func (f *fleet) crash(s *fleetServer) {
	name := fmt.Sprintf("%s/%d", s.name, s.incarnation)
	s.incarnation++
	s.downUntil = time.Now().Add(downTime)
	f.running = slices.DeleteFunc(f.running, func(c *fleetCall) bool {
		if c.server != s {
			return false
		}
		c.daemon.RecordCallCrash(c.keys, name, time.Now(), c.sentAt)
		return true
	})
}

// step lets a short time pass: calls are answered or crash their servers, and reports
// go to the other daemons.
func (f *fleet) step(n int) {
	time.Sleep(fleetStep)
	now := time.Now()
	for _, c := range slices.Clone(f.running) {
		switch {
		case now.Before(c.answerAt) || !slices.Contains(f.running, c):
		case c.tainted:
			f.crashedAt = append(f.crashedAt, now)
			f.crash(c.server)
		default:
			c.daemon.RecordAnswer(c.keys)
			f.running = slices.DeleteFunc(f.running, func(x *fleetCall) bool { return x == c })
		}
	}
	for i, d := range f.daemons {
		var l []wigeonladder.Suspicion
		if n%5 == 0 {
			l = d.ExportChanges()
		}
		if (n+17*i)%100 == 0 {
			l = append(l, d.Export()...)
		}
		for k, other := range f.daemons {
			if k != i && len(l) > 0 && (f.cut == 0 || (i < f.cut) == (k < f.cut)) {
				time.AfterFunc(reportDelay, func() { other.Import(l) })
			}
		}
	}
}

// sendSound sends a sound call with some probability.
func (f *fleet) sendSound(workspace string, parts ...string) {
	f.sound++
	if !f.send(f.random.IntN(len(f.daemons)), f.keysOf(workspace, parts...), false) {
		f.refused++
	}
}

// taintedAfter returns the number of tainted calls that were sent later than
// contactTime after the n-th crash.
func (f *fleet) taintedAfter(n int) int {
	if len(f.crashedAt) < n {
		return 0
	}
	count := 0
	for _, t := range f.tainted {
		if t.After(f.crashedAt[n-1].Add(contactTime)) {
			count++
		}
	}
	return count
}
