package permit

import (
	"context"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// poller reads the load reports, or the health, of one upstream. The mutex of its pool
// guards its fields.
type poller struct {
	address string
	cancel  context.CancelFunc
	report  upstream.Report
	// measuredAt is the time of the state that report describes.
	measuredAt          time.Time
	reachable           bool
	consecutiveFailures int
	lastCacheEvent      uint64 // sequence number
	// wake requests a read before the regular interval has passed.
	wake             chan struct{}
	lastUrgentPollAt time.Time
}

// syncPollers starts and stops pollers to match the configuration. The caller holds
// the lock.
func (w *ownedPool) syncPollers() {
	wanted := map[string]string{}
	for _, u := range w.conf.Upstreams {
		wanted[u.Name] = u.Address
	}
	for name, p := range w.pollers {
		if wanted[name] != p.address {
			p.cancel()
			delete(w.pollers, name)
		}
	}
	for name, address := range wanted {
		if w.pollers[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(w.ctx)
		p := &poller{address: address, cancel: cancel, reachable: true, wake: make(chan struct{}, 1)}
		w.pollers[name] = p
		go w.pollLoop(ctx, name, p, w.conf.Kind)
	}
}

func (w *ownedPool) pollLoop(ctx context.Context, name string, p *poller, kind entity.UpstreamKind) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		guard.Run(w.owner.log, "load report of "+name, func() { w.pollOnce(ctx, name, p, kind) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.wake:
		}
	}
}

// requestReports wakes the pollers of upstreams whose next grant waits for a load report.
// The caller holds the lock.
func (w *ownedPool) requestReports(names []string) {
	now := w.owner.now()
	for _, name := range names {
		p := w.pollers[name]
		if p == nil || now.Sub(p.lastUrgentPollAt) < minUrgentPollInterval {
			continue
		}
		p.lastUrgentPollAt = now
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

func (w *ownedPool) pollOnce(ctx context.Context, name string, p *poller, kind entity.UpstreamKind) {
	callCtx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	startedAt := w.owner.now()
	var report upstream.Report
	var cache []upstream.CacheEvent
	var err error
	if kind == entity.KindPlain {
		err = w.owner.plain.Healthy(callCtx, p.address)
	} else {
		report, err = w.owner.engine.ReadLoadReport(callCtx, p.address)
		if err == nil {
			// Cache events are only hints, so a failure to read them is ignored.
			cache, _ = w.owner.engine.CacheEvents(callCtx, p.address, p.lastCacheEvent)
		}
	}
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.pollFailed(name, p, err)
		return
	}
	if !p.reachable {
		w.owner.events.Record("upstream-reachable", "", "upstream", name, "pool", w.key.pool)
	}
	p.reachable, p.consecutiveFailures = true, 0
	if kind != entity.KindPlain {
		w.applyReport(startedAt, name, p, report, cache)
	}
	w.decide()
}

func (w *ownedPool) pollFailed(name string, p *poller, err error) {
	p.consecutiveFailures++
	if p.consecutiveFailures < failedPollsUntilLost || !p.reachable {
		return
	}
	p.reachable = false
	w.owner.log.Info("upstream unreachable; its requests count as lost", "upstream", name, "pool", w.key.pool, "error", err.Error())
	w.owner.events.Record("upstream-lost", "", "upstream", name, "pool", w.key.pool)
	w.state.Lose(w.owner.now(), name)
	w.decide()
}

func (w *ownedPool) applyReport(startedAt time.Time, name string, p *poller, r upstream.Report, cache []upstream.CacheEvent) {
	now := w.owner.now()
	if p.report.Incarnation != "" && p.report.Incarnation != r.Incarnation {
		w.owner.events.Record("upstream-restarted", "", "upstream", name, "incarnation", r.Incarnation)
	}
	if r.Leaving && !p.report.Leaving {
		w.owner.events.Record("upstream-leaving", "", "upstream", name)
	}
	p.report = r
	// The age is the time since the start of the read, plus the age that the report
	// had by then.
	age := now.Sub(startedAt)
	if lag := startedAt.Sub(r.MeasuredAt); !r.MeasuredAt.IsZero() && lag > 0 {
		age += lag
	}
	p.measuredAt = now.Add(-age)
	w.state.Report(now, pool.Report{
		Upstream: name, Incarnation: r.Incarnation, Cold: r.Cold, Leaving: r.Leaving,
		Running: r.Running + r.Waiting, MemoryTokens: r.MemoryTokens, Models: r.Models, Age: age,
	})
	events := make([]pool.CacheEvent, 0, len(cache))
	for _, e := range cache {
		p.lastCacheEvent = max(p.lastCacheEvent, e.Sequence)
		events = append(events, pool.CacheEvent{Prefix: e.Prefix, Evicted: e.Evicted})
	}
	if len(events) > 0 {
		w.state.CacheEvents(now, name, events...)
	}
}
