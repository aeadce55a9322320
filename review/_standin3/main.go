package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// trial is one run of a case.
type trial struct {
	dir     string
	record  *record
	trouble bool
}

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, t *trial) (int, error){}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	limit := flag.Duration("limit", 115*time.Second, "time after which the case is given up")
	flag.Parse()
	os.Exit(play(*name, *path, *limit))
}

// play plays one case and returns the exit status.
func play(name, path string, limit time.Duration) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return failed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go giveUp(ctx, dir)
	status, err := run(ctx, &trial{dir: dir, record: r, trouble: os.Getenv("TROUBLE") != "0"})
	if err != nil {
		r.printf("the case could not run: %v", err)
		return failed
	}
	r.printf("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken"}[status])
	return status
}

// giveUp ends the program and the processes that it started when it is told to stop, or
// when the time of the case is over.
func giveUp(ctx context.Context, dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-ctx.Done():
		if ctx.Err() != context.DeadlineExceeded {
			return
		}
	}
	killStarted()
	_ = os.RemoveAll(dir)
	os.Exit(failed)
}
