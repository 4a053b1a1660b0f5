package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a route that outranks the account, ranks out of range, and a stated priority
// where it tells nothing apart.
func TestPriorityOfRequests(t *testing.T) {
	rank := func(n int) Priority { return NewPriority(&n) }
	c := Configuration{
		Routes: []Route{
			{Name: "minutes", Priority: rank(2), Split: []ServiceShare{{Service: "engines", Weight: 1}}},
			{Name: "items", Priority: rank(0), Split: []ServiceShare{{Service: "engines", Weight: 1}}},
			{Name: "lookup", Priority: rank(2), Split: []ServiceShare{{Service: "desk", Weight: 1}}},
		},
		Services: []Service{{Name: "engines"}, {Name: "desk"}},
	}
	c.BuildIndex()
	require.Equal(t, rank(2), c.PriorityOf(&c.Routes[0], nil, "engines"))
	require.Equal(t, rank(0), c.PriorityOf(&c.Routes[1], nil, "engines"))
	require.Equal(t, Priority{}, c.PriorityOf(&c.Routes[2], nil, "desk"), "all requests of the service have the same")
	c.Accounts = []Account{{Name: "a", Priority: rank(12)}, {Name: "b"}}
	c.BuildIndex()
	require.Equal(t, rank(9), c.PriorityOf(&c.Routes[1], &c.Accounts[0], "engines"))
	require.Equal(t, rank(0), c.PriorityOf(&c.Routes[1], &c.Accounts[1], "engines"))
	require.Equal(t, rank(2), c.PriorityOf(&c.Routes[2], &c.Accounts[1], "desk"))
}
