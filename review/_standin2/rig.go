package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/platform/stub"
	"github.com/wigeonladder/wigeonladder/route"
)

const (
	host         = "shop.example"
	appService   = "app"
	modelService = "model"
	apiKey       = "key-of-tenant-one"
	// heartbeat is heartbeatMs of the pages.
	heartbeat = 1200 * time.Millisecond
	// restartDelay is the "short delay" after which a process that ended starts again.
	restartDelay = 500 * time.Millisecond
)

// rig is one small deployment: a store, backend servers and daemons.
type rig struct {
	ctx     context.Context
	trouble bool
	started time.Time
	dir     string
	store   *stub.Store
	servers []*stub.Server
	daemons []*daemon

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	counts map[string]int
}

// newRig creates the record file in the folder of the case and starts the store.
func newRig(ctx context.Context, caseDir string) (*rig, error) {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{
		ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), dir: dir,
		file: f, record: bufio.NewWriter(f), counts: map[string]int{},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.store = stub.NewStore(l)
	go r.countEachSecond()
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *rig) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// count counts an event.
func (r *rig) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *rig) get(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, d := range r.daemons {
		d.kill()
	}
	for _, s := range r.servers {
		s.Close()
	}
	r.store.Close()
	r.mu.Lock()
	_ = r.record.Flush()
	_ = r.file.Close()
	r.mu.Unlock()
	_ = os.RemoveAll(r.dir)
}

// addServer starts a backend server and keeps its entry in the store alive.
func (r *rig) addServer(id, service, zone string, slots int) (*stub.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := stub.NewServer(l, wigeonladder.Instance{ID: id, Service: service, Zone: zone, Slots: slots, StartUnixMs: time.Now().UnixMilli()})
	r.servers = append(r.servers, s)
	r.store.PutServer(s.Instance())
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-r.ctx.Done():
				return
			case <-t.C:
				r.store.PutServer(s.Instance())
			}
		}
	}()
	return s, nil
}

// limits are the limits of a machine.
type limits struct {
	memoryMB, files   int
	applyMs, leaveMs  int
	keyTrustMs        int
	slack, bandwidthM int
}

// daemon is one process of the system.
type daemon struct {
	rig                               *rig
	name                              string
	front, readiness, control, metric string
	settings                          string
	limits                            limits

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	// ends counts the ends of the process without a signal of this rig, or by the
	// platform because of its memory.
	ends   int
	peakMB float64
}

// basePort is the first port of a daemon.
const basePort = 7400

// freeAddresses returns addresses with free ports on a loopback IP address of the n-th
// daemon of this process. No outgoing connection uses it as its source, so that none can
// take a port of the daemon while it restarts.
func freeAddresses(n, count int) ([]string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n+1)
	var free []string
	for port := basePort; len(free) < count; port++ {
		if port == basePort+100 {
			return nil, fmt.Errorf("too few free ports at %s", ip)
		}
		a := fmt.Sprintf("%s:%d", ip, port)
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			free = append(free, a)
		}
	}
	return free, nil
}

// addDaemons writes the settings of daemons, one for each zone named, and starts them.
func (r *rig) addDaemons(l limits, zones ...string) error {
	var seeds []string
	for n, zone := range zones {
		d := &daemon{rig: r, name: fmt.Sprintf("edge-%s-%d", zone, n+1), limits: l}
		a, err := freeAddresses(n, 4)
		if err != nil {
			return err
		}
		d.front, d.readiness, d.control, d.metric = a[0], a[1], a[2], a[3]
		if len(seeds) < 3 {
			seeds = append(seeds, d.control)
		}
		r.daemons = append(r.daemons, d)
	}
	for n, d := range r.daemons {
		if err := d.writeSettings(zones[n], r.store.Address(), seeds); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		go d.supervise()
	}
	for _, d := range r.daemons {
		if !d.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", d.name)
		}
	}
	return nil
}

// writeSettings writes the settings file with the layout of deploy/edge.json.tmpl.
func (d *daemon) writeSettings(zone, store string, seeds []string) error {
	l := d.limits
	data, err := json.MarshalIndent(map[string]any{
		"name": d.name, "zone": zone, "front": d.front, "ready": d.readiness, "peer": d.control, "metrics": d.metric,
		"store": store, "memory": strconv.Itoa(l.memoryMB), "files": strconv.Itoa(l.files), "bandwidth": strconv.Itoa(l.bandwidthM),
		"keyTrust": fmt.Sprintf("%dms", l.keyTrustMs), "apply": fmt.Sprintf("%dms", l.applyMs), "leave": fmt.Sprintf("%dms", l.leaveMs),
		"grace": "8s", "cold": map[string]string{"overage": "1"},
		"retry": map[string]string{"ratio": "0.2", "slack": strconv.Itoa(l.slack), "period": "10s"}, "seeds": seeds,
	}, "", "  ")
	if err != nil {
		return err
	}
	d.settings = filepath.Join(d.rig.dir, d.name+".json")
	return os.WriteFile(d.settings, data, 0o600)
}

