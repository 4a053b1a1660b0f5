package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against retries of all hosts together that exceed the limit in any window,
// including when requests are spread unevenly. The load is an upstream that fails every
// request for two windows.
func TestRetryBoundHoldsAcrossHosts(t *testing.T) {
	const hosts, ratio, slack = 7, 0.2, 54
	limiters := make([]*WindowLimiter, hosts)
	for i := range limiters {
		limiters[i] = NewWindowLimiter()
		limiters[i].SetBounds(ratio, slack, 10*time.Second)
	}
	start := time.Unix(1000, 0)
	var requests, retries []time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += 25 * time.Millisecond {
		for i, w := range limiters {
			if i > 0 && int(at/(25*time.Millisecond))%(i+1) != 0 {
				continue
			}
			w.RecordRequest("s", start.Add(at))
			requests = append(requests, at)
			if w.Allow("s", start.Add(at), hosts) {
				retries = append(retries, at)
			}
		}
	}
	countWithin := func(list []time.Duration, from time.Duration) (n int) {
		for _, at := range list {
			if at >= from && at < from+10*time.Second {
				n++
			}
		}
		return n
	}
	require.NotEmpty(t, retries)
	for from := time.Duration(0); from <= 10*time.Second; from += 100 * time.Millisecond {
		require.LessOrEqual(t, float64(countWithin(retries, from)), ratio*float64(countWithin(requests, from))+slack)
	}
}
