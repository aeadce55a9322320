package crowd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
	"github.com/wigeonladder/wigeonladder/setting"
)

const (
	// deadline bounds every wait. Only a test that hangs reaches it.
	deadline = 2 * time.Minute
	// settleTime is how long no byte may move until the crowd counts as settled.
	settleTime = 3 * time.Second

	host    = "shop.example"
	key     = "key-1"
	service = "app"

	// memoryMB is the memory of a daemon, files the number of its descriptors.
	memoryMB = 128
	files    = 1024

	crowdSize = 160
	// maxBody is the largest body that the users' pages allow.
	maxBody = 4 << 20
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the program and runs the tests. It leaves processors to the tests of other
// packages, which may run beside these and depend on time.
func run(m *testing.M) int {
	runtime.GOMAXPROCS(2)
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "wigeonladder")
	if out, err := exec.CommandContext(context.Background(), "go", "build", "-o", binary, "../cmd/wigeonladder").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// rig is a daemon that runs as a process, with its store and one backend server.
type rig struct {
	t        *testing.T
	cmd      *exec.Cmd
	exited   chan struct{}
	settings setting.Edge
	server   *stub.Server
	caller   *stub.Caller
	ids      atomic.Int64
}

// newRig starts a rig; it ends with the test.
func newRig(t *testing.T) *rig {
	t.Helper()
	is := is.New(t)
	store := stub.NewStore(listen(t))
	t.Cleanup(store.Close)
	r := &rig{t: t, caller: stub.NewCaller(false), exited: make(chan struct{})}
	r.server = stub.NewServer(listen(t), wigeonladder.Instance{ID: "app-0", StartUnixMs: 1, Service: service, Zone: "zone-a", Slots: 2 * crowdSize})
	t.Cleanup(r.server.Close)
	store.PutServer(r.server.Instance())
	store.PutConfig(config())

	r.settings = setting.DefaultEdge()
	r.settings.Name, r.settings.Zone, r.settings.StoreAddress = "edge-0", "zone-a", store.Address()
	r.settings.MemoryMB, r.settings.MaxOpenFiles = memoryMB, files
	pid := os.Getpid()
	address := func(port int) string { return fmt.Sprintf("127.%d.%d.1:%d", 192+pid>>8&31, pid&255, port) }
	r.settings.CallerAddress, r.settings.ReadinessAddress = address(7400), address(7401)
	r.settings.PeerAddress, r.settings.MetricsAddress = address(7402), address(7403)
	data, err := json.Marshal(r.settings)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "edge.json")
	is.NoErr(os.WriteFile(path, data, 0o600))
	r.cmd = exec.CommandContext(context.Background(), binary, "edge", path)
	r.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	var out bytes.Buffer
	r.cmd.Stderr = &out
	is.NoErr(r.cmd.Start())
	go func() {
		defer close(r.exited)
		_ = r.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = r.cmd.Process.Kill()
		<-r.exited
		if t.Failed() {
			t.Logf("the daemon wrote: %.4000s", out.String())
		}
	})
	r.eventually("the daemon is ready", func() bool { return stub.Ready(t.Context(), r.settings.ReadinessAddress) })
	r.wantServed(1)
	return r
}

// config returns the configuration, with a timeout that no test reaches.
func config() route.Document {
	return route.Document{
		Version: 1,
		Routes: []route.Route{{
			Name: "once", Host: host, PathPrefix: "/", Kind: route.AtMostOnce, Timeout: deadline, TargetLatency: deadline,
			MaxAttempts: 1, WeightedServices: []route.WeightedService{{Service: service, Weight: 1}},
		}},
		Services:   []route.Service{{Name: service, MaxConns: 2 * crowdSize}},
		Workspaces: []route.Workspace{{Name: "north", Keys: []string{key}}},
	}
}

// listen returns a listener on loopback.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return l
}

