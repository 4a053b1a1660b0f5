package usage

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/duty"
)

var everyHost = func(string) bool { return true }

// Guards against counts that add up when a message is repeated or late.
func TestRepeatedAndLateCountsAddNothing(t *testing.T) {
	sender, receiver := NewTable("a", "a1"), NewTable("b", "b1")
	sender.Add(7, "account")
	early, _ := sender.Unacknowledged(nil, everyHost)
	sender.Add(7, "account")
	late, versions := sender.Unacknowledged(nil, everyHost)
	receiver.Merge(late, 0)
	receiver.Merge(early, 0)
	receiver.Merge(late, 0)
	receiver.Add(7, "account")
	requests, processes := receiver.Sum(7)
	require.Equal(t, map[string]uint64{"account": 3}, requests)
	require.Equal(t, 2, processes)
	rest, _ := sender.Unacknowledged(versions, everyHost)
	require.Empty(t, rest, "acknowledged counts are sent again")
}

// Guards against counts of a restarted host that replace those of its earlier process.
func TestRestartedHostAddsToItsEarlierCounts(t *testing.T) {
	receiver := NewTable("b", "b1")
	for _, process := range []string{"a1", "a2"} {
		sender := NewTable("a", process)
		sender.Add(7, "account")
		counts, _ := sender.Unacknowledged(nil, everyHost)
		receiver.Merge(counts, 0)
	}
	requests, _ := receiver.Sum(7)
	require.Equal(t, uint64(2), requests["account"])
}

// Guards against a receiver that is restarted and never gets the counts that its earlier process
// acknowledged.
func TestRestartedReceiverGetsAllCountsAgain(t *testing.T) {
	table, receiver, process := NewTable("a", "a1"), NewTable("b", "b1"), "b1"
	s := &Sender{
		Table: table, Clock: NewClock(time.Now, duty.Now), Include: func() func(string) bool { return everyHost }, Log: logr.Discard(),
		Receivers: func() []Receiver { return []Receiver{{"b", "address"}} },
		Holder:    func() (string, uint64) { return "", 0 }, SetHolder: func(string, uint64) {},
		Call: func(_ context.Context, _ string, m Message) (Reply, error) {
			receiver.Merge(m.Counts, 0)
			return Reply{Process: process, Now: time.Now().UnixMilli()}, nil
		},
	}
	table.Add(7, "account")
	s.Send(t.Context())
	receiver, process = NewTable("b", "b2"), "b2"
	table.Add(8, "account")
	s.Send(t.Context())
	s.Send(t.Context())
	requests, _ := receiver.Sum(7)
	require.Equal(t, uint64(1), requests["account"])
}

// testClock is a clock whose time of day can step.
type testClock struct {
	elapsed time.Duration
	step    time.Duration
}

var clockStart = time.Unix(1_700_000_000, 0)

func (c *testClock) wall() time.Time      { return clockStart.Add(c.elapsed + c.step) }
func (c *testClock) steady() duty.Instant { return duty.Instant(time.Hour + c.elapsed) }

// Guards against requests that count in another window while the time of day has stepped.
func TestClockIgnoresStepsOfTheTimeOfDay(t *testing.T) {
	source := &testClock{}
	c := NewClock(source.wall, source.steady)
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, 0} {
		source.elapsed += 10 * time.Second
		source.step = step
		require.Equal(t, clockStart.Add(source.elapsed), c.Now())
	}
}

// Guards against a host that started while its time of day was wrong.
func TestClockFollowsTheOtherHosts(t *testing.T) {
	source := &testClock{step: 2 * time.Second}
	c := NewClock(source.wall, source.steady)
	for _, host := range []string{"a", "b"} {
		c.Compare(host, clockStart.Add(time.Millisecond), c.Now(), c.Now())
	}
	require.InDelta(t, 0, c.Now().Sub(clockStart).Seconds(), 0.01)
	source.elapsed += time.Minute
	require.InDelta(t, 60, c.Now().Sub(clockStart).Seconds(), 0.01)
}

// fakeDuty is a duty whose row survives its holders.
type fakeDuty struct {
	row *[]byte
	// token is the holder's; the row belongs to *current.
	token   uint64
	current *uint64
	// saveFault decides what becomes of a write: written, and whether the holder hears of it.
	saveFault func() (written, heard bool)
	reads     []byte
}

