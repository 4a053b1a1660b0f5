// Package program implements the main function of a process that is configured by a
// settings file: command line, log, signals and exit status.
package program

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/asynclog"
)

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Environment holds what Program.Run gets besides the settings.
type Environment struct {
	// SettingsFile is the path of the settings file.
	SettingsFile string
	Log          logr.Logger
	// LogDropped returns the number of log lines that were dropped because standard
	// output was too slow.
	LogDropped func() uint64
}

// Program is a process with settings of type S.
type Program[S any] struct {
	// Name is the program name in the usage line.
	Name string
	// Load reads and validates a settings file. Its error lists all invalid settings.
	Load func(path string) (S, error)
	// Host returns the host name, which is part of every log line.
	Host func(S) string
	// Run runs the program until ctx is cancelled by SIGTERM or SIGINT.
	Run func(ctx context.Context, s S, e Environment) error
}

// Main runs the program with the given arguments and returns its exit status. Log
// lines go to stdout and never block the program; errors in the arguments or the
// settings go to stderr.
func (p Program[S]) Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	settingsFile := flags.String("config", "", "settings file")
	check := flags.Bool("check", false, "validate the settings and exit")
	verbosity := flags.Int("v", 0, "verbosity of the log: 0 or 1")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *settingsFile == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "usage: %s -config FILE [-check] [-v 0|1]\n", p.Name)
		return exitUsage
	}
	settings, err := p.Load(*settingsFile)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if *check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	logWriter := asynclog.New(stdout)
	defer logWriter.Close()
	handler := slog.NewTextHandler(logWriter, &slog.HandlerOptions{Level: slog.Level(-*verbosity)})
	log := logr.FromSlogHandler(handler).WithValues("host", p.Host(settings))
	// By default SIGHUP ends a process. Code that reloads settings also handles it, but
	// only after the start and until the process drains.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	// Further signals have no effect, so that they cannot interrupt the orderly stop that
	// the first one started.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := p.Run(ctx, settings, Environment{SettingsFile: *settingsFile, Log: log, LogDropped: logWriter.Dropped}); err != nil {
		log.Error(err, "program failed")
		return exitFailure
	}
	return exitOK
}
