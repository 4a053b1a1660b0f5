package explain

import (
	"fmt"
	"strings"
	"time"
)

// Kind names a cause in counts and in JSON.
type Kind string

// The causes, in the order in which they are looked for.
const (
	Answered         Kind = "answered"
	HostEnded        Kind = "host-ended"
	HostStarting     Kind = "host-starting"
	HostStopping     Kind = "host-stopping"
	Quarantined      Kind = "quarantined"
	CallerError      Kind = "caller-error"
	CallerGone       Kind = "caller-gone"
	DataCentreOut    Kind = "data-centre-out"
	StaleUpstreams   Kind = "stale-upstream-list"
	EnginesFull      Kind = "engines-full"
	EnginesLimited   Kind = "engines-limited"
	NoEngine         Kind = "no-engine"
	Unreachable      Kind = "engines-unreachable"
	EngineLeft       Kind = "engine-left"
	NoRoomToMove     Kind = "no-room-to-move"
	EngineSilent     Kind = "engine-silent"
	TimeLimit        Kind = "time-limit"
	EngineCrashed    Kind = "engine-crashed"
	EngineMisbehaved Kind = "engine-misbehaved"
	EngineFailed     Kind = "engine-failed"
	Unknown          Kind = "unknown"
)

// Cause is the likely cause of how a request ended.
type Cause struct {
	Kind Kind   `json:"kind"`
	Text string `json:"text"`
	// Because holds the observations that decided, with the age of what the host knew.
	Because []string `json:"because,omitempty"`
	Remedy  string   `json:"remedy,omitempty"`
}

// crashWindow is the time after a broken run within which the removal of its upstream's
// entry shows that the upstream ended.
const crashWindow = 15 * time.Second

// finding is what the logs show about one ended request.
type finding struct {
	c        *Collector
	end      *Record
	moves    []Record
	outcome  string
	reason   string
	upstream string
	because  []string
}

// explainEnd derives the cause from the line with which a request ended and the lines about
// its migrations.
func (c *Collector) explainEnd(end *Record, moves []Record) Cause {
	f := &finding{c: c, end: end, moves: moves, outcome: end.Get("outcome"), reason: end.Get("reason"), upstream: end.Get("upstream")}
	cause := f.decide()
	cause.Because = f.because
	return cause
}

func (f *finding) observe(format string, args ...any) {
	f.because = append(f.because, fmt.Sprintf(format, args...))
}

func (f *finding) decide() Cause {
	switch f.outcome {
	case "answered":
		return f.answered()
	case "refused":
		return f.refused()
	case "caller gone":
		return f.callerGone()
	case "cut":
		return f.broken()
	case "failed":
		return f.failed()
	}
	f.observe("the line has the outcome %q", f.outcome)
	return Cause{Kind: Unknown, Text: "the log line of the request does not state a known outcome"}
}

func (f *finding) answered() Cause {
	if first := f.end.Get("first-event-ms"); first != "" {
		f.observe("the first event came after %s ms, the whole answer after %s ms", first, f.end.Get("ms"))
	}
	if n := f.end.Int("sends"); n > 1 {
		f.observe("%d sends, of which %d may have run", n, f.end.Int("attempts"))
	}
	return Cause{Kind: Answered, Text: "the caller received an upstream's answer"}
}

func (f *finding) refused() Cause {
	switch {
	case strings.Contains(f.reason, "host is stopping"):
		if r := f.c.latest(f.end.Host, f.end.Time, byMessage("draining")); r != nil {
			f.observe("the host had begun to drain %s before", f.before(r.Time))
		}
		return Cause{HostStopping, "the host was stopping and could not finish the request in time", nil, "none: the caller goes to another host"}
	case strings.Contains(f.reason, "no configuration is known"):
		if r := f.c.latest(f.end.Host, f.end.Time, byMessage("started")); r != nil {
			f.observe("the host had started %s before", f.before(r.Time))
		}
		f.observeStore()
		return Cause{HostStarting, "the host had not yet learnt the configuration and the upstreams", nil, "if it lasts, look at the store and the links between hosts"}
	case strings.Contains(f.reason, "crashed on a part of the prompt"):
		return Cause{Quarantined, "engines had crashed on a part of its prompt", nil, "find the part in the log lines \"engine lost before it answered\" and ask the client account to stop sending it"}
	case strings.Contains(f.reason, "crashed upstreams"):
		return Cause{Quarantined, "equal requests had crashed upstreams", nil, "ask the client account to stop sending this request"}
	}
	if strings.Contains(f.reason, "limit their requests") {
		return Cause{EnginesLimited, "upstreams of the service take fewer requests per second than came, and the others had no room", nil, "see the log lines \"upstream limits its requests\" for the upstreams and their limits; add upstreams"}
	}
	return f.notServed()
}

