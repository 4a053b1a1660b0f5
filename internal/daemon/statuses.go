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
	// statusInterval is the time between reads of the pools' state from their owners.
	// The state only ranks pools; the owner decides on each permit. A request that
	// lasts 23 s on average makes it wrong by about 4% in a second.
	statusInterval = time.Second
	statusTimeout  = 400 * time.Millisecond
	// statusValidity is how long a pool's state is used after it was read.
	statusValidity = 5 * time.Second
)

// statuses keeps the latest state of every pool as its owner reported it. It
// implements relay.Pools and is safe for concurrent use.
type statuses struct {
	config  func() *entity.Configuration
	tracker *membership.Tracker
	caller  permit.Caller

	mu   sync.Mutex
	rows map[string]statusRow
}

type statusRow struct {
	status permit.PoolStatus
	at     time.Time
}

func newStatuses(config func() *entity.Configuration, tracker *membership.Tracker, caller permit.Caller) *statuses {
	return &statuses{config: config, tracker: tracker, caller: caller, rows: map[string]statusRow{}}
}

// Status returns the latest state of the pool, if it is recent.
func (s *statuses) Status(poolName string) (permit.PoolStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[poolName]
	if !ok || time.Since(row.at) > statusValidity {
		return permit.PoolStatus{}, false
	}
	return row.status, true
}

// All returns the recent states, sorted by pool.
func (s *statuses) All() []permit.PoolStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []permit.PoolStatus
	for _, row := range s.rows {
		if time.Since(row.at) <= statusValidity {
			out = append(out, row.status)
		}
	}
	slices.SortFunc(out, func(a, b permit.PoolStatus) int { return strings.Compare(a.Pool, b.Pool) })
	return out
}

// run reads the states until ctx ends.
func (s *statuses) run(ctx context.Context) {
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

func (s *statuses) readAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range s.owners() {
		calls.Go(func() {
			var result permit.StatusResult
			if s.caller.Call(ctx, address, permit.MethodStatus, struct{}{}, &result) == nil {
				s.store(result.Pools)
			}
		})
	}
	calls.Wait()
}

// owners returns the peer addresses of the members that own a pool.
func (s *statuses) owners() []string {
	text, snapshot := s.config().Text, s.tracker.Snapshot()
	if text == nil {
		return nil
	}
	return lo.Uniq(lo.FilterMap(text.Pools, func(p entity.Pool, _ int) (string, bool) {
		member, ok := snapshot.Owner(p.Name)
		return member.PeerAddress, ok
	}))
}

func (s *statuses) store(pools []permit.PoolStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, p := range pools {
		s.rows[p.Pool] = statusRow{p, now}
	}
}
