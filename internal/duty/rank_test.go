package duty

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a loss of one data centre that takes all first hosts with it, and against hosts
// that disagree on the order.
func TestFirstHostsAreInDifferentDataCentres(t *testing.T) {
	var hosts []Host
	for i := range 66 {
		hosts = append(hosts, Host{fmt.Sprintf("host-%d", i), fmt.Sprintf("dc-%d", min(i/10, 3))})
	}
	order := RankHosts("usage", hosts)
	require.ElementsMatch(t, hosts, order)
	first := map[string]bool{}
	for _, h := range order[:4] {
		first[h.DataCentre] = true
	}
	require.Len(t, first, 4)
	slices.Reverse(hosts)
	require.Equal(t, order, RankHosts("usage", hosts))
	require.NotEqual(t, order, RankHosts("autoscale", hosts))
}
