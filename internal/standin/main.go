// Package standin implements stand-ins for the platform and upstreams, for tests and the demo.
package standin

import "io"

// Main runs the program with the given arguments and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int { return 0 }
