package follow

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// upstreamRows returns rows like those of the table of upstreams.
func upstreamRows(n int) []Row {
	rows := make([]Row, n)
	for i := range rows {
		value := fmt.Sprintf(`{"service":"narration","address":"10.1.%d.%d:8027","dc":"praha-1","version":"v1","slots":24,`+
			`"state":"ready","cold":0,"beat":%d,"born":17711%08d}`, i/250, i%250, i, i*7919%100_000_000)
		rows[i] = Row{Key: fmt.Sprintf("i-%010x", i*1_000_003), Value: []byte(value), Revision: uint64(i + 1)}
	}
	return rows
}

// Guards against full tables that take too long to reach a restarting host: 3,000 upstreams
// must transfer in a quarter of a second at 10 Mbit/s.
func TestPackedTableIsSmall(t *testing.T) {
	sent := Delta{Rows: upstreamRows(3000), Revision: 3000, Content: 2999, Full: true, Age: 12}
	packed, err := Pack(sent)
	require.NoError(t, err)
	require.Less(t, len(packed.Data)*4/3, 10_000_000/8/4, "as base64")
	got, err := packed.Unpack()
	require.NoError(t, err)
	require.Equal(t, sent, got)
}

// Guards against a large configuration that one host sends uncompressed to its whole cell:
// 400 routes must reach 48 hosts in one second at 10 Mbit/s.
func TestPackedConfigurationIsSmall(t *testing.T) {
	var value strings.Builder
	value.WriteString(`{"version":7,"routes":[`)
	for i := range 400 {
		fmt.Fprintf(&value, `{"name":"r-%07x","host":"rides%d.example","prefix":"/p%x/","kind":"safe","timeout":1000,"target":100,"attempts":2,"service":"booking"},`, i*7919, i%7, i*104729)
	}
	packed, err := Pack(Delta{Rows: []Row{{Key: "config", Value: []byte(value.String()), Revision: 7}}, Revision: 7})
	require.NoError(t, err)
	require.Nil(t, packed.Delta)
	require.Less(t, len(packed.Data)*4/3, 10_000_000/8/48, "as base64")
}

// Guards against compressing small deltas, and against a truncated table that decodes as an
// empty one.
func TestPackSmallDeltasAndDamagedData(t *testing.T) {
	sent := Delta{Rows: append(upstreamRows(2), Row{Key: "gone", Revision: 9, Deleted: true}), Revision: 9}
	packed, err := Pack(sent)
	require.NoError(t, err)
	require.Empty(t, packed.Data)
	got, err := packed.Unpack()
	require.NoError(t, err)
	require.Equal(t, sent, got)

	packed, err = Pack(Delta{Rows: upstreamRows(200)})
	require.NoError(t, err)
	_, err = Packed{Data: packed.Data[:len(packed.Data)/2]}.Unpack()
	require.Error(t, err)
	_, err = Packed{}.Unpack()
	require.Error(t, err)
}
