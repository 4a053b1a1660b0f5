package timeline

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// Guards against an event that is listed before its cause when wall clocks differ.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		now := start
		var recorders [hosts]*Recorder
		for i := range recorders {
			skew := time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "skew")) * time.Millisecond
			recorders[i] = NewRecorder(fmt.Sprint("h", i), NewClock(func() time.Time { return now.Add(skew) }), 1000)
		}
		var cause [][2]string
		for i := range rapid.IntRange(1, 40).Draw(t, "messages") {
			from, to := rapid.IntRange(0, hosts-1).Draw(t, "from"), rapid.IntRange(0, hosts-1).Draw(t, "to")
			send, receive := fmt.Sprint("send", i), fmt.Sprint("receive", i)
			recorders[from].Record(Kind(send), "")
			recorders[to].Clock().Observe(recorders[from].Clock().Now())
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			recorders[to].Record(Kind(receive), "")
			cause = append(cause, [2]string{send, receive})
		}
		a, b, c := recorders[0].Read(Filter{}), recorders[1].Read(Filter{}), recorders[2].Read(Filter{})
		merged := Merge(a, b, c)
		if FormatLines(merged) != FormatLines(Merge(c, b, a, b)) {
			t.Fatal("the result of Merge depends on the order of the lists")
		}
		position := map[string]int{}
		for i, e := range merged {
			position[string(e.Kind)] = i
		}
		for _, pair := range cause {
			if position[pair[0]] >= position[pair[1]] {
				t.Fatalf("%s comes after %s", pair[0], pair[1])
			}
		}
	})
}

// Guards against a host with a wrong clock that advances the clocks of other hosts.
func TestClockIgnoresTimestampsFarAhead(t *testing.T) {
	clock := NewClock(func() time.Time { return start })
	clock.Observe(TimestampOf(start.Add(time.Hour)))
	assert.Equal(t, start, clock.Now().Time())
	clock.Observe(TimestampOf(start.Add(time.Second)))
	assert.Equal(t, start.Add(time.Second), clock.Now().Time())
}

// Guards against unbounded growth, events out of order in the ring, and data races.
func TestRecorderRingAndFilter(t *testing.T) {
	r := NewRecorder("h1", NewClock(func() time.Time { return start }), 10)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for j := range 25 {
				r.Record("work", fmt.Sprint("r", i), Attr("n", j))
			}
		})
	}
	wg.Wait()
	r.Record("last", "r9")
	all := r.Read(Filter{})
	require.Len(t, all, 10)
	assert.Equal(t, all, Merge(all))
	assert.Equal(t, all[9:], r.Read(Filter{Request: "r9"}))
	assert.Equal(t, all[9:], r.Read(Filter{Kind: "last"}))
	assert.Equal(t, all[4:], r.Read(Filter{Since: all[4].Time}))
	assert.Equal(t, all[8:], r.Read(Filter{Limit: 2}))
}

// Guards against attribute values that break the line format, and against events that
// change when they are encoded and decoded.
func TestEventTextAndJSONForms(t *testing.T) {
	e := Event{Time: TimestampOf(start) + 3, Host: "h1", Request: "r1", Kind: "note", Attributes: []Attribute{Attr("text", "a b=\n"), Attr("n", 4), Attr("none", "")}}
	assert.Equal(t, `time=2026-12-04T06:00:00.000Z/00003 host=h1 kind=note request=r1 text="a b=\n" n=4 none=""`, e.String())
	data, err := json.Marshal(e)
	require.NoError(t, err)
	var back Event
	require.NoError(t, json.Unmarshal(data, &back))
	assert.Equal(t, e, back)
	var stamp Timestamp
	assert.Error(t, stamp.UnmarshalText([]byte("yesterday")))
	assert.Error(t, stamp.UnmarshalText([]byte("2026-12-04T06:00:00Z/70000")))
	assert.NoError(t, stamp.UnmarshalText([]byte("2026-12-04T06:00:00Z")))
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder("h1", NewClock(time.Now), 20_000)
	b.ReportAllocs()
	for b.Loop() {
		r.Record("permit-granted", "01J", Attr("upstream", "e1"))
	}
}