// eventually waits until a condition holds.
func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(deadline); !ok(); time.Sleep(10 * time.Millisecond) {
		select {
		case <-r.exited:
			r.t.Fatalf("the daemon has ended: %s", what)
		default:
		}
		if time.Now().After(end) {
			r.t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// wantServed asserts that a request with a body of some bytes is served. Like any
// caller it comes back after a refusal.
func (r *rig) wantServed(bodyBytes int) {
	r.t.Helper()
	r.eventually("an ordinary request is served", func() bool {
		c := stub.Call{
			ID: fmt.Sprintf("ordinary-%d", r.ids.Add(1)), Host: host, Path: "/ordinary", APIKey: key, Timeout: deadline,
			Body: strings.Repeat("x", bodyBytes),
		}
		ctx, cancel := context.WithTimeout(r.t.Context(), deadline)
		defer cancel()
		reply, err := r.caller.Do(ctx, r.settings.CallerAddress, c)
		return err == nil && reply.Status == 200 && reply.Complete && reply.Body == stub.AnswerBody(c.ID)
	})
}

// wantWithinLimits asserts that the daemon lives, that its memory never exceeded the
// setting, and that its descriptors do not now.
func (r *rig) wantWithinLimits() {
	r.t.Helper()
	select {
	case <-r.exited:
		r.t.Fatal("the daemon has ended")
	default:
	}
	peak, open := r.peakMB(), r.openFiles()
	r.t.Logf("peak resident memory %d MB, %d descriptors", peak, open)
	if peak >= memoryMB {
		r.t.Errorf("peak resident memory is %d MB of %d", peak, memoryMB)
	}
	if open > files {
		r.t.Errorf("%d descriptors of %d are open", open, files)
	}
}

// peakMB returns the most resident memory that the daemon ever had, in units of 2^20
// bytes.
func (r *rig) peakMB() int {
	r.t.Helper()
	is := is.New(r.t)
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	is.NoErr(err)
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(v)[0])
			is.NoErr(err)
			return kb >> 10
		}
	}
	r.t.Fatal("no VmHWM")
	return 0
}

// openFiles returns the number of open descriptors of the daemon.
func (r *rig) openFiles() int {
	r.t.Helper()
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	is.New(r.t).NoErr(err)
	return len(l)
}

// crowd is a number of connections of callers to one daemon.
type crowd struct {
	conns []net.Conn
	// moved counts the bytes that were written and read, done the callers that have
	// ended.
	moved, done atomic.Int64

	mu       sync.Mutex
	statuses map[int]int
}

// newCrowd opens n connections to an address and runs act on each. The connections
// stay open until the test ends, unless the daemon closes them.
func (r *rig) newCrowd(address string, n int, act func(g *crowd, i int, c net.Conn)) *crowd {
	r.t.Helper()
	g := &crowd{statuses: map[int]int{}}
	var callers sync.WaitGroup
	for i := range n {
		c, err := net.DialTimeout("tcp", address, deadline)
		is.New(r.t).NoErr(err)
		g.conns = append(g.conns, c)
		callers.Go(func() {
			defer g.done.Add(1)
			act(g, i, c)
		})
	}
	r.t.Cleanup(func() {
		for _, c := range g.conns {
			_ = c.Close()
		}
		callers.Wait()
	})
	return g
}

// settle waits until every caller has ended, or no byte has moved for settleTime.
func (r *rig) settle(g *crowd) {
	r.t.Helper()
	last, since := int64(-1), time.Now()
	r.eventually("the crowd has settled", func() bool {
		if n := g.moved.Load(); n != last {
			last, since = n, time.Now()
		}
		return int(g.done.Load()) == len(g.conns) || time.Since(since) > settleTime
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	r.t.Logf("%d bytes moved, statuses: %v", g.moved.Load(), g.statuses)
}

// readStatus reads the status of an answer, if any comes.
func (g *crowd) readStatus(c net.Conn) {
	line, err := bufio.NewReader(c).ReadString('\n')
	f := strings.Fields(line)
	status := 0
	if err == nil && len(f) > 1 {
		status, _ = strconv.Atoi(f[1])
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statuses[status]++
}

// Write implements io.Writer by counting bytes.
func (g *crowd) Write(b []byte) (int, error) {
	g.moved.Add(int64(len(b)))
	return len(b), nil
}

// send writes parts of a text again and again, until n bytes of it were written or
// the connection ends.
func (g *crowd) send(c net.Conn, text []byte, n int) {
	for n > 0 {
		m, err := c.Write(text[:min(n, len(text))])
		g.moved.Add(int64(m))
		n -= m
		if err != nil {
			return
		}
	}
}

// head returns the head of a request with further lines.
func head(i int, path string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + stub.CallIDHeaderLine(fmt.Sprintf("crowd-%d", i)) +
		stub.KeyHeaderLine(key) + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// chunks returns the text of chunks of one size, which together are about 64 kB or
// one chunk long.
func chunks(size int) []byte {
	one := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return []byte(strings.Repeat(one, max(1, 64<<10/len(one))))
}

var _ io.Writer = (*crowd)(nil)
