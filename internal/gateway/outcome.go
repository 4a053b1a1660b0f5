package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

const (
	// maxRetryAfter limits the delay that refused callers are asked to wait.
	maxRetryAfter = 10 * time.Second
	// maxSends limits the sends of one request, including those that upstreams refuse.
	maxSends = 4
	// expectedTokenInterval is the time between two tokens of an engine at typical load.
	expectedTokenInterval = 9 * time.Millisecond
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHopHeaders removes the headers that apply to a single connection, including
// those that the Connection header names.
func StripHopByHopHeaders(h http.Header) {
	for _, names := range h["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// logEntry collects the fields of a request's log line.
type logEntry struct {
	startedAt        time.Time
	status           int
	outcome          string
	reason           string
	timeToFirstEvent time.Duration
	// lastEventAt is when the last event of a stream was passed on, longestGap the longest time
	// between two.
	lastEventAt time.Time
	longestGap  time.Duration
	events      int
	migrations  int
	upstream    string
}

// recordEvent records an event of a stream.
func (e *logEntry) recordEvent(now time.Time) {
	if !e.lastEventAt.IsZero() {
		e.longestGap = max(e.longestGap, now.Sub(e.lastEventAt))
	}
	e.lastEventAt = now
}

// logRequest writes the log line and the metrics of the request.
func (c *call) logRequest() {
	e := &c.logEntry
	duration := time.Since(e.startedAt)
	fields := []any{
		"request", c.info.ID, "outcome", e.outcome, "status", e.status, "ms", duration.Milliseconds(),
		"upstream", e.upstream, "sends", c.sends, "attempts", c.attempts, "account", c.account,
	}
	kind := "unknown"
	if c.route != nil {
		kind = routeKindName(c.route.Kind)
		fields = append(fields, "route", c.route.Name, "time-ms", c.deadline.Sub(c.startedAt).Milliseconds(),
			"configuration", c.catalog.Configuration.Version, "upstreams-revision", c.catalog.UpstreamsRevision)
	}
	if rank, stated := c.priority.Rank(); stated {
		fields = append(fields, "priority", rank)
	}
	if e.reason != "" {
		fields = append(fields, "reason", e.reason)
	}
	if e.events > 0 {
		fields = append(fields, "first-event-ms", e.timeToFirstEvent.Milliseconds(), "events", e.events, "moves", e.migrations, "longest-gap-ms", e.longestGap.Milliseconds())
	}
	c.g.Log.Info("request ended", fields...)
	c.g.Metrics.RecordRequest(kind, e.outcome, duration)
	if rank, stated := c.priority.Rank(); stated {
		c.g.Metrics.RecordPriority(rank, e.outcome)
	}
}

func routeKindName(k catalog.RouteKind) string {
	switch k {
	case catalog.Safe:
		return "safe"
	case catalog.Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// refuse responds that the request was not run and when to retry. It must not be used
// once an upstream may have run a request that is not idempotent.
func (c *call) refuse(reason string, after time.Duration) {
	c.logEntry.status, c.logEntry.outcome, c.logEntry.reason = http.StatusServiceUnavailable, "refused", reason
	c.g.Protocol.RetryAfter(c.w.Header(), min(after, maxRetryAfter))
	http.Error(c.w, reason, http.StatusServiceUnavailable)
}

// fail responds with an error of the gateway itself. The response does not state whether
// the request was run.
func (c *call) fail(status int, reason string) {
	c.logEntry.status, c.logEntry.outcome, c.logEntry.reason = status, "failed", reason
	http.Error(c.w, reason, status)
}

// abortCallerGone ends a request whose caller closed the connection.
func (c *call) abortCallerGone() {
	c.logEntry.outcome, c.logEntry.reason = "caller gone", "the caller closed its connection"
	panic(http.ErrAbortHandler)
}

// abortTruncated closes the caller's connection, so that a truncated response does not
// look complete.
func (c *call) abortTruncated(reason string) {
	c.logEntry.outcome, c.logEntry.reason = "cut", reason
	panic(http.ErrAbortHandler)
}

// failWithoutResponse responds to a request for which no upstream returned a response.
func (c *call) failWithoutResponse(reason string) {
	if errors.Is(context.Cause(c.ctx), context.DeadlineExceeded) {
		reason = "the time of the request was over: " + reason
	}
	switch {
	case c.r.Context().Err() != nil:
		c.abortCallerGone()
	case c.attempts == 0:
		c.refuse(reason, c.retryAfterRefusal())
	case time.Now().After(c.deadline):
		c.fail(http.StatusGatewayTimeout, reason)
	default:
		c.fail(http.StatusBadGateway, reason)
	}
}

// retryAfterRefusal is the delay after which a refused request may be retried. If all upstreams
// limit their requests, see retryAfterLimits. If all want no requests for a time it is that time and up to half of it more, so that callers do not
// all return at once.
func (c *call) retryAfterRefusal() time.Duration {
	now := time.Now()
	if end, waiting := c.g.backOffEnd(c.g.Catalog(), c.service.Name, now); waiting {
		wait := end.Sub(now)
		return wait + time.Duration(rand.Float64()*float64(wait/2))
	}
	if wait, limited := c.g.retryAfterLimits(c.g.Catalog(), c.service.Name, now); limited {
		return wait
	}
	return c.route.LatencyTarget / 4
}