// start starts the process with the command of deploy/system.toml.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(d.rig.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/wigeonladder", "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONLADDER_SETTINGS=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.exited = cmd, make(chan struct{})
	done := d.exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	d.rig.note("%s started, pid %d", d.name, cmd.Process.Pid)
	return nil
}

// supervise plays the platform for one process: it kills a process that exceeds
// memoryMb, and starts a process that has ended again.
func (d *daemon) supervise() {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	noted := time.Time{}
	for {
		select {
		case <-d.rig.ctx.Done():
			return
		case <-t.C:
		}
		d.mu.Lock()
		cmd, exited, stopped := d.cmd, d.exited, d.stopped
		d.mu.Unlock()
		if stopped {
			return
		}
		select {
		case <-exited:
			d.ended("ended by itself: " + cmd.ProcessState.String())
			continue
		default:
		}
		mb := residentMB(cmd.Process.Pid)
		d.mu.Lock()
		d.peakMB = max(d.peakMB, mb)
		d.mu.Unlock()
		if time.Since(noted) > 2*time.Second {
			noted = time.Now()
			d.rig.note("%s holds %.1f MB", d.name, mb)
		}
		if mb > float64(d.limits.memoryMB) {
			_ = cmd.Process.Kill()
			<-exited
			d.ended(fmt.Sprintf("killed by the platform: it holds %.1f MB of memoryMb %d", mb, d.limits.memoryMB))
		}
	}
}

// ended records an end of the process that nothing outside caused, and starts it again.
func (d *daemon) ended(how string) {
	d.mu.Lock()
	d.ends++
	n := d.ends
	d.mu.Unlock()
	d.rig.count("ends")
	d.rig.say("%s %s (end %d)", d.name, how, n)
	time.Sleep(restartDelay)
	if err := d.start(); err != nil {
		d.rig.say("%s does not start: %v", d.name, err)
	}
}

// kill ends the process for good.
func (d *daemon) kill() {
	d.mu.Lock()
	d.stopped = true
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// awaitReady waits until the process answers a readiness check with 200.
func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if stub.Ready(d.rig.ctx, d.readiness) {
			return true
		}
	}
	return false
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// call makes one call as an ordinary client and records it.
func (r *rig) call(c *stub.Caller, address string, q stub.Call) stub.Reply {
	return r.send(c, address, q, ordinary)
}

// ordinary is the kind of the calls of ordinary clients.
const ordinary = "ordinary call: "

// notedCalls is the number of calls of another kind, with one result, that are recorded
// one by one. All are counted, each second.
const notedCalls = 20

// send makes one call and records and counts its result. Long paths are cut in the
// record.
func (r *rig) send(c *stub.Caller, address string, q stub.Call, kind string) stub.Reply {
	ctx, cancel := context.WithTimeout(r.ctx, q.Timeout)
	defer cancel()
	began := time.Now()
	reply, err := c.Do(ctx, address, q)
	result := fmt.Sprintf("status %d", reply.Status)
	switch {
	case err != nil:
		result = "no answer"
		reply.Status = 0
	case !reply.Complete:
		result = "cut in the answer"
	}
	r.count(kind + result)
	if kind == ordinary || r.get(kind+result) <= notedCalls {
		r.note("%s%s %.24s (%d bytes), prompt of %d bytes: %s after %d ms", kind, q.ID, q.Path, len(q.Path), len(q.PromptParts), result, time.Since(began).Milliseconds())
	}
	return reply
}

