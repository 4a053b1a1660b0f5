package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/rattanscale/rattanscale/internal/gateway"
)

// maxWhereResponse bounds the answer of a host.
const maxWhereResponse = 1 << 20

// whereCommand asks a front end where a request would go now.
type whereCommand struct {
	client
	host, path, account       string
	prompt, answer, upstreams int
}

func (*whereCommand) Name() string { return "where" }
func (*whereCommand) Synopsis() string {
	return "explain where a request would go now, without sending it"
}
func (*whereCommand) Usage() string {
	return "where -addr IP:port -host NAME -path PATH [flags]\n" +
		"asks a front end at its metrics address; nothing is sent or reserved\n"
}

func (c *whereCommand) SetFlags(f *flag.FlagSet) {
	c.registerReadFlags(f)
	f.StringVar(&c.host, "host", "", "host name of the request, as in its Host header")
	f.StringVar(&c.path, "path", "", "path of the request")
	f.StringVar(&c.account, "account", "", "name of the client account")
	f.IntVar(&c.prompt, "prompt", 0, "tokens of the prompt")
	f.IntVar(&c.answer, "answer", 0, "expected tokens of the answer")
	f.IntVar(&c.upstreams, "upstreams", 5, "upstreams to list for each service")
}

func (c *whereCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.host == "" || c.path == "" {
		_, _ = fmt.Fprintln(c.stderr, "rattanctl: where needs -host and -path, and no arguments")
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	values := url.Values{"host": {c.host}, "path": {c.path}, "account": {c.account}, "prompt": {strconv.Itoa(c.prompt)},
		"answer": {strconv.Itoa(c.answer)}, "upstreams": {strconv.Itoa(c.upstreams)}}
	response, err := c.send(ctx, http.MethodGet, "/where?"+values.Encode(), "", nil)
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, "rattanctl:", err)
		return subcommands.ExitFailure
	}
	defer func() { _ = response.Body.Close() }()
	var where gateway.Where
	if err := json.NewDecoder(io.LimitReader(response.Body, maxWhereResponse)).Decode(&where); err != nil {
		_, _ = fmt.Fprintf(c.stderr, "rattanctl: the answer of %s is not that of a front end: %v; is it its metrics address?\n", c.address, err)
		return subcommands.ExitFailure
	}
	if c.outputFormat == "json" {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(where)
		return subcommands.ExitSuccess
	}
	writeWhere(c.stdout, where)
	return subcommands.ExitSuccess
}

func writeWhere(out io.Writer, w gateway.Where) {
	_, _ = fmt.Fprintf(out, "at host %s in %s\n", w.Host, w.DataCentre)
	if w.Refusal != "" {
		_, _ = fmt.Fprintf(out, "refused: %s\n", w.Refusal)
		return
	}
	_, _ = fmt.Fprintf(out, "route %s\n", w.Route)
	for _, s := range w.Services {
		_, _ = fmt.Fprintf(out, "\nservice %s, %.0f%% of the route's requests, priority %s\n", s.Service, 100*s.Part, s.Priority)
		_, _ = fmt.Fprintf(out, "%d of %d upstreams may be chosen", s.Usable, s.All)
		if s.Refused > 0 {
			_, _ = fmt.Fprintf(out, "; no upstream takes the request now in %.0f%% of the choices", 100*s.Refused)
		}
		_, _ = fmt.Fprintln(out)
		if s.Planned {
			_, _ = fmt.Fprintln(out, "leaves the data centre:", describeLeaving(s.Leaving))
		}
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(table, "UPSTREAM\tDATA CENTRE\tVERSION\tCHOSEN\tCOST\tLOAD\tWAIT\tERRORS\tAWAY\tAVOIDED\tREQUESTS\tTOKENS\tFIRST EVENT\tLONGEST GAP\tSPEED SEEN\tEXCLUDED")
		for _, u := range s.Upstreams {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.0f%%\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%d\t%d\t%s\t%s\t%s\t%s\n", u.ID, u.DataCentre, u.Version, 100*u.Chosen, u.Cost,
				u.Parts.Load, u.Parts.Wait, u.Parts.Errors, u.Parts.DataCentre, u.Parts.Avoided, u.Load.Requests, u.Load.Tokens,
				describeSeconds(u.FirstEventSeconds), describeSeconds(u.LongestGapSeconds), describeSeconds(u.SpeedAgeSeconds), u.Excluded)
		}
		_ = table.Flush()
	}
}

func describeLeaving(shares map[string]float64) string {
	if len(shares) == 0 {
		return "nothing"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		parts = append(parts, fmt.Sprintf("%.0f%% to %s", 100*shares[name], name))
	}
	return strings.Join(parts, ", ")
}

// describeSeconds returns a time, or "-" if it is not known.
func describeSeconds(s float64) string {
	if s == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f s", s)
}
