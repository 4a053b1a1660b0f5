package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/migration"
)

// streams lists the streams in progress. It is safe for concurrent use.
type streams struct {
	mu  sync.Mutex
	all map[*stream]struct{}
	// moving holds the engines whose streams are being moved.
	moving map[string]bool
}

func newStreams() *streams {
	return &streams{all: make(map[*stream]struct{}), moving: make(map[string]bool)}
}

func (l *streams) add(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[s] = struct{}{}
}

func (l *streams) remove(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, s)
}

// on returns the streams that run on an upstream.
func (l *streams) on(id string) []*stream {
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

// engines returns the upstreams on which streams run.
func (l *streams) engines() []*catalog.Upstream {
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

// claim marks an engine whose streams are being moved; it fails if it is marked already.
func (l *streams) claim(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.moving[id] {
		return false
	}
	l.moving[id] = true
	return true
}

func (l *streams) release(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.moving, id)
}

const (
	// copyTimeout bounds a copy: the largest takes a third of a second, and copies
	// wait for each other on a link.
	copyTimeout = 2500 * time.Millisecond
	// moveOvercommit is the share of an engine's memory up to which runs are moved
	// there. Loads count runs at their expected end, which few reach at the same time,
	// and a run that stays is cut for certain. The engine refuses what does not fit.
	moveOvercommit = 1.3
	// releaseTimeout bounds the release of a copy that is not needed.
	releaseTimeout = time.Second
	// recheckInterval is how often a leaving engine is looked at for further streams.
	recheckInterval = 100 * time.Millisecond
	// roomInterval is the pause after a stream found no room.
	roomInterval = 30 * time.Millisecond
	// leaveHorizon is how long a leaving engine's streams are looked after.
	leaveHorizon = 6 * time.Second
)

// moveStreams starts moving the streams of engines that have begun to leave.
func (g *Gateway) moveStreams(c *catalog.Catalog) {
	if c.Configuration == nil || g.Plain {
		return
	}
	for _, u := range c.Upstreams {
		service := c.Configuration.Service(u.Service)
		if !u.Leaving() || service == nil || service.Engine == nil || !service.Engine.SupportsMigration {
			continue
		}
		if len(g.streams.on(u.ID)) > 0 && g.streams.claim(u.ID) {
			go g.moveAway(u, service)
		}
	}
}

// moveAway moves the streams of a leaving engine, one after the other: copies
// share the engine's link, and a stream pauses for as long as its last copy waits.
func (g *Gateway) moveAway(u *catalog.Upstream, service *catalog.Service) {
	defer g.streams.release(u.ID)
	until := time.Now().Add(leaveHorizon)
	given := make(map[*stream]bool)
	for time.Now().Before(until) {
		s, worth := g.nextToMove(u, service, given)
		if s == nil {
			if len(g.streams.on(u.ID)) == 0 {
				return
			}
			time.Sleep(recheckInterval)
			continue
		}
		if g.move(s, u, service, worth) {
			given[s] = true
		} else {
			time.Sleep(roomInterval)
		}
	}
}

// nextToMove returns the stream that is moved next, or nil.
func (g *Gateway) nextToMove(u *catalog.Upstream, service *catalog.Service, given map[*stream]bool) (*stream, float64) {
	var open []*stream
	var runs []migration.Run
	for _, s := range g.streams.on(u.ID) {
		_, events, _ := s.progress()
		if given[s] || events == 0 {
			continue
		}
		c := s.call
		produced := events * service.Engine.TokensPerEvent
		open = append(open, s)
		runs = append(runs, migration.Run{
			PromptTokens: c.info.PromptTokens, ProducedTokens: produced,
			ExpectedTokens: max(c.outputTokens(), produced),
		})
	}
	next := migration.Next(runs)
	if next < 0 {
		return nil, 0
	}
	return open[next], runs[next].ValuePerToken()
}

// move copies a stream's run to another engine while it goes on, then stops it,
// copies the rest and lets the stream go on there.
// It returns false if there is no room now.
func (g *Gateway) move(s *stream, source *catalog.Upstream, service *catalog.Service, worth float64) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(s.call.ctx, copyTimeout)
	defer cancel()
	rooms := g.rooms(s, source, service)
	if len(rooms) == 0 {
		if !s.crowded { // it is tried again many times a second
			s.crowded = true
			g.noteMove(s, source, nil, began, "no engine has room")
		}
		return false
	}
	turn, release, ok := g.Turns.Acquire(ctx, source.DataCentre, migration.CopyRequest{
		Run: s.call.info.ID, Source: source.ID, Tokens: s.call.tokens(), Value: worth, Destinations: rooms,
	})
	if !ok {
		g.noteMove(s, source, nil, began, "no turn in time")
		return false
	}
	defer release()
	target := g.Catalog().Upstreams[turn.Destination]
	if target == nil {
		g.noteMove(s, source, nil, began, "the destination is gone")
		return false
	}
	turned := time.Now()
	work := balance.Load{Requests: 1, Tokens: s.call.tokens()}
	g.Loads.AddLoad(target.ID, work)
	defer g.Loads.RemoveLoad(target.ID, work)
	run := s.call.info.ID
	if _, _, running := s.progress(); !running {
		g.noteMove(s, source, target, began, "the run ended before its turn")
		return true
	}
	first, err := g.Engines.Copy(ctx, source.Address, run, target.Address, false)
	if err != nil {
		g.noteMove(s, source, target, began, "first copy failed: "+err.Error())
		if errors.Is(err, ErrNoRoom) {
			s.full = append(s.full, target.ID)
			return false
		}
		return true
	}
	copied := time.Now()
	h := s.beginHandoff(source)
	if h == nil {
		g.noteMove(s, source, target, began, "the run ended during the copy")
		g.releaseCopy(source, first.Handle)
		return true
	}
	last, err := g.Engines.Copy(ctx, source.Address, run, target.Address, true)
	if errors.Is(err, ErrNotStopped) {
		s.abandonHandoff(h)
		g.noteMove(s, source, target, began, "last copy failed: "+err.Error())
		return false
	}
	switch {
	case err == nil:
		h.target, h.copy = target, g.Engines.CopyName(source.Address, last.Handle)
	case last.Handle != "": // stopped, but not copied: the source still holds the memory
		h.target, h.copy = source, g.Engines.CopyName(source.Address, last.Handle)
	}
	close(h.done)
	reason := "moved"
	if err != nil {
		reason = "last copy failed: " + err.Error()
	}
	g.Metrics.Move(reason == "moved", copied.Sub(turned), time.Since(copied))
	g.noteMove(s, source, target, began, reason)
	return true
}

