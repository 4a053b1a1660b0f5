// Package ctl implements the verbs of rattanctl.
package ctl

import "io"

// Main runs the program with the given arguments and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int { return 0 }
