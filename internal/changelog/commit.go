package changelog

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/storage"
)

// errLostRace asks for another attempt.
var errLostRace = errors.New("another change was committed first")

// attempt is the state of a commit over its tries.
type attempt struct {
	log    *Log
	change entity.Change
	expect uint64
	guards []Guard
	// winner is the change that the latest lost race went to.
	winner entity.Change
	// unsure is the revision at which an earlier try may still take effect, or 0.
	unsure uint64
}

// outcome returns err, or OutcomeUnknown while an earlier try may still take effect.
func (a *attempt) outcome(err error) error {
	if err == nil || a.unsure <= a.log.follower.Revision() {
		return err
	}
	return failure.New(failure.OutcomeUnknown, "change %s may become revision %d: %v", a.change.ID, a.unsure, err)
}

func (a *attempt) run(ctx context.Context) (uint64, error) {
	l := a.log
	head, err := l.Poll(ctx)
	if err != nil {
		return 0, err
	}
	if known, ok := l.follower.Find(a.change.ID); ok {
		return known.Revision, nil
	}
	conf := l.follower.Configuration()
	if conf.Revision != head.Revision {
		a.winner = head.Latest // the follower moved on while the head was read
		return 0, errLostRace
	}
	// Entries that only record that a revision is in force do not outdate what an operator has seen.
	if a.expect != 0 && (a.expect > head.Revision || a.expect < conf.LastChangeRevision) {
		return 0, conflict(a.change, l.follower.at(conf.LastChangeRevision, head.Latest))
	}
	a.change.Revision = head.Revision + 1
	if err := Check(conf, a.change, l.follower.parse); err != nil {
		if a.winner.ID != "" {
			return 0, failure.NotRun(failure.Conflict, "%v; %s", conflict(a.change, a.winner), failure.From(err).Message())
		}
		return 0, err
	}
	writes, err := a.writes(ctx, head)
	if err != nil {
		return 0, err
	}
	return a.settle(ctx, l.table.Commit(ctx, writes...))
}

// writes returns the transaction: the head by compare-and-set, the entry that
// must not exist, and the guards.
func (a *attempt) writes(ctx context.Context, head Head) ([]storage.Write, error) {
	entry, err := a.log.encode(ctx, a.change)
	if err != nil {
		return nil, err
	}
	next := Head{Revision: a.change.Revision, Latest: a.change, Complete: len(entry)+len(a.change.Text) <= maxHeadInline}
	if !next.Complete {
		next.Latest.Text = ""
	}
	row, err := json.Marshal(next)
	if err != nil {
		return nil, failure.New(failure.Internal, "head row: %v", err)
	}
	writes := []storage.Write{
		{Kind: storage.Put, Key: HeadKey, Expect: head.Version, Value: row},
		{Kind: storage.Put, Key: entryKey(a.change.Revision), Value: entry},
	}
	for _, guard := range a.guards {
		more, err := guard(ctx)
		if err != nil {
			return nil, err
		}
		writes = append(writes, more...)
	}
	return writes, nil
}

func (l *Log) encode(ctx context.Context, change entity.Change) ([]byte, error) {
	entry, err := json.Marshal(stored{Change: change})
	if err == nil && len(entry) > maxInline {
		name, storeErr := l.storeText(ctx, change.Text)
		if storeErr != nil {
			return nil, storeErr
		}
		change.Text = ""
		entry, err = json.Marshal(stored{Change: change, TextObject: name})
	}
	if err != nil {
		return nil, failure.New(failure.Internal, "log entry: %v", err)
	}
	return entry, nil
}

// settle finds out what became of the transaction. After a lost answer as well as
// after a failed condition the log entry tells: an earlier try of the same
// transaction may have taken effect.
func (a *attempt) settle(ctx context.Context, outcome error) (uint64, error) {
	switch {
	case outcome == nil:
		return a.committed(ctx), nil
	case errors.Is(outcome, storage.ErrUnavailable):
		return 0, unavailable(outcome)
	case errors.Is(outcome, storage.ErrInvalidWrite):
		return 0, failure.NotRun(failure.Internal, "change %s: %v", a.change.ID, outcome)
	}
	item, err := a.log.table.Get(ctx, entryKey(a.change.Revision))
	if errors.Is(err, storage.ErrNotFound) {
		// Nothing took the revision: a guard failed, or the write has not arrived. If
		// it still arrives, the next try finds it by its identifier.
		if errors.Is(outcome, storage.ErrOutcomeUnknown) {
			a.unsure = a.change.Revision
		}
		return 0, errLostRace
	}
	var entry stored
	if err == nil {
		err = json.Unmarshal(item.Value, &entry)
	}
	if err != nil {
		a.unsure = a.change.Revision
		return 0, failure.From(err)
	}
	if entry.ID == a.change.ID {
		return a.committed(ctx), nil
	}
	a.winner = entry.Change
	if a.expect != 0 && entry.Kind != entity.ChangeInForce {
		return 0, conflict(a.change, a.winner)
	}
	return 0, errLostRace
}

// committed applies the change and writes the periodic snapshot; a snapshot that
// fails is written at a later revision.
func (a *attempt) committed(ctx context.Context) uint64 {
	revision := a.change.Revision
	_, _ = a.log.follower.Apply(a.change) // a gap is closed by the next poll
	if revision%snapshotEvery == 0 {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		_ = a.log.Snapshot(ctx)
	}
	return revision
}
