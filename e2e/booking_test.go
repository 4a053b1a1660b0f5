package e2e

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/callerclient"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/standin"
)

// booking is the outcome of one non-repeatable call.
type booking struct {
	key    string
	result *callerclient.CallResult
	err    error
}

func (b booking) refusal() *callerclient.Refusal { return requestResult{err: b.err}.refusal() }

// callBooking sends a call with the idempotency key to the host.
func (c *cluster) callBooking(h *host, key string) booking {
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	result, err := c.newClient(h).Call(ctx, h.callerAddress, "booking", key, []byte(`{"book":"`+key+`"}`))
	return booking{key: key, result: result, err: err}
}

// callBookings concurrently sends a call for each key to each host.
func (c *cluster) callBookings(keys []string, hosts ...*host) []booking {
	out := make([]booking, len(keys)*len(hosts))
	var calls sync.WaitGroup
	for i := range out {
		calls.Go(func() { out[i] = c.callBooking(hosts[i%len(hosts)], keys[i/len(hosts)]) })
	}
	calls.Wait()
	return out
}

// countRuns returns the number of runs per key and per request, over all plain services.
func (c *cluster) countRuns() (byKey, byRequest map[string]int) {
	byKey, byRequest = map[string]int{}, map[string]int{}
	for _, p := range c.plains {
		s := readStats[standin.PlainStats](p)
		for key, n := range s.RunsByKey {
			byKey[key] += n
		}
		for request, n := range s.RunsByRequest {
			byRequest[request] += n
		}
	}
	return byKey, byRequest
}

// requireAtMostOneRun requires that no key ran twice, that no request refused as not
// run did run, and that each response belongs to its key. It returns the runs per key.
func (c *cluster) requireAtMostOneRun(t *testing.T, bookings []booking) map[string]int {
	t.Helper()
	byKey, byRequest := c.countRuns()
	for key, n := range byKey {
		require.LessOrEqual(t, n, 1, "key %s", key)
	}
	for _, b := range bookings {
		if b.err == nil {
			require.Equal(t, 200, b.result.Status)
			require.Equal(t, `{"book":"`+b.key+`"}`, string(b.result.Body))
			require.Equal(t, 1, byKey[b.key])
			continue
		}
		if refusal := b.refusal(); refusal != nil && refusal.NotRun {
			require.NotEmpty(t, refusal.Request)
			require.Zero(t, byRequest[refusal.Request], "%s ran and was refused: %v", b.key, b.err)
		}
	}
	return byKey
}

func keyNames(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return out
}

// Guards against calls that run although their claim cannot be stored (R6, R7).
func TestBookingIsRefusedDuringTableOutage(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	c.table.setFault(standin.Fault{Kind: standin.FaultDown})
	names := keyNames("down", 10)
	refused := c.callBookings(names, c.hosts...)
	require.Empty(t, c.requireAtMostOneRun(t, refused))
	for _, b := range refused {
		require.NotNil(t, b.refusal(), "%v", b.err)
		require.Equal(t, failure.StoreUnavailable, b.refusal().Kind)
		require.True(t, b.refusal().NotRun)
	}
	c.table.setFault(standin.Fault{Kind: standin.FaultNone})
	for _, key := range names {
		c.eventually("book "+key, func() bool { return c.callBooking(c.hosts[1], key).err == nil })
	}
	byKey := c.requireAtMostOneRun(t, nil)
	require.Len(t, byKey, len(names))
}

// Guards against a second run when the table service has written a claim or an outcome
// but its response is lost (R6, R7).
func TestBookingRunsOnceWhenTableResponsesAreLost(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	names := keyNames("lost", 20)
	c.table.setFault(standin.Fault{Kind: standin.FaultLoseAnswer})
	bookings := c.callBookings(names, c.hosts...)
	c.requireAtMostOneRun(t, bookings)
	c.table.setFault(standin.Fault{Kind: standin.FaultNone})
	laterBookings := c.callBookings(names, c.hosts...)
	byKey := c.requireAtMostOneRun(t, append(bookings, laterBookings...))
	for _, b := range laterBookings { // once the table works again, a key that ran is not reported as not run
		if refusal := b.refusal(); refusal != nil && byKey[b.key] > 0 {
			require.False(t, refusal.NotRun, "%s: %v", b.key, b.err)
		}
	}
	t.Logf("keys=%d ran=%d", len(names), len(byKey))
}

// Guards against a second run, and against a call that is reported as not run although
// it ran, when the daemon that claimed the key is killed during the call (R6, R7).
func TestBookingClaimantKilledDuringCall(t *testing.T) {
	t.Parallel()
	c := newSmallClusterWith(t, nil, []string{"-duration", "8s"})
	claimant := c.hosts[2]
	// The owner of a cold pool grants three of its four slots at once. A fourth call would
	// start only after the others have ended, when the kill would be too late.
	names := keyNames("killed", 3)
	firstBookings := make(chan []booking)
	go func() { firstBookings <- c.callBookings(names, claimant) }()
	c.eventually("all calls run", func() bool { byKey, _ := c.countRuns(); return len(byKey) == len(names) })
	claimant.kill()
	for _, b := range <-firstBookings {
		require.Error(t, b.err)
		require.Nil(t, b.refusal())
	}
	for range 3 {
		repeatedBookings := c.callBookings(names, c.hosts[:2]...)
		c.requireAtMostOneRun(t, repeatedBookings)
		for _, b := range repeatedBookings {
			require.NotNil(t, b.refusal(), "%v", b.err)
			require.Equal(t, failure.OutcomeUnknown, b.refusal().Kind)
			require.False(t, b.refusal().NotRun)
		}
		time.Sleep(2 * time.Second) // the later rounds run after the membership view has changed
	}
}

// Guards against repeating a call that ran but whose response was lost with the
// connection to the plain service (R6, R7).
func TestBookingIsNotRepeatedAfterLostResponse(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	for _, p := range c.plains {
		p.setFault(standin.Fault{Kind: standin.FaultLoseAnswer})
	}
	names := keyNames("reset", 10)
	bookings := c.callBookings(names, c.hosts[0])
	for _, p := range c.plains {
		p.setFault(standin.Fault{Kind: standin.FaultNone})
	}
	bookings = append(bookings, c.callBookings(names, c.hosts...)...)
	byKey := c.requireAtMostOneRun(t, bookings)
	require.Len(t, byKey, len(names))
	for _, b := range bookings {
		require.NotNil(t, b.refusal(), "%v", b.err)
		require.Equal(t, failure.OutcomeUnknown, b.refusal().Kind)
		require.False(t, b.refusal().NotRun)
	}
}

// Guards against more than one run when many callers use one key concurrently (R7).
func TestConcurrentBookingsWithOneKey(t *testing.T) {
	t.Parallel()
	c := newSmallClusterWith(t, nil, []string{"-duration", "200ms"})
	const callers = 50
	var calls sync.WaitGroup
	bookings := make([]booking, callers)
	for i := range callers {
		calls.Go(func() { bookings[i] = c.callBooking(c.hosts[i%len(c.hosts)], "one") })
	}
	calls.Wait()
	byKey := c.requireAtMostOneRun(t, bookings)
	require.Equal(t, map[string]int{"one": 1}, byKey)
	answered := 0
	for _, b := range bookings {
		var refusal *callerclient.Refusal
		if b.err == nil {
			answered++
		} else if errors.As(b.err, &refusal) {
			require.False(t, refusal.NotRun, "%v", b.err)
		}
	}
	require.Positive(t, answered)
	t.Logf("callers=%d answered=%d", callers, answered)
}
