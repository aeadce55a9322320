package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/wigeonladder/wigeonladder/operator"
)

// newDump returns the command that prints the state of a running daemon.
func newDump() command {
	s := newSubcommand("dump", "print the state of a running daemon")
	var t operatorTarget
	t.addFlags(s)
	asJSON := false
	s.Bool(&asJSON, "j", "json", "print JSON for programs")
	return command{sub: s, run: func(_ context.Context, out io.Writer) error {
		b, err := operator.NewClient(t.address, t.key).Dump()
		if err != nil {
			return err
		}
		if asJSON {
			_, err = out.Write(b)
			return err
		}
		var v any
		if err := json.Unmarshal(b, &v); err != nil {
			return err
		}
		printOutline(out, v, 0)
		return nil
	}}
}

// printOutline prints a JSON value as indented lines with sorted keys.
func printOutline(out io.Writer, v any, depth int) {
	indent := strings.Repeat("  ", depth)
	switch v := v.(type) {
	case map[string]any:
		for _, k := range sortedKeys(v) {
			if isLeaf(v[k]) {
				_, _ = fmt.Fprintf(out, "%s%s: %v\n", indent, k, v[k])
				continue
			}
			_, _ = fmt.Fprintf(out, "%s%s:\n", indent, k)
			printOutline(out, v[k], depth+1)
		}
	case []any:
		for _, e := range v {
			if isLeaf(e) {
				_, _ = fmt.Fprintf(out, "%s- %v\n", indent, e)
				continue
			}
			_, _ = fmt.Fprintf(out, "%s-\n", indent)
			printOutline(out, e, depth+1)
		}
	default:
		_, _ = fmt.Fprintf(out, "%s%v\n", indent, v)
	}
}

// isLeaf reports whether a JSON value is printed on the line of its key.
func isLeaf(v any) bool {
	switch v.(type) {
	case map[string]any, []any:
		return false
	}
	return true
}

// sortedKeys returns the keys of an object in sorted order.
func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
