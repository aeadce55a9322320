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

// settingsPollInterval is the interval at which the settings file is polled for
// changes that no SIGHUP announces.
const settingsPollInterval = 2 * time.Second

// newEdge returns the command that runs an edge daemon.
func newEdge() command {
	s := newSubcommand("edge", "run a daemon in front of the services of a platform's store")
	file := os.Getenv("WIGEONLADDER_SETTINGS")
	s.AddPositionalValue(&file, "settings", 1, false, "JSON settings file; default $WIGEONLADDER_SETTINGS")
	return command{sub: s, run: func(ctx context.Context, out io.Writer) error {
		if file == "" {
			return errors.New("name a settings file, or set WIGEONLADDER_SETTINGS")
		}
		settings, err := readEdgeSettings(file)
		if err != nil {
			return err
		}
		return runEdge(ctx, out, file, settings)
	}}
}

// readEdgeSettings reads the settings file.
func readEdgeSettings(file string) (setting.Edge, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return setting.Edge{}, err
	}
	return setting.ParseEdge(file, data)
}

// runEdge runs an edge daemon until the context is cancelled, then shuts it down
// gracefully.
func runEdge(ctx context.Context, out io.Writer, file string, settings setting.Edge) error {
	// SIGHUP is caught before the daemon starts: a SIGHUP that arrives during the start
	// would otherwise kill the process.
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

// followSettings reloads the settings file on SIGHUP and when its modification time
// changes, until the context is cancelled.
func followSettings(ctx context.Context, hup <-chan os.Signal, file string, d *edge.Daemon, l log.Interface) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	lastModTime := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if m := modTime(file); m.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(file)
		settings, err := readEdgeSettings(file)
		if err != nil {
			l.WithError(err).Error("reload_failed")
			continue
		}
		d.Reload(settings)
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// cannot be read.
func modTime(file string) time.Time {
	i, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
