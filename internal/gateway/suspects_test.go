package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that crashes engines again and again because each host counts
// only its own failures. Seven hosts receive the request in turn.
func TestLossesAreSummedOverAllHosts(t *testing.T) {
	now, hosts := time.Unix(1000, 0), make([]*Suspects, 7)
	for i := range hosts {
		hosts[i] = NewSuspects()
	}
	ran := 0
	for i := range 21 {
		h := hosts[i%len(hosts)]
		if !h.IsRefused(42, now) {
			ran++
			h.RecordLoss(42, now)
		}
		for j, other := range hosts {
			for k, from := range hosts {
				if j != k {
					other.SetPeerCounts(string(rune('a'+k)), from.OwnCounts())
				}
			}
		}
	}
	require.Equal(t, maxRequestLosses, ran)
	require.False(t, hosts[0].IsRefused(43, now))
}

// Guards against refusing harmless requests because of failures of their engines.
func TestAnswerClearsLosses(t *testing.T) {
	now, s := time.Unix(1000, 0), NewSuspects()
	for range 5 {
		s.RecordLoss(42, now)
		s.RecordLoss(42, now)
		s.Clear(42)
	}
	require.False(t, s.IsRefused(42, now))
	for range maxRequestLosses {
		s.RecordLoss(42, now)
	}
	require.True(t, s.IsRefused(42, now))
	require.False(t, s.IsRefused(42, now.Add(lossRetention)))
}

// Guards against losses that are forgotten because a datagram held only a part of another host's.
func TestPartOfAReportKeepsTheRest(t *testing.T) {
	now, s := time.Unix(1000, 0), NewSuspects()
	s.SetPeerCounts("h1", map[uint64]int{1: maxRequestLosses, 2: maxRequestLosses, 3: maxRequestLosses})
	s.SetPeerCountsWithin("h1", map[uint64]int{4: maxRequestLosses}, func(f uint64) bool { return f >= 3 })
	require.True(t, s.IsRefused(2, now))
	require.False(t, s.IsRefused(3, now), "covered and no longer named")
	require.True(t, s.IsRefused(4, now))
}
