package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/hop"
	"github.com/rattanscale/rattanscale/internal/migration"
)

// streamSet holds the streams in progress. It is safe for concurrent use.
type streamSet struct {
	mu  sync.Mutex
	all map[*stream]struct{}
	// migratingEngines holds the engines whose streams are being migrated.
	migratingEngines map[string]bool
}

func newStreamSet() *streamSet {
	return &streamSet{all: make(map[*stream]struct{}), migratingEngines: make(map[string]bool)}
}

func (l *streamSet) add(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[s] = struct{}{}
}

func (l *streamSet) remove(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, s)
}

// runningOn returns the streams on an upstream that can be migrated.
func (l *streamSet) runningOn(id string) []*stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*stream
	for s := range l.all {
		if u, _, running := s.progress(); running && u.ID == id {
			out = append(out, s)
		}
	}
	return out
}

// enginesInUse returns the upstreams on which streams are running.
func (l *streamSet) enginesInUse() []*catalog.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := make(map[string]*catalog.Upstream)
	for s := range l.all {
		if u, _, running := s.progress(); running {
			byID[u.ID] = u
		}
	}
	return slices.Collect(maps.Values(byID))
}

// claimEngine marks an engine as migrating; it returns false if it is marked already.
func (l *streamSet) claimEngine(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.migratingEngines[id] {
		return false
	}
	l.migratingEngines[id] = true
	return true
}

func (l *streamSet) releaseEngine(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.migratingEngines, id)
}

const (
	// migrationTimeout limits a migration, including the wait for the link. The largest copy
	// takes a third of a second, and copies on the same link wait for each other.
	migrationTimeout = 2500 * time.Millisecond
	// migrationOvercommit is the share of an engine's memory up to which streams are
	// migrated to it. Loads count generations at their expected final size, which few
	// reach at the same time, and a stream that stays on a leaving engine is certainly
	// lost. The destination refuses what does not fit.
	migrationOvercommit = 1.3
	// releaseTimeout limits the release of an unused copy.
	releaseTimeout = time.Second
	// recheckInterval is the time between two checks of a leaving engine for further
	// streams.
	recheckInterval = 100 * time.Millisecond
	// migrationRetryInterval is the pause after a failed migration that is tried again.
	migrationRetryInterval = 30 * time.Millisecond
	// migrationPeriod is how long streams of a leaving engine are migrated.
	migrationPeriod = 6 * time.Second
)

// startMigrations starts migrating the streams of engines that are leaving.
func (g *Gateway) startMigrations(c *catalog.Catalog) {
	if c.Configuration == nil || g.PlainPolicy {
		return
	}
	for _, u := range c.Upstreams {
		service := c.Configuration.Service(u.Service)
		if !u.Leaving() || service == nil || service.Engine == nil || !service.Engine.SupportsMigration {
			continue
		}
		if len(g.streams.runningOn(u.ID)) > 0 && g.streams.claimEngine(u.ID) {
			go guard.Run(g.Log, "migration of streams", func() { g.migrateStreams(u, service) })
		}
	}
}

// migrateStreams migrates the streams of a leaving engine one after another: copies
// share the engine's link, and a stream pauses while its final copy waits.
func (g *Gateway) migrateStreams(u *catalog.Upstream, service *catalog.Service) {
	defer g.streams.releaseEngine(u.ID)
	end := time.Now().Add(migrationPeriod)
	handled := make(map[*stream]bool)
	for time.Now().Before(end) {
		s, value := g.nextToMigrate(u, service, handled)
		if s == nil {
			if len(g.streams.runningOn(u.ID)) == 0 {
				return
			}
			time.Sleep(recheckInterval)
			continue
		}
		if err := g.migrate(s, u, service, value); err == nil || !isRetriable(err) {
			handled[s] = true
		} else {
			time.Sleep(migrationRetryInterval)
		}
	}
}

// nextToMigrate returns the stream to migrate next and its value for each copied token, or nil if
// no stream can be migrated.
func (g *Gateway) nextToMigrate(u *catalog.Upstream, service *catalog.Service, handled map[*stream]bool) (*stream, float64) {
	var candidates []*stream
	var generations []migration.Generation
	for _, s := range g.streams.runningOn(u.ID) {
		_, events, _ := s.progress()
		if handled[s] || events == 0 {
			continue
		}
		candidates = append(candidates, s)
		generations = append(generations, s.generation(service))
	}
	next := migration.NextToMigrate(generations)
	if next < 0 {
		return nil, 0
	}
	return candidates[next], generations[next].ValuePerToken()
}

