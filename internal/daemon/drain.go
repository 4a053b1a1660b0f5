package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
)

const (
	drainPoll = 100 * time.Millisecond
	// handoverLimit is how long streams may take to write their handover event.
	handoverLimit = 5 * time.Second
)

// drain is the state of a planned stop. It is safe for concurrent use.
type drain struct {
	// leaving is set as soon as callers are sent to other hosts.
	leaving atomic.Bool
	// refusing is set once new work is refused.
	refusing atomic.Bool
	handover chan struct{}

	mu    sync.Mutex
	since time.Time // when operators or the platform began to want a drain
}

func newDrain() *drain { return &drain{handover: make(chan struct{})} }

// wanted notes whether a drain is wanted now and returns since when it is.
func (d *drain) wanted(now time.Time, wanted bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !wanted:
		d.since = time.Time{}
	case d.since.IsZero():
		d.since = now
	}
	return d.since
}

// drainAll carries out a planned stop: the host leaves the answers to callers, waits until
// callers no longer use old answers, refuses new work, lets streams finish up to
// the limit and hands the rest over.
func (d *Daemon) drainAll(ctx context.Context) {
	d.events.Record("host-draining", "")
	d.log.Info("draining", "announce", d.settings.Drain.AnnounceDuration.String(), "limit", d.settings.Drain.StreamTimeLimit.String())
	d.drain.leaving.Store(true)
	if !d.alone() {
		wait(ctx, d.settings.Drain.AnnounceDuration)
	}
	d.drain.refusing.Store(true)
	d.waitForStreams(ctx, d.settings.Drain.StreamTimeLimit)
	if open := d.caller.OpenStreams(); open > 0 {
		d.events.Record("host-handover", "")
		d.log.Info("handing streams over", "streams", open)
		close(d.drain.handover)
		d.waitForStreams(ctx, handoverLimit)
	}
	d.log.Info("drained", "streams", d.caller.OpenStreams())
}

// alone reports whether no other host could serve callers.
func (d *Daemon) alone() bool { return len(d.tracker.Snapshot().View.Members) <= 1 }

func (d *Daemon) waitForStreams(ctx context.Context, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for d.caller.OpenStreams() > 0 && time.Now().Before(deadline) && wait(ctx, drainPoll) {
	}
}

// accepting returns a typed failure when this host takes no new work.
func (d *Daemon) accepting() error {
	since := d.drainedSince(time.Now())
	drained := !since.IsZero() && time.Since(since) >= d.settings.Drain.AnnounceDuration
	if d.drain.refusing.Load() || drained && !d.alone() {
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

// wait reports whether the whole duration has passed.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