// notServed explains a request that no upstream took.
func (f *finding) notServed() Cause {
	sends := f.end.Int("sends")
	f.observe("%d sends, and no upstream can have run the request", sends)
	out := f.dataCentresOut()
	stale := f.observeStore()
	left := f.observeUpstreamLeft()
	switch {
	case strings.Contains(f.reason, "upstream refused"):
		if out != "" {
			return Cause{DataCentreOut, "the upstreams were full while a data centre was out of service", nil, "add engines in the other data centres, or bring it back"}
		}
		return Cause{EnginesFull, "the upstreams refused the request because they were full or leaving", nil, "add engines, or lower the load"}
	case strings.Contains(f.reason, "began to leave"):
		return Cause{EngineLeft, "the upstreams left while the request was on its way to them", nil, "none: the caller sends it again"}
	case sends > 0 && (stale || left):
		return Cause{StaleUpstreams, "the host's list of upstreams was out of date, and the tried ones had gone", nil, "restore the store"}
	case sends > 0:
		return Cause{Unreachable, "no tried upstream accepted a connection", nil, "look at the upstreams and the links to them"}
	case out != "":
		return Cause{DataCentreOut, "no upstream was left while a data centre was out of service", nil, "bring it back, or add upstreams elsewhere"}
	}
	return Cause{NoEngine, "no upstream could be used: all were leaving, cold or unknown", nil, "look at the service's upstreams"}
}

func (f *finding) callerGone() Cause {
	f.observe("the caller closed its connection after %s ms of %s ms", f.end.Get("ms"), f.end.Get("time-ms"))
	if n := f.end.Int("events"); n > 0 {
		f.observe("%d events had been sent, the first after %s ms", n, f.end.Get("first-event-ms"))
	} else if f.upstream != "" {
		f.observe("upstream %s had not answered", f.upstream)
	}
	f.observeOthers()
	return Cause{CallerGone, "the caller left before the answer was complete", nil, "if many leave before the first event, engines are crowded: add engines"}
}

func (f *finding) failed() Cause {
	status := f.end.Int("status")
	switch {
	case status >= 400 && status < 500:
		f.observe("status %d: %s", status, f.reason)
		return Cause{CallerError, "the request was not valid under the configuration of the host", nil, "compare the configuration's version with that of other hosts"}
	case strings.Contains(f.reason, "time of the request was over") || status == 504:
		return f.outOfTime()
	}
	return f.broken()
}

func (f *finding) outOfTime() Cause {
	f.observe("it ended after %s ms, its time was %s ms", f.end.Get("ms"), f.end.Get("time-ms"))
	others := f.observeOthers()
	left := f.observeUpstreamLeft()
	switch {
	case left:
		return Cause{EngineLeft, "the upstream left or ended while it had the request", nil, "none, unless many upstreams end"}
	case others.ended >= 3 && 2*others.failed > others.ended:
		return Cause{EngineSilent, "the upstream did not answer this request nor most others", nil, "look at that upstream"}
	}
	return Cause{TimeLimit, "the upstream did not answer within the time of the request", nil, "raise the time limit of the route, or look at that upstream"}
}

// broken explains a request whose upstream broke off.
func (f *finding) broken() Cause {
	f.observe("upstream %s broke off: %s", f.upstream, f.reason)
	for i := range f.moves {
		if m := &f.moves[i]; m.Get("destination") == "" {
			f.observe("%s before the end a move from %s did not succeed: %s", f.before(m.Time), m.Get("source"), m.Get("outcome"))
		}
	}
	noRoom := len(f.moves) > 0 && strings.Contains(f.moves[len(f.moves)-1].Get("outcome"), "no engine has room")
	left := f.observeUpstreamLeft()
	removed := f.observeUpstreamRemoved()
	others := f.observeOthers()
	switch {
	case left && noRoom:
		return Cause{NoRoomToMove, "the engine left on time and no other engine had room for the stream", nil, "add engines in that data centre"}
	case left:
		return Cause{EngineLeft, "the upstream was leaving and ended before the request did", nil, "give upstreams more time to leave, or more engines to move to"}
	case removed:
		return Cause{EngineCrashed, "the upstream ended without notice", nil, "look at that upstream"}
	case strings.Contains(f.reason, "failed with status") || strings.Contains(f.reason, "upstream failed"):
		return Cause{EngineFailed, "the upstream answered with a failure", nil, "look at that upstream"}
	case others.ended >= 3 && 2*others.failed > others.ended:
		return Cause{EngineCrashed, "the upstream broke off most of its requests at that time", nil, "look at that upstream"}
	}
	return Cause{EngineMisbehaved, "the upstream broke off this request while it answered others", nil, "look at that upstream and the link to it"}
}

