package changelog

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/storage"
)

func newTestLog(table *fakeTable, objects fakeObjects) *Log {
	return NewLog(table, objects, NewFollower(parseFake))
}

func applyTextChange(id, text string) entity.Change {
	return entity.Change{ID: id, Kind: entity.ChangeApply, Operator: "jana", Text: text}
}

func takeOut(id, name string) entity.Change {
	return entity.Change{ID: id, Kind: entity.ChangeDataCentreTakeOut, Operator: "petr", Name: name}
}

func mustCommit(t testing.TB, l *Log, change entity.Change) uint64 {
	t.Helper()
	revision, err := l.Commit(context.Background(), 0, change)
	require.NoError(t, err)
	return revision
}

// Guards against a change that is written twice or reported as failed when the store's
// answer is lost after the write has taken effect.
func TestLostAnswerAfterCommit(t *testing.T) {
	table := newFakeTable()
	l := newTestLog(table, nil)
	mustCommit(t, l, applyTextChange("c1", "praha-1,praha-2"))
	table.loseAnswers = 1
	assert.Equal(t, uint64(2), mustCommit(t, l, takeOut("c2", "praha-1")))
	table.loseWrites = 1
	assert.Equal(t, uint64(3), mustCommit(t, l, takeOut("c3", "praha-2")), "a write that never arrived is retried")
	assert.Equal(t, uint64(2), mustCommit(t, l, takeOut("c2", "praha-1")), "the same change is not written again")
	assert.Equal(t, uint64(3), l.Follower().Revision())
}

// Guards against a failure with the "not run" flag for a write whose outcome cannot be
// read back.
func TestOutcomeUnknownWhenStoreFailsAfterLostWrite(t *testing.T) {
	table := newFakeTable()
	l := newTestLog(table, nil)
	mustCommit(t, l, applyTextChange("c1", "praha-1"))
	table.loseWrites = 1
	_, err := l.Commit(context.Background(), 0, takeOut("c2", "praha-1"), func(context.Context) ([]storage.Write, error) {
		table.unavailable = table.loseWrites == 0 // at the second try
		return nil, nil
	})
	assert.True(t, failure.Is(err, failure.OutcomeUnknown), "%v", err)
	assert.False(t, failure.From(err).NotRun())

	_, err = newTestLog(table, nil).Commit(context.Background(), 0, takeOut("c3", "praha-1"))
	assert.True(t, failure.Is(err, failure.StoreUnavailable))
	assert.True(t, failure.From(err).NotRun())
}

// Guards against two operators who overwrite each other's change.
func TestConcurrentOperatorsDoNotOverwriteEachOther(t *testing.T) {
	table := newFakeTable()
	jana, petr := newTestLog(table, nil), newTestLog(table, nil)
	mustCommit(t, jana, applyTextChange("c1", "praha-1,praha-2"))

	table.beforeCommit = func() { mustCommit(t, jana, takeOut("winner", "praha-1")) }
	_, err := petr.Commit(context.Background(), 1, takeOut("loser", "praha-2"))
	require.True(t, failure.Is(err, failure.Conflict), "%v", err)
	assert.Contains(t, err.Error(), "winner")
	assert.Contains(t, err.Error(), "operator petr")
	assert.Contains(t, err.Error(), string(entity.ChangeDataCentreTakeOut))
	_, err = petr.Commit(context.Background(), 1, takeOut("loser", "praha-2"))
	assert.True(t, failure.Is(err, failure.Conflict), "the expected revision is outdated")

	table.beforeCommit = func() { mustCommit(t, jana, takeOut("c3", "praha-1")) }
	assert.Equal(t, uint64(4), mustCommit(t, petr, takeOut("c4", "praha-2")), "the change is still valid")

	start := entity.Change{ID: "r1", Kind: entity.ChangeRolloutStart, Service: "narration", From: "v1", To: "v2", Operator: "jana"}
	table.beforeCommit = func() { mustCommit(t, jana, start) }
	second := start
	second.ID = "r2"
	_, err = petr.Commit(context.Background(), 0, second)
	require.True(t, failure.Is(err, failure.Conflict))
	assert.Contains(t, err.Error(), "change r1")
}

