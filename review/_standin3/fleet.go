// Command _standin3 holds the stand-ins of the cases review/11 to review/15. Each
// case starts the project's program as the deploy file does, on loopback addresses,
// and plays store, backend servers and callers around it.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonladder/wigeonladder/platform/stub"
)

// daemon is one edge daemon that runs as a process.
type daemon struct {
	name, dir                 string
	front, ready, peer, debug string
	settings                  map[string]any

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	state  *os.ProcessState
	starts int
}

// machine is the kind of machine on which a daemon runs, with the bounds of its site.
type machine struct {
	memoryMB           int
	files, mbps        string
	apply, leave       string
	retryBudgetSlack   string
	engineSlots, cache int
}

var (
	// mngLadder is the smaller kind of machine of mng-ladder.
	mngLadder = machine{memoryMB: 414, files: "6150", mbps: "1500.0", apply: "2000ms", leave: "2000ms", retryBudgetSlack: "54", engineSlots: 48, cache: 444000}
	// hibiki is the smallest kind of machine of hibiki-results-grown.
	hibiki = machine{memoryMB: 413, files: "8192", mbps: "2400.0", apply: "3000ms", leave: "3000ms", retryBudgetSlack: "182", engineSlots: 128, cache: 1184510}
)

// newDaemon writes the settings file of the n-th daemon. Each daemon has a loopback
// address of its own.
func newDaemon(dir string, n int, zone, store string, m machine, seeds []string) (*daemon, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n+1)
	a := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	d := &daemon{
		name: fmt.Sprintf("edge-%s-%d", zone, n), dir: dir,
		front: a(8783), ready: a(8780), peer: a(8785), debug: a(7400),
	}
	// These are the keys of deploy/edge.json.tmpl.
	d.settings = map[string]any{
		"name": d.name, "zone": zone, "front": d.front, "ready": d.ready, "peer": d.peer, "metrics": d.debug,
		"store": store, "memory": strconv.Itoa(m.memoryMB), "files": m.files, "bandwidth": m.mbps,
		"keyTrust": "5000ms", "apply": m.apply, "leave": m.leave, "grace": "8s",
		"cold":  map[string]any{"overage": "1"},
		"retry": map[string]any{"ratio": "0.2", "slack": m.retryBudgetSlack, "period": "10s"},
		"seeds": append([]string{}, seeds...),
	}
	data, err := json.Marshal(d.settings)
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.file("json"), data, 0o600)
}

func (d *daemon) file(extension string) string { return filepath.Join(d.dir, d.name+"."+extension) }

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	out, err := os.OpenFile(d.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/wigeonladder", "edge")
	cmd.Env = append(os.Environ(), "WIGEONLADDER_SETTINGS="+d.file("json"))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	started.mu.Lock()
	started.daemons = append(started.daemons, d)
	started.mu.Unlock()
	exited := make(chan struct{})
	d.cmd, d.exited, d.state = cmd, exited, nil
	d.starts++
	go func() {
		_ = cmd.Wait()
		d.mu.Lock()
		d.state = cmd.ProcessState
		d.mu.Unlock()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// started contains the daemons that were started.
var started struct {
	mu      sync.Mutex
	daemons []*daemon
}

// killStarted ends the processes of all daemons.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, d := range started.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
	}
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state == nil && d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	if d.exited != nil {
		<-d.exited
	}
}

// awaitReady waits until all daemons answer that they are ready.
func awaitReady(ctx context.Context, timeout time.Duration, daemons ...*daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, d := range daemons {
		for !stub.Ready(ctx, d.ready) {
			if ctx.Err() != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

// listen listens on a free loopback port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// link forwards connections to a target. While it is cut it forwards nothing in either
// direction, on open connections and on new ones.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

func newLink(target string) *link {
	l := &link{listener: listen(), target: target, conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// cut begins or ends a partition. What was sent during it is lost, so that the open
// connections are reset when it ends.
func (l *link) cut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	if !isCut {
		for c := range l.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func (l *link) blocked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

func (l *link) forward(c net.Conn) {
	t, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[t] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var done sync.WaitGroup
	pipe := func(to, from net.Conn) {
		b := make([]byte, 32<<10)
		lost := false
		for {
			n, err := from.Read(b)
			lost = lost || n > 0 && l.blocked()
			if n > 0 && !lost {
				if _, err := to.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	done.Go(func() { pipe(t, c) })
	done.Go(func() { pipe(c, t) })
	done.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, t)
	l.mu.Unlock()
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}
