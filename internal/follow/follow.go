// Package follow mirrors tables of the platform's store. A few hosts read the
// store and announce new revisions; the other hosts fetch the rows from them. A host
// becomes a reader itself when no reader has reached the store recently.
package follow

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/guard"
)

// Row is one row of a mirrored table, or its deletion.
type Row struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

// ErrHistoryCompacted reports that the changes since a revision are no longer kept.
var ErrHistoryCompacted = errors.New("the store no longer holds the changes since this revision; read the whole table again")

// Store reads tables of the platform's store.
type Store interface {
	Read(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the changes after a revision, and waits up to the given time for the first.
	// It returns ErrHistoryCompacted if the store no longer holds them.
	Changes(ctx context.Context, table string, since uint64, wait time.Duration) ([]Row, uint64, error)
}

// Snapshot is the content of a table, with the revision of its last change.
type Snapshot struct {
	Rows     map[string]Row
	Revision uint64
	// ChangedAfter is when the store last confirmed the rows of the previous snapshot: what has
	// changed since did so after it. It is zero in the first snapshot.
	ChangedAfter time.Time
}

// maxDeletedRows bounds the deleted rows that are kept for peers with an older revision.
const maxDeletedRows = 4096

// Table is a mirrored table. It is safe for concurrent use.
type Table struct {
	name string
	// onChange is called after the rows have changed, without mu held.
	onChange func(Snapshot)

	// publishMu serializes calls of onChange; publishedRevision is the one of the last call.
	publishMu         sync.Mutex
	publishedRevision uint64

	mu       sync.Mutex
	rows     map[string]Row
	revision uint64
	// contentRevision is the revision of the last change of a row of this table. revision is the
	// store's, which grows with every write to any table.
	contentRevision uint64
	loaded          bool
	confirmedAt     time.Time
	// changedAfter is when the store last confirmed the rows of the last delivered snapshot, set
	// while there are newer rows.
	changedAfter time.Time
	// deletedRows holds deleted rows, so that deltas for peers include the deletions.
	deletedRows map[string]Row
	// oldestDeltaRevision is the oldest revision from which a delta can be computed.
	oldestDeltaRevision uint64
}

// NewTable returns an empty mirror.
func NewTable(name string, onChange func(Snapshot)) *Table {
	return &Table{name: name, onChange: onChange, rows: map[string]Row{}, deletedRows: map[string]Row{}}
}

func (t *Table) Name() string { return t.name }

// Status returns the held revision and when the store last confirmed it; known is false until
// the table was loaded.
func (t *Table) Status() (revision uint64, confirmed time.Time, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.confirmedAt, t.loaded
}

// ContentRevision returns the revision of the last change of a row of this table.
func (t *Table) ContentRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contentRevision
}

// Confirm records that contentRevision was the newest at the given time. It has no effect if
// the held rows are older than that.
func (t *Table) Confirm(contentRevision uint64, confirmedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loaded && contentRevision <= t.contentRevision && confirmedAt.After(t.confirmedAt) {
		t.confirmedAt = confirmedAt
	}
}

// Replace applies a full read. A read older than the held revision is ignored.
func (t *Table) Replace(rows []Row, revision uint64, confirmedAt time.Time) {
	// A full read does not state when rows were deleted; its revision is an upper bound.
	t.replace(rows, revision, revision, confirmedAt)
}

func (t *Table) replace(rows []Row, revision, contentRevision uint64, confirmedAt time.Time) {
	t.mu.Lock()
	if t.loaded && revision < t.revision {
		t.mu.Unlock()
		return
	}
	liveRows := make(map[string]Row, len(rows))
	for _, r := range rows {
		if !r.Deleted {
			liveRows[r.Key] = r
		}
	}
	unchanged := t.loaded && maps.EqualFunc(t.rows, liveRows, func(a, b Row) bool { return a.Revision == b.Revision })
	if !unchanged {
		t.contentRevision = max(t.contentRevision, contentRevision)
	}
	t.rows, t.revision, t.loaded = liveRows, revision, true
	t.deletedRows, t.oldestDeltaRevision = map[string]Row{}, revision
	t.publishAndUnlock(!unchanged, confirmedAt)
}

