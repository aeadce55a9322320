package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against daemons that do not find each other, miss a death or take long
// for it.
func TestJoinAndDeath(t *testing.T) {
	for _, size := range []int{2, 5, 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.startAll()
				t.Log("all known after", f.within(5*time.Second, "all known", f.agree))
				time.Sleep(5 * time.Second)
				f.nodes["vm-001"].cancel()
				t.Log("death known after", f.within(10*time.Second, "death known", f.agree))
				f.start(1, "b", f.config)
				t.Log("restart known after", f.within(10*time.Second, "restart known", f.agree))
				f.stop()
			})
		})
	}
}

// Guards against lost result codes, and against a long call that delays others
// on the same connection.
func TestRolesOverLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		f.startAll()
		a, b := f.nodes["vm-000"], f.nodes["vm-001"]
		f.within(5*time.Second, "all known", f.agree)
		done := make(chan string)
		go func() {
			out, err := a.Forward(t.Context(), "vm-001", "inc", wigeonladder.Request{Path: "/x"})
			done <- fmt.Sprint(string(out.Body), err)
		}()
		time.Sleep(20 * time.Second)
		offer, err := a.Home("vm-001").Ask(t.Context(), wigeonladder.Ask{})
		is.NoErr(err)
		is.Equal(offer.Free, 7)
		for i := range 100 {
			is.NoErr(a.Home("vm-001").Demand(t.Context(), wigeonladder.DemandReport{Entry: "vm-000", Demands: []wigeonladder.Demand{{Waiting: i}}}))
		}
		for i, d := range b.demands {
			is.Equal(d.Demands[0].Waiting, i)
		}
		is.NoErr(a.Entry("vm-001").Grant(t.Context(), make([]wigeonladder.Contract, 3)))
		is.Equal(b.grants, 3)
		err = a.Home("vm-001").Renew(t.Context(), wigeonladder.Renewal{})
		is.Equal(err, wigeonladder.Errorf(wigeonladder.CodeContract, "here", "too late").WithRetryAfter(3))
		is.Equal(a.Home("vm-001").Release(t.Context(), nil).Error(), "peer answered: plain")
		close(b.block)
		is.Equal(<-done, "inc/x<nil>")
		f.stop()
	})
}
