package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
	"github.com/wigeonladder/wigeonladder/setting"
)

// Names of the deployment under test.
const (
	host         = "desk.example"
	apiKey       = "key-1"
	workspace    = "bench-01"
	appService   = "guild-desk"
	modelService = "nib-scribe"
)

// rig is a deployment on loopback: a store, replicas and daemons, and the record of
// what was sent, answered and run.
type rig struct {
	dir       string
	store     *stub.Store
	storeAddr string
	daemons   []*daemon
	replicas  int

	mu      sync.Mutex
	record  *os.File
	started time.Time
	runs    map[string][]string // the runs of each attempt, by replica
}

// newRig starts a store. Its listener can be replaced by a proxy before daemons start.
func newRig(recordPath string) *rig {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	record, err := os.Create(recordPath)
	must(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := stub.NewStore(l)
	current = &rig{dir: dir, store: s, storeAddr: s.Address(), record: record, started: time.Now(), runs: map[string][]string{}}
	return current
}

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a replica began to run an attempt.
func (r *rig) ran(id, replica string) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], replica)
	r.mu.Unlock()
	r.note("replica %s runs %s", replica, id)
}

// runsOf returns the replicas that ran an attempt.
func (r *rig) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

// close ends the daemons and the store.
func (r *rig) close() {
	for _, d := range r.daemons {
		d.kill()
	}
	r.store.Close()
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// daemon is one edge daemon that runs as a process.
type daemon struct {
	rig      *rig
	settings setting.Edge
	file     string
	cmd      *exec.Cmd
	done     chan struct{}
}

// addDaemon writes the settings of a daemon, as the template of the deploy file does
// for a small deployment, and starts it.
func (r *rig) addDaemon(name, zone string, seeds []string) *daemon {
	s := setting.DefaultEdge()
	s.Name, s.Zone, s.StoreAddress, s.Seeds = name, zone, r.storeAddr, seeds
	a := r.freeAddrs(4)
	s.CallerAddress, s.ReadinessAddress, s.PeerAddress, s.MetricsAddress = a[0], a[1], a[2], a[3]
	s.MemoryMB, s.MaxOpenFiles = 414, 1024
	s.ShutdownGracePeriod = setting.Duration(8 * time.Second)
	s.KeyTrustTime = setting.Duration(5 * time.Second)
	s.MaxApplyDelay, s.MaxLeaveDelay = setting.Duration(2*time.Second), setting.Duration(2*time.Second)
	s.RetryBudget.Ratio, s.RetryBudget.Slack = 0.2, 54
	d := &daemon{rig: r, settings: s, file: filepath.Join(r.dir, name+".json")}
	data, err := json.Marshal(s)
	must(err)
	must(os.WriteFile(d.file, data, 0o600))
	r.daemons = append(r.daemons, d)
	d.start()
	return d
}

// freeAddrs returns free addresses on a loopback IP address of the daemon's own. No
// outgoing connection has that source, so that none can take a port meanwhile.
func (r *rig) freeAddrs(n int) []string {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, len(r.daemons)+1)
	var l []string
	for range n {
		x, err := net.Listen("tcp", ip+":0")
		must(err)
		defer x.Close()
		l = append(l, x.Addr().String())
	}
	return l
}

// start starts the process.
func (d *daemon) start() {
	out, err := os.OpenFile(filepath.Join(d.rig.dir, d.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	d.cmd = exec.Command("target/wigeonladder", "edge")
	d.cmd.Env = append(os.Environ(), "WIGEONLADDER_SETTINGS="+d.file)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	must(d.cmd.Start())
	d.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		_ = out.Close()
		close(done)
	}(d.cmd, d.done)
	d.rig.note("daemon %s starts, process %d", d.settings.Name, d.cmd.Process.Pid)
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.rig.note("daemon %s gets %v", d.settings.Name, s)
	_ = d.cmd.Process.Signal(s)
}

// kill ends the process.
func (d *daemon) kill() {
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.done
}

// log returns what the daemon logged of an attempt.
func (d *daemon) log(id string) string {
	data, _ := os.ReadFile(filepath.Join(d.rig.dir, d.settings.Name+".log"))
	var b strings.Builder
	for _, l := range strings.Split(string(data), "\n") {
		if strings.Contains(l, id) {
			b.WriteString("           " + l + "\n")
		}
	}
	return b.String()
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady() bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		ok := stub.Ready(ctx, d.settings.ReadinessAddress)
		cancel()
		if ok {
			return true
		}
	}
	return false
}

// request is one attempt of a requester.
type request struct {
	id, method, path, body string
	timeout                time.Duration
	lastEvent              string
	key                    string
	headers                string
}

// answer is what the requester got.
type answer struct {
	status    int
	signature string
	body      string
	complete  bool
	err       error
}

