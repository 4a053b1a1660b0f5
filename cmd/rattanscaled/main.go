// Command rattanscaled is described in README.md.
package main

import (
	"os"

	"github.com/rattanscale/rattanscale/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
