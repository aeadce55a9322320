// Command standin runs the cases of the review that are scripts: stand-ins for the
// platform's store, the requesters and the replicas around edge daemons, which run as
// processes of their own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the names of their folders. Each returns whether the rule
// held. Without trouble it does the same without the disruption.
var cases = map[string]func(r *rig, trouble bool) bool{
	"1": cutRefusal,
	"2": cutSuccess,
	"3": repeatedRefusal,
	"5": lateWrite,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE")
		os.Exit(exitNotRun)
	}
	r := newRig(filepath.Join("review", os.Args[1], "record.txt"))
	held := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if held {
		r.note("result: the rule held")
	} else {
		r.note("result: the rule was broken")
	}
	r.close()
	if !held {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
