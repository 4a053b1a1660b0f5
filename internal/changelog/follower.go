package changelog

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
)

const (
	// maxRecentEntries and maxRecentBytes bound the entries that are kept in memory for
	// peers and watchers.
	maxRecentEntries = 1000
	maxRecentBytes   = 4 << 20
)

// Follower holds the current configuration and the latest log entries. Entries are
// applied in order without gaps, and the revision never decreases. A Follower is safe for
// concurrent use; Configuration takes no lock.
type Follower struct {
	parse Parser
	conf  atomic.Pointer[entity.Configuration]

	mu            sync.Mutex
	text          string // text of the latest apply change
	recentEntries []entity.Change
	recentSize    int
	watchers      map[*Watcher]struct{}
}

// NewFollower returns a follower at revision 0.
func NewFollower(parse Parser) *Follower {
	f := &Follower{parse: parse, watchers: map[*Watcher]struct{}{}}
	f.conf.Store(&entity.Configuration{})
	return f
}

// Configuration returns the current configuration, which is immutable and never nil.
func (f *Follower) Configuration() *entity.Configuration { return f.conf.Load() }

func (f *Follower) Revision() uint64 { return f.conf.Load().Revision }

// Text returns the service text of the latest apply change.
func (f *Follower) Text() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text
}

// Apply folds the entries that follow the current revision; entries at or below it are
// ignored. It stops with an error at a gap or at an entry that Fold refuses; the entries
// before that stay applied. It returns the resulting revision.
func (f *Follower) Apply(entries ...entity.Change) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range entries {
		conf := f.conf.Load()
		if change.Revision <= conf.Revision {
			continue
		}
		next, err := Fold(conf, change, f.parse)
		if err != nil {
			return conf.Revision, err
		}
		if change.Kind == entity.ChangeApply {
			f.text = change.Text
		}
		f.conf.Store(next)
		f.keepRecent(change)
		for w := range f.watchers {
			w.deliver(change)
		}
	}
	return f.conf.Load().Revision, nil
}

func entrySize(c entity.Change) int { return len(c.Text) + len(c.Reason) + 256 }

func (f *Follower) keepRecent(change entity.Change) {
	f.recentEntries = append(f.recentEntries, change)
	f.recentSize += entrySize(change)
	for len(f.recentEntries) > 1 && (len(f.recentEntries) > maxRecentEntries || f.recentSize > maxRecentBytes) {
		f.recentSize -= entrySize(f.recentEntries[0])
		f.recentEntries[0] = entity.Change{}
		f.recentEntries = f.recentEntries[1:]
	}
}

// Restore replaces the state by a snapshot if its revision is higher than the current one.
func (f *Follower) Restore(s Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Revision <= f.conf.Load().Revision {
		return nil
	}
	conf, err := s.configuration(f.parse)
	if err != nil {
		return err
	}
	f.conf.Store(conf)
	f.text, f.recentEntries, f.recentSize = s.Text, nil, 0
	for w := range f.watchers {
		w.deliverResync(s.Revision)
	}
	return nil
}

// Snapshot returns the current state in its stored form.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return newSnapshot(f.conf.Load(), f.text)
}

// Since returns the entries after the given revision, or false if some of them are no
// longer kept.
func (f *Follower) Since(after uint64) ([]entity.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after >= f.conf.Load().Revision {
		return nil, true
	}
	if len(f.recentEntries) == 0 || f.recentEntries[0].Revision > after+1 {
		return nil, false
	}
	return slices.Clone(f.recentEntries[after+1-f.recentEntries[0].Revision:]), true
}

// Find returns the entry with the given change identifier, or false if none is kept.
func (f *Follower) Find(id string) (entity.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.recentEntries, func(c entity.Change) bool { return c.ID == id })
	if i < 0 {
		return entity.Change{}, false
	}
	return f.recentEntries[i], true
}

// entryAt returns the entry of the revision, or fallback if that entry is no longer kept.
func (f *Follower) entryAt(revision uint64, fallback entity.Change) entity.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.recentEntries, func(c entity.Change) bool { return c.Revision == revision })
	if i < 0 {
		return fallback
	}
	return f.recentEntries[i]
}

// Update is one element of a Watcher's channel.
type Update struct {
	Change entity.Change
	// Resync is set instead of Change if entries were dropped because the watcher was
	// slow. The watcher must then read the entries after revision After itself.
	Resync bool
	After  uint64
}

// Watcher receives new entries. It must be closed after use.
type Watcher struct {
	follower *Follower
	updates  chan Update
}

// Watch returns a watcher whose channel holds up to buffer updates (at least 2).
func (f *Follower) Watch(buffer int) *Watcher {
	w := &Watcher{follower: f, updates: make(chan Update, max(buffer, 2))}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers[w] = struct{}{}
	return w
}

// Updates returns the channel of updates. After a resync it may repeat entries that the
// receiver has already read itself; the receiver must skip them by their revision. Close
// does not close the channel.
func (w *Watcher) Updates() <-chan Update { return w.updates }

// Close stops the delivery of updates.
func (w *Watcher) Close() {
	w.follower.mu.Lock()
	defer w.follower.mu.Unlock()
	delete(w.follower.watchers, w)
}

// deliver sends the change to the watcher without blocking. The last slot of the channel is
// reserved for a resync update, so a full channel always ends with one, and the receiver
// reads the dropped entries after it.
func (w *Watcher) deliver(change entity.Change) {
	if len(w.updates) < cap(w.updates)-1 {
		w.updates <- Update{Change: change}
		return
	}
	w.deliverResync(change.Revision - 1)
}

func (w *Watcher) deliverResync(after uint64) {
	select {
	case w.updates <- Update{Resync: true, After: after}:
	default:
	}
}

// errGap reports that entries of the log are missing.
func errGap(want, got uint64) error {
	return failure.New(failure.Internal, "the log continues with revision %d instead of %d", got, want)
}
