package place

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/fair"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	// loadTarget and loadDeadline are the target latency and the time limit of the calls
	// of a loadTest.
	loadTarget   = 600 * time.Millisecond
	loadDeadline = 10 * time.Second
	// engineReadRate is the number of tokens that an engine of a loadTest reads in a
	// millisecond.
	engineReadRate = 90
	// loadServers is the number of servers of a loadTest.
	loadServers = 6
	// loadFactorOne is the number of calls a second that its servers begin in time.
	loadFactorOne = 126
)

// loadTest is a fleet of pools whose reports arrive late and which share engines. An
// engine reads the prompts in the order of their arrival.
type loadTest struct {
	pools []*Pool

	mu     sync.Mutex
	freeAt map[string]time.Time
	// The counts of calls by what their callers saw.
	inTime, late, refused, refusedAtOnce int
}

// newLoadTest returns a fleet of a number of daemons without load.
func newLoadTest(ctx context.Context, daemons int) *loadTest {
	f := &loadTest{freeAt: map[string]time.Time{}}
	for i := range daemons {
		name := fmt.Sprintf("d%d", i)
		w := fair.NewWindow(func() int { return daemons })
		p := NewPool(ctx, Options{Name: name, Zone: "zone-a", Shares: fair.NewCounters(fair.Options{HomeIncarnation: name}), Window: w, LiveDaemons: func() int { return daemons }})
		p.SetServices([]route.Service{{Name: "model", Engine: &route.Engine{Slots: 64, CacheTokens: 600000}}})
		w.SetCapacity(4000000)
		for s := range loadServers {
			p.Put(wigeonladder.Instance{ID: fmt.Sprintf("m%d", s), Service: "model", Zone: "zone-a", Slots: 64})
		}
		f.pools = append(f.pools, p)
	}
	return f
}

// exchange delivers the reports of the pools, each reportDelay late, until the context ends.
func (f *loadTest) exchange(ctx context.Context) {
	const reportPeriod, reportDelay = 200 * time.Millisecond, 100 * time.Millisecond
	for ctx.Err() == nil {
		var loads []Report
		var totals [][]fair.WorkspaceTotals
		for _, p := range f.pools {
			loads = append(loads, p.Export())
			totals = append(totals, p.options.Window.Export())
		}
		time.Sleep(reportDelay)
		for from := range f.pools {
			for to, p := range f.pools {
				if to != from {
					p.Import(f.pools[from].options.Name, loads[from], time.Second)
					p.options.Window.Import(f.pools[from].options.Name, totals[from])
				}
			}
		}
		time.Sleep(reportPeriod - reportDelay)
	}
}

// call sends a call of a workspace to a daemon and lets it run.
func (f *loadTest) call(ctx context.Context, p *Pool, id int, workspace string) {
	now := time.Now()
	j := &Job{
		ID: fmt.Sprintf("j%d", id), Service: "model", Workspace: workspace, ArrivedAt: now, TargetLatency: loadTarget, Deadline: now.Add(loadDeadline),
		Prompt: wigeonladder.Prompt{Model: "m", Tokens: 17000, MaxOutputTokens: 100, Parts: []wigeonladder.PromptPart{
			{ID: fmt.Sprintf("%s-%d", workspace, id%5), Tokens: 13300}, {ID: fmt.Sprintf("own-%d", id), Tokens: 3700},
		}},
		ExcludedServers: map[string]bool{},
	}
	l, err := p.Acquire(ctx, j)
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refused++
		if time.Since(now) < loadTarget/8 {
			f.refusedAtOnce++
		}
		return
	}
	l.MarkSent()
	time.Sleep(time.Until(f.read(l)) + firstTokenTime)
	l.RecordFirstToken()
	f.mu.Lock()
	if time.Since(now) <= loadTarget {
		f.inTime++
	} else {
		f.late++
	}
	f.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	l.End(Completed)
}

// read returns when the engine of a lease will have read its prompt.
func (f *loadTest) read(l *Lease) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := f.freeAt[l.Instance.ID]
	if free.Before(time.Now()) {
		free = time.Now()
	}
	f.freeAt[l.Instance.ID] = free.Add(time.Duration(l.UncachedTokens) * time.Millisecond / engineReadRate)
	return f.freeAt[l.Instance.ID]
}

// run sends a multiple of the load that the servers carry for some time. Its calls come
// from four workspaces to all daemons.
func (f *loadTest) run(ctx context.Context, factor float64, d time.Duration) {
	n := int(factor * loadFactorOne * d.Seconds())
	for i := range n {
		go f.call(ctx, f.pools[i%len(f.pools)], i, fmt.Sprintf("w%d", i/len(f.pools)%4))
		time.Sleep(d / time.Duration(n))
	}
}

// loadOutcome returns what became of the calls that a number of daemons got at a multiple
// of the load that the servers carry.
func loadOutcome(t *testing.T, daemons int, factor float64) *loadTest {
	t.Helper()
	var f *loadTest
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f = newLoadTest(ctx, daemons)
		go f.exchange(ctx)
		f.run(ctx, 0.8, 3*time.Second) // caches fill
		time.Sleep(2 * time.Second)
		synctest.Wait()
		f.inTime, f.late, f.refused, f.refusedAtOnce = 0, 0, 0, 0
		f.run(ctx, factor, 10*time.Second)
		time.Sleep(loadDeadline)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	t.Logf("%d daemons, factor %v: %d in time, %d late, %d refused, %d of them at once", daemons, factor, f.inTime, f.late, f.refused, f.refusedAtOnce)
	return f
}

// Guards against an overload in which calls wait in vain before they are refused, or are
// served when they are late, in the place of others.
func TestOverloadIsRefusedAtArrival(t *testing.T) {
	is := is.New(t)
	const daemons = 4
	loadOutcome(t, daemons, 0.8)
	one, two, four := loadOutcome(t, daemons, 1), loadOutcome(t, daemons, 2), loadOutcome(t, daemons, 4)
	is.True((two.refusedAtOnce+four.refusedAtOnce)*10 >= (two.refused+four.refused)*9)
	is.True(two.inTime*10 >= one.inTime*9)
	for _, factor := range []float64{0.8, 1, 2, 4} {
		loadOutcome(t, 1, factor) // one queue for all, for comparison
	}
}
