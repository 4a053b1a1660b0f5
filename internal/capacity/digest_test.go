package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/pool"
)

// remoteMembers is a view in which the server end of a peerPair has every role.
type remoteMembers struct {
	grantingMembers
	address string
}

func (m remoteMembers) MemberInRole(string, permit.Role) (string, string, bool) {
	return hostName, m.address, true
}

// BenchmarkRelease measures the bytes of the progress digest that reports the end of
// one request while the daemon holds other permits of the pool.
func BenchmarkRelease(b *testing.B) {
	fitSlopes(b, "permit", []int{16, 32, 64, 128}, func(n int) []measurement {
		granted, digests := uint64(0), make(chan permit.ProgressParams, 1024)
		w := newPeerPair(b, func(s *peer.Server) {
			peer.Register(s, permit.MethodAcquire, func(_ context.Context, p permit.AcquireParams) (permit.AcquireResult, error) {
				granted++
				g := runningPermit(int(granted)).Permit
				return permit.AcquireResult{Permit: &g}, nil
			})
			peer.Register(s, permit.MethodProgress, func(_ context.Context, p permit.ProgressParams) (struct{}, error) {
				digests <- p
				return struct{}{}, nil
			})
		})
		client := permit.NewClient(w.client, remoteMembers{address: w.address}, logr.Discard())
		var held []*permit.HeldPermit
		for i := range n + 1 {
			h, err := client.Acquire(context.Background(), "model-0001-praha-1", pool.Request{
				ID: fmt.Sprintf("01JABCDEFGHJKMN%011d", i), Fingerprint: 1 << 60, Service: "service-0001", Version: "v1", Account: "account-00001", PromptTokens: 1234,
			})
			require.NoError(b, err)
			held = append(held, h)
		}
		time.Sleep(10 * time.Millisecond) // lets the server write its responses
		before := w.listener.in.Load()
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		held[0].Release(pool.Completed, false)
		go func() { client.Run(ctx); close(stopped) }()
		for d := range digests {
			if len(d.Finished) > 0 {
				break
			}
		}
		sent := w.listener.in.Load() - before
		cancel()
		<-stopped
		return []measurement{{"request-B", float64(sent)}}
	})
}