// send sends a request on a channel of its own and reads the answer.
func (r *rig) send(d *daemon, q request) answer {
	a := r.sendQuiet(d, q)
	r.note("%s %s %s to %s: status %d, signature %q, %d bytes, complete %v, error %v", q.method, q.path, q.id, d.settings.Name, a.status, a.signature, len(a.body), a.complete, a.err)
	return a
}

func (r *rig) sendQuiet(d *daemon, q request) answer {
	c, err := net.DialTimeout("tcp", d.settings.CallerAddress, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.timeout + time.Second))
	if _, err := io.WriteString(c, q.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c))
}

// text returns the request as it is sent.
func (q request) text() string {
	k := q.key
	if k == "" {
		k = apiKey
	}
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Timeout-Ms: %d\r\nAuthorization: Token %s\r\n", q.method, q.path, host, q.id, q.timeout.Milliseconds(), k)
	if q.lastEvent != "" {
		s += "Last-Event-Id: " + q.lastEvent + "\r\n"
	}
	s += q.headers
	if q.body != "" || q.method != "GET" {
		s += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	return s + "\r\n" + q.body
}

// readAnswer reads one answer.
func readAnswer(b *bufio.Reader) answer {
	resp, err := http.ReadResponse(b, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signature: resp.Header.Get("Response-Signature"), body: string(body), complete: err == nil, err: err}
}

// replica is a stand-in for a replica that writes its answers as bytes.
type replica struct {
	rig *rig
	// index counts the replicas of the rig from 0.
	index    int
	instance wigeonladder.Instance
	listener net.Listener
	// handle answers the n-th request on a connection, counted from 1. It returns
	// false to close the connection.
	handle func(p *replica, c net.Conn, n int, q *http.Request, body []byte) bool
}

// addReplica starts a replica and lists it in the store.
func (r *rig) addReplica(id, service, zone string, slots int, handle func(p *replica, c net.Conn, n int, q *http.Request, body []byte) bool) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &replica{rig: r, index: r.replicas, listener: l, handle: handle, instance: wigeonladder.Instance{
		ID: id, StartUnixMs: time.Now().UnixMilli(), Service: service, Address: l.Addr().String(), Zone: zone, Slots: slots,
	}}
	r.replicas++
	go p.serve()
	r.store.PutServer(p.instance)
	return p
}

func (p *replica) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			b := bufio.NewReader(c)
			for n := 1; ; n++ {
				q, err := http.ReadRequest(b)
				if err != nil {
					return
				}
				body, err := io.ReadAll(q.Body)
				if err != nil {
					return
				}
				if q.URL.Path == "/health" {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nReplica-Id: "+p.instance.ID+"\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				if e := q.Header.Get("Expected-Replica"); e != "" && e != p.instance.ID {
					_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: "+p.instance.ID+"\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				if !p.handle(p, c, n, q, body) {
					return
				}
			}
		}()
	}
}

// wholeText returns a signed answer with a body.
func wholeText(id string, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, stub.Sign(body), len(body), body)
}

// config returns a configuration like that of a small deployment.
func config(version int64) route.Document {
	svc := func(n string) []route.WeightedService { return []route.WeightedService{{Service: n, Weight: 1}} }
	return route.Document{
		Version: version,
		Routes: []route.Route{
			{Name: "booking", Host: host, PathPrefix: "/booking/", Kind: route.AtMostOnce, Timeout: 5 * time.Second, TargetLatency: 100 * time.Millisecond, WeightedServices: svc(appService), MaxAttempts: 1, Priority: 2},
			{Name: "lookup", Host: host, PathPrefix: "/lookup/", Kind: route.Safe, Timeout: 5 * time.Second, TargetLatency: 100 * time.Millisecond, WeightedServices: svc(appService), MaxAttempts: 2, Priority: 2},
			{Name: "note", Host: host, PathPrefix: "/note/", Kind: route.Stream, Resumable: true, Timeout: 5 * time.Second, TargetLatency: 600 * time.Millisecond, TargetGap: 300 * time.Millisecond, WeightedServices: svc(modelService), MaxAttempts: 2, Priority: 1},
			{Name: "reply", Host: host, PathPrefix: "/reply/", Kind: route.Stream, Timeout: 10 * time.Second, TargetLatency: 500 * time.Millisecond, TargetGap: 300 * time.Millisecond, WeightedServices: svc(modelService), MaxAttempts: 1, Priority: 1},
		},
		Services: []route.Service{
			{Name: appService, HealthPath: "/health", MaxConns: 100},
			{Name: modelService, HealthPath: "/health", MaxConns: 300, Engine: &route.Engine{Slots: 48, CacheTokens: 444000}},
		},
		Workspaces: []route.Workspace{{Name: workspace, Keys: []string{apiKey}}},
	}
}

// current is the rig of the case, which a case that cannot run has to close.
var current *rig

// notRun ends a case that could not run.
func notRun(why string) {
	fmt.Fprintln(os.Stderr, "the case could not run:", why)
	if current != nil {
		current.close()
	}
	os.Exit(exitNotRun)
}

func must(err error) {
	if err != nil {
		notRun(err.Error())
	}
}