// The reasons for which a migration does not take place, besides those of Engines.Copy.
var (
	errNoDestination   = errors.New("no engine has room")
	errMigrating       = errors.New("another migration of the stream is in progress")
	errNoGrant         = errors.New("no copy grant in time")
	errDestinationGone = errors.New("the destination is gone")
	errRunEnded        = errors.New("the run ended")
	errFirstCopy       = errors.New("first copy failed")
)

// isRetriable reports whether a migration that failed should be tried again, for example because no
// engine had room.
func isRetriable(err error) bool {
	if errors.Is(err, errFirstCopy) {
		return errors.Is(err, ErrNoRoom)
	}
	return errors.Is(err, errMigrating) || errors.Is(err, errNoDestination) || errors.Is(err, errNoGrant) || errors.Is(err, errDestinationGone) || errors.Is(err, ErrRunNotStopped)
}

// migrate copies the memory of a running stream to another engine, stops the stream,
// copies the memory that was added in the meantime and continues the stream there. Without an
// error the run was stopped and the stream continues.
func (g *Gateway) migrate(s *stream, source *catalog.Upstream, service *catalog.Service, value float64) error {
	if !s.migrating.TryLock() {
		return errMigrating
	}
	defer s.migrating.Unlock()
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(s.call.ctx, migrationTimeout)
	defer cancel()
	destination, err := g.tryMigration(ctx, s, source, service, value)
	if errors.Is(err, errNoDestination) {
		if s.noRoomLogged { // logged once, since it is tried again many times a second
			return err
		}
		s.noRoomLogged = true
	}
	outcome := "moved"
	if err != nil {
		outcome = err.Error()
	}
	g.logMigration(s, source, destination, startedAt, outcome)
	return err
}

func (g *Gateway) tryMigration(ctx context.Context, s *stream, source *catalog.Upstream, service *catalog.Service, value float64) (*catalog.Upstream, error) {
	destinations := g.destinations(s, source, service)
	if len(destinations) == 0 {
		return nil, errNoDestination
	}
	run := s.call.info.ID
	grant, release, ok := g.CopyScheduler.Acquire(ctx, source.DataCentre, migration.CopyRequest{
		Run: run, Source: source.ID, Tokens: s.call.expectedMemoryTokens(), Value: value, Destinations: destinations,
	})
	if !ok {
		return nil, errNoGrant
	}
	defer release()
	destination := g.Catalog().Upstreams[grant.Destination]
	if destination == nil {
		return nil, errDestinationGone
	}
	grantedAt := time.Now()
	load := balance.Load{Requests: 1, Tokens: s.call.expectedMemoryTokens()}
	g.LoadTracker.AddLoad(destination.ID, load)
	defer g.LoadTracker.RemoveLoad(destination.ID, load)
	if _, _, running := s.progress(); !running {
		return destination, fmt.Errorf("%w before its copy could start", errRunEnded)
	}
	firstCopy, err := g.Engines.Copy(ctx, source.Address, run, destination.Address, false)
	if err != nil {
		if errors.Is(err, ErrNoRoom) {
			s.fullEngines = append(s.fullEngines, destination.ID)
		}
		return destination, fmt.Errorf("%w: %w", errFirstCopy, err)
	}
	firstCopyDone := time.Now()
	m := s.beginMigration(source)
	if m == nil {
		g.releaseCopy(source, firstCopy.Handle)
		return destination, fmt.Errorf("%w during the copy", errRunEnded)
	}
	finalCopy, certain, err := g.finalCopy(s, source, destination)
	if certain && (errors.Is(err, ErrRunNotStopped) || isNotSent(err)) {
		s.cancelMigration(m)
		return destination, fmt.Errorf("final copy failed: %w", err)
	}
	switch {
	case err == nil:
		m.destination, m.copy = destination, g.Engines.CopyName(source.Address, finalCopy.Handle)
	case finalCopy.Handle != "": // stopped but not copied: the source still holds the memory
		m.destination, m.copy = source, g.Engines.CopyName(source.Address, finalCopy.Handle)
	case !certain:
		// If the stream ends, the run was stopped or is complete; without framing that looks the
		// same. In both cases the first copy yields the events that are missing.
		m.destination, m.copy = destination, g.Engines.CopyName(source.Address, firstCopy.Handle)
	}
	close(m.done)
	g.Metrics.RecordMigration(err == nil, firstCopyDone.Sub(grantedAt), time.Since(firstCopyDone))
	if err != nil {
		return destination, fmt.Errorf("final copy failed: %w", err)
	}
	return destination, nil
}

