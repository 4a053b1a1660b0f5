// Package daemon wires the parts of rattanscaled.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/settings"
)

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs rattanscaled with the given arguments and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("rattanscaled", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("config", "", "settings file")
	check := flags.Bool("check", false, "validate the settings and exit")
	verbosity := flags.Int("v", 0, "verbosity of the log: 0 or 1")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintln(stderr, "usage: rattanscaled -config FILE [-check] [-v 0|1]")
		return exitUsage
	}
	s, err := settings.Load(*file)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if *check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	log := newLogger(stderr, s.Host.Name, *verbosity)
	// The second signal ends the process at once, because stop restores the default handling.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Run(ctx, s, log); err != nil {
		log.Error(err, "daemon failed")
		return exitFailure
	}
	return exitOK
}

// newLogger returns a logger that writes one line of key=value pairs for each event.
func newLogger(w io.Writer, host string, verbosity int) logr.Logger {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(handler).WithValues("host", host)
}
