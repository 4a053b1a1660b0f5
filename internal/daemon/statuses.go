package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/permit"
)

const (
	// statusInterval is the time between reads of the pools' statuses from their owners. A
	// status only ranks pools; the owner decides on each permit. With requests that take
	// 23 s on average, about 4% of the running requests change within a second.
	statusInterval = time.Second
	statusTimeout  = 400 * time.Millisecond
	// statusValidity is how long a status is used after it was read.
	statusValidity = 5 * time.Second
)

// poolStatuses caches the latest status of every pool as reported by its owner. It
// implements relay.Pools and is safe for concurrent use.
type poolStatuses struct {
	config     func() *entity.Configuration
	tracker    *membership.Tracker
	peerCaller permit.Caller

	mu     sync.Mutex
	byPool map[string]timedStatus
}

type timedStatus struct {
	status permit.PoolStatus
	readAt time.Time
}

func newPoolStatuses(config func() *entity.Configuration, tracker *membership.Tracker, peerCaller permit.Caller) *poolStatuses {
	return &poolStatuses{config: config, tracker: tracker, peerCaller: peerCaller, byPool: map[string]timedStatus{}}
}

// Status returns the latest status of the pool, or false if none was read within
// statusValidity.
func (s *poolStatuses) Status(poolName string) (permit.PoolStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.byPool[poolName]
	if !ok || time.Since(row.readAt) > statusValidity {
		return permit.PoolStatus{}, false
	}
	return row.status, true
}

// All returns the statuses read within statusValidity, sorted by pool name.
func (s *poolStatuses) All() []permit.PoolStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []permit.PoolStatus
	for _, row := range s.byPool {
		if time.Since(row.readAt) <= statusValidity {
			out = append(out, row.status)
		}
	}
	slices.SortFunc(out, func(a, b permit.PoolStatus) int { return strings.Compare(a.Pool, b.Pool) })
	return out
}

// run reads the statuses every statusInterval until ctx ends.
func (s *poolStatuses) run(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		s.readAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *poolStatuses) readAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range s.ownerAddresses() {
		calls.Go(func() {
			var result permit.StatusResult
			if s.peerCaller.Call(ctx, address, permit.MethodStatus, struct{}{}, &result) == nil {
				s.update(result.Pools)
			}
		})
	}
	calls.Wait()
}

// ownerAddresses returns the distinct peer addresses of the members that own a pool.
func (s *poolStatuses) ownerAddresses() []string {
	text, snapshot := s.config().Text, s.tracker.Snapshot()
	if text == nil {
		return nil
	}
	return lo.Uniq(lo.FilterMap(text.Pools, func(p entity.Pool, _ int) (string, bool) {
		member, ok := snapshot.Owner(p.Name)
		return member.PeerAddress, ok
	}))
}

func (s *poolStatuses) update(pools []permit.PoolStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, p := range pools {
		s.byPool[p.Pool] = timedStatus{p, now}
	}
}
