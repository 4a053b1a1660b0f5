package orders

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/duty"
)

// fakeDuty is a duty that one host holds all the time.
type fakeDuty struct {
	token uint64
	state []byte
}

func (f *fakeDuty) Grant() (duty.Grant, bool) {
	return duty.Grant{Token: f.token, State: f.state}, true
}

func (f *fakeDuty) Save(_ context.Context, _ uint64, state []byte) error {
	f.state = state
	return nil
}

func (f *fakeDuty) Do(ctx context.Context, token uint64, call func(ctx context.Context, o duty.Order) error) error {
	return call(ctx, duty.Order{Token: token})
}

func (f *fakeDuty) Raise(context.Context, uint64) (duty.Grant, error) {
	f.token++
	return duty.Grant{Token: f.token, State: f.state}, nil
}

// platform executes orders; some of them late.
type platform struct {
	fencingEnforced bool
	count           int
	highest         uint64
	late            []lateOrder
}

type lateOrder struct {
	at    duty.Instant
	token uint64
	count int
}

func (p *platform) execute(token uint64, count int) error {
	if p.fencingEnforced && token < p.highest {
		return duty.ErrSuperseded
	}
	p.highest, p.count = max(p.highest, token), count
	return nil
}

func (p *platform) executeLate(now duty.Instant) {
	for _, o := range p.late {
		if o.at == now {
			_ = p.execute(o.token, o.count) // a rejected late order is what fencing is for
		}
	}
}

// Guards against an order that is executed late and undoes a newer one for good.
func TestLateOrderDoesNotUndoANewerOne(t *testing.T) {
	for _, enforced := range []bool{true, false} {
		rapid.Check(t, func(t *rapid.T) {
			p, h, now := &platform{fencingEnforced: enforced}, &fakeDuty{token: 1}, duty.Instant(time.Hour)
			s := NewSender(h, Sender{
				FencingEnforced: enforced, Now: func() duty.Instant { return now }, Log: logr.Discard(),
				Call: func(_ context.Context, o duty.Order, _, _ string, count int) error {
					switch rapid.IntRange(0, 4).Draw(t, "fault") {
					case 0:
						delay := time.Duration(rapid.IntRange(1, 12).Draw(t, "delay")) * time.Second
						p.late = append(p.late, lateOrder{now.Add(delay), o.Token, count})
						return duty.ErrUnknownOutcome
					case 1:
						_ = p.execute(o.Token, count)
						return duty.ErrUnknownOutcome
					}
					return p.execute(o.Token, count)
				},
			})
			wanted := 0
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				wanted = rapid.IntRange(1, 5).Draw(t, "wanted")
				p.executeLate(now)
				_ = s.OrderCount(context.Background(), "s", "z", wanted) // made again below
				now = now.Add(time.Second)
			}
			for range 30 { // no further change is wanted
				p.executeLate(now)
				_ = s.OrderCount(context.Background(), "s", "z", wanted)
				now = now.Add(time.Second)
			}
			require.Equal(t, wanted, p.count)
		})
	}
}

// Guards against a new holder that does not know the last order, or repeats accepted orders.
func TestNextHolderKnowsTheLastOrder(t *testing.T) {
	h, calls := &fakeDuty{token: 1}, 0
	options := Sender{
		FencingEnforced: true, Now: duty.Now, Log: logr.Discard(),
		Call: func(context.Context, duty.Order, string, string, int) error { calls++; return nil },
	}
	s := NewSender(h, options)
	require.NoError(t, s.OrderCount(t.Context(), "s", "z", 4))
	require.NoError(t, s.OrderCount(t.Context(), "s", "z", 4))
	require.Equal(t, 1, calls)
	h.token = 2
	o, ok := NewSender(h, options).Last("s", "z")
	require.True(t, ok)
	require.Equal(t, 4, o.Count)
}

// Guards against an accepted order that had no effect and is never given again.
func TestOrderWithoutEffectIsSentAgain(t *testing.T) {
	calls := 0
	s := NewSender(&fakeDuty{token: 1}, Sender{FencingEnforced: true, Now: func() duty.Instant { return duty.Instant(time.Hour) }, Log: logr.Discard(),
		Call: func(context.Context, duty.Order, string, string, int) error { calls++; return nil }})
	for range 3 {
		require.NoError(t, s.OrderCount(t.Context(), "s", "a", 5))
	}
	require.Equal(t, 1, calls)
	s.RepeatNext("s", "a")
	for range 3 {
		require.NoError(t, s.OrderCount(t.Context(), "s", "a", 5))
	}
	require.Equal(t, 2, calls)
}