// Apply applies changes up to a revision. Changes older than the held rows are ignored.
func (t *Table) Apply(rows []Row, revision uint64, confirmedAt time.Time) {
	t.mu.Lock()
	if !t.loaded || revision < t.revision {
		t.mu.Unlock()
		return
	}
	changed := false
	for _, r := range rows {
		held, ok := t.rows[r.Key]
		if ok && held.Revision >= r.Revision || t.deletedRows[r.Key].Revision >= r.Revision {
			continue
		}
		changed = true
		t.contentRevision = max(t.contentRevision, r.Revision)
		if r.Deleted {
			delete(t.rows, r.Key)
			t.deletedRows[r.Key] = r
			continue
		}
		t.rows[r.Key] = r
		delete(t.deletedRows, r.Key)
	}
	t.revision = revision
	if len(t.deletedRows) > maxDeletedRows { // peers with an older revision then get the whole table
		t.deletedRows, t.oldestDeltaRevision = map[string]Row{}, revision
	}
	t.publishAndUnlock(changed, confirmedAt)
}

// publishAndUnlock unlocks the table, which the caller has locked, after the store has confirmed its
// rows, and reports a change.
func (t *Table) publishAndUnlock(changed bool, confirmedAt time.Time) {
	previous := t.confirmedAt
	if confirmedAt.After(previous) {
		t.confirmedAt = confirmedAt
	}
	if !changed {
		t.mu.Unlock()
		return
	}
	if t.changedAfter.IsZero() {
		t.changedAfter = previous
	}
	snapshot := Snapshot{Revision: t.contentRevision, Rows: maps.Clone(t.rows), ChangedAfter: t.changedAfter}
	t.mu.Unlock()
	t.deliver(snapshot)
}

// deliver calls onChange unless it was already called with a newer snapshot. Two sources may
// apply changes concurrently, and a published state must not be replaced by an older one.
func (t *Table) deliver(s Snapshot) {
	t.publishMu.Lock()
	defer t.publishMu.Unlock()
	if t.onChange == nil || s.Revision < t.publishedRevision {
		return
	}
	t.publishedRevision = s.Revision
	t.onChange(s)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.contentRevision == s.Revision {
		t.changedAfter = time.Time{}
	}
}

// Delta holds the changes of a table that one host sends to another.
type Delta struct {
	Rows     []Row  `json:"rows"`
	Revision uint64 `json:"revision"`
	// Content is the revision of the last change of a row.
	Content uint64 `json:"content"`
	// Full is set when Rows is the whole table.
	Full bool `json:"full,omitempty"`
	// Age is the time in milliseconds since the store confirmed the revision.
	Age int64 `json:"age"`
}

// Since returns the changes after a revision, or the whole table if they are no longer known.
// It returns false until the table was loaded.
func (t *Table) Since(revision uint64, now time.Time) (Delta, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded {
		return Delta{}, false
	}
	d := Delta{Revision: t.revision, Content: t.contentRevision, Full: revision < t.oldestDeltaRevision, Age: now.Sub(t.confirmedAt).Milliseconds()}
	for _, r := range t.rows {
		if d.Full || r.Revision > revision {
			d.Rows = append(d.Rows, r)
		}
	}
	if !d.Full {
		for _, r := range t.deletedRows {
			if r.Revision > revision {
				d.Rows = append(d.Rows, r)
			}
		}
	}
	slices.SortFunc(d.Rows, func(a, b Row) int { return int(int64(a.Revision) - int64(b.Revision)) })
	return d, true
}