// Guards against a conflict that is caused by an in-force entry, which does not change
// the configuration that an operator has read, and against a conflict that names such an
// entry as the winner.
func TestInForceEntriesAreNoConflict(t *testing.T) {
	log := newTestLog(newFakeTable(), nil)
	mustCommit(t, log, applyTextChange("c1", "praha-1,praha-2"))
	inForce := func(id string, confirmed uint64) entity.Change {
		return entity.Change{ID: id, Kind: entity.ChangeInForce, ConfirmedRevision: confirmed, Operator: "system"}
	}
	mustCommit(t, log, inForce("f1", 1))
	revision, err := log.Commit(context.Background(), 1, takeOut("c3", "praha-1"))
	require.NoError(t, err)
	require.Equal(t, uint64(3), revision)
	mustCommit(t, log, inForce("f3", 3))
	_, err = log.Commit(context.Background(), 1, takeOut("c5", "praha-2"))
	require.True(t, failure.Is(err, failure.Conflict), "%v", err)
	assert.Contains(t, err.Error(), "change c3")
	_, err = log.Commit(context.Background(), 9, takeOut("c6", "praha-2"))
	require.True(t, failure.Is(err, failure.Conflict), "%v", err)
}

// Guards against a head row that contains a large text whose entry is small because the
// text is in the object store. The table service refuses such a row.
func TestHeadOfALargeTextIsSmall(t *testing.T) {
	table := newFakeTable()
	log := newTestLog(table, fakeObjects{})
	large := applyTextChange("c1", "praha-1")
	large.Text += "\n" + strings.Repeat("#", maxInlineBytes)
	mustCommit(t, log, large)
	head, err := table.Get(context.Background(), HeadKey)
	require.NoError(t, err)
	require.Less(t, len(head.Value), maxHeadInlineBytes+1024)
}

// Guards against lost, duplicated or reordered entries when daemons commit concurrently
// while answers and writes are lost.
func TestConcurrentCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		mustCommit(t, newTestLog(table, nil), applyTextChange("c0", "praha-1"))
		table.loseAnswers, table.loseWrites = 3, 3
		var wg sync.WaitGroup
		var mu sync.Mutex
		committed := map[uint64]string{}
		for i := range 4 {
			wg.Go(func() {
				l := newTestLog(table, nil)
				for j := range 5 {
					id := fmt.Sprintf("c-%d-%d", i, j)
					if revision, err := l.Commit(t.Context(), 0, takeOut(id, "praha-1")); err == nil {
						mu.Lock()
						committed[revision] = id
						mu.Unlock()
					} else {
						assert.True(t, failure.Is(err, failure.Conflict), "%v", err)
					}
				}
			})
		}
		wg.Wait()
		l := newTestLog(table, nil)
		require.NoError(t, l.Load(t.Context()))
		entries, _ := l.Follower().Since(1)
		assert.Len(t, entries, len(committed))
		for _, e := range entries {
			assert.Equal(t, committed[e.Revision], e.ID)
		}
	})
}

// Guards against a change that is committed although the condition of its guard fails.
func TestCommitIsRefusedWhenGuardFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLog(newFakeTable(), nil)
		guard := func(context.Context) ([]storage.Write, error) {
			return []storage.Write{{Kind: storage.Check, Key: storage.Key{Partition: "view"}, ExpectedVersion: 3}}, nil
		}
		_, err := l.Commit(t.Context(), 0, applyTextChange("c1", "praha-1"), guard)
		assert.True(t, failure.Is(err, failure.Conflict))
		assert.Zero(t, l.Follower().Revision())
	})
}

