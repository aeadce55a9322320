package route

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// table returns a table with nested prefixes, a weighted split and a public route.
func table() *Table {
	return NewTable(Document{
		Version: 3,
		Routes: []Route{
			{Name: "outer", Host: "a.example", PathPrefix: "/x/", WeightedServices: []WeightedService{{"s1", 1}}},
			{Name: "inner", Host: "A.example", PathPrefix: "/x/y/", WeightedServices: []WeightedService{{"s1", 90}, {"s2", 10}}},
			{Name: "public", Host: "a.example", PathPrefix: "/open/", Public: true, WeightedServices: []WeightedService{{"s2", 0}}},
		},
		Services:   []Service{{Name: "s1"}, {Name: "s2"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

// Guards against a call that is sent to the route of another host or of a shorter
// prefix.
func TestLongestPrefixOfTheHost(t *testing.T) {
	for path, want := range map[string]string{
		"/x/1": "outer", "/x/y/1": "inner", "/x/y": "outer", "/x/y/?q=/open/": "inner", "/open/": "public",
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			for _, host := range []string{"a.example", "A.EXAMPLE", "a.example:8080"} {
				m, err := table().Match(&wigeonladder.Call{Host: host, Path: path, APIKey: "k2"})
				is.True(err == nil)
				is.Equal(m.Route.Name, want)
			}
		})
	}
	for _, c := range []wigeonladder.Call{{Host: "b.example", Path: "/x/"}, {Host: "a.example", Path: "/xx/"}, {Host: "a.example", Path: "/"}} {
		t.Run("none "+c.Host+c.Path, func(t *testing.T) {
			_, err := table().Match(&c)
			is.New(t).Equal(err.Code, wigeonladder.CodeNoService)
		})
	}
}

// Guards against admitting calls with an unknown or missing key, and against
// public routes that require a key.
func TestKeys(t *testing.T) {
	for name, x := range map[string]struct {
		path, key string
		code      wigeonladder.Code
		workspace string
	}{
		"known":   {"/x/", "k1", 0, "w"},
		"unknown": {"/x/", "k9", wigeonladder.CodeUnknownKey, ""},
		"missing": {"/x/", "", wigeonladder.CodeNoCredential, ""},
		"public":  {"/open/", "k9", 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, err := table().Match(&wigeonladder.Call{Host: "a.example", Path: x.path, APIKey: x.key})
			if err != nil {
				is.Equal(err.Code, x.code)
			} else {
				is.Equal(x.code, wigeonladder.CodeOK)
			}
			is.Equal(m.Workspace, x.workspace)
		})
	}
}

// Guards against a split that gives one call different services, or that does not
// follow the weights.
func TestSplit(t *testing.T) {
	is := is.New(t)
	n := map[string]int{}
	for i := range 2000 {
		c := &wigeonladder.Call{ID: strconv.Itoa(i), Host: "a.example", Path: "/x/y/", APIKey: "k1"}
		m, err := table().Match(c)
		is.True(err == nil)
		again, _ := table().Match(c)
		is.Equal(again.Service.Name, m.Service.Name)
		n[m.Service.Name]++
	}
	is.True(n["s2"] > 140 && n["s2"] < 260)
}

// Guards against a newer version that is replaced by an older one, and against
// keys that are trusted for too long after a confirmation.
func TestTableStore(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	b := NewTableStore(func() time.Duration { return now }, 3*time.Second)
	is.True(!b.KeysTrusted())
	is.True(b.Accept(Document{Version: 5}))
	is.True(!b.Accept(Document{Version: 5}))
	is.True(!b.Accept(Document{Version: 4}))
	is.Equal(b.Table().Version(), int64(5))
	b.Confirm(0)
	now = 3*time.Second - 1
	is.True(b.KeysTrusted())
	now = 3 * time.Second
	is.True(!b.KeysTrusted())
	b.Confirm(2 * time.Second)
	b.Confirm(time.Second)
	is.True(b.KeysTrusted())
}
