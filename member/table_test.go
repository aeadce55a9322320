package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against membership changes that take too long to reach every daemon
// when no message is lost: the first start of a fleet, the death of a daemon,
// and its restart under a new incarnation.
func TestConvergence(t *testing.T) {
	bubble(t, func(t *testing.T, s *sim) {
		s.startAll()
		t.Log("first start known after", s.run(20*time.Second, s.converged))
		s.run(5*time.Second, nil)
		victim := s.vms[len(s.vms)/2]
		s.stop(victim.Name)
		t.Log("death known after", s.run(9500*time.Millisecond, s.converged))
		s.run(5*time.Second, nil)
		n := s.start(victim)
		t.Log("restart known after", s.run(10*time.Second, func() bool { return s.converged() && s.allKnow(n.Self()) }))
		if s.falseDeaths() > 0 {
			t.Error("a running daemon is called dead")
		}
	}, 5, 50, 390)
}

// allKnow reports whether all daemons know the incarnation of a record.
func (s *sim) allKnow(r Record) bool {
	for _, t := range s.tables {
		if got, _ := t.Lookup(r.VM); got.Incarnation != r.Incarnation {
			return false
		}
	}
	return true
}

// Guards against running daemons that are called dead because heartbeats are
// lost, and against heartbeat traffic per daemon that grows with the fleet.
func TestLossAndTraffic(t *testing.T) {
	perDaemon := map[int]float64{}
	bubble(t, func(t *testing.T, s *sim) {
		s.startAll()
		s.run(15*time.Second, nil)
		s.lossRate, s.countBytes, s.heartbeats = 0.1, true, 0
		deaths := 0
		const seconds = 20
		for range seconds {
			s.run(time.Second, nil)
			deaths += s.falseDeaths()
		}
		size := float64(len(s.vms))
		perDaemon[len(s.vms)] = float64(s.bytes) / size / seconds
		t.Logf("%.0f bytes/s and %.2f heartbeats/s per daemon, %d false deaths", perDaemon[len(s.vms)], float64(s.heartbeats)/size/seconds, deaths)
		if deaths > 0 {
			t.Errorf("%d false deaths", deaths)
		}
	}, 5, 50, 390)
	is := is.New(t)
	is.True(perDaemon[50] < 3000)
	is.True(raceEnabled || perDaemon[390] < 1.1*perDaemon[50])
}

// Guards against a partition between zones that is not detected, against
// daemons that do not find each other after it ends, and against a flood of
// heartbeats when the zones rejoin.
func TestPartition(t *testing.T) {
	bubble(t, func(t *testing.T, s *sim) {
		s.startAll()
		s.run(15*time.Second, nil)
		inside := map[string]bool{}
		for _, v := range s.vms {
			inside[v.Name] = v.Zone == "zone-0"
		}
		s.partitioned = func(a, b string) bool { return inside[a] != inside[b] }
		separated := func() bool {
			for name, t := range s.tables {
				for _, other := range t.Members() {
					if inside[name] != inside[other] {
						return false
					}
				}
			}
			return true
		}
		t.Log("partition known after", s.run(30*time.Second, separated))
		s.run(10*time.Second, nil)
		s.partitioned = func(string, string) bool { return false }
		s.heartbeats = 0
		// A short window would show single rounds as a high rate.
		const window = 5
		took := s.run(window*time.Second, nil)
		rate := float64(s.heartbeats) / float64(len(s.vms)) / window
		if !s.converged() {
			took += s.run(25*time.Second, s.converged)
		}
		t.Logf("rejoin known within %v with %.1f heartbeats/s per daemon", took, rate)
		if rate > 10 {
			t.Error("the rejoin multiplied the heartbeats")
		}
	}, 5, 50, 390)
}

// Guards against a paused daemon that calls all others dead when it resumes,
// because it received no heartbeats in the meantime.
func TestPause(t *testing.T) {
	bubble(t, func(t *testing.T, s *sim) {
		is := is.New(t)
		s.startAll()
		s.run(10*time.Second, nil)
		name := s.vms[1].Name
		paused := s.tables[name]
		s.stop(name)
		s.run(20*time.Second, s.converged)
		s.run(20*time.Second, nil)
		s.tables[name] = paused
		before := len(paused.Members())
		paused.Tick()
		is.Equal(len(paused.Members()), before)
		t.Log("resume known after", s.run(10*time.Second, s.converged))
	}, 5, 50)
}

