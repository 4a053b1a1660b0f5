package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/hop"
)

const (
	// stopCallTimeout bounds a call that stops a run; the copy that it includes takes a third of a
	// second at most.
	stopCallTimeout = 1200 * time.Millisecond
	// maxStopCalls is the number of calls after which a run that was not stopped is given up, and
	// stopCallPause the time between them.
	maxStopCalls  = 3
	stopCallPause = 100 * time.Millisecond
)

// errRunMayGoOn reports that a stream has broken and that its engine may still work on it.
var errRunMayGoOn = errors.New("the engine did not stop the run; the stream does not continue elsewhere")

// stopLostRun stops the run of a stream whose connection has broken: many engines go on with it. It
// returns how the stream continues from the memory of the run, nil if the engine has no such run
// or cannot be reached, and errRunMayGoOn if the engine may still work on it. Of engines that do
// not copy runs nothing is known; most of them drop a request with its connection.
func (g *Gateway) stopLostRun(ctx context.Context, s *stream, source *catalog.Upstream) (*streamMigration, error) {
	service := g.Catalog().Configuration.Service(source.Service)
	if g.PlainPolicy || service == nil || service.Engine == nil || !service.Engine.SupportsMigration {
		return nil, nil
	}
	destination := g.anyDestination(s, source, service)
	if destination == nil {
		if g.Pool.Reach(ctx, source.Address) != nil {
			return nil, nil
		}
		return nil, errRunMayGoOn
	}
	for range maxStopCalls {
		if g.Pool.Reach(ctx, source.Address) != nil {
			return nil, nil
		}
		callCtx, cancel := context.WithTimeout(ctx, stopCallTimeout)
		copied, err := g.Engines.Copy(callCtx, source.Address, s.call.info.ID, destination.Address, true)
		cancel()
		m := &streamMigration{source: source, copy: g.Engines.CopyName(source.Address, copied.Handle)}
		switch {
		case err == nil:
			m.destination = destination
			return m, nil
		case copied.Handle != "": // stopped but not copied: the source still holds the memory
			m.destination = source
			return m, nil
		case errors.Is(err, ErrNoSuchRun):
			return nil, nil
		}
		g.Log.Info("run of a broken stream was not stopped", "request", s.call.info.ID, "upstream", source.ID, "error", err.Error())
		if !sleep(ctx, stopCallPause) {
			break
		}
	}
	return nil, errRunMayGoOn
}

// isNotSent reports whether no byte of the request was sent.
func isNotSent(err error) bool {
	var failed *hop.Error
	return errors.As(err, &failed) && failed.Progress == hop.NotSent
}

// anyDestination returns the engine to which a run is copied when it must be stopped, preferably one
// with room.
func (g *Gateway) anyDestination(s *stream, source *catalog.Upstream, service *catalog.Service) *catalog.Upstream {
	cat := g.Catalog()
	if found := g.destinations(s, source, service); len(found) > 0 {
		return cat.Upstreams[found[0].Engine]
	}
	for _, u := range cat.UpstreamsOfService(source.Service) {
		if u.ID != source.ID && g.mayReceive(cat, u, time.Now()) {
			return u
		}
	}
	return nil
}

// sleep waits and returns false if ctx ended before.
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
