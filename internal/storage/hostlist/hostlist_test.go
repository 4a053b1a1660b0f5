package hostlist

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/responsehead/headtest"
	"github.com/rattanscale/rattanscale/internal/storage"
)

// Guards against a malformed response that is taken for a list of hosts.
func TestBrokenResponseIsNoHostList(t *testing.T) {
	const list = `[{"name":"h1","address":"192.0.2.1:7000"}]`
	for name, response := range headtest.Malformed("", list) {
		t.Run(name, func(t *testing.T) {
			hosts, err := New("http://" + headtest.Serve(t, response, "")).Hosts(t.Context())
			require.ErrorIs(t, err, storage.ErrUnavailable)
			require.Empty(t, hosts)
		})
	}
	hosts, err := New("http://" + headtest.Serve(t, headtest.Proper("", list)["length"], "")).Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, []storage.ListedHost{{Name: "h1", Address: "192.0.2.1:7000"}}, hosts)
}