// Guards against a fleet that has no homes for a long time after its first
// start, and against homes that move at once to a daemon that has just started.
func TestHysteresis(t *testing.T) {
	bubble(t, func(t *testing.T, s *sim) {
		is := is.New(t)
		for _, v := range s.vms[1:] {
			s.start(v)
		}
		allHaveHomes := func() bool {
			for _, name := range s.names() {
				if s.homes(t, name) == "" {
					return false
				}
			}
			return true
		}
		t.Log("homes at first start after", s.run(1200*time.Millisecond, allHaveHomes))
		t.Log("the same homes for all after another", s.run(5*time.Second, func() bool { return s.homes(t, s.names()...) != "" }))
		s.run(10*time.Second, nil)
		before := s.homes(t, s.names()...)
		n := s.start(s.vms[0])
		s.run(2*time.Second, s.converged)
		is.Equal(s.homes(t, s.names()...), before)
		s.run(4*time.Second, func() bool { l := s.homes(t, s.names()...); return l != "" && l != before })
		n.SetDraining(true)
		s.scheduleEarly(s.vms[0].Name, true)
		t.Log("draining known after", s.run(2*time.Second, func() bool { return s.homes(t, s.names()...) == before }))
		is.Equal(len(n.Members()), len(s.vms))
	}, 5, 50)
}

// homes returns the homes of some servers, or an empty string if the given
// daemons do not agree on them.
func (s *sim) homes(t *testing.T, names ...string) string {
	t.Helper()
	list := ""
	for i := range 200 {
		home := ""
		for _, name := range names {
			vm, ok := s.tables[name].HomeOf(wigeonladder.Server{Name: fmt.Sprint(i), Zone: s.vms[i%3].Zone})
			if !ok || home != "" && vm != home {
				return ""
			}
			home = vm
		}
		list += home + " "
	}
	return list
}

// Guards against a live list that adds or removes members by itself, and
// against a suspect that is not dead at once although the live list lists it as
// leaving.
func TestLiveListSpeedsUpDeath(t *testing.T) {
	bubble(t, func(t *testing.T, s *sim) {
		is := is.New(t)
		s.startAll()
		s.run(10*time.Second, nil)
		applyList := func(vms ...wigeonladder.LiveVM) {
			s.live.Version++
			s.live.VMs = vms
			for _, t := range s.tables {
				t.ApplyRegister(s.vms, s.live)
			}
		}
		applyList(wigeonladder.LiveVM{Name: "vm-099", State: wigeonladder.StateLive}, wigeonladder.LiveVM{Name: "vm-001", State: wigeonladder.StateLeaving})
		s.run(10*time.Second, nil)
		is.True(s.converged())
		s.stop("vm-001")
		took := s.run(4500*time.Millisecond, s.converged)
		t.Log("death of a VM listed as leaving known after", took)
		is.True(s.tables["vm-000"].Gone("vm-001") == false)
		applyList(wigeonladder.LiveVM{Name: "vm-000", State: wigeonladder.StateLive})
		is.True(s.tables["vm-000"].Gone("vm-001"))
	}, 5)
}

// Guards against a leaving server that becomes live because a list arrives that
// is older than the one that applies.
func TestServersFollowTheNewestList(t *testing.T) {
	is := is.New(t)
	all := func(string) bool { return true }
	list := func(version uint64, vms ...wigeonladder.LiveVM) wigeonladder.LiveList {
		return wigeonladder.LiveList{Version: version, VMs: vms}
	}
	live := wigeonladder.LiveVM{Name: "a", State: wigeonladder.StateLive}
	leaving := wigeonladder.LiveVM{Name: "a", State: wigeonladder.StateLeaving}
	s := NewServerStates()
	is.Equal(s.State("a"), wigeonladder.StateLive)
	is.True(s.ApplyPeerList(LeavingList{Version: 5, Servers: []string{"a"}}))
	is.True(!s.ApplyLiveList(list(4, live), all))
	is.True(!s.ApplyPeerList(LeavingList{Version: 5}))
	is.Equal(s.State("a"), wigeonladder.StateLeaving)
	is.True(s.ApplyLiveList(list(6, live), all))
	is.Equal(s.State("a"), wigeonladder.StateLive)
	is.True(s.ApplyLiveList(list(7), all))
	is.Equal(s.State("a"), wigeonladder.StateLeaving)
	is.True(!s.ApplyLiveList(list(8, leaving), all))
	is.Equal(s.Leaving(), LeavingList{Version: 8, Servers: []string{"a"}})
}

// Guards against records that lose fields on the wire, and against malformed
// records that are accepted.
func TestRecordOnTheWire(t *testing.T) {
	is := is.New(t)
	r := Record{VM: "v", Zone: "z", PeerAddress: "1.2.3.4:5", Incarnation: "i", Sequence: 1 << 60, State: Draining, HomeEligible: true, Age: 700 * time.Millisecond}
	for _, want := range []Record{r, r.WithoutAddress()} {
		data, err := want.MarshalJSON()
		is.NoErr(err)
		var got Record
		is.NoErr(got.UnmarshalJSON(data))
		is.Equal(got, want)
	}
	for _, bad := range []string{`[]`, `["v","i",1,4,0]`, `["v","i",1,0,-1]`, `{}`, `["v","i","x"]`} {
		var got Record
		is.True(got.UnmarshalJSON([]byte(bad)) != nil)
	}
}
