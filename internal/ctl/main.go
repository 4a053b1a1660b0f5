// Package ctl implements the commands of rattanctl.
package ctl

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/rattanscale/rattanscale/internal/replay"
)

// Exit statuses in addition to subcommands.ExitSuccess, ExitFailure (1) and
// ExitUsageError (2).
const (
	// exitInvalidText reports errors in a service text. It has the same value as
	// ExitUsageError.
	exitInvalidText subcommands.ExitStatus = 2
	// exitNotInForce reports a change that was undone, or that was still pending when the
	// wait for its outcome ended.
	exitNotInForce subcommands.ExitStatus = 3
)

// Main runs rattanctl with the given arguments and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == replayVerb {
		return replay.Run(args[1:], stdout, stderr) // replay.Run parses its own flags
	}
	flags := flag.NewFlagSet("rattanctl", flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, "rattanctl")
	commander.Output, commander.Error = stdout, stderr
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	env := &environment{stdout: stdout, stderr: stderr}
	for _, c := range []subcommands.Command{
		&validateCommand{env: env},
		&replayCommand{env: env},
		&applyCommand{client: client{environment: env}},
		&textCommand{client: client{environment: env}},
		&statusCommand{client: client{environment: env}},
		&watchCommand{client: client{environment: env}},
		&timelineCommand{client: client{environment: env}},
		&hostCommand{client: client{environment: env}},
		&dataCentreCommand{client: client{environment: env}},
		&rolloutCommand{client: client{environment: env}},
		&requestCommand{client: client{environment: env}},
		&explainCommand{env: env, stdin: os.Stdin},
		&whereCommand{client: client{environment: env}},
	} {
		commander.Register(c, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(context.Background()))
}

// environment holds the output streams of one rattanctl run.
type environment struct {
	stdout, stderr io.Writer
}
