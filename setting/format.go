package setting

import (
	"encoding/hex"
	"net/netip"
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// namePattern allows only names that can be used in paths, log lines and message
// keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// formats returns the string formats that the schemas use.
func formats() []*jsonschema.Format {
	return []*jsonschema.Format{
		{Name: "name", Validate: forStrings(checkName)},
		{Name: "listen", Validate: forStrings(checkListen)},
		{Name: "address", Validate: forStrings(checkAddress)},
		{Name: "hash", Validate: forStrings(checkHash)},
		{Name: "prefix", Validate: forStrings(checkPrefix)},
		{Name: "interval", Validate: forStrings(checkInterval)},
		{Name: "decimal", Validate: forStrings(checkDecimal)},
	}
}

// forStrings adapts a check of strings. Values of other types are left to the
// keyword "type" of the schema.
func forStrings(check func(string) error) func(any) error {
	return func(v any) error {
		s, ok := v.(string)
		if !ok {
			return nil
		}
		return check(s)
	}
}

func checkName(s string) error {
	if !namePattern.MatchString(s) {
		return errors.New("a name has 1 to 63 letters, digits, dots, dashes or underscores and starts with a letter or digit")
	}
	return nil
}

// checkListen checks an address to listen on. The IP address may be unspecified, as
// in 0.0.0.0:7000.
func checkListen(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return errors.New("an address is an IP address and port, such as 10.0.0.1:7000")
	}
	if a.Port() == 0 {
		return errors.New("the port must not be 0")
	}
	return nil
}

// checkAddress checks an address to connect to.
func checkAddress(s string) error {
	if err := checkListen(s); err != nil {
		return err
	}
	if netip.MustParseAddrPort(s).Addr().IsUnspecified() {
		return errors.New("the IP address must be specified")
	}
	return nil
}

// checkHash accepts lower-case digits only, because hashes are compared as strings.
func checkHash(s string) error {
	if _, err := hex.DecodeString(s); err != nil || len(s) != 64 || s != strings.ToLower(s) {
		return errors.New("a key hash is a SHA-256 of 64 lower-case hexadecimal digits")
	}
	return nil
}

func checkPrefix(s string) error {
	if !strings.HasPrefix(s, "/") {
		return errors.New("a path prefix starts with \"/\"")
	}
	return nil
}

func checkInterval(s string) error {
	_, err := parseDuration(s)
	return err
}

func checkDecimal(s string) error {
	_, err := parseDecimal(s)
	return err
}
