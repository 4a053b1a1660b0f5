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
	// expectedTokenInterval is the time that an engine takes for a token at a usual load.
	expectedTokenInterval = 9 * time.Millisecond
)

// hopByHopHeaders concern only one connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHopHeaders removes the headers that concern only one connection.
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

// logEntry collects what the line of a request says.
type logEntry struct {
	startedAt        time.Time
	status           int
	outcome          string
	reason           string
	timeToFirstEvent time.Duration
	events           int
	migrations       int
	upstream         string
}

// logRequest writes the line of the request.
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
	if e.reason != "" {
		fields = append(fields, "reason", e.reason)
	}
	if e.events > 0 {
		fields = append(fields, "first-event-ms", e.timeToFirstEvent.Milliseconds(), "events", e.events, "moves", e.migrations)
	}
	c.g.Log.Info("request ended", fields...)
	c.g.Metrics.RecordRequest(kind, e.outcome, duration)
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

// refuse answers that the request has not run and when to come back. It must not
// be used once an upstream may have run a request that is not idempotent.
func (c *call) refuse(reason string, after time.Duration) {
	c.logEntry.status, c.logEntry.outcome, c.logEntry.reason = http.StatusServiceUnavailable, "refused", reason
	c.g.Protocol.RetryAfter(c.w.Header(), min(after, maxRetryAfter))
	http.Error(c.w, reason, http.StatusServiceUnavailable)
}

// fail answers with a failure of the system's own that promises nothing.
func (c *call) fail(status int, reason string) {
	c.logEntry.status, c.logEntry.outcome, c.logEntry.reason = status, "failed", reason
	http.Error(c.w, reason, status)
}

// abortCallerGone notes that the caller left before its answer.
func (c *call) abortCallerGone() {
	c.logEntry.outcome, c.logEntry.reason = "caller gone", "the caller closed its connection"
	panic(http.ErrAbortHandler)
}

// abortTruncated closes the caller's connection, so that a cut answer does not look complete.
func (c *call) abortTruncated(reason string) {
	c.logEntry.outcome, c.logEntry.reason = "cut", reason
	panic(http.ErrAbortHandler)
}

// failWithoutAnswer answers a request that got no answer from an upstream.
func (c *call) failWithoutAnswer(reason string) {
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

// retryAfterRefusal is when a refused request is worth another try.
func (c *call) retryAfterRefusal() time.Duration {
	return c.route.LatencyTarget / 4
}
