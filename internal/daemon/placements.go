package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/placement"
)

const (
	placementInterval = time.Second
	// orderConfirmTimeout bounds the wait until an engine's load report shows the effect of
	// an order.
	orderConfirmTimeout = 2 * time.Minute
	// latestDemandWeight is the weight of the latest interval in the exponentially weighted
	// mean demand.
	latestDemandWeight = 0.1
)

// placements keeps the models of service versions loaded on the engines of the pools that
// this daemon owns. planner, epoch and meanDemand are used only by the goroutine of run.
type placements struct {
	follower *changelog.Follower
	tracker  *membership.Tracker
	owner    *permit.Owner
	executor *placement.Executor
	events   *events
	log      logr.Logger
	// loadsPerMinute is the rate of model loads that the weight store allows for all owners
	// together.
	loadsPerMinute float64

	planner        *placement.Planner
	epoch          uint64
	meanDemand     map[placement.Demand]float64 // tokens per second
	finishedOrders chan finishedOrder
}

type finishedOrder struct {
	order  placement.Order
	result placement.Result
}

func newPlacements(d *Daemon, engine placement.EngineClient) *placements {
	p := &placements{
		follower: d.follower, tracker: d.tracker, owner: d.permitOwner, events: d.events, log: d.log,
		loadsPerMinute: d.settings.Platform.WeightStoreLoadsPerMinute, meanDemand: map[placement.Demand]float64{},
		finishedOrders: make(chan finishedOrder),
	}
	p.executor = placement.NewExecutor(engine, p.checkAuthority, d.settings.UpstreamCredentials, orderConfirmTimeout)
	return p
}

// checkAuthority returns an error unless this daemon may grant permits of the order's
// pool and its lease stays valid for at least leaseNeeded. The executor calls it right
// before it sends an order.
func (p *placements) checkAuthority(o placement.Order, leaseNeeded time.Duration) error {
	now, snapshot := time.Now(), p.tracker.Snapshot()
	if err := snapshot.MayGrant(now, o.Pool); err != nil {
		return err
	}
	if !snapshot.HasLeaseFor(now, leaseNeeded) {
		return failure.NotRun(failure.Isolated, "the lease of this host ends in less than %v", leaseNeeded)
	}
	return nil
}

// run plans and executes orders until ctx ends.
func (p *placements) run(ctx context.Context) {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case done := <-p.finishedOrders:
			p.recordFinished(done)
		case <-ticker.C:
			p.tick(ctx)
		}
	}
}

func (p *placements) tick(ctx context.Context) {
	now, snapshot, conf := time.Now(), p.tracker.Snapshot(), p.follower.Configuration()
	if conf.Text == nil {
		return
	}
	if p.planner == nil || p.epoch != snapshot.View.Epoch {
		// A new planner plans only from load reports that show the effect of the previous
		// owner's orders.
		p.epoch, p.planner = snapshot.View.Epoch, placement.NewPlanner(placement.DefaultSettings(0), now)
	}
	input := p.plannerInput(now, snapshot, conf)
	// Each owner gets a share of the weight store's rate in proportion to its engine pools.
	if enginePoolCount := countEnginePools(conf); enginePoolCount > 0 {
		p.planner.SetRate(now, p.loadsPerMinute*float64(len(input.Pools))/float64(enginePoolCount))
	}
	for _, order := range p.planner.Tick(now, input) {
		p.events.Record("order-sent", "", "upstream", order.Upstream, "order", string(order.Kind), "model", order.Model, "reason", order.Reason)
		go func() {
			done := finishedOrder{order, p.executor.Execute(ctx, order)}
			select {
			case p.finishedOrders <- done:
			case <-ctx.Done():
			}
		}()
	}
}

func (p *placements) recordFinished(finished finishedOrder) {
	p.planner.RecordOutcome(time.Now(), finished.order.ID, finished.result.Outcome)
	p.events.Record("order-finished", "", "upstream", finished.order.Upstream, "order", string(finished.order.Kind),
		"model", finished.order.Model, "outcome", finished.result.Outcome.String())
	if finished.result.Err != nil {
		p.log.Info("engine order did not complete", "upstream", finished.order.Upstream, "order", string(finished.order.Kind),
			"outcome", finished.result.Outcome.String(), "error", finished.result.Err.Error())
	}
}

func countEnginePools(conf *entity.Configuration) int {
	n := 0
	for _, p := range conf.Text.Pools {
		if p.Kind != entity.KindPlain {
			n++
		}
	}
	return n
}

func (p *placements) plannerInput(now time.Time, snapshot *membership.Snapshot, conf *entity.Configuration) placement.Input {
	input := placement.Input{
		Configuration: conf, Epoch: snapshot.View.Epoch, States: map[string]placement.State{}, TokensPerSecond: p.updateDemand(conf),
	}
	for _, pool := range conf.Text.Pools {
		if pool.Kind != entity.KindPlain && snapshot.MayGrant(now, pool.Name) == nil {
			input.Pools = append(input.Pools, pool.Name)
		}
	}
	for _, e := range p.owner.Engines() {
		input.States[e.Upstream] = placement.State{
			Upstream: e.Upstream, Incarnation: e.Report.Incarnation, Models: e.Report.Models, Role: e.Report.Role,
			Cold: e.Report.Cold, Leaving: e.Report.Leaving, Lost: !e.Reachable, MeasuredAt: e.MeasuredAt,
		}
	}
	return input
}

// updateDemand updates the mean demand of each model with the tokens of the last interval
// and returns it in tokens per second.
func (p *placements) updateDemand(conf *entity.Configuration) map[placement.Demand]float64 {
	latestDemand := map[placement.Demand]float64{}
	for d, tokens := range p.owner.TakeTokenCounts() {
		service, _ := conf.Service(d.Service)
		for _, v := range service.Versions {
			if v.Name == d.Version {
				latestDemand[placement.Demand{Pool: d.Pool, Model: v.Model}] += float64(tokens) / placementInterval.Seconds()
			}
		}
	}
	for key := range latestDemand {
		if _, known := p.meanDemand[key]; !known {
			p.meanDemand[key] = 0
		}
	}
	for key, mean := range p.meanDemand {
		p.meanDemand[key] = mean + latestDemandWeight*(latestDemand[key]-mean)
	}
	return p.meanDemand
}
