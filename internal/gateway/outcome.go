package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

const (
	// maxRetryAfter bounds what callers are told to wait.
	maxRetryAfter = 10 * time.Second
	// maxSends bounds the sends of one request, refusals by upstreams included.
	maxSends = 4
	// expectedStep is the time that an engine takes for a token at a usual load.
	expectedStep = 9 * time.Millisecond
)

// hopHeaders concern only one connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopHeaders removes the headers that concern only one connection.
func StripHopHeaders(h http.Header) {
	for _, names := range h["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// logEntry collects what the line of a request says.
type logEntry struct {
	began      time.Time
	status     int
	outcome    string
	reason     string
	firstEvent time.Duration
	events     int
	moves      int
	upstream   string
}

// log writes the line of the request.
func (c *call) log() {
	e := &c.entry
	took := time.Since(e.began)
	fields := []any{
		"request", c.info.ID, "outcome", e.outcome, "status", e.status, "ms", took.Milliseconds(),
		"upstream", e.upstream, "sends", c.sends, "attempts", c.attempts, "account", c.account,
	}
	kind := "unknown"
	if c.route != nil {
		kind = kindName(c.route.Kind)
		fields = append(fields, "route", c.route.Name, "time-ms", c.deadline.Sub(c.began).Milliseconds(),
			"configuration", c.catalog.Configuration.Version, "upstreams-revision", c.catalog.UpstreamsRevision)
	}
	if e.reason != "" {
		fields = append(fields, "reason", e.reason)
	}
	if e.events > 0 {
		fields = append(fields, "first-event-ms", e.firstEvent.Milliseconds(), "events", e.events, "moves", e.moves)
	}
	c.g.Log.Info("request ended", fields...)
	c.g.Metrics.Request(kind, e.outcome, took)
}

func kindName(k catalog.RouteKind) string {
	switch k {
	case catalog.Safe:
		return "safe"
	case catalog.Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// refuse answers that the request has not run and when to come back. It must not
// be used once an upstream may have run a request that is not idempotent.
func (c *call) refuse(reason string, after time.Duration) {
	c.entry.status, c.entry.outcome, c.entry.reason = http.StatusServiceUnavailable, "refused", reason
	c.g.Protocol.RetryAfter(c.w.Header(), min(after, maxRetryAfter))
	http.Error(c.w, reason, http.StatusServiceUnavailable)
}

// fail answers with a failure of the system's own that promises nothing.
func (c *call) fail(status int, reason string) {
	c.entry.status, c.entry.outcome, c.entry.reason = status, "failed", reason
	http.Error(c.w, reason, status)
}

// gone notes that the caller left before its answer.
func (c *call) gone() {
	c.entry.outcome, c.entry.reason = "caller gone", "the caller closed its connection"
	panic(http.ErrAbortHandler)
}

// abort closes the caller's connection, so that a cut answer does not look complete.
func (c *call) abort(reason string) {
	c.entry.outcome, c.entry.reason = "cut", reason
	panic(http.ErrAbortHandler)
}

// failWithout answers a request that got no answer from an upstream.
func (c *call) failWithout(reason string) {
	if errors.Is(context.Cause(c.ctx), context.DeadlineExceeded) {
		reason = "the time of the request was over: " + reason
	}
	switch {
	case c.r.Context().Err() != nil:
		c.gone()
	case c.attempts == 0:
		c.refuse(reason, c.comeBack())
	case time.Now().After(c.deadline):
		c.fail(http.StatusGatewayTimeout, reason)
	default:
		c.fail(http.StatusBadGateway, reason)
	}
}

// comeBack is when a refused request is worth another try.
func (c *call) comeBack() time.Duration {
	return c.route.LatencyTarget / 4
}
