package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/wigeonladder/wigeonladder/demo"
)

// newDemo returns the command that runs a whole fleet with stand-ins in one process.
func newDemo() command {
	s := newSubcommand("demo", "run a fleet with stand-ins over loopback and print what each workspace was owed and got")
	t := demo.Trial{Workload: "guild", Policy: demo.PolicyFleet, Seed: 1, Seconds: 20}
	t.Network = fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%250)
	asJSON := false
	s.String(&t.Workload, "w", "workload", "guild, tlaloc, flood-least or flood-urgent")
	s.String(&t.Policy, "p", "policy", "fleet, alone, split or central")
	s.UInt64(&t.Seed, "s", "seed", "seed of the requests")
	s.Int(&t.Seconds, "t", "seconds", "time in which requests are sent")
	s.Bool(&asJSON, "j", "json", "print one JSON object")
	return command{sub: s, run: func(ctx context.Context, out io.Writer) error {
		r, err := t.Run(ctx)
		if err != nil {
			return err
		}
		if asJSON {
			return json.NewEncoder(out).Encode(r)
		}
		return r.Print(out)
	}}
}