// releaseCopy frees a copy that is not needed; a copy that can not be freed lapses.
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

func (g *Gateway) noteMove(s *stream, source, target *catalog.Upstream, began time.Time, outcome string) {
	fields := []any{"request", s.call.info.ID, "source", source.ID, "ms", time.Since(began).Milliseconds(), "outcome", outcome}
	if target != nil {
		fields = append(fields, "destination", target.ID)
	}
	g.Log.Info("stream move", fields...)
}

// rooms returns the engines with room for the run, the least loaded first: those of
// this host's cell, else those of the source's data centre, and those of others only if
// that has none. A copy to another data centre takes twice as long.
func (g *Gateway) rooms(s *stream, source *catalog.Upstream, service *catalog.Service) []migration.Destination {
	cat := g.Catalog()
	ownCell, divided := g.Cell()
	var own, near, far []string
	for _, u := range cat.UpstreamsOfService(source.Service) {
		if u.ID == source.ID || !cat.Usable(u) || u.Expired || slices.Contains(s.full, u.ID) {
			continue
		}
		switch {
		case u.DataCentre != source.DataCentre:
			far = append(far, u.ID)
		case divided && ownCell(u.DataCentre, u.ID):
			own = append(own, u.ID)
		default:
			near = append(near, u.ID)
		}
	}
	for _, ids := range [][]string{own, near, far} {
		if rooms := g.roomsAt(ids, s, cat, service); len(rooms) > 0 {
			return rooms
		}
	}
	return nil
}

func (g *Gateway) roomsAt(ids []string, s *stream, cat *catalog.Catalog, service *catalog.Service) []migration.Destination {
	var out []migration.Destination
	for i, v := range g.Loads.Views(ids, time.Now()) {
		c := g.candidate(cat.Upstreams[ids[i]], service, v)
		free := int(moveOvercommit*float64(c.MemoryTokens)) - c.Load.Tokens
		if !c.Avoid && c.Load.Requests < c.Slots && free >= s.call.tokens() {
			out = append(out, migration.Destination{Engine: ids[i], FreeTokens: free})
		}
	}
	slices.SortFunc(out, func(a, b migration.Destination) int { return b.FreeTokens - a.FreeTokens })
	return out
}
