// Command standin runs the stand-ins of the scenarios as separate processes.
package main

import (
	"os"

	"github.com/wigeonladder/wigeonladder/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
