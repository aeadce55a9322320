// Command standin runs the stand-ins of the platform, the backend servers, the
// network and the callers as separate processes, for scenario tests.
package main

import (
	"os"

	"github.com/wigeonladder/wigeonladder/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
