package frontend

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/follow"
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/peer"
)

const (
	// methodChanges is the peer call that fetches changes of a table.
	methodChanges = "table.changes"
	// fetchTimeout bounds a fetch of table changes from another host.
	fetchTimeout = time.Second
	// nextFetchDelay is the time after the start of a fetch from which on another peer is asked
	// too. Most fetches take a few milliseconds.
	nextFetchDelay = 200 * time.Millisecond
	// maxRunningFetches bounds the running fetches of one table.
	maxRunningFetches = 4
	// maxServedFetches bounds the fetches that are served concurrently: after a restart of a
	// large site all peers fetch whole tables.
	maxServedFetches = 4
)

// tableFetches decides from which other hosts a host fetches the changes of one table. It answers
// hosts that do not respond, frozen or behind silent connections: the time that one of them
// takes must not add up with that of the next. It is safe for concurrent use.
type tableFetches struct {
	mu sync.Mutex
	// running holds the start of the running fetches by host.
	running map[string]time.Time
	// announced is the newest revision that another host has announced. behindSince is since
	// when a revision that was newer than the own table's has been known.
	announced   uint64
	behindSince time.Time
}

func newTableFetches() *tableFetches { return &tableFetches{running: make(map[string]time.Time)} }

// begin reports whether a fetch from a host that has newer rows may start now, and records it as
// running if so.
func (f *tableFetches) begin(host string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.running) >= maxRunningFetches {
		return false
	}
	if _, running := f.running[host]; running {
		return false
	}
	for _, startedAt := range f.running {
		if now.Sub(startedAt) < nextFetchDelay {
			return false
		}
	}
	f.running[host] = now
	return true
}

func (f *tableFetches) end(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, host)
}

// recordAnnounced records that another host has announced a newer revision than that of the table.
func (f *tableFetches) recordAnnounced(revision uint64, t *follow.Table, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.behindLocked(t).IsZero() {
		f.behindSince = now
	}
	f.announced = max(f.announced, revision)
}

// behind returns since when another host has had newer rows than the table; zero if none has.
func (f *tableFetches) behind(t *follow.Table) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behindLocked(t)
}

func (f *tableFetches) behindLocked(t *follow.Table) time.Time {
	// A revision that was announced before the store confirmed the table is included in it.
	if _, confirmedAt, _ := t.Status(); confirmedAt.After(f.behindSince) || f.announced <= t.ContentRevision() {
		return time.Time{}
	}
	return f.behindSince
}

type changesQuery struct {
	Table    string `json:"table"`
	Revision uint64 `json:"revision"`
	// Known is false if the calling host holds no revision of the table yet.
	Known bool `json:"known"`
}

func (f *FrontEnd) serveChanges(ctx context.Context, q changesQuery) (follow.Packed, error) {
	select {
	case f.fetchSlots <- struct{}{}:
		defer func() { <-f.fetchSlots }()
	case <-ctx.Done():
		return follow.Packed{}, ctx.Err()
	}
	for _, t := range f.tables() {
		if t.Name() != q.Table {
			continue
		}
		if d, ok := t.Since(q.Revision, time.Now()); ok {
			return follow.Pack(d)
		}
	}
	return follow.Packed{}, errors.New("this host has not loaded the requested table")
}

// fetch starts a fetch of changes of a table from another host, unless enough fetches are running.
func (f *FrontEnd) fetch(t *follow.Table, host string, now time.Time) {
	address, known := f.members.PeerAddress(host)
	fetches := f.fetches[t.Name()]
	if !known || !fetches.begin(host, now) {
		return
	}
	go guard.Run(f.log, "fetch of table changes", func() {
		defer fetches.end(host)
		revision, _, _ := t.Status()
		startedAt := time.Now()
		d, err := f.callForChanges(address, changesQuery{Table: t.Name(), Revision: revision})
		if err != nil {
			f.log.Info("table changes could not be fetched from peer", "peer", address, "table", t.Name(), "held", revision,
				"ms", time.Since(startedAt).Milliseconds(), "error", err.Error())
			return
		}
		t.Merge(d, time.Now())
	})
}

// callForChanges fetches changes from the peer at an address. If the connection was silent, it
// tries again over a new one.
func (f *FrontEnd) callForChanges(address string, query changesQuery) (follow.Delta, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var packed follow.Packed
	err := f.peerClient.Call(ctx, address, methodChanges, query, &packed)
	if errors.Is(err, peer.ErrNoResponse) && ctx.Err() == nil {
		err = f.peerClient.Call(ctx, address, methodChanges, query, &packed)
	}
	if err != nil {
		return follow.Delta{}, err
	}
	return packed.Unpack()
}
