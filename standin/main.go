package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// Main runs the program with its arguments and returns the exit status: 0 for
// success, 1 for a failure, 2 for wrong usage.
func Main(args []string, out, errout io.Writer) int {
	p := flaggy.NewParser("standin")
	p.Description = "stand-ins for the platform, backend servers, links and callers"
	serve, runServe := serveCommand()
	call, runCall := callCommand()
	once, runOnce := onceCommand()
	hold, runHold := holdCommand()
	for _, s := range []*flaggy.Subcommand{serve, call, once, hold} {
		p.AttachSubcommand(s, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(errout, "standin:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case serve.Used:
		err = runServe(ctx, out)
	case call.Used:
		err = runCall(ctx, out)
	case once.Used:
		err = runOnce(ctx, out)
	case hold.Used:
		err = runHold(ctx, out)
	default:
		err = errors.New("name a command; --help lists them")
	}
	if err != nil {
		_, _ = fmt.Fprintln(errout, "standin:", err)
		return 1
	}
	return 0
}

// serveCommand returns the command that runs the stand-ins of a plan until it is
// stopped.
func serveCommand() (*flaggy.Subcommand, func(context.Context, io.Writer) error) {
	s := flaggy.NewSubcommand("serve")
	s.Description = "run the platform, the backend servers and the links of a plan"
	file := ""
	s.AddPositionalValue(&file, "plan", 1, true, "JSON plan")
	return s, func(ctx context.Context, out io.Writer) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var p Plan
		if err := json.Unmarshal(data, &p); err != nil {
			return errors.Wrap(err, file)
		}
		standIns, err := Start(ctx, p)
		if err != nil {
			return err
		}
		defer standIns.Close()
		_, _ = fmt.Fprintln(out, "serving")
		<-ctx.Done()
		return nil
	}
}

// callCommand returns the command that sends requests and prints how they ended. It
// fails if an answer was wrong or, with --all, if any request got no whole answer.
func callCommand() (*flaggy.Subcommand, func(context.Context, io.Writer) error) {
	s := flaggy.NewSubcommand("call")
	s.Description = "send requests as callers of a workspace and compare every answer"
	c := LoadGenerator{Kind: "stream", Count: 10, Parallel: 4, Tokens: 20, Seed: 1, Path: "/status"}
	entries, all, ids := "", false, false
	s.AddPositionalValue(&entries, "entries", 1, true, "caller addresses, separated by commas")
	s.AddPositionalValue(&c.Workspace, "workspace", 2, true, "workspace")
	s.String(&c.Kind, "", "kind", "stream, whole or plain")
	s.String(&c.Service, "", "service", "service of plain calls")
	s.String(&c.Path, "", "path", "path of plain calls")
	s.Int(&c.Count, "n", "count", "number of requests")
	s.Int(&c.Parallel, "p", "parallel", "requests at once")
	s.Int(&c.Tokens, "", "tokens", "largest length of a model answer")
	s.UInt64(&c.Seed, "", "seed", "seed of the request bodies")
	s.Bool(&c.Retry, "", "retry", "send refused requests again at another entry")
	s.Bool(&all, "", "all", "fail unless every answer is whole")
	s.Bool(&ids, "", "ids", "print the request ids")
	return s, func(ctx context.Context, out io.Writer) error {
		c.Entries = strings.Split(entries, ",")
		t := c.Run(ctx)
		_, _ = fmt.Fprintln(out, t)
		for _, f := range t.ConnErrors {
			_, _ = fmt.Fprintln(out, "fault:", f)
		}
		if ids {
			_, _ = fmt.Fprintln(out, strings.Join(t.IDs, "\n"))
		}
		if t.Wrong > 0 || all && t.Whole < c.Count {
			return errors.New("some requests got a wrong answer or no whole answer")
		}
		return nil
	}
}

// onceCommand returns the command that gets a ticket or sends an at-most-once call
// with it.
func onceCommand() (*flaggy.Subcommand, func(context.Context, io.Writer) error) {
	s := flaggy.NewSubcommand("once")
	s.Description = "get a ticket, or send a call that may not be repeated with it"
	var entry, workspace, service, path, ticket, body string
	s.AddPositionalValue(&entry, "entry", 1, true, "caller address")
	s.AddPositionalValue(&workspace, "workspace", 2, true, "workspace")
	s.AddPositionalValue(&service, "service", 3, true, "service")
	s.AddPositionalValue(&path, "path", 4, true, "path")
	s.String(&ticket, "", "ticket", "ticket; without it a new one is printed")
	s.String(&body, "", "body", "body of the call")
	return s, func(ctx context.Context, out io.Writer) error {
		c := NewCaller(WorkspaceKey(workspace)).WithAddress(entry)
		if ticket == "" {
			t, err := c.Ticket(ctx, service, "POST", path)
			_, _ = fmt.Fprintln(out, t)
			return err
		}
		r := c.CallPlainService(ctx, "POST", service, path, ticket, body)
		if r.Err != nil {
			return r.Err
		}
		_, _ = fmt.Fprintf(out, "status=%d code=%d outcome=%q\n%s\n", r.Status, int(r.Code), r.Code.Info().Outcome, r.Text)
		return nil
	}
}
