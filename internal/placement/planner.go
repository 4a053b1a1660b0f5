package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// reportAgeMargin is how much later than the end of an order a report must have been measured
// to count as taken after it. The age of a report is known only up to the transit time of
// its message.
const reportAgeMargin = time.Second

// maxRetryFactor bounds the delay after failed orders, as a multiple of
// Settings.RetryDelay.
const maxRetryFactor = 16

// copyKey identifies a copy of a model on an upstream; an empty model stands for the
// upstream's role.
type copyKey struct{ upstream, model string }

type modelKey struct{ pool, model string }

// trackedOrder is an order whose effect no later report has confirmed or refuted yet.
type trackedOrder struct {
	order           Order
	awaitingOutcome bool      // the outcome is not known yet
	deadline        time.Time // when an order without outcome is abandoned
	endedAt         time.Time // when the outcome arrived or the order was abandoned
	hasNoEffect     bool
}

type retry struct {
	notBefore time.Time
	delay     time.Duration
}

// Planner decides which engine loads which model in the pools that a daemon owns. It
// tracks outstanding orders, dwell times and the rate of loads. Its decisions depend on
// its settings and the arguments only. It is not safe for concurrent use; the caller must
// serialise access. A daemon that becomes owner starts with a new Planner.
type Planner struct {
	settings      Settings
	limiter       *rate.Limiter
	startedAt     time.Time
	nextID        uint64
	trackedOrders map[string]trackedOrder // by upstream
	loadedAt      map[copyKey]time.Time
	retries       map[copyKey]retry
	surplusSince  map[modelKey]time.Time
	lostSince     map[string]time.Time
}

// NewPlanner returns a planner without orders. It issues no order within MaxReportAge of
// its start, so that the reports reflect the orders of the previous owner.
func NewPlanner(settings Settings, now time.Time) *Planner {
	return &Planner{
		settings: settings, limiter: rate.NewLimiter(rate.Limit(settings.LoadsPerMinute/60), 1), startedAt: now,
		trackedOrders: map[string]trackedOrder{}, loadedAt: map[copyKey]time.Time{}, retries: map[copyKey]retry{},
		surplusSince: map[modelKey]time.Time{}, lostSince: map[string]time.Time{},
	}
}

// SetRate changes the planner's share of the rate at which the weight store serves loads.
func (p *Planner) SetRate(now time.Time, loadsPerMinute float64) {
	p.settings.LoadsPerMinute = loadsPerMinute
	p.limiter.SetLimitAt(now, rate.Limit(loadsPerMinute/60))
}

// RecordOutcome records the outcome of an order; outcomes of unknown orders are ignored.
func (p *Planner) RecordOutcome(now time.Time, id uint64, outcome Outcome) {
	for name, tracked := range p.trackedOrders {
		if tracked.order.ID != id || !tracked.awaitingOutcome {
			continue
		}
		key := copyKey{name, tracked.order.Model}
		tracked.awaitingOutcome, tracked.endedAt = false, now
		switch outcome {
		case Done:
			delete(p.retries, key)
		case NotSent:
			delete(p.trackedOrders, name)
			p.backOff(key, now)
			return
		case Failed, Stale:
			tracked.hasNoEffect = true
			p.backOff(key, now)
		case Unknown:
			// The change may still happen, so the order stays tracked until a later report.
			p.backOff(key, now)
		}
		p.trackedOrders[name] = tracked
		return
	}
}

func (p *Planner) backOff(key copyKey, now time.Time) {
	wait := p.settings.RetryDelay
	if last, found := p.retries[key]; found {
		wait = min(2*last.delay, maxRetryFactor*p.settings.RetryDelay)
	}
	p.retries[key] = retry{now.Add(wait), wait}
}

// Tick returns the orders that are due, at most one per upstream.
func (p *Planner) Tick(now time.Time, in Input) []Order {
	p.expireOrders(now, &in)
	if now.Sub(p.startedAt) < p.settings.MaxReportAge {
		return nil
	}
	var orders []Order
	names := slices.Sorted(slices.Values(in.Pools))
	for i := range names {
		// The first pool varies with the number of orders, so that no pool takes all loads.
		name := names[(i+int(p.nextID))%len(names)]
		pool, found := in.Configuration.Pool(name)
		if !found || pool.Kind == entity.KindPlain || in.Configuration.DataCentresOut[pool.DataCentre] {
			continue
		}
		orders = append(orders, p.planPool(now, &in, &pool)...)
	}
	return orders
}

