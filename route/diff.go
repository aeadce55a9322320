package route

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
)

// Change is one difference between two documents.
type Change struct {
	// Path names what differs, such as routes[r-1].timeout. Entries of lists are
	// named, not numbered.
	Path string `json:"path"`
	// Old and New are the values; empty for an entry that is added or removed.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
}

// Diff returns what differs between a document in force and the next one, sorted by
// path. API keys are counted, not named.
func Diff(old, next Document) []Change {
	var l []Change
	l = append(l, diffEntries("routes", old.Routes, next.Routes, func(r Route) string { return r.Name })...)
	l = append(l, diffEntries("services", old.Services, next.Services, func(s Service) string { return s.Name })...)
	l = append(l, diffEntries("tenants", withoutKeys(old.Workspaces), withoutKeys(next.Workspaces), func(w Workspace) string { return w.Name })...)
	l = append(l, diffKeys(old.Workspaces, next.Workspaces)...)
	l = append(l, diffFields("limits", old.Limits, next.Limits)...)
	slices.SortStableFunc(l, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return l
}

// diffEntries compares two lists whose entries have names.
func diffEntries[E any](list string, old, next []E, name func(E) string) []Change {
	var l []Change
	before := map[string]E{}
	for _, e := range old {
		before[name(e)] = e
	}
	for _, e := range next {
		path := fmt.Sprintf("%s[%s]", list, name(e))
		o, ok := before[name(e)]
		if !ok {
			l = append(l, Change{Path: path, Kind: "added"})
			continue
		}
		delete(before, name(e))
		l = append(l, diffFields(path, o, e)...)
	}
	for n := range before {
		l = append(l, Change{Path: fmt.Sprintf("%s[%s]", list, n), Kind: "removed"})
	}
	return l
}

// diffFields compares the fields of two values of the same struct type.
func diffFields(path string, old, next any) []Change {
	var l []Change
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			l = append(l, Change{Path: path + "." + a.Type().Field(i).Name, Old: text(x), New: text(y), Kind: "changed"})
		}
	}
	return l
}

// text returns a field as it is printed.
func text(v any) string {
	if e, ok := v.(*Engine); ok && e != nil {
		v = *e
	}
	return fmt.Sprintf("%+v", v)
}

// withoutKeys returns the workspaces without their keys.
func withoutKeys(l []Workspace) []Workspace {
	l = slices.Clone(l)
	for i := range l {
		l[i].Keys = nil
	}
	return l
}

// diffKeys compares the numbers of keys that workspaces of both lists gain and lose.
func diffKeys(old, next []Workspace) []Change {
	var l []Change
	before := map[string][]string{}
	for _, w := range old {
		before[w.Name] = w.Keys
	}
	for _, w := range next {
		keys, ok := before[w.Name]
		if !ok {
			continue
		}
		removed, added := missing(keys, w.Keys), missing(w.Keys, keys)
		if removed+added > 0 {
			l = append(l, Change{
				Path: fmt.Sprintf("tenants[%s].Keys", w.Name), Kind: "changed",
				Old: fmt.Sprintf("%d removed", removed), New: fmt.Sprintf("%d added", added),
			})
		}
	}
	return l
}

// missing returns the number of strings of a that b lacks.
func missing(a, b []string) int {
	n := 0
	for _, s := range a {
		if !slices.Contains(b, s) {
			n++
		}
	}
	return n
}
