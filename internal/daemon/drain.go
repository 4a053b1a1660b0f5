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
	// handoverTimeout bounds the wait for streams to write their handover event.
	handoverTimeout = 5 * time.Second
)

// drain is the state of draining this host. It is safe for concurrent use.
type drain struct {
	// announced is set when the host reports itself as draining, so that callers are no
	// longer directed to it.
	announced atomic.Bool
	// refusingWork is set when the host starts to refuse new requests.
	refusingWork atomic.Bool
	// handover is closed when the remaining streams must be handed over.
	handover chan struct{}

	mu             sync.Mutex
	requestedSince time.Time // when operators or the platform requested a drain; zero if none is requested
}

func newDrain() *drain { return &drain{handover: make(chan struct{})} }

// setRequested records whether a drain is requested now and returns since when it has been,
// or zero if it is not.
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

// drainHost drains the host before a planned stop. It reports the host as draining and
// waits until callers no longer use host lists that name it. Then it refuses new
// requests, lets streams finish within the limit and hands over the rest.
func (d *Daemon) drainHost(ctx context.Context) {
	d.events.Record("host-draining", "")
	d.log.Info("draining", "announce", d.settings.Drain.AnnounceDuration.String(), "limit", d.settings.Drain.StreamTimeLimit.String())
	d.drain.announced.Store(true)
	if !d.isOnlyMember() {
		sleep(ctx, d.settings.Drain.AnnounceDuration)
	}
	d.drain.refusingWork.Store(true)
	d.waitForStreams(ctx, d.settings.Drain.StreamTimeLimit)
	if open := d.callerServer.OpenStreams(); open > 0 {
		d.events.Record("host-handover", "")
		d.log.Info("handing streams over", "streams", open)
		close(d.drain.handover)
		d.waitForStreams(ctx, handoverTimeout)
	}
	d.log.Info("drained", "streams", d.callerServer.OpenStreams())
}

// isOnlyMember reports whether the cell has no other host to serve callers.
func (d *Daemon) isOnlyMember() bool { return len(d.tracker.Snapshot().View.Members) <= 1 }

func (d *Daemon) waitForStreams(ctx context.Context, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for d.callerServer.OpenStreams() > 0 && time.Now().Before(deadline) && sleep(ctx, drainPollInterval) {
	}
}

// checkAccepting returns a typed failure if this host accepts no new requests. The failure
// names another host if there is one.
func (d *Daemon) checkAccepting() error {
	since := d.drainRequestedSince(time.Now())
	drained := !since.IsZero() && time.Since(since) >= d.settings.Drain.AnnounceDuration
	if d.drain.refusingWork.Load() || drained && !d.isOnlyMember() {
		refusal := failure.NotRun(failure.Draining, "host %s is draining and accepts no new requests", d.settings.Host.Name)
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

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
