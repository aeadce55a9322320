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

// process is one edge daemon that runs as a process.
type process struct {
	binary, dir string
	settings    setting.Edge

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// disturbedUntil is the time until which the daemon may lag behind the store,
	// because it was started or got a signal.
	disturbedUntil time.Time
}

// disturbanceTime is how long a daemon may lag behind the store after a start, a
// signal or a fault of the store.
const disturbanceTime = 4 * time.Second

// newProcess writes the settings file of a daemon. The process is started by start.
func newProcess(binary, dir string, s setting.Edge) (*process, error) {
	p := &process{binary: binary, dir: dir, settings: s}
	return p, p.writeSettings()
}

func (p *process) writeSettings() error {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.filePath("json"), data, 0o600)
}

// filePath returns the path of the daemon's file with the given extension.
func (p *process) filePath(extension string) string {
	return filepath.Join(p.dir, p.settings.Name+"."+extension)
}

// start starts the process. Its output is appended to the log file.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.filePath("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.WithoutCancel(ctx), p.binary, "edge", p.filePath("json")) // #nosec G204 -- the program under test
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
	p.cmd, p.exited = cmd, done
	p.disturbedUntil = time.Now().Add(disturbanceTime)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedUntil = time.Now().Add(disturbanceTime)
	_ = p.cmd.Process.Signal(s)
}

// stop ends the process by a signal, and by SIGKILL if it outlasts its grace period
// by a second. It reports whether the process ended by the given signal.
func (p *process) stop(s syscall.Signal) bool {
	p.signal(s)
	t := time.NewTimer(time.Duration(p.settings.ShutdownGracePeriod) + time.Second)
	defer t.Stop()
	select {
	case <-p.exited:
		return true
	case <-t.C:
		p.signal(syscall.SIGKILL)
		<-p.exited
		return s == syscall.SIGKILL
	}
}

// isUndisturbed reports whether the last start and the last signal are at least
// disturbanceTime ago.
func (p *process) isUndisturbed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().After(p.disturbedUntil)
}

// basePort is the first port of a daemon. Each daemon has a loopback IP address of
// its own, which no outgoing connection uses as its source, so that no outgoing
// connection can occupy a port of the daemon.
const basePort = 7400

// newSettings returns the settings of the n-th daemon.
func newSettings(n int, store string, seeds []string) setting.Edge {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n+1)
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, basePort+i) }
	s := setting.DefaultEdge()
	s.Name, s.Zone, s.StoreAddress, s.Seeds = fmt.Sprintf("edge-%d", n), fmt.Sprintf("zone-%d", n%zones), store, seeds
	s.KeyTrustTime = setting.Duration(keyTrustTime)
	s.MaxEvacuationDelay = setting.Duration(evacuationGrace)
	s.RetryBudget.Slack = 50
	s.CallerAddress, s.ReadinessAddress, s.PeerAddress, s.MetricsAddress = address(0), address(1), address(2), address(3)
	return s
}
