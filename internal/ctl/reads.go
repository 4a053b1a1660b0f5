package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/operatorapi"
	"github.com/rattanscale/rattanscale/internal/replay"
	"github.com/rattanscale/rattanscale/internal/servicetext"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

type validateCommand struct{ env *environment }

func (*validateCommand) Name() string             { return "validate" }
func (*validateCommand) Synopsis() string         { return "check a service text offline" }
func (*validateCommand) Usage() string            { return "validate FILE\n" }
func (*validateCommand) SetFlags(_ *flag.FlagSet) {}

func (c *validateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		_, _ = fmt.Fprintln(c.env.stderr, "rattanctl: validate needs one FILE")
		return subcommands.ExitUsageError
	}
	text, err := os.ReadFile(f.Arg(0))
	if err != nil {
		_, _ = fmt.Fprintln(c.env.stderr, "rattanctl:", err)
		return subcommands.ExitFailure
	}
	return validate(c.env, f.Arg(0), text)
}

func validate(env *environment, file string, text []byte) subcommands.ExitStatus {
	if _, err := servicetext.Parse(file, text); err != nil {
		_, _ = fmt.Fprintln(env.stderr, err)
		return exitInvalidText
	}
	return subcommands.ExitSuccess
}

const replayVerb = "replay"

// replayCommand makes replay appear in the help. Main itself runs replay when it is the
// first argument.
type replayCommand struct{ env *environment }

func (*replayCommand) Name() string             { return replayVerb }
func (*replayCommand) Synopsis() string         { return "replay a recorded trace against its stated outcomes" }
func (*replayCommand) Usage() string            { return "replay [flags] TRACE\n" }
func (*replayCommand) SetFlags(_ *flag.FlagSet) {}

func (c *replayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return subcommands.ExitStatus(replay.Run(f.Args(), c.env.stdout, c.env.stderr))
}

type textCommand struct{ client }

func (*textCommand) Name() string               { return "text" }
func (*textCommand) Synopsis() string           { return "print the service text in force" }
func (*textCommand) Usage() string              { return "text [flags]\n" }
func (c *textCommand) SetFlags(f *flag.FlagSet) { c.registerReadFlags(f) }

func (c *textCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodGet, "/v1/text", "", nil)
	if err != nil {
		return c.reportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(c.stdout, response.Body); err != nil {
		return c.reportError(err)
	}
	return subcommands.ExitSuccess
}

type statusCommand struct{ client }

func (*statusCommand) Name() string               { return "status" }
func (*statusCommand) Synopsis() string           { return "show the state of the system" }
func (*statusCommand) Usage() string              { return "status [flags]\n" }
func (c *statusCommand) SetFlags(f *flag.FlagSet) { c.registerReadFlags(f) }

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.printStatus(ctx, func(s operatorapi.Status) any { return s }, func(s operatorapi.Status) {
		_, _ = fmt.Fprintf(c.stdout, "revision=%d in-force=%d host=%s epoch=%d store=%s\n", s.Revision, s.InForce, s.Observed.Host, s.Observed.Epoch, s.Observed.Store)
		for _, dc := range s.Configuration.DataCentres {
			_, _ = fmt.Fprintf(c.stdout, "data-centre=%s out=%t\n", dc.Name, dc.Out)
		}
		c.printRollouts(s)
		c.printHosts(s)
		c.printPools(s)
	})
}

// printStatus fetches the status. It prints the part that selectPart returns as JSON, or
// calls printText, depending on -output.
func (c *client) printStatus(ctx context.Context, selectPart func(operatorapi.Status) any, printText func(operatorapi.Status)) subcommands.ExitStatus {
	var status operatorapi.Status
	if _, err := c.getJSON(ctx, "/v1/status", &status); err != nil {
		return c.reportError(err)
	}
	if c.outputFormat == "json" {
		c.printJSON(selectPart(status))
	} else {
		printText(status)
	}
	return subcommands.ExitSuccess
}

