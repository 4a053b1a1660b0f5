package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/url"
	"os"

	"github.com/google/subcommands"

	"github.com/rattanscale/rattanscale/internal/operatorapi"
)

type applyCommand struct{ client }

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "make a service text the configuration" }
func (*applyCommand) Usage() string    { return "apply [flags] FILE\n" }

func (c *applyCommand) SetFlags(f *flag.FlagSet) { c.registerChangeFlags(f) }

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usageError("apply needs one FILE")
	}
	text, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return c.reportError(err)
	}
	// The host validates the text as well; validating it here makes errors name the file.
	if status := validate(c.environment, f.Arg(0), text); status != subcommands.ExitSuccess {
		return status
	}
	return c.submitChange(ctx, http.MethodPut, "/v1/text", "application/yaml", text)
}

type dataCentreCommand struct{ client }

func (*dataCentreCommand) Name() string     { return "data-centre" }
func (*dataCentreCommand) Synopsis() string { return "take a data centre out or bring it back" }
func (*dataCentreCommand) Usage() string {
	return "data-centre take-out|bring-back [flags] NAME\n"
}

func (c *dataCentreCommand) SetFlags(f *flag.FlagSet) { c.registerChangeFlags(f) }

func (c *dataCentreCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, names, ok := c.parseVerb(f, "data-centre", "take-out", "bring-back")
	if !ok || len(names) != 1 {
		return c.usageError("usage: data-centre take-out|bring-back [flags] NAME")
	}
	return c.submitChange(ctx, http.MethodPost, "/v1/data-centres/"+url.PathEscape(names[0])+"/"+verb, "", nil)
}

type hostCommand struct{ client }

func (*hostCommand) Name() string { return "host" }
func (*hostCommand) Synopsis() string {
	return "list hosts, drain a host, let it return, or evict a dead one"
}
func (*hostCommand) Usage() string { return "host list|drain|return|evict [flags] [NAME]\n" }

func (c *hostCommand) SetFlags(f *flag.FlagSet) { c.registerChangeFlags(f) }

func (c *hostCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, names, ok := c.parseVerb(f, "host", "list", "drain", "return", "evict")
	switch {
	case ok && verb == "list" && len(names) == 0:
		return c.printStatus(ctx, func(s operatorapi.Status) any { return s.Observed.Hosts }, c.printHosts)
	case ok && verb == "evict" && len(names) == 1:
		return c.evict(ctx, names[0])
	case ok && verb != "list" && len(names) == 1:
		return c.submitChange(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(names[0])+"/"+verb, "", nil)
	}
	return c.usageError("usage: host list|drain|return|evict [flags] [NAME]")
}

// evict removes a member whose process has stopped. It is for the case in which too many
// members of a cell have failed for a strict majority to remove them.
func (c *hostCommand) evict(ctx context.Context, name string) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(name)+"/evict", "", nil)
	if err != nil {
		return c.reportError(err)
	}
	_ = response.Body.Close()
	return subcommands.ExitSuccess
}

type rolloutCommand struct {
	client
	finishWithin string
}

func (*rolloutCommand) Name() string     { return "rollout" }
func (*rolloutCommand) Synopsis() string { return "start or undo a rollout, or show rollouts" }
func (*rolloutCommand) Usage() string {
	return "rollout start [flags] SERVICE VERSION\nrollout undo [flags] SERVICE\nrollout status [flags]\n"
}

func (c *rolloutCommand) SetFlags(f *flag.FlagSet) {
	c.registerChangeFlags(f)
	f.StringVar(&c.finishWithin, "finish-within", "", "time for the whole rollout, such as 30m; default from the service text")
}

func (c *rolloutCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, args, ok := c.parseVerb(f, "rollout", "start", "undo", "status")
	switch {
	case ok && verb == "status" && len(args) == 0:
		return c.printStatus(ctx, func(s operatorapi.Status) any { return s.Configuration.Rollouts }, c.printRollouts)
	case ok && verb == "undo" && len(args) == 1:
		return c.submitChange(ctx, http.MethodPost, "/v1/services/"+url.PathEscape(args[0])+"/rollout/undo", "", nil)
	case ok && verb == "start" && len(args) == 2:
		body, err := json.Marshal(map[string]string{"to": args[1], "finish_within": c.finishWithin})
		if err != nil {
			return c.reportError(err)
		}
		return c.submitChange(ctx, http.MethodPost, "/v1/services/"+url.PathEscape(args[0])+"/rollout/start", "application/json", body)
	}
	return c.usageError("usage: rollout start SERVICE VERSION | undo SERVICE | status")
}

// parseVerb parses the verb that follows a command name, and the flags after the verb. It
// returns the remaining arguments; ok is false if the verb is not one of verbs or a flag
// is invalid.
func (c *client) parseVerb(f *flag.FlagSet, name string, verbs ...string) (verb string, args []string, ok bool) {
	if f.NArg() == 0 {
		return "", nil, false
	}
	verb = f.Arg(0)
	verbFlags := flag.NewFlagSet(name+" "+verb, flag.ContinueOnError)
	verbFlags.SetOutput(c.stderr)
	// Flags may stand before and after the verb. Both parse into the same variables, so that
	// a flag after the verb overrides one before it.
	f.VisitAll(func(registered *flag.Flag) { verbFlags.Var(registered.Value, registered.Name, registered.Usage) })
	if err := verbFlags.Parse(f.Args()[1:]); err != nil {
		return "", nil, false
	}
	for _, v := range verbs {
		if v == verb {
			return verb, verbFlags.Args(), true
		}
	}
	return verb, verbFlags.Args(), false
}