// expireOrders abandons orders past their deadline, drops tracked orders that a later
// report has confirmed or refuted, and drops the state of removed upstreams.
func (p *Planner) expireOrders(now time.Time, in *Input) {
	for name, tracked := range p.trackedOrders {
		state := in.States[name]
		if tracked.awaitingOutcome && now.After(tracked.deadline) {
			tracked.awaitingOutcome, tracked.endedAt = false, now
			p.trackedOrders[name] = tracked
			p.backOff(copyKey{name, tracked.order.Model}, now)
		}
		restarted := state.Incarnation != "" && state.Incarnation != tracked.order.Incarnation && state.MeasuredAt.After(tracked.order.DecidedAt)
		if restarted && tracked.awaitingOutcome {
			// The order has no effect on the new process, but it may still be in transit, so
			// the upstream stays busy.
			tracked.hasNoEffect = true
			p.trackedOrders[name] = tracked
		}
		if !tracked.awaitingOutcome && (restarted || state.MeasuredAt.After(tracked.endedAt.Add(reportAgeMargin))) {
			delete(p.trackedOrders, name)
		}
	}
	isRemoved := func(name string) bool { _, known := in.States[name]; return !known }
	// The load time is kept after an unload order, which may fail and be issued again.
	maps.DeleteFunc(p.loadedAt, func(_ copyKey, at time.Time) bool { return now.Sub(at) >= p.settings.MinDwell })
	maps.DeleteFunc(p.retries, func(k copyKey, _ retry) bool { return isRemoved(k.upstream) })
	maps.DeleteFunc(p.lostSince, func(name string, _ time.Time) bool { return isRemoved(name) })
	for name, state := range in.States {
		if !state.Lost {
			delete(p.lostSince, name)
		} else if _, known := p.lostSince[name]; !known {
			p.lostSince[name] = now
		}
	}
}

// node is an upstream as the planner sees it: its latest report with the expected effects
// of outstanding orders applied.
type node struct {
	entity.Upstream
	state        State
	models       []string
	usable       bool // reachable and staying: it serves or may be ordered to load
	canTakeOrder bool // usable, no tracked order, and the report is recent
	brieflyLost  bool // lost for less than LostGrace; its copies count while another upstream serves the model
}

