package main

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder/edge"
	"github.com/wigeonladder/wigeonladder/platform"
	"github.com/wigeonladder/wigeonladder/setting"
)

// reloadPeriod is how often the settings file is looked at for a change that no
// signal tells.
const reloadPeriod = 2 * time.Second

// newEdge returns the command that runs an edge daemon.
func newEdge() command {
	s := newSubcommand("edge", "run a daemon in front of the services of a platform's store")
	file := os.Getenv("WIGEONLADDER_SETTINGS")
	s.AddPositionalValue(&file, "settings", 1, false, "JSON settings file; default $WIGEONLADDER_SETTINGS")
	return command{sub: s, run: func(ctx context.Context, out io.Writer) error {
		if file == "" {
			return errors.New("name a settings file, or set WIGEONLADDER_SETTINGS")
		}
		settings, err := readEdge(file)
		if err != nil {
			return err
		}
		return runEdge(ctx, out, file, settings)
	}}
}

// readEdge reads the settings file.
func readEdge(file string) (setting.Edge, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return setting.Edge{}, err
	}
	return setting.ParseEdge(file, data)
}

// runEdge runs an edge daemon until the context ends, then stops it gracefully.
func runEdge(ctx context.Context, out io.Writer, file string, settings setting.Edge) error {
	// Without this, a SIGHUP that comes while the daemon starts would end it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	logs, endLogs := context.WithCancel(context.WithoutCancel(ctx))
	handler := edge.NewLogHandler(logs, out)
	defer handler.Wait()
	defer endLogs()
	l := &log.Logger{Handler: handler, Level: log.InfoLevel}
	d, err := edge.New(context.WithoutCancel(ctx), edge.Options{
		Settings: settings,
		NewPlatform: func(dial func(context.Context, string) (net.Conn, error)) edge.Platform {
			return platform.New(settings.StoreAddress, dial)
		},
		Log: l,
	})
	if err != nil {
		return err
	}
	followSettings(ctx, hup, file, d, l)
	d.Stop(context.WithoutCancel(ctx))
	return nil
}

// followSettings takes over changes of the settings file, on SIGHUP and without,
// until the context ends.
func followSettings(ctx context.Context, hup <-chan os.Signal, file string, d *edge.Daemon, l log.Interface) {
	t := time.NewTicker(reloadPeriod)
	defer t.Stop()
	changed := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if m := modified(file); m.Equal(changed) {
				continue
			}
		}
		changed = modified(file)
		settings, err := readEdge(file)
		if err != nil {
			l.WithError(err).Error("reload_failed")
			continue
		}
		d.Reload(settings)
	}
}

// modified returns when a file was changed last; the zero time if it cannot be
// told.
func modified(file string) time.Time {
	i, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
