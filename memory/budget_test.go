package memory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const limit = 1000

// held returns the number of bytes held.
func held(b *Budget) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// inBubble runs a test on virtual time and ends the goroutines of open.
func inBubble(t *testing.T, f func(t *testing.T, b *Budget)) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(limit)
		f(t, b)
		for len(b.holders) > 0 {
			for a := range b.holders {
				a.EndRequest()
				a.Shrink(Head, int(a.sum))
			}
		}
	})
}

// Guards against a caller that stalls and keeps others from being served.
func TestStalledConnectionGivesWay(t *testing.T) {
	inBubble(t, func(t *testing.T, b *Budget) {
		is := is.New(t)
		evictions := 0
		var stalled *Account
		stalled = b.Open("a", func() {
			evictions++
			go stalled.EndRequest()
		})
		is.NoErr(stalled.Grow(Body, 900))
		time.Sleep(time.Second)
		other := b.Open("b", func() { t.Error("the wrong connection was evicted") })
		is.NoErr(other.Grow(Body, 500))
		is.Equal(evictions, 1)
		is.Equal(held(b), int64(500))
	})
}

// Guards against requests that run and are evicted, so that nobody could tell whether
// they ran.
func TestPinnedConnectionStays(t *testing.T) {
	inBubble(t, func(t *testing.T, b *Budget) {
		is := is.New(t)
		running := b.Open("a", func() { t.Error("a running request was evicted") })
		is.NoErr(running.Grow(Body, 700))
		is.True(running.Pin())
		time.Sleep(time.Second)
		other := b.Open("b", func() {})
		is.Equal(other.Grow(Body, 500), ErrShort)
		is.NoErr(other.Grow(Body, 200))
	})
}

// Guards against an evicted connection whose request runs, or that grows on.
func TestEvictedConnectionEnds(t *testing.T) {
	inBubble(t, func(t *testing.T, b *Budget) {
		is := is.New(t)
		victim := b.Open("a", func() {})
		is.NoErr(victim.Grow(Body, 900))
		time.Sleep(time.Second)
		other := b.Open("b", func() {})
		is.Equal(other.Grow(Body, 500), ErrShort) // the victim does not release its bytes
		is.True(victim.Evicted())
		is.True(!victim.Pin())
		is.Equal(victim.Grow(Body, 1), ErrEvicted)
		victim.EndRequest()
		is.NoErr(other.Grow(Body, 500))
	})
}

// Guards against one workspace, or one address, whose running requests take all room.
func TestGroupLeavesRoom(t *testing.T) {
	for name, group := range map[string]func(a *Account, name string){
		"workspace": func(a *Account, name string) { a.SetWorkspace(name) },
		"address":   func(a *Account, name string) { a.address = name },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, b *Budget) {
				is := is.New(t)
				other := b.Open("x", func() {})
				group(other, "other")
				is.NoErr(other.Grow(Body, 10))
				is.True(other.Pin())
				n := 0
				for ; n < 100; n++ {
					a := b.Open("y", func() {})
					group(a, "greedy")
					if a.Grow(Body, 50) != nil {
						break
					}
					is.True(a.Pin())
				}
				is.Equal(n, 15)
				is.NoErr(other.Grow(Body, 200))
			})
		})
	}
}

// Guards against a budget that is exceeded, or that counts bytes nobody holds, in any
// order of its methods.
func TestBudgetIsKept(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			b := NewBudget(limit)
			is := is.New(t)
			synctest.Test(t, func(*testing.T) {
				var accounts []*Account
				for i := range 8 {
					var a *Account
					a = b.Open(fmt.Sprint(i%3), func() { go a.EndRequest() })
					accounts = append(accounts, a)
				}
				for range 2000 {
					a := accounts[r.IntN(len(accounts))]
					switch r.IntN(6) {
					case 0, 1, 2:
						_ = a.Grow(Kind(1+r.IntN(2)), r.IntN(400))
					case 3:
						a.EndRequest()
					case 4:
						a.SetWorkspace(fmt.Sprint(r.IntN(3)))
					case 5:
						if r.IntN(3) > 0 {
							_ = a.Pin()
						} else {
							a.Unpin()
						}
					}
					is.True(held(b) <= limit)
				}
				synctest.Wait()
				for _, a := range accounts {
					a.EndRequest()
				}
			})
			is.Equal(held(b), int64(0))
			is.Equal(b.evicting, int64(0))
			is.Equal(len(b.holders)+len(b.addresses)+len(b.workspaces), 0)
		})
	}
}
