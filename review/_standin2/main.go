// Command standin2 plays the cases of the second review that are scripts: it starts
// daemons as processes, with stand-ins for the platform, the backend servers and the
// clients, brings a disruption about and checks a rule.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime bounds a case.
const maxRunTime = 118 * time.Second

// cases are the cases by their names. Each returns whether the rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){
	"config-history": configHistory,
	"many-headers":   manyHeaders,
	"unknown-paths":  unknownPaths,
	"prompt-parts":   promptParts,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := newRig(ctx, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return 2
	case broken:
		r.say("the rule was broken")
		return 1
	}
	r.say("the rule held")
	return 0
}
