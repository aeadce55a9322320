package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonladder/wigeonladder/daemon"
	"github.com/wigeonladder/wigeonladder/demo"
	"github.com/wigeonladder/wigeonladder/fake"
	"github.com/wigeonladder/wigeonladder/operator"
	"github.com/wigeonladder/wigeonladder/setting"
	"github.com/wigeonladder/wigeonladder/standin"
)

// Sizes of the cost benchmarks.
const (
	// costCalls is the number of direct calls, and of calls through the daemon, in
	// benchmarkFirstByte.
	costCalls = 3000
	// costRequests is the number of requests in benchmarkLoad, costParallel the number
	// of concurrent ones.
	costRequests = 20000
	costParallel = 16
	// costTokens is the largest number of tokens of an answer.
	costTokens = 8
	// costStreams is the number of open streams in benchmarkOpenStreams.
	costStreams = 5000
)

// BenchmarkCost measures what one daemon adds to the path between callers and
// engines of its zone. The stand-ins, the daemon and the callers are separate
// processes, and the engines answer immediately. Run it with -benchtime 1x.
func BenchmarkCost(b *testing.B) {
	b.Run("FirstByte", benchmarkFirstByte)
	b.Run("Load", benchmarkLoad)
	b.Run("Streams", benchmarkOpenStreams)
}

// benchmarkFirstByte compares the time to the first byte of direct calls with that of
// calls through the daemon. The two kinds of calls alternate.
func benchmarkFirstByte(b *testing.B) {
	r := newCostRig(b, costParallel)
	direct := r.caller.WithAddress(r.engine)
	var directTimes, fleetTimes []time.Duration
	for range costCalls {
		directTimes = append(directTimes, callAndCheck(b, direct).FirstTokenTime)
		fleetTimes = append(fleetTimes, callAndCheck(b, r.caller).FirstTokenTime)
	}
	for _, q := range []struct {
		name    string
		percent int
	}{{"p50", 50}, {"p99", 99}} {
		d, f := percentile(directTimes, q.percent), percentile(fleetTimes, q.percent)
		b.ReportMetric(float64(d.Microseconds()), "direct-"+q.name+"-us")
		b.ReportMetric(float64((f - d).Microseconds()), "added-"+q.name+"-us")
	}
}

// percentile returns the value below which the given percentage of the list lies. It
// sorts the list.
func percentile(l []time.Duration, percent int) time.Duration {
	slices.Sort(l)
	return l[len(l)*percent/100]
}

// callAndCheck sends a short stream and asserts that the answer is whole.
func callAndCheck(b *testing.B, c *fake.Client) fake.Reply {
	body := fake.ChatBody("", "hello", costTokens, true)
	r := c.Chat(b.Context(), body, "X-Attempt-Id", "cost.1")
	if !r.Complete || r.Text != fake.EngineAnswer([]byte(body)) {
		b.Fatalf("status %d, code %d, %v", r.Status, int(r.Code), r.Err)
	}
	return r
}

// benchmarkLoad measures throughput with concurrent requests. The CPU time is that of
// the daemon's whole run, as the kernel reports it for a process that has exited
// (getrusage).
func benchmarkLoad(b *testing.B) {
	r := newCostRig(b, costParallel)
	before := r.metrics(b).Mallocs
	var callers sync.WaitGroup
	start := time.Now()
	for range costParallel {
		callers.Go(func() {
			for range costRequests / costParallel {
				callAndCheck(b, r.caller)
			}
		})
	}
	callers.Wait()
	elapsed := time.Since(start)
	mallocs := r.metrics(b).Mallocs - before
	r.stop(b)
	cpu := r.daemon.ProcessState.UserTime() + r.daemon.ProcessState.SystemTime()
	b.ReportMetric(costRequests/elapsed.Seconds(), "req/s")
	b.ReportMetric(costRequests/cpu.Seconds(), "req/s/core")
	b.ReportMetric(float64(mallocs)/costRequests, "allocs/req")
}

// benchmarkOpenStreams measures the daemon's memory while many streams are open that
// have received their first tokens.
func benchmarkOpenStreams(b *testing.B) {
	r := newCostRig(b, costStreams)
	for _, e := range r.layout.Plan.Engines {
		if _, err := sendHTTP("POST", e.Listen+"/control/faults", []byte(`{"stallAfter":3}`)); err != nil {
			b.Fatal(err)
		}
	}
	before := memoryOf(b, r.daemon)
	r.start(b, "open", "standin", "hold", r.layout.Settings[0].CallerAddress, r.workspace, "-n", fmt.Sprint(costStreams))
	after, m := memoryOf(b, r.daemon), r.metrics(b)
	b.ReportMetric(float64(after)/(1<<20), "MB-rss")
	b.ReportMetric(float64(after-before)/costStreams, "B/stream")
	b.ReportMetric(float64(m.Heap)/(1<<20), "MB-heap")
	b.ReportMetric(float64(m.Stack)/(1<<20), "MB-stack")
	b.ReportMetric(float64(m.Goroutines)/costStreams, "goroutines/stream")
}