func (f *fakeDuty) Grant() (duty.Grant, bool) {
	// The holder knows the row as of its last confirmation.
	return duty.Grant{Token: f.token, State: f.reads}, true
}

func (f *fakeDuty) Save(_ context.Context, token uint64, state []byte) error {
	if *f.current != token || string(*f.row) != string(f.reads) {
		f.reads = *f.row
		return duty.ErrNotHeld
	}
	written, heard := f.saveFault()
	if written {
		*f.row = state
	}
	if !heard {
		return errors.New("no answer")
	}
	f.reads = *f.row
	return nil
}

func (f *fakeDuty) Do(ctx context.Context, token uint64, call func(ctx context.Context, o duty.Order) error) error {
	return call(ctx, duty.Order{Holder: "h", Token: token})
}

func noFault() (bool, bool) { return true, true }

func newTestReporter(source *testClock, table *Table, send func(r Report) error) *Reporter {
	return &Reporter{
		Table: table, Clock: NewClock(source.wall, source.steady), Windows: Windows{5 * time.Second}, Delay: 10 * time.Second,
		StartedAt: source.wall(), Metrics: metrics.NewSet(), Log: logr.Discard(),
		Send: func(_ context.Context, _ duty.Order, r Report) error { return send(r) },
	}
}

// Guards against reports that never settle, that come late, or that are sent twice in calm.
func TestEachWindowIsReportedOnceInTime(t *testing.T) {
	source, table, current := &testClock{}, NewTable("a", "a1"), uint64(1)
	reported := map[int64]time.Duration{}
	r := newTestReporter(source, table, nil)
	r.Send = func(_ context.Context, _ duty.Order, report Report) error {
		require.NotContains(t, reported, report.Window)
		require.Equal(t, map[string]uint64{"account": 20}, report.Requests)
		reported[report.Window] = source.wall().Sub(r.Windows.End(report.Window))
		return nil
	}
	holding := &fakeDuty{row: new([]byte), token: 1, current: &current, saveFault: noFault}
	for ; source.elapsed < time.Minute; source.elapsed += 250 * time.Millisecond {
		table.Add(r.Windows.At(source.wall()), "account")
		r.Run(t.Context(), holding)
	}
	require.Len(t, reported, 11)
	for _, delay := range reported {
		require.Less(t, delay, r.Delay)
	}
}

// Guards against a report that is sent before its content is in the store.
func TestReportIsNotSentBeforeItIsStored(t *testing.T) {
	source, table, current := &testClock{}, NewTable("a", "a1"), uint64(1)
	row := new([]byte)
	r := newTestReporter(source, table, func(report Report) error {
		var state reportState
		require.NoError(t, json.Unmarshal(*row, &state))
		require.Equal(t, &report, state.Pending)
		return nil
	})
	fault := 0
	holding := &fakeDuty{row: row, token: 1, current: &current, saveFault: func() (bool, bool) {
		fault++
		return fault%3 != 0, fault%4 != 0
	}}
	for ; source.elapsed < time.Minute; source.elapsed += 250 * time.Millisecond {
		table.Add(r.Windows.At(source.wall()), "account")
		r.Run(t.Context(), holding)
	}
}

// Guards against windows that are lost while the API is out.
func TestReportsAreMadeUpAfterAnOutageOfTheAPI(t *testing.T) {
	source, table, current := &testClock{}, NewTable("a", "a1"), uint64(1)
	reported, calls := map[int64]bool{}, 0
	r := newTestReporter(source, table, func(report Report) error {
		if calls++; source.elapsed < time.Minute {
			return duty.ErrUnknownOutcome
		}
		reported[report.Window] = true
		return nil
	})
	holding := &fakeDuty{row: new([]byte), token: 1, current: &current, saveFault: noFault}
	for ; source.elapsed < 70*time.Second; source.elapsed += 250 * time.Millisecond {
		table.Add(r.Windows.At(source.wall()), "account")
		r.Run(t.Context(), holding)
	}
	require.Len(t, reported, 13)
	require.Less(t, calls, 50, "the API was pressed while it was out")
}

