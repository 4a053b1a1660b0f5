package gossip

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/promptparts"
	"github.com/rattanscale/rattanscale/internal/upstreamlimit"
)

// firstMember and firstMessage are the first version of the message format.
type firstMember struct {
	Name          string
	Incarnation   int64
	Beat          uint64
	State         State
	DataCentre    string
	CallerAddress string
	PeerAddress   string
}

type firstMessage struct {
	Self     firstMember
	Others   []firstMember
	Tables   map[string]TableState
	Loads    map[string]balance.Load
	Losses   map[uint64]int
	Evidence map[string][]byte
	Reply    bool
	Content  Content
}

func arrayEncoded(t *testing.T, v any) []byte {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	require.NoError(t, encoder.Encode(v))
	return data.Bytes()
}

// Guards against hosts of two versions that cannot decode each other's messages during an
// upgrade. Each group would count the other as failed and use up the shared limits alone.
func TestHostsOfTwoVersionsExchangeMessages(t *testing.T) {
	old := firstMember{"b", 7, 9, Ready, "praha-1", "10.0.0.2:80", "10.0.0.2:81"}
	now := Member{"b", 7, 9, Ready, "praha-1", "10.0.0.2:80", "10.0.0.2:81", 1200}
	tables := map[string]TableState{"servers": {Revision: 4, Age: 20}}

	decoded, err := decodeMessage(arrayEncoded(t, &firstMessage{Self: old, Others: []firstMember{old}, Tables: tables, Content: NoLoads}))
	require.NoError(t, err)
	withoutAge := now
	withoutAge.Age = 0
	require.Equal(t, Message{Self: withoutAge, Others: []Member{withoutAge}, Tables: tables, Content: NoLoads}, decoded)

	sent := Message{Self: withoutAge, Others: []Member{now}, Tables: tables, Content: NoLoads, Notices: []catalog.LeaveNotice{{Upstream: "i-1", Incarnation: 3}},
		Limits: []upstreamlimit.Statement{{Upstream: "i-2", Incarnation: 4, PerSecond: 2.5, Age: 30}}}
	data, err := sent.encode()
	require.NoError(t, err)
	var decodedByOldHost firstMessage
	require.NoError(t, msgpack.Unmarshal(data, &decodedByOldHost))
	require.Equal(t, firstMessage{Self: old, Others: []firstMember{old}, Tables: tables, Content: NoLoads}, decodedByOldHost)
	again, err := decodeMessage(data)
	require.NoError(t, err)
	require.Equal(t, sent, again)
	sent.PromptParts = promptparts.Report{Crashes: []promptparts.Crash{{Part: 5, Engine: 6, Age: 7}}, Answers: []promptparts.Answer{{Part: 8, Age: 9}}}
	sent.Sections = []Section{{Name: "a", Data: []byte{1, 2}}}
	extended, err := sent.encode()
	require.NoError(t, err)
	again, err = decodeMessage(extended)
	require.NoError(t, err)
	require.Equal(t, sent, again)
	require.NoError(t, msgpack.Unmarshal(extended, &decodedByOldHost), "hosts of an older version ignore further values")
	_, err = decodeMessage(data[:len(data)-1])
	require.Error(t, err, "truncated in the extension")
}

// decodeFirst decodes a datagram as a host of the first version does.
func decodeFirst(data []byte, m *firstMessage) error { return msgpack.Unmarshal(data, m) }