// memoryOf returns the resident memory of a process in bytes.
func memoryOf(b *testing.B, c *exec.Cmd) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, line, _ := strings.Cut(string(status), "VmRSS:")
	var kilobytes int64
	if _, err := fmt.Sscan(line, &kilobytes); err != nil {
		b.Fatal(err)
	}
	return kilobytes << 10
}

// costRig runs one daemon and engines in its zone as separate processes.
type costRig struct {
	layout    standin.Layout
	dir       string
	workspace string
	daemon    *exec.Cmd
	caller    *fake.Client
	// engine is the address of one engine, which takes direct calls.
	engine string
}

// newCostRig starts a rig in which each engine has the given number of slots, so that
// all engines together have more slots than that.
func newCostRig(b *testing.B, slots int) *costRig {
	site := demo.Guild()
	site.Register.VMs = site.Register.VMs[:1]
	site.Register.Zones = site.Register.Zones[:1]
	for _, v := range site.Register.Services {
		for i := range v.Servers {
			v.Servers[i].Zone = site.Register.VMs[0].Zone
			v.Servers[i].Slots = slots
			v.Servers[i].MaxSlots = slots
		}
	}
	r := &costRig{dir: b.TempDir(), workspace: site.Register.Workspaces[0].Name}
	network := fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, networkCount.Add(1))
	r.layout = standin.NewLayout(site.Register, site.Rules, network, standin.ServerTimes{})
	r.callEnginesDirectly()
	r.layout.Settings[0].LeadTime = setting.Duration(100 * time.Millisecond)
	if err := r.layout.Write(r.dir); err != nil {
		b.Fatal(err)
	}
	r.engine = r.layout.Plan.Engines[0].Listen
	r.caller = standin.NewCaller(standin.WorkspaceKey(r.workspace)).WithAddress(r.layout.Settings[0].CallerAddress)
	r.start(b, "serving", "standin", "serve", "standin.json")
	r.daemon = r.start(b, "", "wigeonladder", "serve", site.Register.VMs[0].Name+".json")
	if !fake.Await(eventTimeout, func() bool { return r.caller.Ready(context.Background()) }) {
		log, _ := os.ReadFile(filepath.Join(r.dir, "wigeonladder-serve.log"))
		b.Fatalf("the daemon does not become ready: %s", log)
	}
	return r
}

// callEnginesDirectly removes the proxies from the measured path.
func (r *costRig) callEnginesDirectly() {
	for _, v := range r.layout.Plan.Config.Register.Services {
		for i, s := range v.Servers {
			for _, proxy := range r.layout.Plan.Proxies {
				if proxy.Name == s.Name {
					v.Servers[i].Address = proxy.Target
				}
			}
		}
	}
}

// start starts a process of the rig, which is terminated at the end of the
// benchmark. If line is not empty, it waits until the process prints its first line;
// line is the expected text for the error message and is not compared. The standard
// error of the process goes to a file.
func (r *costRig) start(b *testing.B, line, name string, args ...string) *exec.Cmd {
	c := exec.Command(name, args...)
	c.Dir = r.dir
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprint(name, "-", args[0], ".log")))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	c.Stderr = log
	out, err := c.StdoutPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if c.ProcessState == nil {
			_ = c.Process.Signal(syscall.SIGTERM)
			_ = c.Wait()
		}
	})
	if line != "" && !bufio.NewScanner(out).Scan() {
		text, _ := os.ReadFile(log.Name())
		b.Fatalf("%s %s ended without %q: %s", name, args[0], line, text)
	}
	return c
}

// stop terminates the daemon and waits until it has exited.
func (r *costRig) stop(b *testing.B) {
	r.caller.Close()
	if err := r.daemon.Process.Signal(syscall.SIGTERM); err != nil {
		b.Fatal(err)
	}
	if err := r.daemon.Wait(); err != nil {
		b.Fatal(err)
	}
}

// metrics returns the process metrics of the daemon.
func (r *costRig) metrics(b *testing.B) daemon.ProcessMetrics {
	data, err := operator.NewClient(r.layout.Settings[0].OperatorAddress, standin.OperatorKey).Metrics()
	if err != nil {
		b.Fatal(err)
	}
	var m struct{ Process daemon.ProcessMetrics }
	if err := json.Unmarshal(data, &m); err != nil {
		b.Fatal(err)
	}
	return m.Process
}
