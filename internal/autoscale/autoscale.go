// Package autoscale decides how many engines a service should have in each data centre. A Planner
// is pure: it holds observations of demand and returns orders; whoever holds the duty carries them
// out.
//
// It answers load that changes within the time that an engine takes to start: waves, jumps, engines
// that leave at short notice, and a data centre whose load moves to the others. It orders up ahead
// of need and down one engine at a time.
package autoscale

import (
	"math"
	"sort"
	"time"

	"github.com/samber/lo"
)

const (
	// targetUtilisation is the share of slots and memory that demand may take. The rest is for
	// outputs that grow longer than expected and for requests that arrive unevenly.
	targetUtilisation = 0.7
	// promptSecondsTarget is the time within which the engines of a data centre should have read
	// all prompts that wait there.
	promptSecondsTarget = 0.5
	// maxReserve bounds the factor for engines that leave unasked, so that a failure of most
	// engines doesn't multiply the order.
	maxReserve = 1.5
	// trendSignificance is the number of standard errors by which a slope must differ from zero
	// before it counts as a trend.
	trendSignificance = 2.0
	// holdStartups is the time, in starts of an engine, for which the highest need is held at
	// least before engines are given up.
	holdStartups = 3
	// minHold is the shortest hold: an engine that starts faster than this still costs its streams
	// a move when it is given up.
	minHold = 10 * time.Second
	// maxHold bounds the hold where engines that were given up were needed again soon.
	maxHold = 10 * time.Minute
	// holdDecay is the share by which the hold shortens with each engine that was given up and not
	// needed again.
	holdDecay = 0.1
	// repeatStartups is the time, in starts of an engine, after which an order whose effect isn't
	// seen is repeated.
	repeatStartups = 3
	// MaxViewAge is the age above which demand is incomplete: nothing is given up on such a view.
	MaxViewAge = 3 * time.Second
)

// Engine is the capacity of one engine.
type Engine struct {
	Slots        int
	MemoryTokens int
	// PromptTokensPerSecond is the speed at which it reads prompts; 0 is unknown.
	PromptTokensPerSecond float64
}

// Bounds limits the number of engines in one data centre.
type Bounds struct {
	Min, Max int
	// Startup is the time from an order until a new engine serves.
	Startup time.Duration
}

// Service is what the configuration states about a service whose engines are ordered.
type Service struct {
	Name   string
	Engine Engine
	Bounds Bounds
}

// Demand is the work of all hosts on the engines of a service in one data centre.
type Demand struct {
	Requests            int
	Tokens              int
	PendingPromptTokens int
}

// Plus returns the sum of two demands.
func (d Demand) Plus(o Demand) Demand {
	return Demand{Requests: d.Requests + o.Requests, Tokens: d.Tokens + o.Tokens, PendingPromptTokens: d.PendingPromptTokens + o.PendingPromptTokens}
}

// Observation is the state of one data centre at a moment.
type Observation struct {
	DataCentre string
	Demand     Demand
	// Ready counts engines that take requests, Starting those that don't yet.
	Ready, Starting int
	// Unavailable is set while the data centre is taken out or has lost all its engines.
	Unavailable bool
	// ViewAge is the age of the oldest report that Demand is made of; above MaxViewAge Demand
	// counts as incomplete.
	ViewAge time.Duration
}

// Reason states why an order is given.
type Reason string

const (
	// Rising demand, present or predicted, needs more engines.
	Rising Reason = "demand"
	// Displaced demand of a data centre that is out needs more engines in the others.
	Displaced Reason = "displaced"
	// Falling demand has needed fewer engines for the whole hold time.
	Falling Reason = "idle"
	// Unseen means that an earlier order shows no effect.
	Unseen Reason = "unseen"
)

// Order sets the number of engines of a service in one data centre.
type Order struct {
	DataCentre string
	Count      int
	Reason     Reason
}

type sample struct {
	at   time.Time
	need float64
}

type dataCentre struct {
	samples []sample
	// lossRate is the moving average of the share of engines that leave unasked in a second.
	lossRate float64
	// ready is the number of engines that were ready when last seen, givenUp how many of them
	// were ordered to go and haven't yet.
	ready, givenUp int
	// ordered is the last confirmed order; 0 is none. takenOver is set if it is an earlier holder's.
	ordered   int
	takenOver bool
	orderedAt time.Time
	lastDown  time.Time
	// firstDemand is when the first demand was seen: before it nothing is known of what is needed.
	firstDemand   time.Time
	recordedAt    time.Time
	unavailable   bool
	needWhenLost  float64
	mismatchSince time.Time
	// baseline is the need of this data centre when another one became unavailable.
	baseline float64
	// hold is the time for which the highest need is held. It doubles when an engine that was
	// given up is ordered again within it.
	hold time.Duration
}

// Planner decides the orders of one service. It isn't safe for concurrent use.
type Planner struct {
	service Service
	centres map[string]*dataCentre
}

