package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/wigeonladder/wigeonladder/operator"
)

// newExplain returns the command that prints why a request was placed, kept waiting
// or refused.
func newExplain() command {
	s := newSubcommand("explain", "say why a request was placed, held or refused")
	var t operatorTarget
	t.addFlags(s)
	request := ""
	s.AddPositionalValue(&request, "request", 2, true, "request id, from the header X-Request-Id")
	return command{sub: s, run: func(_ context.Context, out io.Writer) error {
		events, err := operator.NewClient(t.address, t.key).Explain(request)
		if err != nil {
			return err
		}
		for _, e := range events {
			_, _ = fmt.Fprintf(out, "%s %s", e.Time.Format(time.RFC3339Nano), e.Name)
			for _, f := range e.Fields {
				_, _ = fmt.Fprintf(out, " %s=%q", f.Key, f.Value)
			}
			_, _ = fmt.Fprintln(out)
		}
		return nil
	}}
}
