package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wigeonladder/wigeonladder/demo"
	"github.com/wigeonladder/wigeonladder/operator"
	"github.com/wigeonladder/wigeonladder/setting"
	"github.com/wigeonladder/wigeonladder/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wigeonladder": main,
		"standin":      func() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// networkCount numbers the loopback networks of the scenarios, so that scenarios can
// run at the same time.
var networkCount atomic.Int32

// eventTimeout bounds every wait for an event. It is long, because the machine is
// shared with other work.
const eventTimeout = 40 * time.Second

// TestScenarios runs the fleet as separate processes. Each file under
// testdata/script tests one behaviour.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			n := networkCount.Add(1)
			e.Setenv("NET", fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, n))
			e.Setenv("WIGEONLADDER_KEY", standin.OperatorKey)
			e.Values[scenarioKey{}] = &scenario{served: map[string]int{}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"layout":     writeLayout,
			"ready":      waitReady,
			"control":    sendControl,
			"raw":        sendRaw,
			"eventually": waitForDump,
			"signal":     signalProcess,
			"publish":    publishRevision,
			"setenv":     setenvFromFile,
			"once":       waitForCode,
			"runs":       checkRuns,
			"served":     checkServed,
			"cutzone":    cutZone,
		},
	})
}

// scenario is the state that the commands of one scenario share.
type scenario struct {
	layout standin.Layout
	site   demo.Site
	// served holds the number of requests that each engine had admitted at the last
	// command served, by the engine's address.
	served map[string]int
}

type scenarioKey struct{}

// scenarioOf returns the state of the running scenario.
func scenarioOf(ts *testscript.TestScript) *scenario { return ts.Value(scenarioKey{}).(*scenario) }

// writeLayout implements layout guild|tlaloc. It writes the plan, the configuration
// and the settings of a site's fleet on the scenario's network, and sets variables with
// their addresses and names.
func writeLayout(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: layout guild|tlaloc")
	}
	site := demo.Guild()
	if args[0] == "tlaloc" {
		site = demo.Tlaloc()
	}
	l := standin.NewLayout(site.Register, site.Rules, ts.Getenv("NET"), standin.ServerTimes{
		FirstToken: setting.Duration(30 * time.Millisecond),
		InterToken: setting.Duration(5 * time.Millisecond),
		CallTime:   setting.Duration(2 * time.Millisecond),
	})
	for i := range l.Settings {
		l.Settings[i].LeadTime = setting.Duration(500 * time.Millisecond)
	}
	ts.Check(l.Write(ts.MkAbs(".")))
	scenarioOf(ts).layout, scenarioOf(ts).site = l, site
	for i, s := range l.Settings {
		ts.Setenv(fmt.Sprintf("VM%d", i+1), s.Name)
		ts.Setenv(fmt.Sprintf("CALLER%d", i+1), s.CallerAddress)
		ts.Setenv(fmt.Sprintf("OPERATOR%d", i+1), s.OperatorAddress)
	}
	ts.Setenv("PLATFORM", l.Plan.PlatformAddress)
	ts.Setenv("CONTROL", l.Plan.ControlAddress)
	for i, w := range l.Plan.Config.Register.Workspaces {
		ts.Setenv(fmt.Sprintf("WORKSPACE%d", i+1), w.Name)
	}
	for i, e := range l.Plan.Engines {
		ts.Setenv(fmt.Sprintf("ENGINE%d", i+1), e.Listen)
		ts.Setenv(fmt.Sprintf("ENGINENAME%d", i+1), e.Name)
	}
	for i, d := range l.Plan.PlainServices {
		ts.Setenv(fmt.Sprintf("DESK%d", i+1), d.Listen)
	}
}

// waitUntil repeats a check until it returns no error, and fails the test after
// eventTimeout.
func waitUntil(ts *testscript.TestScript, what string, check func() error) {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		err := check()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			ts.Fatalf("%s: not within %v: %v", what, eventTimeout, err)
		case <-tick.C:
		}
	}
}

// waitReady implements ready ADDRESS..., which waits until the entry daemons at the
// addresses are ready. If it is negated, it waits until they are not ready.
func waitReady(ts *testscript.TestScript, neg bool, args []string) {
	c := standin.NewCaller("none")
	for _, address := range args {
		waitUntil(ts, "ready "+address, func() error {
			if c.WithAddress(address).Ready(context.Background()) == neg {
				return fmt.Errorf("ready is %t", neg)
			}
			return nil
		})
	}
}

// sendControl implements control METHOD URL [BODY]. It sends one request to a
// stand-in and prints the answer.
func sendControl(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: control METHOD URL [BODY]")
	}
	body := ""
	if len(args) > 2 {
		body = args[2]
	}
	b, err := sendHTTP(args[0], args[1], []byte(body))
	if (err != nil) != neg {
		ts.Fatalf("control %v: %v", args, err)
	}
	_, _ = ts.Stdout().Write(b)
}

// sendHTTP sends one HTTP request and returns the body of the answer. A status of 300
// or more is an error.
func sendHTTP(method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode >= 300 {
		err = fmt.Errorf("status %d: %s", a.StatusCode, b)
	}
	return b, err
}

