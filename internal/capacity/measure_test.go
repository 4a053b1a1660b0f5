package capacity

import (
	"fmt"
	"runtime"
	"runtime/metrics"
	"strings"
	"syscall"
	"testing"
	"time"
)

// measurement is one measured quantity at one size.
type measurement struct {
	unit  string
	value float64
}

// completedBenchmarks holds the benchmarks that have run. The testing package repeats
// each with growing b.N, but one measurement at every size is enough.
var completedBenchmarks = map[string]bool{}

// fitSlopes measures at each size and reports the fitted slope and intercept of
// every quantity. sizeUnit names what a size counts.
func fitSlopes(b *testing.B, sizeUnit string, sizes []int, measure func(size int) []measurement) {
	b.Helper()
	defer b.ReportMetric(0, "ns/op")
	if completedBenchmarks[b.Name()] {
		return
	}
	completedBenchmarks[b.Name()] = true
	var x []float64
	var units []string
	y := map[string][]float64{}
	for _, size := range sizes {
		x = append(x, float64(size))
		for _, r := range measure(size) {
			if y[r.unit] == nil {
				units = append(units, r.unit)
			}
			y[r.unit] = append(y[r.unit], r.value)
		}
	}
	for _, unit := range units {
		var points []string
		for i, v := range y[unit] {
			points = append(points, fmt.Sprintf("%d: %.4g", sizes[i], v))
		}
		b.Logf("%-14s per %-10s %s  (%s)", unit, sizeUnit, Fit(x, y[unit]), strings.Join(points, ", "))
	}
}

// cpuTime measures cpuRounds rounds and returns the fastest, because the others contain
// more work of the garbage collector and of other processes.
const (
	cpuRounds        = 5
	cpuRoundDuration = 40 * time.Millisecond
)

// cpuTime returns the processor time of one call of f in nanoseconds, over all
// threads of the process.
func cpuTime(f func()) float64 {
	f()
	fastest := 0.0
	for range cpuRounds {
		calls, began, used := 0, time.Now(), processTime()
		for calls == 0 || time.Since(began) < cpuRoundDuration {
			f()
			calls++
		}
		if ns := float64(processTime()-used) / float64(calls); fastest == 0 || ns < fastest {
			fastest = ns
		}
	}
	return fastest
}

func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// retainedHeap returns the bytes of heap and stacks that the result of build keeps in use.
func retainedHeap(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // the second cycle frees what finalizers and sync.Pools kept during the first
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// peakHeap returns the growth of the heap at its peak while f runs, in bytes.
func peakHeap(f func()) float64 {
	before := liveHeap()
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	stop, done := make(chan struct{}), make(chan uint64)
	go func() {
		var peak uint64
		for {
			select {
			case <-stop:
				done <- peak
				return
			case <-time.After(time.Millisecond):
			}
			metrics.Read(sample)
			peak = max(peak, sample[0].Value.Uint64())
		}
	}()
	f()
	close(stop)
	return float64(max(<-done, before)) - float64(before)
}
