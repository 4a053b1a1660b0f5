package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/rattanscale/rattanscale/internal/explain"
)

// explainCommand reads logs and needs no connection to a host.
type explainCommand struct {
	env    *environment
	stdin  io.Reader
	output string
	window string
}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "find the cause of a failed request in the logs of the hosts"
}
func (*explainCommand) Usage() string {
	return `explain [-output text|json] REQUEST [FILE...]
explain [-output text|json] -window FROM,TO [FILE...]

Reads the logs of the hosts, or standard input without FILE. FROM and TO are times such as
2026-12-04T10:00:00Z, or durations after the first line such as 90s; one may be left out.
Exit status 1: the request was not found, or a file could not be read.
`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.output, "output", "text", "text or json")
	f.StringVar(&c.window, "window", "", "count the causes between two times, FROM,TO")
}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	files := f.Args()
	if c.output != "text" && c.output != "json" {
		_, _ = fmt.Fprintf(c.env.stderr, "rattanctl: invalid -output %q; use text or json\n", c.output)
		return subcommands.ExitUsageError
	}
	if c.window != "" {
		return c.explainWindow(files)
	}
	if len(files) == 0 {
		_, _ = fmt.Fprintln(c.env.stderr, "rattanctl: explain needs a REQUEST or -window FROM,TO")
		return subcommands.ExitUsageError
	}
	id := files[0]
	collector := explain.NewCollector(func(r *explain.Record) bool { return r.Get("request") == id })
	status := c.readAll(collector, files[1:])
	request := collector.ExplainRequest(id)
	c.print(collector, request, func(w io.Writer) { request.Print(w) })
	if !request.Found {
		status = subcommands.ExitFailure
	}
	return status
}

func (c *explainCommand) explainWindow(files []string) subcommands.ExitStatus {
	from, to, found := strings.Cut(c.window, ",")
	fromBound, errFrom := parseBound(from)
	toBound, errTo := parseBound(to)
	if !found || errFrom != nil || errTo != nil {
		_, _ = fmt.Fprintf(c.env.stderr, "rattanctl: invalid -window %q; use FROM,TO with times such as 2026-12-04T10:00:00Z or durations such as 90s\n", c.window)
		return subcommands.ExitUsageError
	}
	collector := explain.NewCollector(func(r *explain.Record) bool {
		return r.Get("request") != "" && r.Get("outcome") != "answered" && !fromBound.isAfter(r.Time) && !toBound.isBefore(r.Time)
	})
	status := c.readAll(collector, files)
	first, last := collector.Bounds()
	window := collector.CountCauses(fromBound.resolve(first, first), toBound.resolve(first, last))
	c.print(collector, window, func(w io.Writer) { window.Print(w) })
	return status
}

// print writes the result, and the problems of the logs to standard error.
func (c *explainCommand) print(collector *explain.Collector, result any, printText func(w io.Writer)) {
	if c.output == "json" {
		encoder := json.NewEncoder(c.env.stdout)
		encoder.SetIndent("", "  ")
		// Standard output may be closed; there is nowhere else to report that.
		_ = encoder.Encode(map[string]any{"result": result, "lines": collector.Lines, "hosts": collector.Hosts(), "problems": collector.Problems})
		return
	}
	printText(c.env.stdout)
	_, _ = fmt.Fprintf(c.env.stderr, "read %d lines of %d hosts\n", collector.Lines, collector.Hosts())
	collector.Problems.Print(c.env.stderr)
}

func (c *explainCommand) readAll(collector *explain.Collector, files []string) subcommands.ExitStatus {
	if len(files) == 0 {
		return c.read(collector, "standard input", c.stdin)
	}
	status := subcommands.ExitSuccess
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			_, _ = fmt.Fprintln(c.env.stderr, "rattanctl:", err)
			status = subcommands.ExitFailure
			continue
		}
		if s := c.read(collector, name, file); s != subcommands.ExitSuccess {
			status = s
		}
		_ = file.Close() // only read
	}
	return status
}

func (c *explainCommand) read(collector *explain.Collector, name string, r io.Reader) subcommands.ExitStatus {
	err := collector.Read(name, r, func(read int64) { _, _ = fmt.Fprintf(c.env.stderr, "%s: read %d MB\n", name, read>>20) })
	if err != nil {
		_, _ = fmt.Fprintf(c.env.stderr, "rattanctl: %s: %v\n", name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// bound is one end of a window: a time, a duration after the first line, or open.
type bound struct {
	time  time.Time
	after time.Duration
	open  bool
}

func parseBound(text string) (bound, error) {
	if text == "" {
		return bound{open: true}, nil
	}
	if after, err := time.ParseDuration(text); err == nil {
		return bound{after: after}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	return bound{time: t}, err
}

// isAfter and isBefore compare absolute bounds; others are compared once the first line is
// known.
func (b bound) isAfter(t time.Time) bool  { return !b.time.IsZero() && b.time.After(t) }
func (b bound) isBefore(t time.Time) bool { return !b.time.IsZero() && b.time.Before(t) }

// resolve returns the bound as a time.
func (b bound) resolve(first, open time.Time) time.Time {
	switch {
	case b.open:
		return open
	case b.time.IsZero():
		return first.Add(b.after)
	}
	return b.time
}
