package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonladder/wigeonladder/setting"
)

// process is one edge daemon as a process.
type process struct {
	binary, dir string
	settings    setting.Edge

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// troubled is until when the daemon is not in touch: it was stopped, paused
	// or started a moment before.
	troubled time.Time
}

// touchTime is how long after its last trouble a daemon counts as in touch again.
const touchTime = 4 * time.Second

// newProcess writes the settings of a daemon; start starts it.
func newProcess(binary, dir string, s setting.Edge) (*process, error) {
	p := &process{binary: binary, dir: dir, settings: s}
	return p, p.write()
}

// write writes the settings file.
func (p *process) write() error {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.file("json"), data, 0o600)
}

// file returns the path of one of the daemon's files.
func (p *process) file(kind string) string {
	return filepath.Join(p.dir, p.settings.Name+"."+kind)
}

// start starts the process.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.WithoutCancel(ctx), p.binary, "edge", p.file("json")) // #nosec G204 -- the program under test
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait()
		_ = out.Close()
	}()
	p.cmd, p.done = cmd, done
	p.troubled = time.Now().Add(touchTime)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.troubled = time.Now().Add(touchTime)
	_ = p.cmd.Process.Signal(s)
}

// stop ends the process by a signal, or by SIGKILL if it does not end in time, and
// reports whether it ended by itself.
func (p *process) stop(s syscall.Signal) bool {
	p.signal(s)
	t := time.NewTimer(time.Duration(p.settings.ShutdownGracePeriod) + time.Second)
	defer t.Stop()
	select {
	case <-p.done:
		return true
	case <-t.C:
		p.signal(syscall.SIGKILL)
		<-p.done
		return s == syscall.SIGKILL
	}
}

// inTouch reports whether the daemon had no trouble lately.
func (p *process) inTouch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().After(p.troubled)
}

// basePort is the first port of a daemon. Each daemon has an address of its own on
// the loopback network, which no outgoing connection uses.
const basePort = 7400

// newSettings returns the settings of the n-th daemon.
func newSettings(n int, store string, seeds []string) setting.Edge {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n+1)
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, basePort+i) }
	s := setting.DefaultEdge()
	s.Name, s.Zone, s.StoreAddress, s.Seeds = fmt.Sprintf("edge-%d", n), fmt.Sprintf("zone-%d", n%zones), store, seeds
	s.KeyTrustTime = setting.Duration(keyTrust)
	s.RetryBudget.Slack = 50
	s.CallerAddress, s.ReadinessAddress, s.PeerAddress, s.MetricsAddress = at(0), at(1), at(2), at(3)
	return s
}
