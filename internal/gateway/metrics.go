package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts what the gateway does. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Write writes the metrics as text.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// RecordRequest counts a request that ended.
func (m *Metrics) RecordRequest(kind, outcome string, duration time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rattanscale_gateway_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`rattanscale_gateway_request_seconds{kind=%q}`, kind)).Update(duration.Seconds())
}

// RecordMigration counts a stream that was moved, with the time of its copy and of its pause.
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

// SetDroppedLogLines counts log lines that were dropped.
func (m *Metrics) SetDroppedLogLines(lines uint64) {
	m.set.GetOrCreateCounter(`rattanscale_log_lines_dropped_total`).Set(lines)
}
