package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Step is one line of a request's time line.
type Step struct {
	Time time.Time `json:"time"`
	Host string    `json:"host"`
	Text string    `json:"text"`
}

// Request is the explanation of one request.
type Request struct {
	ID    string `json:"request"`
	Found bool   `json:"found"`
	Steps []Step `json:"steps,omitempty"`
	Cause Cause  `json:"cause"`
}

// ExplainRequest explains the request whose lines the collector kept. Its clock times are
// those of each host.
func (c *Collector) ExplainRequest(id string) Request {
	c.sortLines()
	out := Request{ID: id}
	var end *Record
	var moves []Record
	for i := range c.requests {
		r := &c.requests[i]
		if r.Get("request") != id {
			continue
		}
		out.Found = true
		switch r.Message {
		case messageEnded:
			end = r
			began := r.Time.Add(-r.Millis("ms"))
			out.Steps = append(out.Steps, Step{began, r.Host, arrivalText(r)})
			if first := r.Get("first-event-ms"); first != "" {
				out.Steps = append(out.Steps, Step{began.Add(r.Millis("first-event-ms")), r.Host, "sent the first event, from " + r.Get("upstream")})
			}
		case "stream move":
			moves = append(moves, *r)
		}
		out.Steps = append(out.Steps, Step{r.Time, r.Host, lineText(r)})
	}
	switch {
	case end != nil:
		out.Cause = c.explainEnd(end, moves)
		out.Steps = append(out.Steps, c.relatedSteps(end)...)
	case out.Found:
		out.Cause = c.explainMissingEnd(c.lastOf(id))
	default:
		out.Cause = Cause{Kind: Unknown, Text: "no line has this request", Remedy: "check that the logs of all hosts were given; a host that is killed does not log its open requests"}
	}
	slices.SortStableFunc(out.Steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	return out
}

func (c *Collector) lastOf(id string) *Record {
	for i := len(c.requests) - 1; i >= 0; i-- {
		if c.requests[i].Get("request") == id {
			return &c.requests[i]
		}
	}
	return nil
}

// explainMissingEnd explains a request whose host wrote no final line.
func (c *Collector) explainMissingEnd(last *Record) Cause {
	cause := Cause{Kind: Unknown, Text: "the host did not write how the request ended", Remedy: "check that the log of " + last.Host + " is complete"}
	if r := c.earliest(last.Host, last.Time, byMessage("started")); r != nil {
		cause.Kind, cause.Text, cause.Remedy = HostEnded, "the process of the host ended while it had the request", "none, if the host was killed on purpose"
		cause.Because = []string{fmt.Sprintf("%s started again %s after the request's last line", last.Host, r.Time.Sub(last.Time).Round(time.Millisecond))}
	}
	return cause
}

// relatedSteps returns what the host learnt about itself and the request's upstream while it
// had the request, and about the upstream soon afterwards.
func (c *Collector) relatedSteps(end *Record) []Step {
	began, upstream := end.Time.Add(-end.Millis("ms")), end.Get("upstream")
	var out []Step
	for _, i := range c.byHost[end.Host] {
		r := &c.state[i]
		about := r.Get("upstream")
		last := end.Time
		if about != "" {
			last = last.Add(crashWindow)
		}
		if r.Time.Before(began) || r.Time.After(last) || about != "" && about != upstream {
			continue
		}
		out = append(out, Step{r.Time, r.Host, lineText(r)})
	}
	return out
}

func arrivalText(r *Record) string {
	text := "received the request"
	if route := r.Get("route"); route != "" {
		text += " for route " + route + " with " + r.Get("time-ms") + " ms"
	}
	if account := r.Get("account"); account != "" {
		text += " from account " + account
	}
	return text + "; knew configuration " + orUnknown(r.Get("configuration")) + ", upstreams as of revision " + orUnknown(r.Get("upstreams-revision"))
}

func orUnknown(text string) string { return cmp.Or(text, "unknown") }

// lineText is a line without its time and host.
func lineText(r *Record) string {
	var b strings.Builder
	b.WriteString(r.Message)
	for _, f := range r.Fields {
		if f.Key == "request" || f.Value == "" {
			continue
		}
		b.WriteString(" " + f.Key + "=")
		if strings.ContainsAny(f.Value, " =\"") {
			b.WriteString(strconv.Quote(f.Value))
		} else {
			b.WriteString(f.Value)
		}
	}
	return b.String()
}

// Count is how often a cause was found.
type Count struct {
	Kind     Kind     `json:"kind"`
	Text     string   `json:"text"`
	Remedy   string   `json:"remedy,omitempty"`
	Requests int      `json:"requests"`
	Hosts    int      `json:"hosts"`
	Examples []string `json:"examples"`
}

// Window counts the causes of the requests that were not answered within a time window.
type Window struct {
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
	Total  int       `json:"total"`
	Causes []Count   `json:"causes"`
}

// examplesPerCause bounds the request identifiers that are shown for each cause.
const examplesPerCause = 3

// CountCauses counts the causes of the requests that ended from from to to and that the
// collector kept.
func (c *Collector) CountCauses(from, to time.Time) Window {
	c.sortLines()
	out := Window{From: from, To: to}
	moves := lo.GroupBy(lo.Filter(c.requests, func(r Record, _ int) bool { return r.Message == "stream move" }), func(r Record) string { return r.Get("request") })
	counts, hosts := make(map[Kind]*Count), make(map[Kind]map[string]bool)
	for i := range c.requests {
		r := &c.requests[i]
		if r.Message != messageEnded || r.Time.Before(from) || r.Time.After(to) {
			continue
		}
		out.Total++
		id := r.Get("request")
		cause := c.explainEnd(r, moves[id])
		n := counts[cause.Kind]
		if n == nil {
			n = &Count{Kind: cause.Kind, Text: cause.Text, Remedy: cause.Remedy}
			counts[cause.Kind], hosts[cause.Kind] = n, make(map[string]bool)
		}
		n.Requests++
		hosts[cause.Kind][r.Host] = true
		if len(n.Examples) < examplesPerCause {
			n.Examples = append(n.Examples, id)
		}
	}
	for kind, n := range counts {
		n.Hosts = len(hosts[kind])
		out.Causes = append(out.Causes, *n)
	}
	slices.SortFunc(out.Causes, func(a, b Count) int { return cmp.Or(b.Requests-a.Requests, cmp.Compare(a.Kind, b.Kind)) })
	return out
}

// Bounds returns the times of the first and the last line.
func (c *Collector) Bounds() (first, last time.Time) { return c.first, c.last }

// Hosts returns the number of hosts whose lines were read.
func (c *Collector) Hosts() int { return len(c.hosts) }

const stepTimeFormat = "15:04:05.000"

// Print writes the explanation as text.
func (r *Request) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "request %s\n", r.ID)
	for _, s := range r.Steps {
		_, _ = fmt.Fprintf(w, "  %s  %s  %s\n", s.Time.UTC().Format(stepTimeFormat), s.Host, s.Text)
	}
	_, _ = fmt.Fprintf(w, "likely cause (%s): %s\n", r.Cause.Kind, r.Cause.Text)
	for _, b := range r.Cause.Because {
		_, _ = fmt.Fprintf(w, "  because %s\n", b)
	}
	if r.Cause.Remedy != "" {
		_, _ = fmt.Fprintf(w, "remedy: %s\n", r.Cause.Remedy)
	}
}

