// Command rattanctl is the command-line client for operators and callers. See README.md.
package main

import (
	"os"

	"github.com/rattanscale/rattanscale/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
