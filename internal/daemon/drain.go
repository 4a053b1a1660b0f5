package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
)

const (
	drainPollInterval = 100 * time.Millisecond
	// handoverTimeout is how long streams may take to write their handover event.
	handoverTimeout = 5 * time.Second
)

// drain is the state of a planned stop. It is safe for concurrent use.
type drain struct {
	// announced is set as soon as callers are sent to other hosts.
	announced atomic.Bool
	// refusingWork is set once new work is refused.
	refusingWork atomic.Bool
	handover     chan struct{}

	mu             sync.Mutex
	requestedSince time.Time // when operators or the platform began to want a drain
}

func newDrain() *drain { return &drain{handover: make(chan struct{})} }

// setRequested notes whether a drain is setRequested now and returns since when it is.
func (d *drain) setRequested(now time.Time, requested bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !requested:
		d.requestedSince = time.Time{}
	case d.requestedSince.IsZero():
		d.requestedSince = now
	}
	return d.requestedSince
}

// drainHost carries out a planned stop: the host leaves the answers to callers, waits until
// callers no longer use old answers, refuses new work, lets streams finish up to
// the limit and hands the rest over.
func (d *Daemon) drainHost(ctx context.Context) {
	d.events.Record("host-draining", "")
	d.log.Info("draining", "announce", d.settings.Drain.Announce.String(), "limit", d.settings.Drain.Limit.String())
	d.drain.announced.Store(true)
	if !d.isOnlyMember() {
		waitFor(ctx, d.settings.Drain.Announce)
	}
	d.drain.refusingWork.Store(true)
	d.waitForStreams(ctx, d.settings.Drain.Limit)
	if open := d.callerServer.OpenStreams(); open > 0 {
		d.events.Record("host-handover", "")
		d.log.Info("handing streams over", "streams", open)
		close(d.drain.handover)
		d.waitForStreams(ctx, handoverTimeout)
	}
	d.log.Info("drained", "streams", d.callerServer.OpenStreams())
}

// isOnlyMember reports whether no other host could serve callers.
func (d *Daemon) isOnlyMember() bool { return len(d.tracker.Snapshot().View.Members) <= 1 }

func (d *Daemon) waitForStreams(ctx context.Context, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for d.callerServer.OpenStreams() > 0 && time.Now().Before(deadline) && waitFor(ctx, drainPollInterval) {
	}
}

// checkAccepting returns a typed failure when this host takes no new work.
func (d *Daemon) checkAccepting() error {
	since := d.drainRequestedSince(time.Now())
	drained := !since.IsZero() && time.Since(since) >= d.settings.Drain.Announce
	if d.drain.refusingWork.Load() || drained && !d.isOnlyMember() {
		refusal := failure.NotRun(failure.Draining, "host %s takes no new work", d.settings.Host.Name)
		if others := d.otherHosts(); len(others) > 0 {
			refusal = refusal.WithHost(others[0])
		}
		return refusal
	}
	if err := d.members.MaySend(time.Now()); err != nil {
		refusal := failure.From(err)
		if others := d.otherHosts(); len(others) > 0 {
			refusal = refusal.WithHost(others[0])
		}
		return refusal
	}
	return nil
}

// otherHosts returns the caller addresses of other hosts, best first.
func (d *Daemon) otherHosts() []string {
	conf := d.follower.Configuration()
	var out []string
	for _, h := range d.members.rankedHosts(d.settings.Host.DataCentre, conf.HostsDraining, 0) {
		if h.Name != d.settings.Host.Name {
			out = append(out, h.Address)
		}
	}
	return out
}

// waitFor reports whether the whole duration has passed.
func waitFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