// Drives two hosts that both may believe to hold the duty, over writes and calls whose answers
// are lost or that are executed late, and steps of their clocks. Guards against two different
// reports of a window.
func TestNoWindowHasTwoDifferentReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		row, current := new([]byte), uint64(1)
		accepted := map[int64]map[string]uint64{}
		type lateCall struct {
			at     time.Duration
			report Report
		}
		var late []lateCall
		accept := func(r Report) {
			if earlier, ok := accepted[r.Window]; ok {
				require.Equal(t, earlier, r.Requests, "window %d has two reports", r.Window)
			}
			accepted[r.Window] = r.Requests
		}
		chance := rapid.IntRange(0, 9)
		type host struct {
			source  *testClock
			table   *Table
			r       *Reporter
			holding *fakeDuty
		}
		var hosts []*host
		for _, name := range []string{"a", "b"} {
			h := &host{source: &testClock{}, table: NewTable(name, name)}
			h.r = newTestReporter(h.source, h.table, func(report Report) error {
				switch chance.Draw(t, "call") {
				case 0:
					return duty.ErrUnknownOutcome
				case 1:
					accept(report)
					return duty.ErrUnknownOutcome
				case 2:
					late = append(late, lateCall{h.source.elapsed + 4*time.Second, report})
					return duty.ErrUnknownOutcome
				}
				accept(report)
				return nil
			})
			h.holding = &fakeDuty{row: row, current: &current, saveFault: func() (bool, bool) {
				n := chance.Draw(t, "write")
				return n != 0, n > 1
			}}
			hosts = append(hosts, h)
		}
		hosts[0].holding.token = 1
		for elapsed := time.Duration(0); elapsed < 40*time.Second; elapsed += 500 * time.Millisecond {
			if chance.Draw(t, "holder") == 0 { // the other host claims; the first still believes to hold
				current++
				next := hosts[int(current+1)%2]
				next.holding.token, next.holding.reads = current, *row
			}
			if chance.Draw(t, "clock") == 0 {
				hosts[0].source.step = 2*time.Second - hosts[0].source.step
			}
			for i, h := range hosts {
				h.source.elapsed = elapsed
				h.table.Add(h.r.Windows.At(h.r.Clock.Now()), "account")
				if chance.Draw(t, "message") > 2 {
					counts, _ := h.table.Unacknowledged(nil, everyHost)
					hosts[1-i].table.Merge(counts, 0)
				}
				if h.holding.token > 0 {
					h.r.Run(context.Background(), h.holding)
				}
			}
			for _, c := range late {
				if c.at == elapsed {
					accept(c.report)
				}
			}
		}
	})
}

// Guards against reports that never come again, or a holder that is busy for minutes, after the width of
// the windows was changed.
func TestReportsGoOnAfterTheWidthOfWindowsChanged(t *testing.T) {
	for _, width := range []time.Duration{time.Second, time.Hour} {
		source := &testClock{}
		r := newTestReporter(source, NewTable("a", "a1"), nil)
		old := reportState{Next: Windows{width}.At(r.Clock.Now()), Width: int64(width)}
		data, err := json.Marshal(old)
		require.NoError(t, err)
		saved := &savedState{state: data}
		r.Run(t.Context(), saved)
		var state reportState
		require.NoError(t, json.Unmarshal(saved.state, &state))
		require.Equal(t, r.Windows.At(r.Clock.Now()), state.Next)
	}
}

// savedState is a duty whose state is saved and which makes no calls.
type savedState struct{ state []byte }

func (s *savedState) Grant() (duty.Grant, bool) { return duty.Grant{Token: 1, State: s.state}, true }

func (s *savedState) Save(_ context.Context, _ uint64, state []byte) error {
	s.state = state
	return nil
}

func (s *savedState) Do(context.Context, uint64, func(context.Context, duty.Order) error) error {
	return duty.ErrNotHeld
}

// Guards against memory that grows with each window that was ever sent.
func TestAcknowledgedCountsAreEvicted(t *testing.T) {
	s := &Sender{Table: NewTable("a", "a1"), receivers: map[string]*receiverState{"b": {acknowledged: map[Key]uint64{{Window: 1}: 1, {Window: 9}: 1}}}}
	s.evict(5)
	require.Equal(t, map[Key]uint64{{Window: 9}: 1}, s.receivers["b"].acknowledged)
}
