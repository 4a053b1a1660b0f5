package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanscale/rattanscale/internal/guard"
)

// Metrics holds the metrics of the gateway. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set
}

func NewMetrics() *Metrics {
	m := &Metrics{set: metrics.NewSet()}
	m.set.NewGauge("rattanscale_recovered_panics_total", func() float64 { return float64(guard.Recovered()) })
	return m
}

// Set returns the set to which other parts of the process add their metrics.
func (m *Metrics) Set() *metrics.Set { return m.set }

// Write writes the metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// RecordRequest records a request that has ended.
func (m *Metrics) RecordRequest(kind, outcome string, duration time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanscale_gateway_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`rattanscale_gateway_request_seconds{kind=%q}`, kind)).Update(duration.Seconds())
}

// RecordPriority counts a request whose priority is stated.
func (m *Metrics) RecordPriority(rank int, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanscale_gateway_priority_requests_total{priority="%d",outcome=%q}`, rank, outcome)).Inc()
}

// RecordDispatch counts a request that was sent to an engine of the own data centre or another one.
func (m *Metrics) RecordDispatch(ownDataCentre bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanscale_gateway_engine_sends_total{own="%t"}`, ownDataCentre)).Inc()
}

// SetEngineTimes sets the times in seconds for an output token of a service's fast and slow engines.
func (m *Metrics) SetEngineTimes(service string, fast, slow float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`rattanscale_engine_output_token_seconds{service=%q,engines="fast"}`, service), nil).Set(fast)
	m.set.GetOrCreateGauge(fmt.Sprintf(`rattanscale_engine_output_token_seconds{service=%q,engines="slow"}`, service), nil).Set(slow)
}

// SetLeavingShare sets the share of the requests to a service that leaves the data centre.
func (m *Metrics) SetLeavingShare(service string, share float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`rattanscale_leaving_share{service=%q}`, service), nil).Set(share)
}

// RecordMigration records a migration with the duration of its first copy and the pause
// of the stream.
func (m *Metrics) RecordMigration(succeeded bool, copyTime, pauseTime time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanscale_gateway_moves_total{done="%t"}`, succeeded)).Inc()
	m.set.GetOrCreateHistogram(`rattanscale_gateway_move_copy_seconds`).Update(copyTime.Seconds())
	m.set.GetOrCreateHistogram(`rattanscale_gateway_move_pause_seconds`).Update(pauseTime.Seconds())
}

// RecordConnection counts a new connection to an upstream.
func (m *Metrics) RecordConnection() {
	m.set.GetOrCreateCounter(`rattanscale_gateway_upstream_connections_total`).Inc()
}

// RecordStoreCall counts a call to the platform's store.
func (m *Metrics) RecordStoreCall(call, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanscale_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
}

// RecordUnsentGossip counts a gossip datagram, or a part of a message, that was not sent.
func (m *Metrics) RecordUnsentGossip(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanscale_gossip_unsent_total{reason=%q}`, reason)).Inc()
}

// RecordUpstreamOrder counts an order of a number of upstreams.
func (m *Metrics) RecordUpstreamOrder(reason string, accepted bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanscale_upstream_orders_total{reason=%q,accepted="%t"}`, reason, accepted)).Inc()
}

// SetHostCounts sets the numbers of live hosts and of hosts that share the limits.
func (m *Metrics) SetHostCounts(live, sharing int) {
	m.set.GetOrCreateGauge(`rattanscale_gossip_hosts{counted="live"}`, nil).Set(float64(live))
	m.set.GetOrCreateGauge(`rattanscale_gossip_hosts{counted="sharing"}`, nil).Set(float64(sharing))
}

// RecordStatement counts a new statement of an upstream about itself.
func (m *Metrics) RecordStatement(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanscale_gateway_upstream_statements_total{kind=%q}`, kind)).Inc()
}

// SetDroppedLogLines sets the total number of dropped log lines.
func (m *Metrics) SetDroppedLogLines(lines uint64) {
	m.set.GetOrCreateCounter(`rattanscale_log_lines_dropped_total`).Set(lines)
}