func (p *Planner) nodes(now time.Time, in *Input, pool *entity.Pool) []node {
	nodes := make([]node, 0, len(pool.Upstreams))
	for _, u := range pool.Upstreams {
		state, known := in.States[u.Name]
		known = known && !state.MeasuredAt.IsZero()
		n := node{Upstream: u, state: state, models: slices.Clone(state.Models)}
		n.usable = known && !state.Lost && !state.Leaving && !u.Leaving
		n.brieflyLost = known && state.Lost && !state.Leaving && !u.Leaving && now.Sub(p.lostSince[u.Name]) < p.settings.LostGrace
		tracked, isTracked := p.trackedOrders[u.Name]
		n.canTakeOrder = n.usable && !isTracked && now.Sub(state.MeasuredAt) <= p.settings.MaxReportAge
		if isTracked && !tracked.hasNoEffect {
			n.models = modelsAfter(n.models, tracked.order)
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// modelsAfter returns the models that an engine holds after the order. It may modify models.
func modelsAfter(models []string, o Order) []string {
	switch {
	case o.Kind == upstream.OrderLoad && !slices.Contains(models, o.Model):
		return append(models, o.Model)
	case o.Kind == upstream.OrderUnload:
		return slices.DeleteFunc(models, func(m string) bool { return m == o.Model })
	}
	return models
}

func (p *Planner) planPool(now time.Time, in *Input, pool *entity.Pool) (orders []Order) {
	nodes := p.nodes(now, in, pool)
	usable := 0
	for i := range nodes {
		if nodes[i].usable {
			usable++
		}
	}
	plan := poolPlan{Planner: p, now: now, in: in, pool: pool, nodes: nodes}
	plan.setRoles()
	targets := targetsFor(in, pool, usable, p.settings.Slack)
	plan.trackSurplus(targets)
	// Models with too few copies to survive the loss of one engine come first, before copies
	// for demand.
	slices.SortStableFunc(targets, func(a, b target) int {
		return cmp.Compare(min(plan.copies(a.model), a.minCopies)-a.minCopies, min(plan.copies(b.model), b.minCopies)-b.minCopies)
	})
	for _, t := range targets {
		plan.loadMissing(t, targets)
	}
	plan.unloadUnrouted(targets)
	return plan.orders
}

// poolPlan is the state of planning one pool in one tick.
type poolPlan struct {
	*Planner
	now    time.Time
	in     *Input
	pool   *entity.Pool
	nodes  []node
	orders []Order
	counts map[string]copyCount // by model; nil when an order invalidated it
}

// copyCount counts the copies of a model on usable and on briefly lost upstreams.
type copyCount struct{ present, brieflyLost int }

// copies returns the number of copies of a model, including the effects of tracked orders.
// Copies on briefly lost upstreams count only if a usable upstream holds the model too.
func (p *poolPlan) copies(model string) int {
	if p.counts == nil {
		p.counts = map[string]copyCount{}
		for i := range p.nodes {
			p.countNode(&p.nodes[i])
		}
	}
	if c := p.counts[model]; c.present > 0 {
		return c.present + c.brieflyLost
	}
	return 0
}

func (p *poolPlan) countNode(n *node) {
	if !n.usable && !n.brieflyLost {
		return
	}
	for _, model := range n.models {
		c := p.counts[model]
		if n.usable {
			c.present++
		} else {
			c.brieflyLost++
		}
		p.counts[model] = c
	}
}

func (p *poolPlan) setRoles() {
	role := p.settings.Roles[p.pool.Kind]
	for i := range p.nodes {
		n := &p.nodes[i]
		if role != "" && n.canTakeOrder && n.state.Role != role && p.mayRetry(copyKey{n.Name, ""}) {
			p.issue(n, Order{Kind: upstream.OrderSetRole, Role: role, Reason: fmt.Sprintf("upstreams of kind %s have the role %s, not %q", p.pool.Kind, role, n.state.Role)})
		}
	}
}

// loadMissing issues load orders until the model has its copies, no upstream can take one, or
// the load rate is used up. If no upstream can take one, it tries to free a slot.
func (p *poolPlan) loadMissing(t target, allTargets []target) {
	for have := p.copies(t.model); have < t.copies; have++ {
		n := p.pickForLoad(t.model)
		if n == nil {
			p.freeSlot(t, allTargets)
			return
		}
		if !p.limiter.AllowN(p.now, 1) {
			return
		}
		p.issue(n, Order{Kind: upstream.OrderLoad, Model: t.model, Reason: fmt.Sprintf("%s needs %d copies and has %d", t.reason, t.copies, have)})
		p.loadedAt[copyKey{n.Name, t.model}] = p.now
	}
}

// pickForLoad returns the upstream that can take a load of the model, preferring warm
// upstreams and then those with the fewest models, or nil if there is none. Ties are
// broken by a hash, so that every owner makes the same choice and models are spread.
func (p *poolPlan) pickForLoad(model string) (best *node) {
	for i := range p.nodes {
		n := &p.nodes[i]
		if !n.canTakeOrder || slices.Contains(n.models, model) || len(n.models) >= p.settings.ModelsPerUpstream || !p.mayRetry(copyKey{n.Name, model}) {
			continue
		}
		if best == nil || compareForLoad(n, best, model) < 0 {
			best = n
		}
	}
	return best
}

func compareForLoad(a, b *node, model string) int {
	if a.state.Cold != b.state.Cold {
		if a.state.Cold {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(a.models), len(b.models)),
		cmp.Compare(xxhash.Sum64String(a.Name+"\x00"+model), xxhash.Sum64String(b.Name+"\x00"+model)))
}

func (p *poolPlan) mayRetry(key copyKey) bool {
	r, found := p.retries[key]
	return !found || !p.now.Before(r.notBefore)
}

// issue adds the order to the plan and tracks it, so that the upstream gets no second order
// until this one has ended and a report has been measured after that.
func (p *poolPlan) issue(n *node, o Order) {
	p.nextID++
	o.ID, o.Pool, o.Upstream, o.Address, o.Incarnation = p.nextID, p.pool.Name, n.Name, n.Address, n.state.Incarnation
	o.Fencing, o.DecidedAt = p.pool.Fencing, p.now
	o.Token = FencingToken(p.in.Epoch, p.in.Configuration.Revision)
	p.trackedOrders[n.Name] = trackedOrder{order: o, awaitingOutcome: true, deadline: p.now.Add(p.settings.OrderTimeout)}
	n.canTakeOrder = false
	n.models = modelsAfter(n.models, o)
	p.counts = nil
	p.orders = append(p.orders, o)
}