// finalCopy stops a run with its final copy. certain is false if an answer was lost, so that the run
// may have been stopped whatever the error is. The call is then made once more.
func (g *Gateway) finalCopy(s *stream, source, destination *catalog.Upstream) (copied CopyResult, certain bool, err error) {
	call := func() error {
		ctx, cancel := context.WithTimeout(s.call.ctx, stopCallTimeout)
		defer cancel()
		copied, err = g.Engines.Copy(ctx, source.Address, s.call.info.ID, destination.Address, true)
		return err
	}
	var failed *hop.Error
	if !errors.As(call(), &failed) || failed.Progress == hop.NotSent {
		return copied, true, err
	}
	_ = call()
	return copied, false, err
}

// releaseCopy frees an unused copy. The source drops a copy that is not freed after some
// time.
func (g *Gateway) releaseCopy(source *catalog.Upstream, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := g.Engines.Release(ctx, source.Address, handle); err != nil {
		g.Log.V(1).Info("copy was not released", "upstream", source.ID, "error", err.Error())
	}
}

func (g *Gateway) logMigration(s *stream, source, destination *catalog.Upstream, startedAt time.Time, outcome string) {
	fields := []any{"request", s.call.info.ID, "source", source.ID, "ms", time.Since(startedAt).Milliseconds(), "outcome", outcome}
	if destination != nil {
		fields = append(fields, "destination", destination.ID)
	}
	g.Log.Info("stream move", fields...)
}

// destinations returns the engines with room for the stream, the one with the most free
// memory first. It prefers engines of this host's cell, then those in the data centre of
// the source, then those in other data centres, where a copy takes twice as long, and last one
// that limits its requests, if this host's share of the limit allows it.
func (g *Gateway) destinations(s *stream, source *catalog.Upstream, service *catalog.Service) []migration.Destination {
	cat, now := g.Catalog(), time.Now()
	inOwnCell, divided := g.Cell()
	var inCell, inDataCentre, elsewhere, limited []string
	for _, u := range cat.UpstreamsOfService(source.Service) {
		if u.ID == source.ID || !g.mayReceive(cat, u, now) || u.Expired || slices.Contains(s.fullEngines, u.ID) {
			continue
		}
		switch {
		case g.limits.Limited(limitedUpstream(u), now):
			limited = append(limited, u.ID)
		case u.DataCentre != source.DataCentre:
			elsewhere = append(elsewhere, u.ID)
		case divided && inOwnCell(u.DataCentre, u.ID):
			inCell = append(inCell, u.ID)
		default:
			inDataCentre = append(inDataCentre, u.ID)
		}
	}
	for _, ids := range [][]string{inCell, inDataCentre, elsewhere} {
		if found := g.destinationsAmong(ids, s, cat, service); len(found) > 0 {
			return found
		}
	}
	for _, d := range g.destinationsAmong(limited, s, cat, service) {
		if g.takeFromLimit(cat.Upstreams[d.Engine], now) {
			return []migration.Destination{d}
		}
	}
	return nil
}

// destinationsAmong returns the given engines that have room for the stream, the one
// with the most free memory first. If their speeds are known, the one that is expected to serve
// the rest of the stream best comes first.
func (g *Gateway) destinationsAmong(ids []string, s *stream, cat *catalog.Catalog, service *catalog.Service) []migration.Destination {
	var out []migration.Destination
	costs, demand, speedsKnown := make(map[string]float64), s.call.remainingDemand(s), false
	for i, v := range g.LoadTracker.Views(ids, time.Now()) {
		c := g.newCandidate(cat.Upstreams[ids[i]], service, v)
		free := int(migrationOvercommit*float64(c.MemoryTokens)) - c.Load.Tokens
		if !c.Avoid && c.Load.Requests < c.Slots && free >= s.call.expectedMemoryTokens() {
			out = append(out, migration.Destination{Engine: ids[i], FreeTokens: free})
			costs[ids[i]], speedsKnown = c.Cost(demand), speedsKnown || c.Speed.Known()
		}
	}
	slices.SortFunc(out, func(a, b migration.Destination) int {
		if speedsKnown {
			return cmp.Compare(costs[a.Engine], costs[b.Engine])
		}
		return b.FreeTokens - a.FreeTokens
	})
	return out
}