// Print writes the counts as text.
func (v *Window) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d requests without an answer from %s to %s\n", v.Total, v.From.UTC().Format(stepTimeFormat), v.To.UTC().Format(stepTimeFormat))
	for _, n := range v.Causes {
		_, _ = fmt.Fprintf(w, "%7d  %-20s %s (%d hosts; such as %s)\n", n.Requests, n.Kind, n.Text, n.Hosts, strings.Join(n.Examples, ", "))
	}
}

// Print writes the problems as text, nothing if there are none.
func (p *Problems) Print(w io.Writer) {
	for _, problem := range []struct {
		n    int
		text string
	}{
		{p.Foreign, "lines of other programs, left out"},
		{p.Broken, "broken lines, left out"},
		{p.TooLong, "lines above 64 KiB, left out"},
		{p.Dropped, "lines about requests above the limit, left out; use a shorter window"},
		{p.DroppedState, "old lines about hosts and upstreams, dropped; give the logs of a shorter time"},
	} {
		if problem.n > 0 {
			_, _ = fmt.Fprintf(w, "%d %s\n", problem.n, problem.text)
		}
	}
	for _, e := range p.Examples {
		_, _ = fmt.Fprintf(w, "  first: %s\n", e)
	}
}

func place(name string, number int) string { return name + ":" + strconv.Itoa(number) }
