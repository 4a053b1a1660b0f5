package changelog

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/storage"
)

const (
	// maxInlineBytes is the encoded size in bytes above which the text is put into the object
	// store. Table services limit an item to 400 KB; the difference is a safety margin.
	maxInlineBytes = 300 << 10
	// maxHeadInlineBytes is the encoded size in bytes up to which the head row contains the
	// latest entry with its text, so that pollers need no second read for a small change.
	maxHeadInlineBytes = 2 << 10
	// snapshotInterval is the number of revisions between two snapshots.
	snapshotInterval = 100
	// maxCommitTries bounds the tries of a commit that loses races.
	maxCommitTries = 8
	readPageSize   = 100

	retryMinInterval = 5 * time.Millisecond
	retryMaxInterval = 200 * time.Millisecond
	snapshotTimeout  = 2 * time.Second
)

const (
	logPartition   = "changelog"
	statePartition = "changelog-state"
)

var (
	// HeadKey is the key of the head row. A transaction on other rows can check the
	// version of this row to ensure that the head has not changed.
	HeadKey     = storage.Key{Partition: statePartition, Sort: "head"}
	snapshotKey = storage.Key{Partition: statePartition, Sort: "snapshot"}
)

func entryKey(revision uint64) storage.Key {
	return storage.Key{Partition: logPartition, Sort: fmt.Sprintf("%020d", revision)}
}

// storedEntry is an entry in its stored form: the text is inline or in the object TextObject.
type storedEntry struct {
	entity.Change
	TextObject string `json:"text_object,omitempty"`
}

// Head is the content of the head row: the latest revision and its entry.
type Head struct {
	Revision uint64 `json:"revision"`
	// Latest is the entry of Revision; it lacks its text if Complete is false.
	Latest   entity.Change `json:"latest"`
	Complete bool          `json:"complete"`
	// Version is the version of the row, or 0 if the row does not exist.
	Version uint64 `json:"-"`
}

// Guard returns writes, usually condition checks, that are added to the transaction of a
// commit. It is called again for each try.
type Guard func(ctx context.Context) ([]storage.Write, error)

// Log is the ordered log of changes in the table service. It is safe for concurrent use
// and needs no closing.
type Log struct {
	table    storage.Table
	objects  storage.ObjectStore
	follower *Follower
}

// NewLog returns the log in the given table. The follower provides the configuration
// against which changes are checked; Load, CatchUp, CatchUpTo, Poll and Commit advance it.
// If objects is nil, texts that do not fit into a row are refused.
func NewLog(table storage.Table, objects storage.ObjectStore, follower *Follower) *Log {
	return &Log{table: table, objects: objects, follower: follower}
}

// Follower returns the follower that the log advances.
func (l *Log) Follower() *Follower { return l.follower }

// Head reads the head row. An empty log has revision 0.
func (l *Log) Head(ctx context.Context) (Head, error) {
	item, err := l.table.Get(ctx, HeadKey)
	if errors.Is(err, storage.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, unavailable(err)
	}
	var head Head
	if err := json.Unmarshal(item.Value, &head); err != nil {
		return Head{}, failure.New(failure.Internal, "head row: %v", err)
	}
	head.Version = item.Version
	return head, nil
}

func unavailable(err error) error {
	return failure.NotRun(failure.StoreUnavailable, "table service: %v", err)
}

