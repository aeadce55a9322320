package stream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// wantSingle asserts the version that a service certainly had alone for ten seconds; an
// empty one if that is not certain.
func wantSingle(t *testing.T, v *Versions, want string) {
	t.Helper()
	got, ok := v.Single("s", 10*time.Second)
	is := is.New(t)
	is.Equal(got, want)
	is.Equal(ok, want != "")
}

// Guards against a stream that goes on at any server although one of another version has
// just left, or may have before this daemon started.
func TestSingleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := NewVersions()
		is.True(!v.Put("x", "s", "v1"))
		wantSingle(t, v, "")
		v.Listed()
		time.Sleep(9 * time.Second)
		wantSingle(t, v, "")
		time.Sleep(time.Second)
		wantSingle(t, v, "v1")
		v.Put("y", "s", "v2")
		wantSingle(t, v, "")
		v.Remove("x")
		time.Sleep(10 * time.Second)
		wantSingle(t, v, "")
		time.Sleep(time.Millisecond)
		wantSingle(t, v, "v2")
		is.True(v.Put("y", "s", "v1")) // a version that returns
		wantSingle(t, v, "")
		time.Sleep(11 * time.Second)
		wantSingle(t, v, "v1")
		v.Listed() // the history has a gap
		wantSingle(t, v, "")
	})
}

// Guards against a daemon that starts and lets streams go on at any server, or at none
// although other daemons know better.
func TestVersionsOfOtherDaemons(t *testing.T) {
	for name, x := range map[string]struct {
		report Report
		delay  time.Duration
		want   string
	}{
		"long known":       {Report{KnownForMs: 60_000, Services: []ServiceVersions{{"s", []Seen{{Version: "v1"}}}}}, 0, "v1"},
		"known too short":  {Report{KnownForMs: 5_000, Services: []ServiceVersions{{"s", []Seen{{Version: "v1"}}}}}, 0, ""},
		"another one left": {Report{KnownForMs: 60_000, Services: []ServiceVersions{{"s", []Seen{{Version: "v1"}, {"v2", 6_000}}}}}, 0, ""},
		"it left long ago": {Report{KnownForMs: 60_000, Services: []ServiceVersions{{"s", []Seen{{Version: "v1"}, {"v2", 11_000}}}}}, 0, "v1"},
		"nothing known":    {Report{}, 0, ""},
		"told before":      {Report{KnownForMs: 60_000}, 2 * time.Second, ""},
		"malformed":        {Report{KnownForMs: -1, Services: []ServiceVersions{{"s", []Seen{{"v2", -1 << 62}}}}}, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := NewVersions()
				v.Import(x.report)
				time.Sleep(x.delay)
				v.Put("x", "s", "v1")
				v.Listed()
				wantSingle(t, v, x.want)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		old, fresh := NewVersions(), NewVersions()
		old.Put("x", "s", "v1")
		old.Put("y", "s", "v2")
		old.Listed()
		time.Sleep(time.Minute)
		old.Remove("y")
		time.Sleep(7 * time.Second)
		fresh.Put("x", "s", "v1")
		fresh.Listed()
		fresh.Import(old.Export())
		wantSingle(t, fresh, "")
		time.Sleep(4 * time.Second)
		wantSingle(t, fresh, "v1")
		is.New(t).Equal(NewVersions().Export(), Report{})
	})
}
