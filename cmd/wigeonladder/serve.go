package main

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder/daemon"
	"github.com/wigeonladder/wigeonladder/setting"
)

// newServe returns the command that runs a daemon.
func newServe() command {
	s := newSubcommand("serve", "run a daemon from a settings file")
	file := ""
	defaults := false
	s.AddPositionalValue(&file, "settings", 1, false, "JSON settings file")
	s.Bool(&defaults, "d", "defaults", "print the default settings and exit")
	return command{sub: s, run: func(ctx context.Context, out io.Writer) error {
		if defaults {
			return printDefaults(out)
		}
		if file == "" {
			return errors.New("name a settings file, or use --defaults to see the default settings")
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		settings, err := setting.ParseSettings(file, data)
		if err != nil {
			return err
		}
		l := &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.InfoLevel}
		return serve(ctx, settings, l)
	}}
}

// serve runs a daemon until the context is cancelled, then shuts it down gracefully.
func serve(ctx context.Context, settings setting.Settings, l log.Interface) error {
	d, err := daemon.New(context.WithoutCancel(ctx), daemon.Options{Settings: settings, Log: l})
	if err != nil {
		return err
	}
	expvar.Publish("wigeonladder", d.Metrics())
	select {
	case <-ctx.Done():
		d.Drain()
	case <-d.Done():
	}
	<-d.Done()
	return nil
}

// printDefaults prints the default settings as JSON.
func printDefaults(out io.Writer) error {
	b, err := json.MarshalIndent(setting.Default(), "", "  ")
	if err != nil {
		return err
	}
	_, err = out.Write(append(b, '\n'))
	return err
}