func (c *client) printTable(header string, rows func(w io.Writer)) {
	w := tabwriter.NewWriter(c.stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	rows(w)
	_ = w.Flush()
}

func (c *client) printHosts(s operatorapi.Status) {
	c.printTable("HOST\tDATA CENTRE\tREADY\tDRAINING\tSTREAMS\tREVISION\tCALLERS", func(w io.Writer) {
		for _, h := range s.Observed.Hosts {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\t%d\t%s\n", h.Name, h.DataCentre, h.Ready, h.Draining, h.OpenStreams, h.Revision, h.CallerAddress)
		}
	})
}

func (c *client) printRollouts(s operatorapi.Status) {
	if len(s.Configuration.Rollouts) == 0 {
		return
	}
	c.printTable("SERVICE\tFROM\tTO\tSTEP %\tSTATE\tFINISH BY\tREASON", func(w io.Writer) {
		for _, r := range s.Configuration.Rollouts {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", r.Service, r.From, r.To, r.Step, r.State, r.FinishBy.Format(time.RFC3339), r.Reason)
		}
	})
}

func (c *client) printPools(s operatorapi.Status) {
	c.printTable("POOL\tOWNER\tUPSTREAM\tREACHABLE\tCOLD\tLEAVING\tRUNNING\tLIMIT\tQUEUED", func(w io.Writer) {
		for _, p := range s.Observed.Pools {
			for _, u := range p.Upstreams {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%t\t%d\t%d\t%d\n", p.Pool, p.Owner, u.Name, u.Reachable, u.Cold, u.Leaving, u.Running, u.Limit, p.Queued)
			}
		}
	})
}

type timelineCommand struct {
	client
	query operatorapi.TimelineQuery
}

func (*timelineCommand) Name() string     { return "timeline" }
func (*timelineCommand) Synopsis() string { return "print the events of all hosts in causal order" }
func (*timelineCommand) Usage() string    { return "timeline [flags]\n" }

func (c *timelineCommand) SetFlags(f *flag.FlagSet) {
	c.registerReadFlags(f)
	f.StringVar(&c.query.Request, "request", "", "only events of this request")
	f.StringVar(&c.query.Kind, "kind", "", "only events of this kind")
	f.DurationVar(&c.query.Since, "since", 0, "only events of this last duration")
}

func (c *timelineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	values := url.Values{}
	if c.query.Request != "" {
		values.Set("request", c.query.Request)
	}
	if c.query.Kind != "" {
		values.Set("kind", c.query.Kind)
	}
	if c.query.Since > 0 {
		values.Set("since", c.query.Since.String())
	}
	var response struct {
		Events  []timeline.Event `json:"events"`
		Missing []string         `json:"missing"`
	}
	if _, err := c.getJSON(ctx, "/v1/timeline?"+values.Encode(), &response); err != nil {
		return c.reportError(err)
	}
	if c.outputFormat == "json" {
		c.printJSON(response)
		return subcommands.ExitSuccess
	}
	for _, event := range response.Events {
		_, _ = fmt.Fprintln(c.stdout, event)
	}
	if len(response.Missing) > 0 {
		_, _ = fmt.Fprintf(c.stderr, "rattanctl: no answer from %s\n", strings.Join(response.Missing, ", "))
	}
	return subcommands.ExitSuccess
}

type watchCommand struct {
	client
	afterRevision uint64
	maxDuration   time.Duration
}

func (*watchCommand) Name() string     { return "watch" }
func (*watchCommand) Synopsis() string { return "follow the change log" }
func (*watchCommand) Usage() string    { return "watch [flags]\n" }

func (c *watchCommand) SetFlags(f *flag.FlagSet) {
	c.registerReadFlags(f)
	f.Uint64Var(&c.afterRevision, "after", 0, "last revision already seen")
	f.DurationVar(&c.maxDuration, "for", 0, "stop after this duration; 0 means never")
}

func (c *watchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.maxDuration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.maxDuration)
		defer cancel()
	}
	response, err := c.send(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", c.afterRevision), "", nil)
	if err != nil {
		return c.reportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 4<<20) // an apply change contains a whole service text
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if c.outputFormat == "json" {
			_, _ = fmt.Fprintln(c.stdout, data)
			continue
		}
		var change entity.Change
		if err := json.Unmarshal([]byte(data), &change); err != nil {
			return c.reportError(err)
		}
		_, _ = fmt.Fprintln(c.stdout, change)
	}
	if ctx.Err() != nil {
		return subcommands.ExitSuccess
	}
	return c.reportError(fmt.Errorf("the stream of changes ended early: %v", scanner.Err()))
}
