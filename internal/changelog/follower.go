package changelog

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
)

const (
	// maxRecentEntries and recentBytes bound the entries kept for peers and watchers.
	maxRecentEntries = 1000
	maxRecentBytes   = 4 << 20
)

// Follower holds the current configuration and the latest log entries. The
// revision never goes back and never skips an entry. A Follower is safe for
// concurrent use; Configuration takes no lock.
type Follower struct {
	parse Parser
	conf  atomic.Pointer[entity.Configuration]

	mu         sync.Mutex
	text       string // text of the latest apply change
	recent     []entity.Change
	recentSize int
	watchers   map[*Watcher]struct{}
}

// NewFollower returns a follower at revision 0.
func NewFollower(parse Parser) *Follower {
	f := &Follower{parse: parse, watchers: map[*Watcher]struct{}{}}
	f.conf.Store(&entity.Configuration{})
	return f
}

// Configuration returns the current configuration, which is immutable and never nil.
func (f *Follower) Configuration() *entity.Configuration { return f.conf.Load() }

// Revision returns the current revision.
func (f *Follower) Revision() uint64 { return f.conf.Load().Revision }

// Text returns the service text of the latest apply change.
func (f *Follower) Text() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text
}

// Apply folds the entries that follow the current revision; entries at or below
// it are ignored. It stops with an error at a gap or at an entry that cannot be
// folded; the entries before remain applied. It returns the current revision.
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
	f.recent = append(f.recent, change)
	f.recentSize += entrySize(change)
	for len(f.recent) > 1 && (len(f.recent) > maxRecentEntries || f.recentSize > maxRecentBytes) {
		f.recentSize -= entrySize(f.recent[0])
		f.recent[0] = entity.Change{}
		f.recent = f.recent[1:]
	}
}

// Restore takes over a snapshot whose revision is higher than the current one.
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
	f.text, f.recent, f.recentSize = s.Text, nil, 0
	for w := range f.watchers {
		w.resync(s.Revision)
	}
	return nil
}

// Snapshot returns the current state in the form that is stored.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return newSnapshot(f.conf.Load(), f.text)
}

// Since returns the entries after the given revision, or false when they are no
// longer all kept.
func (f *Follower) Since(after uint64) ([]entity.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after >= f.conf.Load().Revision {
		return nil, true
	}
	if len(f.recent) == 0 || f.recent[0].Revision > after+1 {
		return nil, false
	}
	return slices.Clone(f.recent[after+1-f.recent[0].Revision:]), true
}

// Find returns the kept entry with the given change identifier.
func (f *Follower) Find(id string) (entity.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.recent, func(c entity.Change) bool { return c.ID == id })
	if i < 0 {
		return entity.Change{}, false
	}
	return f.recent[i], true
}

// entryAt returns the kept entry of the revision, or the given one when it is no longer kept.
func (f *Follower) entryAt(revision uint64, fallback entity.Change) entity.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.recent, func(c entity.Change) bool { return c.Revision == revision })
	if i < 0 {
		return fallback
	}
	return f.recent[i]
}

// Update is one element of a Watcher's channel.
type Update struct {
	Change entity.Change
	// Resync is set instead of Change when entries were left out because the
	// watcher was slow: it must read the entries after this revision itself.
	Resync bool
	After  uint64
}

// Watcher receives new entries. Its user calls Close when it is done.
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

// Updates returns the channel of updates. After a resync it may repeat entries
// that the watcher has read itself; their revision tells. Close does not close it.
func (w *Watcher) Updates() <-chan Update { return w.updates }

// Close ends the delivery.
func (w *Watcher) Close() {
	w.follower.mu.Lock()
	defer w.follower.mu.Unlock()
	delete(w.follower.watchers, w)
}

// deliver never blocks. The last place of the channel only takes a resync signal,
// so a full channel always ends with one, and what is dropped is read after it.
func (w *Watcher) deliver(change entity.Change) {
	if len(w.updates) < cap(w.updates)-1 {
		w.updates <- Update{Change: change}
		return
	}
	w.resync(change.Revision - 1)
}

func (w *Watcher) resync(after uint64) {
	select {
	case w.updates <- Update{Resync: true, After: after}:
	default:
	}
}

// errGap reports that entries of the log are missing.
func errGap(want, got uint64) error {
	return failure.New(failure.Internal, "the log continues with revision %d instead of %d", got, want)
}