// NewPlanner returns a planner; ordered holds the last known order by data centre, which a new
// holder of the duty takes over.
func NewPlanner(s Service, ordered map[string]int) *Planner {
	p := &Planner{service: s, centres: make(map[string]*dataCentre)}
	for name, count := range ordered {
		p.centres[name] = &dataCentre{ordered: count, takenOver: true}
	}
	return p
}

// SetService replaces the service's configuration.
func (p *Planner) SetService(s Service) { p.service = s }

// Confirm records that an order was accepted.
func (p *Planner) Confirm(o Order, now time.Time) {
	c := p.centre(o.DataCentre)
	switch {
	case o.Count < c.ordered:
		if !c.lastDown.IsZero() {
			c.hold -= time.Duration(holdDecay * float64(c.hold))
		}
		c.lastDown = now
		c.givenUp += c.ordered - o.Count
	case o.Count > c.ordered && !c.lastDown.IsZero() && now.Sub(c.lastDown) < p.holdOf(c):
		c.hold = min(2*p.holdOf(c), maxHold)
		c.lastDown = time.Time{}
	}
	c.ordered, c.orderedAt, c.mismatchSince = o.Count, now, time.Time{}
}

func (p *Planner) centre(name string) *dataCentre {
	c := p.centres[name]
	if c == nil {
		c = &dataCentre{}
		p.centres[name] = c
	}
	return c
}

// Need is the number of engines that a demand takes at the target utilisation, as a fraction.
func (s Service) Need(d Demand) float64 {
	need := 0.0
	if s.Engine.Slots > 0 {
		need = float64(d.Requests) / (targetUtilisation * float64(s.Engine.Slots))
	}
	if s.Engine.MemoryTokens > 0 {
		need = max(need, float64(d.Tokens)/(targetUtilisation*float64(s.Engine.MemoryTokens)))
	}
	if s.Engine.PromptTokensPerSecond > 0 {
		need = max(need, float64(d.PendingPromptTokens)/(promptSecondsTarget*s.Engine.PromptTokensPerSecond))
	}
	return need
}

// Decide records the observations and returns the orders to give now, by data centre. Each is to
// be passed to Confirm once accepted; an order that isn't is returned again.
func (p *Planner) Decide(now time.Time, observations []Observation) []Order {
	sort.Slice(observations, func(i, j int) bool { return observations[i].DataCentre < observations[j].DataCentre })
	for _, o := range observations {
		p.record(now, o)
	}
	p.trackLosses(observations)
	displaced := p.displacedNeed(observations)
	var orders []Order
	for _, o := range observations {
		if order, due := p.decideOne(now, o, displaced); due {
			orders = append(orders, order)
		}
	}
	return orders
}

func (p *Planner) record(now time.Time, o Observation) {
	c := p.centre(o.DataCentre)
	if c.takenOver && c.orderedAt.IsZero() {
		c.orderedAt = now // its effect is awaited from now on
	}
	need := p.service.Need(o.Demand)
	if c.recordedAt.IsZero() {
		c.recordedAt = now
	}
	if c.firstDemand.IsZero() && need > 0 {
		c.firstDemand = now
	}
	if c.orderedAt.IsZero() && !c.takenOver {
		// Without an order the number in force is at least the highest seen: some engines may be
		// leaving or starting.
		c.ordered = max(c.ordered, o.Ready+o.Starting)
	}
	// Demand of which only a part is known may still be higher than before.
	if o.Unavailable || o.ViewAge > MaxViewAge && need <= c.latestNeed() {
		return
	}
	c.samples = append(c.samples, sample{at: now, need: need})
	hold := p.holdOf(c)
	oldest := now.Add(-hold)
	c.samples = lo.DropWhile(c.samples, func(s sample) bool { return s.at.Before(oldest) })
	if elapsed := now.Sub(c.recordedAt).Seconds(); elapsed > 0 {
		left := max(c.ready-o.Ready, 0)
		asked := min(left, c.givenUp)
		c.givenUp -= asked
		rate := float64(left-asked) / float64(max(c.ready, 1)) / elapsed
		c.lossRate += min(1, elapsed/hold.Seconds()) * (rate - c.lossRate)
	}
	c.ready = o.Ready
	c.recordedAt = now
}

func (p *Planner) holdOf(c *dataCentre) time.Duration {
	return max(c.hold, minHold, holdStartups*p.service.Bounds.Startup)
}

// trackLosses remembers what each data centre needed at the moment one became unavailable.
func (p *Planner) trackLosses(observations []Observation) {
	newLoss, anyOut := false, false
	for _, o := range observations {
		c := p.centre(o.DataCentre)
		if o.Unavailable && !c.unavailable {
			newLoss = true
			c.needWhenLost = c.latestNeed()
		}
		c.unavailable = o.Unavailable
		anyOut = anyOut || o.Unavailable
	}
	for _, o := range observations {
		c := p.centre(o.DataCentre)
		switch {
		case !anyOut:
			c.baseline = 0
		case newLoss:
			c.baseline = c.latestNeed()
		}
	}
}

