package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder/platform"
	"github.com/wigeonladder/wigeonladder/route"
)

// routingOptions are the flags of a check of routing.
type routingOptions struct {
	// inForce is the file with the routing in force; empty for none.
	inForce string
	json    bool
}

// routingResult is the result of a check of routing.
type routingResult struct {
	Findings []route.Finding `json:"findings"`
	// Changes is what differs from the routing in force.
	Changes []route.Change `json:"changes"`
}

// checkRouting checks the routing that an administrator is about to put into the
// store, and prints the findings and what differs from the routing in force. The error
// says how many findings are errors; warnings alone are no failure.
func checkRouting(out io.Writer, file string, o routingOptions) error {
	next, err := readRouting(file)
	if err != nil {
		return err
	}
	r := routingResult{Findings: route.Check(next), Changes: []route.Change{}}
	if o.inForce != "" {
		old, err := readRouting(o.inForce)
		if err != nil {
			return err
		}
		if next.Version <= old.Version {
			r.Findings = append([]route.Finding{{
				Severity: route.Mistake, Path: "version", Message: fmt.Sprintf("%d is never accepted: version %d is in force", next.Version, old.Version),
			}}, r.Findings...)
		}
		r.Changes = append(r.Changes, route.Diff(old, next)...)
	}
	if err := r.print(out, o.json); err != nil {
		return err
	}
	mistakes := 0
	for _, f := range r.Findings {
		if f.Severity == route.Mistake {
			mistakes++
		}
	}
	if mistakes > 0 {
		return errors.Errorf("%s: %d errors", file, mistakes)
	}
	return nil
}

// readRouting reads a file as the edge daemons read the configuration.
func readRouting(file string) (route.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return route.Document{}, err
	}
	d, err := platform.ParseConfig(data)
	return d, errors.Wrap(err, file)
}

// print prints the result as JSON, or as tables for people.
func (r routingResult) print(out io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", f.Severity, f.Path, f.Message)
	}
	for _, c := range r.Changes {
		_, _ = fmt.Fprintf(w, "%s\t%s%s\n", c.Kind, c.Path, changedValues(c))
	}
	return w.Flush()
}

// changedValues returns the column with the values of a change; nothing for an added
// or removed entry.
func changedValues(c route.Change) string {
	if c.Old == "" && c.New == "" {
		return ""
	}
	return "\t" + c.Old + " -> " + c.New
}
