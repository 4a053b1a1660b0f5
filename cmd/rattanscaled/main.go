// Command rattanscaled runs the daemon, or the front end with the argument frontend. See
// README.md.
package main

import (
	"os"

	"github.com/rattanscale/rattanscale/internal/daemon"
	"github.com/rattanscale/rattanscale/internal/frontend"
	"github.com/rattanscale/rattanscale/platform"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "frontend" {
		os.Exit(frontend.Main(os.Args[2:], platform.New(), os.Stdout, os.Stderr))
	}
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
