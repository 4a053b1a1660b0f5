package duty

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// fakeStore is a store that some hosts do not reach.
type fakeStore struct {
	mu  sync.Mutex
	row fakeRow
	// cut holds the hosts that do not reach the store.
	cut map[string]bool
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	*fakeStore
	host string
}

var errCut = errors.New("the store does not answer")

func (s hostStore) ReadRows(context.Context) (map[string]Observation, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut[s.host] {
		return nil, 0, errCut
	}
	return map[string]Observation{"task": s.row.read()}, s.row.revision, nil
}

func (s hostStore) WriteRow(_ context.Context, _ string, row Row, expected uint64) (uint64, WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut[s.host] {
		return 0, Unknown, errCut
	}
	revision, result := s.row.write(row, expected)
	if result != Written {
		return 0, result, errors.New("conflict")
	}
	return revision, result, nil
}

// fakePlatform records who carried out the task.
type fakePlatform struct {
	mu          sync.Mutex
	unreachable map[string]bool
	calls       []Order
}

func (p *fakePlatform) call(o Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreachable[o.Holder] {
		return ErrUnknownOutcome
	}
	p.calls = append(p.calls, o)
	return nil
}

// callsOf returns the number of calls of a holder, or of all if it is empty.
func (p *fakePlatform) callsOf(holder string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.calls {
		if holder == "" || o.Holder == holder {
			n++
		}
	}
	return n
}

func (p *fakePlatform) set(host string, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable[host] = unreachable
}

func (s *fakeStore) set(host string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[host] = cut
}

// startHosts runs two hosts, A before B in rank, until the returned function is called.
func startHosts(t *testing.T) (*fakeStore, *fakePlatform, func()) {
	store, platform := &fakeStore{cut: map[string]bool{}}, &fakePlatform{unreachable: map[string]bool{}}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	start := time.Now()
	for rank, host := range []string{"A", "B"} {
		r := NewRunner(Options{
			Host: host, Process: host, Term: testTerm, PauseMargin: testMargin, Store: hostStore{store, host},
			Rank: func(string) int { return rank }, Willing: func() bool { return true }, Metrics: metrics.NewSet(), Log: logr.Discard(),
			Now: func() Instant { return Instant(time.Since(start)) },
		})
		r.Add("task", func(ctx context.Context, d *Duty) {
			g, held := d.Grant()
			if held { // a failed call is made again in the next run
				_ = d.Do(ctx, g.Token, func(_ context.Context, o Order) error { return platform.call(o) })
			}
		})
		group.Go(func() { r.Run(ctx) })
	}
	return store, platform, func() {
		cancel()
		group.Wait()
	}
}

// Guards against a holder that is cut off from the store and goes on, and against a duty that
// nobody takes over from it.
func TestHolderCutOffFromTheStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, platform, stop := startHosts(t)
		defer stop()
		time.Sleep(10 * time.Second)
		require.Positive(t, platform.callsOf("A"))
		store.set("A", true)
		time.Sleep(testTerm)
		calls := platform.callsOf("A")
		time.Sleep(5 * time.Second)
		require.Equal(t, calls, platform.callsOf("A"))
		require.Positive(t, platform.callsOf("B"))
	})
}

// Guards against a holder that reaches the store but not the platform, and keeps the duty.
func TestHolderCutOffFromThePlatformIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, platform, stop := startHosts(t)
		defer stop()
		time.Sleep(10 * time.Second)
		platform.set("A", true)
		time.Sleep(2*testTerm + 2*time.Second)
		require.Positive(t, platform.callsOf("B"))
	})
}

// Guards against calls without a claim while the store is out for long, and a duty that stays
// without a holder after that.
func TestDutyGoesOnAfterALongOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, platform, stop := startHosts(t)
		defer stop()
		time.Sleep(10 * time.Second)
		store.set("A", true)
		store.set("B", true)
		time.Sleep(testTerm)
		calls := platform.callsOf("")
		time.Sleep(5 * time.Minute)
		require.Equal(t, calls, platform.callsOf(""))
		store.set("A", false)
		store.set("B", false)
		time.Sleep(2 * testTerm)
		require.Greater(t, platform.callsOf(""), calls)
	})
}
