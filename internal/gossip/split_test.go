package gossip

import (
	"fmt"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/upstreamlimit"
)

// largeMessage returns a full message of a host that knows the given number of engines, all of
// which leave and limit their requests, and sends evidence in sections.
func largeMessage(engines, sections int) Message {
	m := Message{
		Self: member("edge-1", 7, 1, Ready), Tables: map[string]TableState{"op": {Revision: 5, Age: 3}},
		Loads: map[string]balance.Load{}, Losses: map[uint64]int{},
	}
	for i := range 96 {
		m.Others = append(m.Others, member(fmt.Sprintf("edge-%d", i+2), 7, 1, Ready))
	}
	for i := range engines {
		id := fmt.Sprintf("i-%08d", i)
		m.Loads[id] = balance.Load{Requests: 3, Tokens: 40_000, PendingPromptTokens: 7000}
		m.Losses[uint64(i)<<40] = 2
		m.Notices = append(m.Notices, catalog.LeaveNotice{Upstream: id, Incarnation: 1_800_000_000_000})
		m.Limits = append(m.Limits, upstreamlimit.Statement{Upstream: id, Incarnation: 1_800_000_000_000, PerSecond: 2.5, Age: 30})
	}
	for range sections {
		m.Sections = append(m.Sections, Section{Name: "evidence", Data: make([]byte, MaxSectionBytes)})
	}
	return m
}

// received is what a host holds of another one after some datagrams.
type received struct {
	members, notices, limits, sections int
	loads                              map[string]balance.Load
	losses                             map[uint64]int
	tables                             map[string]TableState
}

// receive applies datagrams as the front end does.
func receive(t *testing.T, r *received, data [][]byte) {
	t.Helper()
	table, now := NewTable(member("self", 1, 1, Ready)), time.Unix(1000, 0)
	for _, d := range data {
		require.LessOrEqual(t, len(d), maxMessageBytes)
		m, err := decodeMessage(d)
		require.NoError(t, err)
		table.Merge(m, now)
		require.True(t, table.AcceptInOrder(m.Self))
		r.notices, r.limits, r.sections = r.notices+len(m.Notices), r.limits+len(m.Limits), r.sections+len(m.Sections)
		if m.Tables != nil {
			r.tables = m.Tables
		}
		if m.Split.Loads != nil {
			maps.DeleteFunc(r.loads, func(id string, _ balance.Load) bool { return m.Split.Loads.Contains(id) })
		}
		if m.Split.Losses != nil {
			maps.DeleteFunc(r.losses, func(f uint64, _ int) bool { return m.Split.Losses.Contains(f) })
		}
		maps.Copy(r.loads, m.Loads)
		maps.Copy(r.losses, m.Losses)
	}
	r.members = table.CountLive(now)
}

// Guards against messages that grow with the configuration or the number of upstreams until they
// exceed a datagram, and against a membership that depends on them.
func TestMessagesOfAnySizeAreSent(t *testing.T) {
	for _, size := range []struct{ engines, sections int }{{350, 6}, {3500, 60}, {10_000, 60}} {
		m := largeMessage(size.engines, size.sections)
		heartbeat := m.Self.Heartbeat
		data, err := m.datagrams(func() Member {
			heartbeat++
			next := m.Self.withoutStaticFields()
			next.Heartbeat = heartbeat
			return next
		})
		require.NoError(t, err)
		largest := 0
		for _, d := range data {
			largest = max(largest, len(d))
		}
		t.Logf("%d engines, %d sections: %d datagrams, the largest has %d bytes", size.engines, size.sections, len(data), largest)
		// What the receiver held before, and no longer holds where it is not named.
		r := &received{loads: map[string]balance.Load{"gone": {Requests: 1}}, losses: map[uint64]int{3: 1}}
		receive(t, r, data)
		require.Equal(t, m.Loads, r.loads)
		require.Equal(t, m.Losses, r.losses)
		require.Equal(t, m.Tables, r.tables)
		require.Equal(t, []int{97, size.engines, size.engines, size.sections}, []int{r.members, r.notices, r.limits, r.sections})

		first := &received{loads: map[string]balance.Load{"gone": {Requests: 1}}, losses: map[uint64]int{}}
		receive(t, first, data[:1])
		require.Equal(t, 97, first.members, "members known from the first datagram alone")
		require.Contains(t, first.loads, "gone", "the first datagram states nothing about it")
	}
}

// Guards against hosts of an older version that take a part of the loads for all, or that read
// the tables of a continuation.
func TestOlderHostsReadSplitMessages(t *testing.T) {
	m := largeMessage(3000, 0)
	data, err := m.datagrams(func() Member { return m.Self.withoutStaticFields() })
	require.NoError(t, err)
	require.Greater(t, len(data), 2)
	loads := map[string]balance.Load{}
	for i, d := range data {
		var old firstMessage
		require.NoError(t, decodeFirst(d, &old))
		if i == 0 {
			require.Equal(t, AllLoads, old.Content)
			require.Equal(t, m.Tables, old.Tables)
		} else {
			require.Equal(t, ChangedLoads, old.Content)
		}
		maps.Copy(loads, old.Loads)
	}
	require.Equal(t, m.Loads, loads)
}

// refusingConn is a socket that refuses each datagram.
type refusingConn struct{ net.UDPConn }

func (*refusingConn) WriteToUDP([]byte, *net.UDPAddr) (int, error) {
	return 0, fmt.Errorf("message too long")
}

// Guards against messages that are dropped without a trace.
func TestUnsentMessagesAreReported(t *testing.T) {
	var logged []string
	reasons := map[string]int{}
	transport := &Transport{
		Table: NewTable(member("a", 1, 1, Ready)), Conn: &refusingConn{}, Compose: func(m *Message, _ bool) {
			m.Sections = []Section{{Name: "too large", Data: make([]byte, 2*maxMessageBytes)}, {Name: "small"}}
		},
		OnUnsent: func(reason string) { reasons[reason]++ },
		Log:      funcr.New(func(_, args string) { logged = append(logged, args) }, funcr.Options{}),
	}
	for range 3 {
		data := transport.composeAndMarshal(time.Now(), true, Message{})
		require.NotEmpty(t, data, "the rest of the message is sent")
		transport.send(data[:1], "10.0.0.1:7000")
		transport.send(data[:1], "no address")
	}
	require.Equal(t, map[string]int{unsentEncoding: 3, unsentSocket: 3, unsentAddress: 3}, reasons)
	require.Len(t, logged, 3, "once for each reason")
	require.Contains(t, strings.Join(logged, "\n"), errTooLarge.Error())
}
