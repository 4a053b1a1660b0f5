// Package program runs a process from a settings file: arguments, log, signals and
// exit status.
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

// The exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Environment is what a process is given besides its settings.
type Environment struct {
	// SettingsFile is the settings file.
	SettingsFile string
	Log          logr.Logger
	// LogDropped returns the number of log lines that were dropped because standard
	// output was not read fast enough.
	LogDropped func() uint64
}

// Program is a process with settings of type S.
type Program[S any] struct {
	// Name is how the usage line calls the program.
	Name string
	// Load reads and validates a settings file. Its error names every fault.
	Load func(path string) (S, error)
	// Host returns the name of the host, which every log line carries.
	Host func(S) string
	// Run serves until ctx ends.
	Run func(ctx context.Context, s S, e Environment) error
}

// Main runs the program with the given arguments and returns its exit status. Log
// lines go to stdout and never block; what is wrong with the arguments or the
// settings goes to stderr.
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
	s, err := p.Load(*settingsFile)
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
	log := logr.FromSlogHandler(handler).WithValues("host", p.Host(s))
	// By default SIGHUP ends a process. Who reloads settings listens to it as well, but not
	// before the start has come that far and no longer while the process drains.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	// Further signals change nothing: they must not cut off the stop that the first began.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := p.Run(ctx, s, Environment{SettingsFile: *settingsFile, Log: log, LogDropped: logWriter.Dropped}); err != nil {
		log.Error(err, "program failed")
		return exitFailure
	}
	return exitOK
}