// Read returns up to limit entries after the given revision, in order and without gaps.
func (l *Log) Read(ctx context.Context, after uint64, limit int) ([]entity.Change, error) {
	items, err := l.table.Query(ctx, logPartition, entryKey(after).Sort, limit)
	if err != nil {
		return nil, unavailable(err)
	}
	changes := make([]entity.Change, 0, len(items))
	for i, item := range items {
		change, err := l.decode(ctx, item.Value)
		if err != nil {
			return changes, err
		}
		if want := after + 1 + uint64(i); change.Revision != want {
			return changes, errGap(want, change.Revision)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func (l *Log) decode(ctx context.Context, value []byte) (entity.Change, error) {
	var s storedEntry
	if err := json.Unmarshal(value, &s); err != nil {
		return entity.Change{}, failure.New(failure.Internal, "log entry: %v", err)
	}
	text, err := l.fetchText(ctx, s.Text, s.TextObject)
	s.Text = text
	return s.Change, err
}

func (l *Log) fetchText(ctx context.Context, inline, object string) (string, error) {
	if object == "" {
		return inline, nil
	}
	if l.objects == nil {
		return "", failure.New(failure.StoreUnavailable, "the service text is in object %s, but no object store is configured", object)
	}
	body, err := l.objects.Get(ctx, object)
	if err != nil {
		return "", failure.NotRun(failure.StoreUnavailable, "object store: %v", err)
	}
	if objectName(string(body)) != object {
		return "", failure.New(failure.Internal, "the content of object %s does not match the hash in its name", object)
	}
	return string(body), nil
}

func objectName(text string) string {
	sum := sha256.Sum256([]byte(text))
	return "service-text/" + hex.EncodeToString(sum[:])
}

// storeText writes a text to the object store and returns the object's name, which
// contains the hash of the text.
func (l *Log) storeText(ctx context.Context, text string) (string, error) {
	if l.objects == nil {
		return "", failure.NotRun(failure.StoreUnavailable, "a service text over %d bytes needs an object store, but none is configured", maxInlineBytes)
	}
	name := objectName(text)
	if err := l.objects.Put(ctx, name, []byte(text)); err != nil {
		return "", failure.NotRun(failure.StoreUnavailable, "object store: %v", err)
	}
	return name, nil
}

// Load advances the follower to the head. It restores the snapshot if that is ahead of
// the follower and then applies the later entries.
func (l *Log) Load(ctx context.Context) error {
	item, err := l.table.Get(ctx, snapshotKey)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return unavailable(err)
	}
	if err == nil {
		// If the snapshot cannot be used, the whole log is read.
		var s Snapshot
		if json.Unmarshal(item.Value, &s) == nil {
			if s.Text, err = l.fetchText(ctx, s.Text, s.TextObject); err == nil {
				_ = l.follower.Restore(s)
			}
		}
	}
	return l.CatchUp(ctx)
}

// CatchUp applies all entries after the follower's revision.
func (l *Log) CatchUp(ctx context.Context) error {
	for {
		changes, err := l.Read(ctx, l.follower.Revision(), readPageSize)
		if _, applyErr := l.follower.Apply(changes...); err == nil {
			err = applyErr
		}
		if err != nil || len(changes) < readPageSize {
			return err
		}
	}
}

// CatchUpTo advances the follower to the given head.
func (l *Log) CatchUpTo(ctx context.Context, head Head) error {
	if head.Complete && l.follower.Revision()+1 == head.Revision {
		_, err := l.follower.Apply(head.Latest)
		return err
	}
	if l.follower.Revision() < head.Revision {
		return l.CatchUp(ctx)
	}
	return nil
}

// Poll reads the head and applies new entries. If the entries cannot be read, it returns
// the head together with the error.
func (l *Log) Poll(ctx context.Context) (Head, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return head, err
	}
	return head, l.CatchUpTo(ctx, head)
}

// Commit appends the change and returns its revision. expectedRevision is the revision
// that the change is based on, or 0 for the current one. A change that is not valid, or
// whose expected revision is outdated, is refused with a typed failure; a conflict names
// the change that was committed instead. If expectedRevision is 0, a commit that loses a
// race is retried while the change is still valid. A change whose identifier is already in
// the log is not written again. After OutcomeUnknown the caller must look for the change
// identifier in the log.
func (l *Log) Commit(ctx context.Context, expectedRevision uint64, change entity.Change, guards ...Guard) (uint64, error) {
	if change.ID == "" {
		return 0, failure.NotRun(failure.InvalidRequest, "the change has no identifier")
	}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = retryMinInterval, retryMaxInterval
	pending := pendingCommit{log: l, change: change, expectedRevision: expectedRevision, guards: guards}
	for range maxCommitTries {
		revision, err := pending.try(ctx)
		if !errors.Is(err, errLostRace) {
			return revision, pending.finalError(err)
		}
		select {
		case <-ctx.Done():
			return 0, pending.finalError(failure.NotRun(failure.DeadlineExceeded, "change %s: %v", change.ID, ctx.Err()))
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
	if pending.winner.ID == "" {
		return 0, pending.finalError(failure.NotRun(failure.Conflict, "change %s: the members of the cell changed at each try to commit", change.ID))
	}
	return 0, pending.finalError(conflict(change, pending.winner))
}

func conflict(change, winner entity.Change) error {
	return failure.NotRun(failure.Conflict, "change %s lost to change %s (%s by operator %s, revision %d)",
		change.ID, winner.ID, winner.Kind, winner.Operator, winner.Revision)
}

// Snapshot writes the follower's state to the snapshot row unless the row has the same or
// a later revision.
func (l *Log) Snapshot(ctx context.Context) error {
	s := l.follower.Snapshot()
	item, err := l.table.Get(ctx, snapshotKey)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return unavailable(err)
	}
	var old Snapshot
	if err == nil && json.Unmarshal(item.Value, &old) == nil && old.Revision >= s.Revision {
		return nil
	}
	value, err := json.Marshal(s)
	if err == nil && len(value) > maxInlineBytes {
		if s.TextObject, err = l.storeText(ctx, s.Text); err != nil {
			return err
		}
		s.Text = ""
		value, err = json.Marshal(s)
	}
	if err != nil {
		return failure.New(failure.Internal, "snapshot: %v", err)
	}
	if err := l.table.Commit(ctx, storage.Write{Kind: storage.Put, Key: snapshotKey, ExpectedVersion: item.Version, Value: value}); err != nil {
		return unavailable(err)
	}
	return nil
}