// Merge applies a delta from another host.
func (t *Table) Merge(d Delta, now time.Time) {
	confirmedAt := now.Add(-time.Duration(d.Age) * time.Millisecond)
	if d.Full {
		t.replace(d.Rows, d.Revision, d.Content, confirmedAt)
	} else {
		t.Apply(d.Rows, d.Revision, confirmedAt)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision >= d.Revision {
		t.contentRevision = max(t.contentRevision, d.Content)
	}
}

const (
	// changeWait is how long the store holds a read open while there are no changes. It bounds
	// the age of a confirmation and the time until a broken connection is detected.
	changeWait = 900 * time.Millisecond
	// readTimeout bounds a read of changes; the store answers within a few milliseconds after
	// the wait.
	readTimeout = changeWait + 600*time.Millisecond
	// fullReadTimeout bounds a read of a whole table.
	fullReadTimeout = 3 * time.Second
	// minRetryPause is the pause after a failed read. It doubles up to maxRetryPause, since the
	// store limits the calls per second.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// readCheckInterval is the interval at which a host that does not read calls ShouldRead again.
	readCheckInterval = 50 * time.Millisecond
)

// Reader keeps a table up to date from the store while ShouldRead returns true.
type Reader struct {
	Table *Table
	Store Store
	// MinReadInterval is the minimum time between the starts of two reads, so that many small
	// changes cost one call.
	MinReadInterval time.Duration
	ShouldRead      func(now time.Time) bool
	Log             logr.Logger
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	storeUnreachable, retryPause := false, minRetryPause
	for ctx.Err() == nil {
		if !r.ShouldRead(time.Now()) {
			sleep(ctx, readCheckInterval)
			continue
		}
		startedAt := time.Now()
		err := errReadPanicked
		guard.Run(r.Log, "read of table "+r.Table.Name(), func() { err = r.read(ctx, startedAt) })
		failed := err != nil && ctx.Err() == nil
		if failed {
			r.Log.Info("read of the store failed", "table", r.Table.Name(), "ms", time.Since(startedAt).Milliseconds(), "error", err.Error())
		}
		if failed != storeUnreachable {
			storeUnreachable = failed
			r.logStoreState(err)
		}
		if err != nil {
			sleep(ctx, retryPause)
			retryPause = min(2*retryPause, maxRetryPause)
			continue
		}
		retryPause = minRetryPause
		sleep(ctx, r.MinReadInterval-time.Since(startedAt))
	}
}

// errReadPanicked is the result of a read that did not return.
var errReadPanicked = errors.New("the rows of the table could not be processed; see the logged panic")

func (r *Reader) logStoreState(err error) {
	if err != nil {
		r.Log.Info("store dependency lost", "table", r.Table.Name(), "error", err.Error())
		return
	}
	r.Log.Info("store dependency regained", "table", r.Table.Name())
}

func (r *Reader) read(ctx context.Context, startedAt time.Time) error {
	revision, _, known := r.Table.Status()
	if known {
		changeCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rows, newest, err := r.Store.Changes(changeCtx, r.Table.Name(), revision, changeWait)
		if err == nil {
			r.Table.Apply(rows, newest, confirmationTime(startedAt, time.Now(), len(rows)))
			return nil
		}
		if !errors.Is(err, ErrHistoryCompacted) {
			return err
		}
	}
	fullCtx, cancel := context.WithTimeout(ctx, fullReadTimeout)
	defer cancel()
	rows, newest, err := r.Store.Read(fullCtx, r.Table.Name())
	if err != nil {
		return err
	}
	r.Table.Replace(rows, newest, startedAt)
	return nil
}

// confirmationTime returns the latest time at which a read that started and ended at the given
// times certainly showed the newest state. A read without changes that the store held for its
// whole time showed the state at the end of that time.
func confirmationTime(startedAt, endedAt time.Time, changes int) time.Time {
	if changes == 0 && endedAt.Sub(startedAt) >= changeWait {
		return startedAt.Add(changeWait)
	}
	return startedAt
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
