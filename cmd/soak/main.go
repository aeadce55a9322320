// Command soak runs edge daemons as processes on this machine, injects random faults
// and checks what callers and backend servers observe. The exit status is 0 if there
// was no violation, 1 if there was one or a run failed, and 2 for wrong usage.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/wigeonladder/wigeonladder/soak"
)

func main() { os.Exit(run(os.Args[1:])) }

// run parses the arguments and runs one soak for each seed.
func run(args []string) int {
	o := soak.Options{Seed: 1, FaultDuration: 20 * time.Second, Daemons: 4, Servers: 9, Callers: 30, Binary: "target/wigeonladder"}
	seeds := 1
	quiet := false
	p := flaggy.NewParser("soak")
	p.Description = "run edge daemons as processes under random faults"
	p.UInt64(&o.Seed, "s", "seed", "first seed of the faults")
	p.Int(&seeds, "n", "seeds", "number of seeds to run, one after the other")
	p.Duration(&o.FaultDuration, "t", "time", "time with faults")
	p.Int(&o.Daemons, "d", "daemons", "number of daemons")
	p.Int(&o.Servers, "b", "backends", "number of backend servers")
	p.Int(&o.Callers, "c", "callers", "number of callers")
	p.String(&o.Binary, "p", "program", "the program under test")
	p.Bool(&quiet, "q", "quiet", "print only the results")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 2
	}
	if !quiet {
		o.FaultLog = os.Stdout
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status := 0
	for range seeds {
		if !runSeed(ctx, o) {
			status = 1
		}
		o.Seed++
	}
	return status
}

// runSeed runs one soak and reports whether it ended without a violation. The logs
// of a run that failed or had violations are kept.
func runSeed(ctx context.Context, o soak.Options) bool {
	dir, err := soak.TempDir()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	o.Dir = dir
	r, err := soak.Run(ctx, o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: seed %d: %v; logs in %s\n", o.Seed, err, dir)
		return false
	}
	fmt.Printf("seed %d: %d calls, %d served, %d faults; after recovery %d of %d served; %d violations\n",
		o.Seed, r.Calls, r.Served, r.Faults, r.ServedAfterRecovery, r.CallsAfterRecovery, len(r.Violations))
	if len(r.Violations) == 0 {
		_ = os.RemoveAll(dir)
		return true
	}
	for _, v := range r.Violations {
		fmt.Println("  " + v)
	}
	fmt.Println("  logs in", dir)
	return false
}
