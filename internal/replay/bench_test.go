package replay

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/trace"
)

const traceDirectory = "../../testdata/traces"

func loadCommitted(tb testing.TB, name string) *trace.Trace {
	tb.Helper()
	t, err := trace.Load(filepath.Join(traceDirectory, name+".jsonl"))
	require.NoError(tb, err)
	return t
}

// BenchmarkReplay reports the main metrics of each trace under each policy. One
// operation is one whole run.
func BenchmarkReplay(b *testing.B) {
	for _, generated := range Generate() {
		t := loadCommitted(b, generated.Header.Name)
		for _, name := range policyNames() {
			factory := Policies()[name]
			b.Run(t.Header.Name+"/"+name, func(b *testing.B) {
				var r Result
				var err error
				for b.Loop() {
					r, err = Simulate(t, name, factory, 1)
					require.NoError(b, err)
				}
				b.ReportMetric(r.Goodput, "goodput/s")
				b.ReportMetric(r.GapP99MS, "gap-p99-ms")
				b.ReportMetric(r.StallMS/1000, "stall-s")
				b.ReportMetric(float64(r.Preemptions), "preemptions")
				b.ReportMetric(float64(r.ColdViolations), "cold-violations")
				b.ReportMetric(r.FinishedInTime, "in-time")
			})
		}
	}
}
