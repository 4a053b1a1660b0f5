package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func row(key string, revision uint64) Row {
	return Row{Key: key, Value: []byte(key), Revision: revision}
}

func deletedRow(key string, revision uint64) Row {
	return Row{Key: key, Revision: revision, Deleted: true}
}

// Guards against a mirror that replaces rows by older ones.
func TestMirrorKeepsNewerRows(t *testing.T) {
	var last Snapshot
	table, now := NewTable("t", func(s Snapshot) { last = s }), time.Unix(1000, 0)
	table.Replace([]Row{row("a", 5), row("b", 6)}, 6, now)
	table.Replace([]Row{row("a", 3)}, 4, now)
	table.Apply([]Row{row("a", 2)}, 3, now)
	table.Apply([]Row{row("a", 4)}, 7, now)
	require.Len(t, last.Rows, 2)
	require.EqualValues(t, 5, last.Rows["a"].Revision)
	table.Apply([]Row{deletedRow("a", 8)}, 8, now)
	table.Apply([]Row{row("a", 7)}, 9, now)
	require.NotContains(t, last.Rows, "a")
}

// Guards against peers that miss a change or a deletion, whatever revision they hold.
func TestPeersCatchUp(t *testing.T) {
	now := time.Unix(1000, 0)
	source := NewTable("t", nil)
	source.Replace([]Row{row("a", 5), row("b", 6)}, 6, now)
	for _, start := range []uint64{0, 6} {
		peer := NewTable("t", nil)
		if start > 0 {
			d, ok := source.Since(0, now)
			require.True(t, ok)
			peer.Merge(d, now)
		}
		changed := NewTable("t", nil)
		d, _ := source.Since(0, now)
		changed.Merge(d, now)
		changed.Apply([]Row{deletedRow("b", 7), row("c", 8)}, 8, now)
		d, ok := changed.Since(start, now)
		require.True(t, ok)
		require.Equal(t, start == 0, d.Full)
		peer.Merge(d, now)
		again, _ := peer.Since(0, now)
		require.Equal(t, []string{"a", "c"}, []string{again.Rows[0].Key, again.Rows[1].Key})
		require.Len(t, again.Rows, 2)
	}
}

// Guards against an older snapshot that is published after a newer one because two sources
// apply changes concurrently.
func TestOlderContentIsNotPublishedLate(t *testing.T) {
	var seen []uint64
	table := NewTable("t", func(s Snapshot) { seen = append(seen, s.Revision) })
	table.deliver(Snapshot{Revision: 5})
	table.deliver(Snapshot{Revision: 4})
	table.deliver(Snapshot{Revision: 6})
	require.Equal(t, []uint64{5, 6}, seen)
}

// Guards against needless fetches between peers that hold the same rows: the store's revision
// grows with every write to any table, so the revision of the last row change is compared.
func TestContentChangesWithRowsOnly(t *testing.T) {
	table, now := NewTable("t", nil), time.Unix(1000, 0)
	table.Replace([]Row{row("a", 5)}, 7, now)
	content := table.ContentRevision()
	table.Apply(nil, 20, now)
	table.Replace([]Row{row("a", 5)}, 30, now)
	require.Equal(t, content, table.ContentRevision())
	table.Apply([]Row{row("b", 31)}, 40, now)
	require.Greater(t, table.ContentRevision(), content)

	peer := NewTable("t", nil)
	d, ok := table.Since(0, now)
	require.True(t, ok)
	peer.Merge(d, now)
	require.Equal(t, table.ContentRevision(), peer.ContentRevision())
}

// Guards against a confirmation of a newer revision that makes an outdated table look current.
func TestConfirmationNeedsTheSameRevision(t *testing.T) {
	table, now := NewTable("t", nil), time.Unix(1000, 0)
	table.Confirm(1, now)
	table.Replace([]Row{row("a", 5)}, 5, now)
	table.Confirm(9, now.Add(time.Second))
	_, confirmed, _ := table.Status()
	require.Equal(t, now, confirmed)
	table.Confirm(5, now.Add(time.Second))
	_, confirmed, _ = table.Status()
	require.Equal(t, now.Add(time.Second), confirmed)
}

// Guards against a table that looks old although the store has just confirmed it, so that
// further hosts read the store, and against one that looks newer than it is.
func TestConfirmationTime(t *testing.T) {
	start := time.Unix(1000, 0)
	held := start.Add(changeWait)
	require.Equal(t, held, confirmationTime(start, held.Add(5*time.Millisecond), 0))
	require.Equal(t, held, confirmationTime(start, held.Add(time.Minute), 0), "the process was paused")
	require.Equal(t, start, confirmationTime(start, held.Add(-time.Millisecond), 0), "the store did not hold the read")
	require.Equal(t, start, confirmationTime(start, held.Add(time.Second), 1), "when the rows were read is not known")
}

// Guards against a change whose age counts from when a host learned of it.
func TestChangeCountsFromTheLastConfirmation(t *testing.T) {
	var snapshots []Snapshot
	table, now := NewTable("t", func(s Snapshot) { snapshots = append(snapshots, s) }), time.Unix(1000, 0)
	table.Replace([]Row{row("a", 5)}, 6, now)
	require.Zero(t, snapshots[0].ChangedAfter)
	table.Apply(nil, 7, now.Add(time.Second))
	table.Confirm(6, now.Add(2*time.Second))
	table.Apply([]Row{deletedRow("a", 8)}, 8, now.Add(4*time.Second))
	require.Equal(t, now.Add(2*time.Second), snapshots[1].ChangedAfter)
	table.Merge(Delta{Rows: []Row{row("b", 9)}, Revision: 9, Content: 9, Age: 1000}, now.Add(6*time.Second))
	require.Equal(t, now.Add(4*time.Second), snapshots[2].ChangedAfter)
	require.Len(t, snapshots, 3)
}

// Guards against a change that counts from a confirmation of rows which were never delivered.
func TestUndeliveredChangeCountsFromTheLastDelivery(t *testing.T) {
	var last Snapshot
	table, now := NewTable("t", nil), time.Unix(1000, 0)
	table.onChange = func(s Snapshot) {
		if s.Revision == 8 { // another source applies a change before this one is delivered
			table.mu.Lock()
			table.rows["c"], table.contentRevision = row("c", 9), 9
			table.mu.Unlock()
		}
		last = s
	}
	table.Replace([]Row{row("a", 5)}, 6, now)
	table.Apply([]Row{deletedRow("a", 8)}, 8, now.Add(time.Second))
	table.Apply([]Row{row("d", 10)}, 10, now.Add(2*time.Second))
	require.Equal(t, now, last.ChangedAfter)
}