// callAll starts one ordinary client for each daemon, which sends ten calls a second.
func (r *rig) callAll() {
	for i, d := range r.daemons {
		go func() {
			c := stub.NewCaller(true)
			for n := 0; r.ctx.Err() == nil; n++ {
				path := []string{"/read/x", "/write/x", "/stream/x"}[n%3]
				r.call(c, d.front, stub.Call{ID: fmt.Sprintf("c%d-%d", i, n), Host: host, Path: path, Body: "body", APIKey: apiKey, Timeout: 2500 * time.Millisecond})
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// countEachSecond records the counts each second.
func (r *rig) countEachSecond() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
			r.mu.Lock()
			counts := fmt.Sprint(r.counts)
			r.mu.Unlock()
			r.note("so far: %s", counts)
		}
	}
}

// summarize records the ends and the peaks of the processes, the results of the calls and
// what the servers ran.
func (r *rig) summarize() {
	for _, s := range r.servers {
		runs := s.Runs()
		r.say("%s ran %d calls", s.Instance().ID, len(runs))
		for i, x := range runs {
			if i < notedCalls || strings.HasPrefix(x.ID, "c") && i < 50*notedCalls {
				r.note("%s ran %s %.24s", x.Instance, x.ID, x.Path)
			}
		}
	}
	for _, d := range r.daemons {
		d.mu.Lock()
		r.say("%s: %d ends, peak %.1f MB of memoryMb %d", d.name, d.ends, d.peakMB, d.limits.memoryMB)
		d.mu.Unlock()
	}
	r.mu.Lock()
	names := slices.Sorted(maps.Keys(r.counts))
	r.mu.Unlock()
	for _, n := range names {
		r.say("%s: %d", n, r.get(n))
	}
}

// smallestMachine has the limits and the bounds of the smallest machines of
// hbt-tills-grown.
var smallestMachine = limits{memoryMB: 144, files: 3075, bandwidthM: 750, applyMs: 3000, leaveMs: 3000, keyTrustMs: 5000, slack: 184}

// tlalocMachine has the limits and the bounds of the smaller machines of
// tlaloc-retornos.
var tlalocMachine = limits{memoryMB: 414, files: 6150, bandwidthM: 1500, applyMs: 2000, leaveMs: 2000, keyTrustMs: 5000, slack: 58}

// addServers starts two servers of each service.
func (r *rig) addServers() error {
	for _, s := range []struct {
		id, service, zone string
		slots             int
	}{{"i-app1", appService, "a", 6}, {"i-app2", appService, "b", 6}, {"i-model1", modelService, "a", 48}, {"i-model2", modelService, "b", 48}} {
		if _, err := r.addServer(s.id, s.service, s.zone, s.slots); err != nil {
			return err
		}
	}
	return nil
}

// config returns the configuration of the deployment.
func config(version int64) route.Document {
	target := func(service string) []route.WeightedService {
		return []route.WeightedService{{Service: service, Weight: 1}}
	}
	return route.Document{
		Version: version,
		Routes: []route.Route{
			{Name: "safe", Host: host, PathPrefix: "/read/", Kind: route.Safe, MaxAttempts: 2, Timeout: 2500 * time.Millisecond, TargetLatency: 150 * time.Millisecond, WeightedServices: target(appService)},
			{Name: "unsafe", Host: host, PathPrefix: "/write/", Kind: route.AtMostOnce, MaxAttempts: 1, Timeout: 2500 * time.Millisecond, TargetLatency: 150 * time.Millisecond, WeightedServices: target(appService)},
			{Name: "stream", Host: host, PathPrefix: "/stream/", Kind: route.Stream, MaxAttempts: 1, Timeout: 8 * time.Second, TargetLatency: 600 * time.Millisecond, TargetGap: 300 * time.Millisecond, WeightedServices: target(modelService)},
		},
		Services: []route.Service{
			{Name: appService, HealthPath: "/health", MaxConns: 110},
			{Name: modelService, HealthPath: "/health", MaxConns: 310, Engine: &route.Engine{Slots: 48, CacheTokens: 444000}},
		},
		Workspaces: []route.Workspace{{Name: "tenant-one", Keys: []string{apiKey}, Priority: 1}},
		Limits:     route.Limits{TokensPerSecond: 440000},
	}
}

// withRoutes adds routes to a configuration, as big_config does.
func withRoutes(d route.Document, count int) route.Document {
	for n := range count {
		d.Routes = append(d.Routes, route.Route{
			Name: fmt.Sprintf("r-%07d", n), Host: host, PathPrefix: fmt.Sprintf("/added%06d/", n), Kind: route.Stream, MaxAttempts: 1,
			Timeout: 8 * time.Second, TargetLatency: 600 * time.Millisecond, TargetGap: 300 * time.Millisecond, Priority: 1,
			WeightedServices: []route.WeightedService{{Service: modelService, Weight: 1}},
		})
	}
	return d
}

// The rule Fault: on a tenth of the machines, two at least, processes end by themselves
// three times in the day.
const (
	maxEnds         = 3
	machinesOfFault = 2
)

// faultShown reports whether so many machines had so many ends that the rule is broken.
func (r *rig) faultShown() bool {
	n := 0
	for _, d := range r.daemons {
		d.mu.Lock()
		if d.ends >= maxEnds {
			n++
		}
		d.mu.Unlock()
	}
	return n >= machinesOfFault
}
