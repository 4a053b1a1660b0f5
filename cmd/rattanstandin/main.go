// Command rattanstandin runs one stand-in for the platform or an upstream. See README.md.
package main

import (
	"os"

	"github.com/rattanscale/rattanscale/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
