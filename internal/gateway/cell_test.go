package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/retry"
)

// divideIntoCells makes the gateway's cell own one eighth of the engines.
func divideIntoCells(g *Gateway) {
	g.Cell = func() (func(_, upstream string) bool, bool) {
		return func(_, upstream string) bool { return retry.Hash(upstream)%8 == 3 }, true
	}
}

// Guards against hosts that choose engines of other cells, whose load they do not know,
// while their own cell has room. The load is 400 generations on 200 engines.
func TestEnginesOfOwnCellAreChosenFirst(t *testing.T) {
	g, service := newManyEngineGateway(200, func(int, *catalog.Upstream) {})
	divideIntoCells(g)
	inOwnCell, _ := g.Cell()
	load := balance.Load{Requests: 1, Tokens: 8000}
	cellCapacity, chosenElsewhere := 0, 0
	for id := range g.Catalog().Upstreams {
		if inOwnCell("", id) {
			cellCapacity += 34_000 / load.Tokens
		}
	}
	for i := range 400 {
		u := g.chooseUpstream(g.Catalog(), service, "", fmt.Sprint(i), balance.Demand{MemoryTokens: load.Tokens}, nil, time.Now())
		require.NotNil(t, u)
		if !inOwnCell("", u.ID) {
			chosenElsewhere++
		} else {
			require.Zero(t, chosenElsewhere, "request %d: own cell has room although engines of other cells were chosen", i)
		}
		g.LoadTracker.AddLoad(u.ID, load)
	}
	require.Equal(t, 400-cellCapacity, chosenElsewhere, "the whole room of the own cell must be used before engines of other cells")
}

// Guards against overloading a plain upstream: upstreams are few, and a cell does not
// know the load of other cells on them.
func TestPlainUpstreamsAreSharedByAllCells(t *testing.T) {
	g, service := newManyEngineGateway(16, func(int, *catalog.Upstream) {})
	divideIntoCells(g)
	service.Engine, service.ColdRate = nil, 0
	chosen := map[string]bool{}
	for i := range 200 {
		chosen[g.chooseUpstream(g.Catalog(), service, "", fmt.Sprint(i), balance.Demand{MemoryTokens: 0}, nil, time.Now()).ID] = true
	}
	require.Len(t, chosen, 16)
}

// Guards against refusals while no engine of the own cell is usable.
func TestOtherCellsServeWhenOwnCellHasNoEngine(t *testing.T) {
	g, service := newManyEngineGateway(200, func(_ int, u *catalog.Upstream) { u.Draining = retry.Hash(u.ID)%8 == 3 })
	divideIntoCells(g)
	u := g.chooseUpstream(g.Catalog(), service, "", "r", balance.Demand{MemoryTokens: 1000}, nil, time.Now())
	require.NotNil(t, u)
	require.False(t, u.Draining)
}