// waitForDump implements eventually OPERATOR PATTERN. It waits until the dump of a
// daemon matches a pattern. If it is negated, it waits until the dump does not match.
func waitForDump(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: eventually OPERATOR PATTERN")
	}
	re, err := regexp.Compile(args[1])
	ts.Check(err)
	c := operator.NewClient(args[0], standin.OperatorKey)
	waitUntil(ts, "eventually "+args[1], func() error {
		b, err := c.Dump()
		if err != nil {
			return err
		}
		var flat bytes.Buffer
		if err := json.Compact(&flat, b); err != nil {
			return err
		}
		if re.Match(flat.Bytes()) == neg {
			return fmt.Errorf("the dump's match is %t", neg)
		}
		return nil
	})
}

// signalProcess implements signal STOP|CONT|TERM|KILL FILE. It sends a signal to the
// background process whose last argument is the settings file.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL,
	}
	if len(args) != 2 {
		ts.Fatalf("usage: signal STOP|CONT|TERM|KILL FILE")
	}
	for _, c := range ts.BackgroundCmds() {
		if c.Args[len(c.Args)-1] == args[1] && c.ProcessState == nil {
			ts.Check(c.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background process was started with %s", args[1])
}

// publishRevision implements publish REVISION [LEAVING...]. It publishes config.json
// with a revision, and a live list in which the named VMs and backend servers are
// leaving.
func publishRevision(ts *testscript.TestScript, _ bool, args []string) {
	var revision uint64
	if len(args) < 1 {
		ts.Fatalf("usage: publish REVISION [LEAVING...]")
	}
	_, err := fmt.Sscan(args[0], &revision)
	ts.Check(err)
	c, err := setting.ParseConfig("config.json", []byte(ts.ReadFile("config.json")))
	ts.Check(err)
	c.Revision = revision
	doc, err := json.Marshal(c)
	ts.Check(err)
	_, err = sendHTTP("POST", ts.Getenv("PLATFORM")+"/control/config", doc)
	ts.Check(err)
	live, err := json.Marshal(standin.LiveListOf(c.Register, revision, args[1:]...))
	ts.Check(err)
	_, err = sendHTTP("POST", ts.Getenv("PLATFORM")+"/control/live", live)
	ts.Check(err)
}

// setenvFromFile implements setenv NAME FILE. It sets a variable to the last line of
// a file.
func setenvFromFile(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: setenv NAME FILE")
	}
	lines := strings.Split(strings.TrimSpace(ts.ReadFile(args[1])), "\n")
	ts.Setenv(args[0], lines[len(lines)-1])
}

// waitForCode implements once CODE ENTRY WORKSPACE SERVICE PATH TICKET BODY. Unlike
// the subcommand once of standin, which sends a call one time, it repeats an
// at-most-once call until the call ends with a code, since callers may get codes that
// ask them to retry first.
func waitForCode(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 7 {
		ts.Fatalf("usage: once CODE ENTRY WORKSPACE SERVICE PATH TICKET BODY")
	}
	c := standin.NewCaller(standin.WorkspaceKey(args[2])).WithAddress(args[1])
	waitUntil(ts, "once", func() error {
		r := c.CallPlainService(context.Background(), "POST", args[3], args[4], args[5], args[6])
		if r.Err != nil {
			return r.Err
		}
		if fmt.Sprint(int(r.Code)) != args[0] {
			return fmt.Errorf("the code is %v", r.Code)
		}
		return nil
	})
}

// checkRuns implements runs PATH COUNT. It checks how often the application servers
// executed calls of a path.
func checkRuns(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: runs PATH COUNT")
	}
	sum := 0
	for _, d := range scenarioOf(ts).layout.Plan.PlainServices {
		b, err := sendHTTP("GET", d.Listen+"/control/runs", nil)
		ts.Check(err)
		counts := map[string]int{}
		ts.Check(json.Unmarshal(b, &counts))
		for key, n := range counts {
			if strings.HasPrefix(key, args[0]+" ") {
				sum += n
			}
		}
	}
	if fmt.Sprint(sum) != args[1] {
		ts.Fatalf("%s was executed %d times, not %s", args[0], sum, args[1])
	}
}

// checkServed implements served before|same ADDRESS. With before, it stores how many
// requests an engine has admitted; with same, it checks that the engine has admitted
// no more since.
func checkServed(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: served before|same ADDRESS")
	}
	b, err := sendHTTP("GET", args[1]+"/control/served", nil)
	ts.Check(err)
	var n int
	ts.Check(json.Unmarshal(b, &n))
	counts := scenarioOf(ts).served
	if args[0] == "same" && counts[args[1]] != n {
		ts.Fatalf("the engine admitted %d requests since", n-counts[args[1]])
	}
	counts[args[1]] = n
}

// cutZone implements cutzone ZONE on|off. With on, it cuts all links between a zone
// and everything outside it; with off, it restores them.
func cutZone(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: cutzone ZONE on|off")
	}
	s := scenarioOf(ts)
	for _, proxy := range s.layout.Plan.Proxies {
		target := s.site.Zone(proxy.Name)
		for i, vm := range s.site.Register.VMs {
			inside := vm.Zone == args[0]
			if inside == (target == args[0]) || !inside && target == "" {
				continue
			}
			host, _, err := net.SplitHostPort(s.layout.Settings[i].PeerAddress)
			ts.Check(err)
			_, err = sendHTTP("POST", fmt.Sprintf("%s/cut?relay=%s&source=%s&on=%t", ts.Getenv("CONTROL"), proxy.Name, host, args[1] == "on"), nil)
			ts.Check(err)
		}
	}
}