// displacedNeed is the need of the unavailable data centres for each available one.
func (p *Planner) displacedNeed(observations []Observation) float64 {
	out, available := 0.0, 0
	for _, o := range observations {
		if o.Unavailable {
			out += p.centre(o.DataCentre).needWhenLost
		} else {
			available++
		}
	}
	if available == 0 {
		return 0
	}
	return out / float64(available)
}

func (p *Planner) decideOne(now time.Time, o Observation, displaced float64) (Order, bool) {
	c := p.centre(o.DataCentre)
	if o.Unavailable || c.ordered == 0 {
		return Order{}, false
	}
	order := Order{DataCentre: o.DataCentre, Count: c.ordered, Reason: Rising}
	if len(c.samples) > 0 {
		need := c.predictedNeed(now, p.service.Bounds.Startup)
		if displaced > 0 && c.baseline+displaced > need {
			need, order.Reason = c.baseline+displaced, Displaced
		}
		if count := p.withReserve(c, need); count > c.ordered {
			order.Count = count
			return order, true
		}
	}
	if p.mayGiveUp(now, o, c) && displaced == 0 {
		if p.withReserve(c, c.peakNeed()) < c.ordered {
			return Order{DataCentre: o.DataCentre, Count: c.ordered - 1, Reason: Falling}, true
		}
	}
	if p.unseen(now, o, c) {
		return Order{DataCentre: o.DataCentre, Count: c.ordered, Reason: Unseen}, true
	}
	return Order{}, false
}

// withReserve adds the engines that are expected to leave unasked while their replacements start,
// and applies the bounds.
func (p *Planner) withReserve(c *dataCentre, need float64) int {
	need *= min(1+c.lossRate*p.service.Bounds.Startup.Seconds(), maxReserve)
	// A fraction of a percent over a whole engine needs no further one.
	count := int(math.Ceil(need - 0.005))
	return min(max(count, p.service.Bounds.Min), p.service.Bounds.Max)
}

// mayGiveUp reports whether demand was known for the whole hold time, the last order has taken
// effect, and the last engine that was given up has had time to empty.
func (p *Planner) mayGiveUp(now time.Time, o Observation, c *dataCentre) bool {
	startup := p.service.Bounds.Startup
	known := o.ViewAge <= MaxViewAge && len(c.samples) > 1 && !c.firstDemand.IsZero() && now.Sub(c.firstDemand) >= p.holdOf(c) &&
		c.samples[len(c.samples)-1].at.Sub(c.samples[0].at) >= p.holdOf(c)/2
	return known && now.Sub(c.lastDown) >= startup && now.Sub(c.orderedAt) >= startup && o.Ready > 1 && o.Ready+o.Starting >= c.ordered
}

// unseen reports whether the number of engines has differed from the order for so long that the
// order may be lost.
func (p *Planner) unseen(now time.Time, o Observation, c *dataCentre) bool {
	if o.Ready+o.Starting >= c.ordered || c.orderedAt.IsZero() {
		c.mismatchSince = time.Time{}
		return false
	}
	if c.mismatchSince.IsZero() {
		c.mismatchSince = now
	}
	wait := repeatStartups * p.service.Bounds.Startup
	return now.Sub(c.mismatchSince) >= wait && now.Sub(c.orderedAt) >= wait
}

func (c *dataCentre) latestNeed() float64 {
	if len(c.samples) == 0 {
		return 0
	}
	return c.samples[len(c.samples)-1].need
}

func (c *dataCentre) peakNeed() float64 {
	return lo.Max(lo.Map(c.samples, func(s sample, _ int) float64 { return s.need }))
}

// predictedNeed is the need when an engine ordered now would serve: the latest need, or where the
// trend over two starts leads if that is higher.
func (c *dataCentre) predictedNeed(now time.Time, startup time.Duration) float64 {
	latest := c.latestNeed()
	recent := lo.Filter(c.samples, func(s sample, _ int) bool { return now.Sub(s.at) <= 2*startup })
	slope, intercept, significant := trend(recent, now)
	if !significant || slope <= 0 {
		return latest
	}
	return max(latest, intercept+slope*startup.Seconds())
}

// trend fits a line by least squares. It returns the slope in engines a second and the value of
// the line at now; significant is set if the slope can't be explained by the scatter.
func trend(samples []sample, now time.Time) (slope, intercept float64, significant bool) {
	n := float64(len(samples))
	if n < 4 {
		return 0, 0, false
	}
	var sumX, sumY float64
	for _, s := range samples {
		sumX += s.at.Sub(now).Seconds()
		sumY += s.need
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy float64
	for _, s := range samples {
		x := s.at.Sub(now).Seconds() - meanX
		xx += x * x
		xy += x * (s.need - meanY)
	}
	if xx == 0 {
		return 0, meanY, false
	}
	slope = xy / xx
	intercept = meanY - slope*meanX
	var residuals float64
	for _, s := range samples {
		r := s.need - (intercept + slope*s.at.Sub(now).Seconds())
		residuals += r * r
	}
	standardError := math.Sqrt(residuals / (n - 2) / xx)
	return slope, intercept, math.Abs(slope) > trendSignificance*standardError
}
