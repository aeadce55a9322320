package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/setting"
)

// newCheck returns the command that validates a file and lists every error
// with its place.
func newCheck() command {
	s := newSubcommand("check", "validate settings, configuration, register, rules or routing and list every error")
	kind, file, register := "", "", ""
	var o routingOptions
	s.AddPositionalValue(&kind, "kind", 1, true, "settings, config, register, rules or routing (the configuration of the edge daemons)")
	s.AddPositionalValue(&file, "file", 2, true, "JSON file")
	s.String(&register, "r", "register", "register that rules refer to; needed for rules")
	s.String(&o.inForce, "f", "in-force", "routing in force, to list what differs from it")
	s.Bool(&o.json, "j", "json", "print the result of a check of routing as JSON")
	return command{sub: s, run: func(_ context.Context, out io.Writer) error {
		if kind == "routing" {
			return checkRouting(out, file, o)
		}
		if err := checkFile(kind, file, register); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "%s: valid %s\n", file, kind)
		return nil
	}}
}

// checkFile validates one file.
func checkFile(kind, file, register string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	switch kind {
	case "settings":
		_, err = setting.ParseSettings(file, data)
	case "config":
		_, err = setting.ParseConfig(file, data)
	case "register":
		_, err = setting.ParseRegister(file, data)
	case "rules":
		err = checkRules(file, data, register)
	default:
		err = errors.Errorf("kind %q is not one of settings, config, register, rules, routing", kind)
	}
	return err
}

// checkRules validates rules against the register that they refer to. The
// errors of both files are returned together.
func checkRules(file string, data []byte, register string) error {
	if register == "" {
		return errors.New("rules refer to a register: name it with --register")
	}
	registerData, err := os.ReadFile(register)
	if err != nil {
		return err
	}
	r, registerErr := setting.ParseRegister(register, registerData)
	_, err = setting.ParseRules(file, data, r)
	if registerErr == nil {
		return err
	}
	var all wigeonladder.Errors
	for _, e := range []error{registerErr, err} {
		var l wigeonladder.Errors
		if errors.As(e, &l) {
			all = append(all, l...)
		}
	}
	return all.ErrorOrNil()
}
