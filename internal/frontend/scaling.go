package frontend

import (
	"context"
	"time"

	"github.com/rattanscale/rattanscale/internal/autoscale"
	"github.com/rattanscale/rattanscale/internal/duty"
	"github.com/rattanscale/rattanscale/internal/orders"
)

// scalingInterval is the interval at which the holder of the duty decides on orders.
const scalingInterval = time.Second

// addScaling adds the duty to order upstreams.
func (d *duties) addScaling(s Duties) {
	var sender *orders.Sender
	d.scaling = &scaling{frontEnd: d.frontEnd, planners: make(map[string]*autoscale.Planner), remote: make(map[string]remoteDemand)}
	var lastRun duty.Instant
	held := d.runner.Add(DutyAutoscale, func(ctx context.Context, _ *duty.Duty) {
		if now := duty.Now(); now.Sub(lastRun) >= scalingInterval {
			lastRun = now
			d.scaling.run(ctx, time.Now(), sender)
		}
	})
	sender = orders.NewSender(held, orders.Sender{
		FencingEnforced: s.FencingEnforced, Now: duty.Now, Log: d.frontEnd.log,
		Call: func(ctx context.Context, o duty.Order, service, dataCentre string, count int) error {
			return d.limited(ctx, func() error { return d.api.OrderCount(ctx, o, service, dataCentre, count) })
		},
	})
}
