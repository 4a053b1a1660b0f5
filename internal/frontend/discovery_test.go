package frontend

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/gossip"
)

// Guards against hosts that do not read the table themselves and never learn how many others
// there are.
func TestSizeOfTheTableOfHostsSpreads(t *testing.T) {
	newHost := func(name string) *FrontEnd {
		return &FrontEnd{settings: &Settings{}, log: logr.Discard(), members: gossip.NewTable(gossip.Member{Name: name})}
	}
	reader, other := newHost("edge-1"), newHost("edge-2")
	now := time.Unix(1000, 0)
	other.mergeStoredHosts(reader.storedHostsSection(true, now), now)
	_, known := other.members.StoredHosts()
	require.False(t, known)
	reader.members.MergeStoredHosts(gossip.StoredHosts{Count: 7, Revision: 12}, now)
	other.mergeStoredHosts(append([]gossip.Section{{Name: "of a later version", Data: []byte{1}}}, reader.storedHostsSection(false, now)...), now)
	s, _ := other.members.StoredHosts()
	require.Equal(t, gossip.StoredHosts{Count: 7, Revision: 12}, s)
	now = now.Add(time.Minute)
	require.Empty(t, reader.storedHostsSection(false, now), "all know it")
	require.NotEmpty(t, reader.storedHostsSection(true, now), "a starting host does not")
}

// Guards against settings whose changed seeds are not used.
func TestSeedsFollowTheSettings(t *testing.T) {
	f := &FrontEnd{settings: &Settings{Listen: Listen{Peer: "10.0.0.1:81"}, Peers: Peers{Seeds: []string{"10.0.0.9:81"}}}, log: logr.Discard()}
	require.False(t, f.isSeed())
	f.setSeeds([]string{"10.0.0.1:81", "10.0.0.2:81"})
	require.True(t, f.isSeed())
	require.Equal(t, []string{"10.0.0.2:81"}, f.otherSeeds(f.seeds()))
}
