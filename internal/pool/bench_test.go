package pool

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// loadedPool returns a warm pool whose upstreams each run the given number of requests,
// partly decoded.
func loadedPool(upstreams, running int) (*State, []Permit) {
	limits := engineLimits
	// A high cold limit lets the pool fill without a report for every few grants.
	limits.ColdRequests, limits.MaxRequests, limits.MemoryTokens = 2*running, 2*running, 4096*running
	limits.TargetStep = time.Second
	s := New(Config{Pool: testPool("engine", upstreams, limits)})
	for _, u := range s.upstreams {
		s.Report(t0.Add(time.Second), Report{Upstream: u.name, Incarnation: "i"})
	}
	now := t0.Add(2 * time.Second)
	for i := range upstreams * running {
		s.Acquire(now, request(i))
	}
	permits := grants(s.Decide(now))
	if len(permits) != upstreams*running {
		panic(fmt.Sprintf("%d of %d requests run", len(permits), upstreams*running))
	}
	digest := make([]Progress, 0, len(permits))
	for i, p := range permits {
		digest = append(digest, Progress{PermitID: p.ID, Tokens: 10 + i%200, StepTime: 20 * time.Millisecond})
	}
	s.Progress(now, digest)
	return s, permits
}

// BenchmarkDecide measures one decision: a request ends, the next one is queued and
// granted.
func BenchmarkDecide(b *testing.B) {
	for _, upstreams := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			s, permits := loadedPool(upstreams, 24)
			now := t0.Add(3 * time.Second)
			next := len(permits)
			b.ReportAllocs()
			for b.Loop() {
				i := next % len(permits)
				s.Release(now, permits[i].ID, Completed, 100+i%50)
				s.Acquire(now, request(next))
				next++
				if g := grants(s.Decide(now)); len(g) == 1 {
					permits[i] = g[0]
				}
				now = now.Add(time.Millisecond)
			}
		})
	}
}

// BenchmarkDecideFull measures a decision with a long queue while nothing can be
// granted.
func BenchmarkDecideFull(b *testing.B) {
	for _, queued := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			s, permits := loadedPool(32, 24)
			for i := range queued {
				r := request(len(permits) + i)
				r.PromptTokens = 4096*24 - 1 // fits on no upstream while others run
				r.Account = fmt.Sprint("a", i%20)
				s.Acquire(t0.Add(3*time.Second), r)
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Decide(t0.Add(3 * time.Second))
			}
		})
	}
}

// BenchmarkProgress applies the progress reports of all daemons for one interval and
// reports the time per running request.
func BenchmarkProgress(b *testing.B) {
	s, permits := loadedPool(32, 24)
	digest := make([]Progress, 0, len(permits))
	for _, p := range permits {
		digest = append(digest, Progress{PermitID: p.ID, Tokens: 50, StepTime: 20 * time.Millisecond})
	}
	b.ReportAllocs()
	now := t0.Add(3 * time.Second)
	for b.Loop() {
		now = now.Add(500 * time.Millisecond)
		s.Progress(now, digest)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(permits)), "ns/permit")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBytes reports the heap memory retained per entity.
func BenchmarkBytes(b *testing.B) {
	for _, c := range []struct {
		entity   string
		entities int
		build    func() *State
	}{
		{"upstream", 32, func() *State { return New(Config{Pool: testPool("engine", 32, engineLimits)}) }},
		{"upstream", 512, func() *State { return New(Config{Pool: testPool("engine", 512, engineLimits)}) }},
		{"permit", 64 * 8, func() *State { s, _ := loadedPool(64, 8); return s }},
		{"permit", 64 * 32, func() *State { s, _ := loadedPool(64, 32); return s }},
		{"queued", 1000, func() *State { return queuedPool(1000) }},
		{"queued", 10000, func() *State { return queuedPool(10000) }},
		{"account", 100, func() *State { return servedPool(100) }},
		{"account", 1000, func() *State { return servedPool(1000) }},
	} {
		b.Run(fmt.Sprintf("%ss=%d", c.entity, c.entities), func(b *testing.B) {
			total := 0.0
			for b.Loop() {
				before := heapBytes()
				kept := c.build()
				total += float64(heapBytes()) - float64(before)
				runtime.KeepAlive(kept)
			}
			b.ReportMetric(total/float64(b.N*c.entities), "bytes/"+c.entity)
		})
	}
}

// queuedPool returns a pool in which all but a few of n requests wait.
func queuedPool(n int) *State {
	s := New(Config{Pool: testPool("engine", 1, engineLimits)})
	for i := range n {
		r := request(i)
		r.Deadline = t0.Add(time.Hour)
		s.Acquire(t0, r)
	}
	return s
}

// servedPool returns a pool that has completed a request of each of n accounts.
func servedPool(n int) *State {
	s := New(Config{Pool: testPool("engine", 8, engineLimits)})
	for i := range n {
		r := request(i)
		r.Account = fmt.Sprint("account", i)
		s.Acquire(t0, r)
		for _, p := range grants(s.Decide(t0)) {
			s.Release(t0, p.ID, Completed, 100)
		}
	}
	return s
}
