// Package daemon assembles and runs rattanscaled.
package daemon

import (
	"io"

	"github.com/rattanscale/rattanscale/internal/program"
	"github.com/rattanscale/rattanscale/internal/settings"
)

// Main runs rattanscaled with the given arguments and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	return program.Program[*settings.Settings]{
		Name: "rattanscaled",
		Load: settings.Load,
		Host: func(s *settings.Settings) string { return s.Host.Name },
		Run:  Run,
	}.Main(args, stdout, stderr)
}
