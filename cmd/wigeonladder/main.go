// Command wigeonladder runs a daemon of the router fleet and controls running
// daemons. Each subcommand has its own file and constructor.
//
// The exit status is 0 for success, 1 for a failure that is explained on
// standard error, and 2 for wrong usage.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit statuses of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand of the program.
type command struct {
	sub *flaggy.Subcommand
	// run executes the command until it is done or the context is cancelled.
	run func(ctx context.Context, out io.Writer) error
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments and runs the named command. SIGINT and SIGTERM cancel the
// context; commands that serve then shut down gracefully.
func run(args []string, out, errout io.Writer) int {
	p := flaggy.NewParser("wigeonladder")
	p.Description = "a router fleet for workspaces that share capacity fairly"
	p.Version = version
	commands := []command{newServe(), newCheck(), newDump(), newExplain(), newDrain(), newDemo(), newEdge()}
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(errout, "wigeonladder:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if err := c.run(ctx, out); err != nil {
			_, _ = fmt.Fprintln(errout, err)
			return exitFailure
		}
		return exitOK
	}
	_, _ = fmt.Fprintln(errout, "wigeonladder: name a command; --help lists them")
	return exitUsage
}

// version is the version that --version prints.
const version = "0.1.0"

// newSubcommand returns a subcommand with its description.
func newSubcommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return s
}

// operatorTarget holds the flags of commands that call the operator interface of a
// running daemon.
type operatorTarget struct {
	address string
	key     string
}

// addFlags adds the flags of the target to a subcommand. The key may come from the
// environment, so that it does not appear in the process list.
func (t *operatorTarget) addFlags(s *flaggy.Subcommand) {
	t.key = os.Getenv("WIGEONLADDER_KEY")
	s.AddPositionalValue(&t.address, "address", 1, true, "operator address of the daemon, IP:port")
	s.String(&t.key, "k", "key", "operator key; default $WIGEONLADDER_KEY")
}
