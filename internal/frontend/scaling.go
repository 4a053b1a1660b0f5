package frontend

import (
	"context"
	"time"

	"github.com/rattanscale/rattanscale/internal/duty"
	"github.com/rattanscale/rattanscale/internal/orders"
)

// scalingInterval is the interval at which the holder of the duty decides on orders.
const scalingInterval = time.Second

// scalingTask decides on the numbers of upstreams and orders them. It is called every
// scalingInterval while this host holds the duty, with a sender of orders that is bound to the
// claim.
type scalingTask func(ctx context.Context, now time.Time, o *orders.Sender)

// newScalingTask returns the task of the duty; nil if upstreams are not ordered.
func newScalingTask(*FrontEnd) scalingTask { return nil }

// addScaling adds the duty to order upstreams, if there is a task for it.
func (d *duties) addScaling(s Duties) {
	task := newScalingTask(d.frontEnd)
	if task == nil {
		return
	}
	var sender *orders.Sender
	var lastRun duty.Instant
	held := d.runner.Add(DutyAutoscale, func(ctx context.Context, _ *duty.Duty) {
		if now := duty.Now(); now.Sub(lastRun) >= scalingInterval {
			lastRun = now
			task(ctx, time.Now(), sender)
		}
	})
	sender = orders.NewSender(held, orders.Sender{
		FencingEnforced: s.FencingEnforced, Now: duty.Now, Log: d.frontEnd.log,
		Call: func(ctx context.Context, o duty.Order, service, dataCentre string, count int) error {
			return d.limited(ctx, func() error { return d.api.OrderCount(ctx, o, service, dataCentre, count) })
		},
	})
}
