package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

// Table is the index of one Document. It is immutable.
type Table struct {
	doc        Document
	hosts      map[string][]Route
	services   map[string]Service
	workspaces map[string]Workspace
}

// NewTable returns the index of a document.
func NewTable(d Document) *Table {
	t := &Table{
		doc:        d,
		hosts:      map[string][]Route{},
		services:   map[string]Service{},
		workspaces: map[string]Workspace{},
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for _, w := range d.Workspaces {
		for _, k := range w.Keys {
			t.workspaces[k] = w
		}
	}
	return t
}

// Version returns the version of the document.
func (t *Table) Version() int64 { return t.doc.Version }

// Limits returns the limits of the document.
func (t *Table) Limits() Limits { return t.doc.Limits }

// Service returns the service with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match is the result of matching a call against a Table.
type Match struct {
	Route     Route
	Service   Service
	Workspace string
	Version   int64
}

// Match returns the route, the service and the workspace of a call. The error
// has CodeNoService, CodeNoCredential or CodeUnknownKey.
func (t *Table) Match(c *wigeonladder.Call) (Match, *wigeonladder.Error) {
	r, ok := t.route(c.Host, c.Path)
	if !ok {
		return Match{}, wigeonladder.Errorf(wigeonladder.CodeNoService, "", "no route for host %q and path %q in version %d", c.Host, c.Path, t.doc.Version)
	}
	m := Match{Route: r, Version: t.doc.Version}
	if len(t.doc.Workspaces) > 0 && !r.Public {
		w, ok := t.workspaces[c.APIKey]
		if c.APIKey == "" {
			return m, wigeonladder.Errorf(wigeonladder.CodeNoCredential, "", "no API key")
		}
		if !ok {
			return m, wigeonladder.Errorf(wigeonladder.CodeUnknownKey, "", "the API key belongs to no workspace in version %d", t.doc.Version)
		}
		m.Workspace = w.Name
	}
	m.Service = t.serviceNamed(r.pickService(c.ID))
	return m, nil
}

// WithService returns a match with another service of its route.
func (t *Table) WithService(m Match, name string) Match {
	m.Service = t.serviceNamed(name)
	return m
}

// serviceNamed returns the service with a name, also if the document does not describe it.
func (t *Table) serviceNamed(name string) Service {
	if s, ok := t.services[name]; ok {
		return s
	}
	return Service{Name: name}
}

// route returns the route of a host with the longest prefix of the path.
func (t *Table) route(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// pickService returns the service for a call. It depends only on the call's id,
// so that it does not change while the call runs.
func (r Route) pickService(id string) string {
	total := 0
	for _, t := range r.WeightedServices {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		if len(r.WeightedServices) == 0 {
			return ""
		}
		return r.WeightedServices[0].Service
	}
	n := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.WeightedServices {
		n -= max(t.Weight, 0)
		if n < 0 {
			return t.Service
		}
	}
	return r.WeightedServices[0].Service
}