// observeStore reports whether the host's own reads of the store failed at the end of the
// request, or those of most hosts that read it.
func (f *finding) observeStore() bool {
	isStore := func(r *Record) bool { return strings.HasPrefix(r.Message, "store dependency ") }
	if r := f.c.latest(f.end.Host, f.end.Time, isStore); r != nil {
		if r.Message == "store dependency lost" {
			f.observe("this host had lost the store %s before (%s)", f.before(r.Time), r.Get("error"))
			return true
		}
		return false
	}
	lost, readers := 0, 0
	var since time.Time
	for host := range f.c.hosts {
		r := f.c.latest(host, f.end.Time, isStore)
		if r == nil {
			continue
		}
		if readers++; r.Message == "store dependency lost" {
			lost++
			if since.IsZero() || r.Time.Before(since) {
				since = r.Time
			}
		}
	}
	if lost == 0 || 2*lost < readers {
		return false
	}
	f.observe("%d of %d hosts that had noted the store's state had lost it, the first %s before", lost, readers, f.before(since))
	return true
}

// observeUpstreamLeft reports whether the host knew, before the request ended, that its
// upstream was leaving or gone.
func (f *finding) observeUpstreamLeft() bool {
	if f.upstream == "" {
		return false
	}
	r := f.c.latest(f.end.Host, f.end.Time, func(r *Record) bool { return r.Get("upstream") == f.upstream })
	switch {
	case r == nil:
		return false
	case r.Message == "upstream registered" && r.Get("draining") != "true":
		f.observe("upstream %s was registered %s before the end, in data centre %s", f.upstream, f.before(r.Time), r.Get("data-centre"))
		return false
	}
	f.observe("the host learnt %s before the end: %s %s", f.before(r.Time), f.upstream, describeUpstream(r))
	return true
}

// observeUpstreamRemoved reports whether the upstream's entry was removed soon after the end.
func (f *finding) observeUpstreamRemoved() bool {
	if f.upstream == "" {
		return false
	}
	r := f.c.earliest(f.end.Host, f.end.Time, func(r *Record) bool {
		return r.Message == "upstream entry removed" && r.Get("upstream") == f.upstream
	})
	if r == nil || r.Time.Sub(f.end.Time) > crashWindow {
		return false
	}
	f.observe("its entry was removed %s after the end", r.Time.Sub(f.end.Time).Round(time.Millisecond))
	return true
}

func (f *finding) observeOthers() tally {
	if f.upstream == "" {
		return tally{}
	}
	others := f.c.outcomesAround(f.upstream, f.end.Time)
	f.observe("within a second, %d requests ended at %s over all hosts, of which %d failed", others.ended, f.upstream, others.failed)
	return others
}

func (f *finding) dataCentresOut() string {
	r := f.c.latest(f.end.Host, f.end.Time, byMessage("data centres taken out"))
	if r == nil || strings.Trim(r.Get("names"), "[] ") == "" {
		return ""
	}
	f.observe("data centres %s had been out of service for %s", r.Get("names"), f.before(r.Time))
	return r.Get("names")
}

// before is the time between an earlier line and the end of the request.
func (f *finding) before(t time.Time) time.Duration { return f.end.Time.Sub(t).Round(time.Millisecond) }

func byMessage(message string) func(r *Record) bool {
	return func(r *Record) bool { return r.Message == message }
}

func describeUpstream(r *Record) string {
	switch r.Message {
	case "upstream registered":
		return "announced that it is leaving"
	case "upstream entry removed":
		return "has no entry any more"
	default:
		return "is leaving (" + r.Message + ")"
	}
}
