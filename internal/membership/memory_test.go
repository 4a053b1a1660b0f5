package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Measures the memory that one daemon keeps for its cell.
func BenchmarkTrackerMemory(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c := newCluster(n)
			var trackers []*Tracker
			before := heapBytes()
			for b.Loop() {
				t := NewTracker("cell", c.trackers[0].Snapshot().Self, c.now)
				t.ObserveStoreRead(c.now, c.now, c.view, 1)
				for _, other := range c.trackers[1:] {
					t.ObserveHeartbeat(c.now, c.now.Add(-time.Millisecond), other.Heartbeat(c.now, NoView))
				}
				trackers = append(trackers, t)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(len(trackers)*n), "kept-bytes/member")
			runtime.KeepAlive(trackers)
		})
	}
}