// Guards against rows above the size limit, and against a Load that reads the whole log
// although there is a snapshot.
func TestLargeTextAndSnapshot(t *testing.T) {
	table, objects := newFakeTable(), fakeObjects{}
	l := newTestLog(table, objects)
	text := "praha-1 " + strings.Repeat("x", 400<<10)
	mustCommit(t, l, applyTextChange("big", text))
	for i := range 104 {
		mustCommit(t, l, takeOut(fmt.Sprint("c", i), "praha-1"))
	}
	for key, item := range table.items {
		assert.Less(t, len(item.Value), maxInlineBytes, key)
	}
	assert.Len(t, objects, 1)

	table.reads = 0
	fresh := newTestLog(table, objects)
	require.NoError(t, fresh.Load(context.Background()))
	assert.Equal(t, uint64(105), fresh.Follower().Revision())
	assert.Equal(t, text, fresh.Follower().Text())
	assert.Equal(t, l.Follower().Configuration(), fresh.Follower().Configuration())
	assert.Equal(t, 2, table.reads, "the snapshot and one page of the log")

	_, err := NewLog(newFakeTable(), nil, NewFollower(parseFake)).Commit(context.Background(), 0, applyTextChange("big", text))
	assert.True(t, failure.Is(err, failure.StoreUnavailable), "%v", err)
}

// Guards against invalid changes in the log.
func TestInvalidChangesAreRefused(t *testing.T) {
	l := newTestLog(newFakeTable(), nil)
	mustCommit(t, l, applyTextChange("c1", "praha-1"))
	cases := []struct {
		change entity.Change
		kind   failure.Kind
	}{
		{takeOut("x", "brno"), failure.NotFound},
		{entity.Change{Kind: entity.ChangeRolloutStart, Service: "none"}, failure.UnknownService},
		{entity.Change{Kind: entity.ChangeRolloutStart, Service: "narration", From: "v1", To: "v9"}, failure.NotFound},
		{entity.Change{Kind: entity.ChangeRolloutStart, Service: "narration", From: "v1", To: "v1"}, failure.InvalidRequest},
		{entity.Change{Kind: entity.ChangeRolloutStep, Service: "narration", Step: 5}, failure.Conflict},
		{entity.Change{Kind: entity.ChangeRolloutFinish, Service: "narration"}, failure.Conflict},
		{entity.Change{Kind: entity.ChangeRolloutUndo, Service: "narration"}, failure.Conflict},
		{entity.Change{Kind: entity.ChangeHostDrain}, failure.InvalidRequest},
		{entity.Change{Kind: entity.ChangeInForce, ConfirmedRevision: 2}, failure.InvalidRequest},
		{entity.Change{Kind: "other"}, failure.InvalidRequest},
	}
	for _, c := range cases {
		c.change.ID = "x"
		_, err := l.Commit(context.Background(), 0, c.change)
		assert.True(t, failure.Is(err, c.kind), "%s: %v", c.change.Kind, err)
	}
	mustCommit(t, l, entity.Change{ID: "r", Kind: entity.ChangeRolloutStart, Service: "narration", From: "v1", To: "v2"})
	_, err := l.Commit(context.Background(), 0, entity.Change{ID: "r2", Kind: entity.ChangeRolloutStart, Service: "narration", From: "v1", To: "v2"})
	assert.True(t, failure.Is(err, failure.Conflict))
	mustCommit(t, l, entity.Change{ID: "r3", Kind: entity.ChangeRolloutStep, Service: "narration", Step: 25})
	_, err = l.Commit(context.Background(), 0, entity.Change{ID: "r4", Kind: entity.ChangeRolloutStep, Service: "narration", Step: 5})
	assert.True(t, failure.Is(err, failure.Conflict), "a rollout never steps back")
	mustCommit(t, l, entity.Change{ID: "r5", Kind: entity.ChangeRolloutUndo, Service: "narration"})
	assert.Equal(t, entity.RolloutUndone, l.Follower().Configuration().Rollouts["narration"].State)
	assert.Equal(t, uint64(4), l.Follower().Revision())
}

