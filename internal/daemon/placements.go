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
	// orderReadBack is how long an engine may take to show the effect of an order.
	orderReadBack = 2 * time.Minute
	// demandWeight is the weight of the latest interval in the mean demand.
	demandWeight = 0.1
)

// placements keeps the models of the versions loaded on the engines of the pools
// that this daemon owns.
type placements struct {
	follower *changelog.Follower
	tracker  *membership.Tracker
	owner    *permit.Owner
	executor *placement.Executor
	events   *events
	log      logr.Logger
	// loadsPerMinute is the rate of the weight store for the whole system.
	loadsPerMinute float64

	planner *placement.Planner
	epoch   uint64
	demand  map[placement.Demand]float64 // tokens per second
	results chan placedOrder
}

type placedOrder struct {
	order  placement.Order
	result placement.Result
}

func newPlacements(d *Daemon, engine placement.EngineClient) *placements {
	p := &placements{
		follower: d.follower, tracker: d.tracker, owner: d.owner, events: d.events, log: d.log,
		loadsPerMinute: d.settings.Platform.WeightStoreLoadsPerMinute, demand: map[placement.Demand]float64{},
		results: make(chan placedOrder),
	}
	p.executor = placement.NewExecutor(engine, p.authority, d.settings.UpstreamCredentials, orderReadBack)
	return p
}

// authority is checked right before an order is sent: this daemon must own the
// pool in the epoch of the order, with a lease that stays valid for atLeast.
func (p *placements) authority(o placement.Order, atLeast time.Duration) error {
	now, snapshot := time.Now(), p.tracker.Snapshot()
	if err := snapshot.MayGrant(now, o.Pool); err != nil {
		return err
	}
	if !snapshot.HasLeaseFor(now, atLeast) {
		return failure.NotRun(failure.Isolated, "the lease ends within %v", atLeast)
	}
	return nil
}

// run plans and carries out orders until ctx ends.
func (p *placements) run(ctx context.Context) {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case done := <-p.results:
			p.finished(done)
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
		// A new planner waits for reports that show the orders of previous owners.
		p.epoch, p.planner = snapshot.View.Epoch, placement.NewPlanner(placement.DefaultSettings(0), now)
	}
	in := p.input(now, snapshot, conf)
	// Each owner has the part of the weight store's rate that its pools have of all engine pools.
	if engines := enginePools(conf); engines > 0 {
		p.planner.SetRate(now, p.loadsPerMinute*float64(len(in.Pools))/float64(engines))
	}
	for _, order := range p.planner.Tick(now, in) {
		p.events.Record("order-sent", "", "upstream", order.Upstream, "order", string(order.Kind), "model", order.Model, "reason", order.Reason)
		go func() {
			done := placedOrder{order, p.executor.Execute(ctx, order)}
			select {
			case p.results <- done:
			case <-ctx.Done():
			}
		}()
	}
}

func (p *placements) finished(done placedOrder) {
	p.planner.RecordOutcome(time.Now(), done.order.ID, done.result.Outcome)
	p.events.Record("order-finished", "", "upstream", done.order.Upstream, "order", string(done.order.Kind),
		"model", done.order.Model, "outcome", done.result.Outcome.String())
	if done.result.Err != nil {
		p.log.Info("engine order ended", "upstream", done.order.Upstream, "order", string(done.order.Kind),
			"outcome", done.result.Outcome.String(), "error", done.result.Err.Error())
	}
}

func enginePools(conf *entity.Configuration) int {
	n := 0
	for _, p := range conf.Text.Pools {
		if p.Kind != entity.KindPlain {
			n++
		}
	}
	return n
}

func (p *placements) input(now time.Time, snapshot *membership.Snapshot, conf *entity.Configuration) placement.Input {
	in := placement.Input{
		Configuration: conf, Epoch: snapshot.View.Epoch, States: map[string]placement.State{}, TokensPerSecond: p.updateDemand(conf),
	}
	for _, pool := range conf.Text.Pools {
		if pool.Kind != entity.KindPlain && snapshot.MayGrant(now, pool.Name) == nil {
			in.Pools = append(in.Pools, pool.Name)
		}
	}
	for _, e := range p.owner.Engines() {
		in.States[e.Upstream] = placement.State{
			Upstream: e.Upstream, Incarnation: e.Report.Incarnation, Models: e.Report.Models, Role: e.Report.Role,
			Cold: e.Report.Cold, Leaving: e.Report.Leaving, Lost: !e.Reachable, MeasuredAt: e.MeasuredAt,
		}
	}
	return in
}

// updateDemand folds the tokens of the last interval into the mean demand of each model.
func (p *placements) updateDemand(conf *entity.Configuration) map[placement.Demand]float64 {
	latest := map[placement.Demand]float64{}
	for d, tokens := range p.owner.TakeTokenCounts() {
		service, _ := conf.Service(d.Service)
		for _, v := range service.Versions {
			if v.Name == d.Version {
				latest[placement.Demand{Pool: d.Pool, Model: v.Model}] += float64(tokens) / placementInterval.Seconds()
			}
		}
	}
	for key := range latest {
		if _, known := p.demand[key]; !known {
			p.demand[key] = 0
		}
	}
	for key, mean := range p.demand {
		p.demand[key] = mean + demandWeight*(latest[key]-mean)
	}
	return p.demand
}
