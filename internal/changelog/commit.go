package changelog

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/storage"
)

// errLostRace makes Commit try again.
var errLostRace = errors.New("another change was committed first")

// pendingCommit is the state of a commit across its tries.
type pendingCommit struct {
	log              *Log
	change           entity.Change
	expectedRevision uint64
	guards           []Guard
	// winner is the change that took the revision in the latest lost race.
	winner entity.Change
	// uncertainRevision is the revision that an earlier try may still write, or 0.
	uncertainRevision uint64
}

// finalError returns err, or OutcomeUnknown if an earlier try may still take effect.
func (c *pendingCommit) finalError(err error) error {
	if err == nil || c.uncertainRevision <= c.log.follower.Revision() {
		return err
	}
	return failure.New(failure.OutcomeUnknown, "change %s may still be committed as revision %d: %v", c.change.ID, c.uncertainRevision, err)
}

func (c *pendingCommit) try(ctx context.Context) (uint64, error) {
	l := c.log
	head, err := l.Poll(ctx)
	if err != nil {
		return 0, err
	}
	if known, ok := l.follower.Find(c.change.ID); ok {
		return known.Revision, nil
	}
	conf := l.follower.Configuration()
	if conf.Revision != head.Revision {
		c.winner = head.Latest // the follower advanced while the head was read
		return 0, errLostRace
	}
	// In-force entries do not advance LastChange, so they cause no conflict with the revision
	// that an operator expects.
	if c.expectedRevision != 0 && (c.expectedRevision > head.Revision || c.expectedRevision < conf.LastChangeRevision) {
		return 0, conflict(c.change, l.follower.entryAt(conf.LastChangeRevision, head.Latest))
	}
	c.change.Revision = head.Revision + 1
	if err := Check(conf, c.change, l.follower.parse); err != nil {
		if c.winner.ID != "" {
			return 0, failure.NotRun(failure.Conflict, "%v; %s", conflict(c.change, c.winner), failure.From(err).Message())
		}
		return 0, err
	}
	writes, err := c.writes(ctx, head)
	if err != nil {
		return 0, err
	}
	return c.resolveOutcome(ctx, l.table.Commit(ctx, writes...))
}

// writes returns the writes of the transaction: a compare-and-set of the head row, the
// new entry, which must not exist yet, and the writes of the guards.
func (c *pendingCommit) writes(ctx context.Context, head Head) ([]storage.Write, error) {
	entry, err := c.log.encode(ctx, c.change)
	if err != nil {
		return nil, err
	}
	next := Head{Revision: c.change.Revision, Latest: c.change, Complete: len(entry)+len(c.change.Text) <= maxHeadInlineBytes}
	if !next.Complete {
		next.Latest.Text = ""
	}
	row, err := json.Marshal(next)
	if err != nil {
		return nil, failure.New(failure.Internal, "head row: %v", err)
	}
	writes := []storage.Write{
		{Kind: storage.Put, Key: HeadKey, ExpectedVersion: head.Version, Value: row},
		{Kind: storage.Put, Key: entryKey(c.change.Revision), Value: entry},
	}
	for _, guard := range c.guards {
		more, err := guard(ctx)
		if err != nil {
			return nil, err
		}
		writes = append(writes, more...)
	}
	return writes, nil
}

func (l *Log) encode(ctx context.Context, change entity.Change) ([]byte, error) {
	entry, err := json.Marshal(storedEntry{Change: change})
	if err == nil && len(entry) > maxInlineBytes {
		name, storeErr := l.storeText(ctx, change.Text)
		if storeErr != nil {
			return nil, storeErr
		}
		change.Text = ""
		entry, err = json.Marshal(storedEntry{Change: change, TextObject: name})
	}
	if err != nil {
		return nil, failure.New(failure.Internal, "log entry: %v", err)
	}
	return entry, nil
}

// resolveOutcome determines whether the transaction was committed. After a lost answer and
// after a failed condition it reads the log entry, because an earlier try of the same
// change may have taken effect.
func (c *pendingCommit) resolveOutcome(ctx context.Context, outcome error) (uint64, error) {
	switch {
	case outcome == nil:
		return c.applyCommitted(ctx), nil
	case errors.Is(outcome, storage.ErrUnavailable):
		return 0, unavailable(outcome)
	case errors.Is(outcome, storage.ErrInvalidWrite):
		return 0, failure.NotRun(failure.Internal, "change %s: %v", c.change.ID, outcome)
	}
	item, err := c.log.table.Get(ctx, entryKey(c.change.Revision))
	if errors.Is(err, storage.ErrNotFound) {
		// The revision is still free: a guard failed, or the write has not arrived yet. If
		// it arrives later, the next try finds the change by its identifier.
		if errors.Is(outcome, storage.ErrOutcomeUnknown) {
			c.uncertainRevision = c.change.Revision
		}
		return 0, errLostRace
	}
	var entry storedEntry
	if err == nil {
		err = json.Unmarshal(item.Value, &entry)
	}
	if err != nil {
		c.uncertainRevision = c.change.Revision
		return 0, failure.From(err)
	}
	if entry.ID == c.change.ID {
		return c.applyCommitted(ctx), nil
	}
	c.winner = entry.Change
	if c.expectedRevision != 0 && entry.Kind != entity.ChangeInForce {
		return 0, conflict(c.change, c.winner)
	}
	return 0, errLostRace
}

// applyCommitted applies the change to the follower and writes a snapshot at every
// snapshotInterval-th revision. If that fails, the next snapshot is written one interval later.
func (c *pendingCommit) applyCommitted(ctx context.Context) uint64 {
	revision := c.change.Revision
	_, _ = c.log.follower.Apply(c.change) // after a gap the next poll reads the missing entries
	if revision%snapshotInterval == 0 {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		_ = c.log.Snapshot(ctx)
	}
	return revision
}