// Guards against a revision that decreases or skips an entry when deltas arrive late,
// twice, partially or out of order, and against modified parts of a shared configuration.
func TestFollowerNeverRegressesOrSkips(t *testing.T) {
	entries := []entity.Change{applyTextChange("c1", "praha-1,praha-2")}
	for i := 2; i <= 30; i++ {
		kind := []entity.ChangeKind{entity.ChangeDataCentreTakeOut, entity.ChangeDataCentreBringBack}[i%2]
		entries = append(entries, entity.Change{ID: fmt.Sprint("c", i), Kind: kind, Name: fmt.Sprint("praha-", 1+i/2%2)})
	}
	for i := range entries {
		entries[i].Revision = uint64(i + 1)
	}
	rapid.Check(t, func(t *rapid.T) {
		f := NewFollower(parseFake)
		w := f.Watch(rapid.IntRange(2, 8).Draw(t, "buffer"))
		var seenRevision, lastRevision uint64
		for range rapid.IntRange(1, 40).Draw(t, "deltas") {
			from := rapid.IntRange(0, 29).Draw(t, "from")
			before, copied := f.Configuration(), len(f.Configuration().DataCentresOut)
			_, err := f.Apply(entries[from:rapid.IntRange(from, 30).Draw(t, "to")]...)
			if err != nil && uint64(from) <= lastRevision {
				t.Fatal(err)
			}
			if f.Revision() < lastRevision || len(before.DataCentresOut) != copied {
				t.Fatalf("revision went from %d to %d or a shared value changed", lastRevision, f.Revision())
			}
			lastRevision = f.Revision()
			for rapid.Bool().Draw(t, "consume") && len(w.Updates()) > 0 {
				if u := <-w.Updates(); u.Resync {
					missed, _ := f.Since(max(seenRevision, u.After))
					seenRevision += uint64(len(missed)) + max(seenRevision, u.After) - seenRevision
				} else if u.Change.Revision == seenRevision+1 {
					seenRevision++
				} else if u.Change.Revision > seenRevision {
					t.Fatalf("watcher at %d got %d without a resync", seenRevision, u.Change.Revision)
				}
			}
		}
		keptEntries, _ := f.Since(0)
		replayed := NewFollower(parseFake)
		if _, err := replayed.Apply(keptEntries...); err != nil || replayed.Revision() != lastRevision {
			t.Fatal("kept entries do not lead to the revision")
		}
	})
}

func BenchmarkFold(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		text := &entity.ServiceText{DataCentres: []string{"praha-1"}}
		for i := range n {
			text.Services = append(text.Services, entity.Service{Name: fmt.Sprint("s", i), Versions: []entity.Version{{Name: "v1"}, {Name: "v2"}}})
			text.Pools = append(text.Pools, entity.Pool{Name: fmt.Sprint("p", i)})
		}
		conf := &entity.Configuration{Revision: 1, Text: text}
		change := entity.Change{Kind: entity.ChangeDataCentreTakeOut, Name: "praha-1"}
		rollout := entity.Change{Kind: entity.ChangeRolloutStart, Service: fmt.Sprint("s", n-1), From: "v1", To: "v2"}
		for name, c := range map[string]entity.Change{"take-out": change, "rollout-start": rollout} {
			b.Run(fmt.Sprintf("%s/services=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_, _ = Fold(conf, c, parseFake)
				}
			})
		}
	}
}

// Measures the time to apply an entry and the memory that is retained for the entry and
// its configuration.
func BenchmarkFollowerEntry(b *testing.B) {
	var before, after runtime.MemStats
	f := NewFollower(parseFake)
	_, _ = f.Apply(entity.Change{Revision: 1, Kind: entity.ChangeApply, Text: "praha-1"})
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	revision := uint64(1)
	for b.Loop() {
		revision++
		_, _ = f.Apply(entity.Change{Revision: revision, ID: fmt.Sprintf("01JE%022d", revision), Kind: entity.ChangeDataCentreTakeOut, Name: "praha-1", Operator: "jana"})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(min(revision, maxRecentEntries)), "kept-bytes/entry")
	runtime.KeepAlive(f)
}
