package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder/setting"
)

// newCheck returns the command that validates a file and lists every error
// with its place.
func newCheck() command {
	s := newSubcommand("check", "validate settings, configuration, register or rules and list every error")
	kind, file := "", ""
	s.AddPositionalValue(&kind, "kind", 1, true, "settings, config, register or rules")
	s.AddPositionalValue(&file, "file", 2, true, "JSON file")
	return command{sub: s, run: func(_ context.Context, out io.Writer) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := check(kind, file, data); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: valid %s\n", file, kind)
		return nil
	}}
}

// check validates the data of one file.
func check(kind, file string, data []byte) error {
	var err error
	switch kind {
	case "settings":
		_, err = setting.ParseSettings(file, data)
	case "config":
		_, err = setting.ParseConfig(file, data)
	case "register":
		_, err = setting.ParseRegister(file, data)
	case "rules":
		_, err = setting.ParseRules(file, data)
	default:
		err = errors.Errorf("kind %q is not one of settings, config, register, rules", kind)
	}
	return err
}
