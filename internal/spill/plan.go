// Package spill decides which share of a data centre's requests leaves it for engines of another
// one. It does no I/O and does not read the clock.
//
// It answers a data centre whose callers need more than its own engines can serve without waits
// and pauses. All hosts decide alike from the demand of each data centre's callers, wherever it
// is served at the moment. A data centre therefore sends or receives, never both, and what is
// sent does not change the decision that sent it.
package spill

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// beginPressure is the pressure above which requests begin to leave. Up to it engines start
	// requests at once, although those are not spread evenly over them.
	beginPressure = 0.85
	// restPressure is the pressure down to which requests leave, and below which they no longer
	// do. Other data centres are filled up to it: the rest is for their own callers, who can
	// grow in number by a fifth before theirs begin to leave.
	restPressure = 0.7
	// settleTime is the time constant with which the demand is averaged. It is long against the
	// age of the hosts' views, and short against the time for which a crowd of callers stays.
	settleTime = time.Second
)

// DataCentre is what a host knows of a service in one data centre.
type DataCentre struct {
	Name string
	// Engines is the number of engines there that take new requests from this host; 0 if the data
	// centre is taken out, lost or cut off.
	Engines int
	// Demand is the work of the callers whose hosts are in the data centre, wherever it runs, as a
	// number of engines that it fills.
	Demand float64
	// Heard is set if hosts of the data centre have reported lately. Nothing is sent to one that
	// is not heard, since its engines look idle.
	Heard bool
	// RoundTrip is the time between this host and the data centre and back.
	RoundTrip time.Duration
}

// Share is a part of the requests that goes to another data centre.
type Share struct {
	DataCentre string
	// Part is between 0 and 1.
	Part float64
}

// Plan states where the requests of one data centre go; what no share covers stays.
type Plan struct {
	Shares []Share
	// Pressure is the demand of the own callers for each own engine.
	Pressure float64
	// EngineParts are the parts of all engines that are in each data centre.
	EngineParts map[string]float64
}

// Leaving is the part of the requests that leaves.
func (p Plan) Leaving() float64 { return lo.SumBy(p.Shares, func(s Share) float64 { return s.Part }) }

// Draw returns the data centre to which a request goes, "" for the own one. The number is random
// between 0 and 1.
func (p Plan) Draw(number float64) string {
	for _, s := range p.Shares {
		if number -= s.Part; number < 0 {
			return s.DataCentre
		}
	}
	return ""
}

// Decide returns the plan of the data centre home. Requests that leave already go on doing so
// down to a lower pressure than the one at which they begin to. tolerable is the wait for the
// first event that callers tolerate, against which the time between data centres counts.
func Decide(home string, all []DataCentre, leaving bool, tolerable time.Duration) Plan {
	own, known := lo.Find(all, func(d DataCentre) bool { return d.Name == home })
	if !known {
		return Plan{}
	}
	// Where all together have too little room, the pressure is levelled, not shifted.
	level := max(restPressure, overallPressure(home, all))
	to := receivers(home, all, level)
	if own.Engines == 0 {
		if len(to) == 0 {
			to = receivers(home, all, math.Inf(1))
		}
		return Plan{Shares: spread(1, to), Pressure: math.Inf(1), EngineParts: engineParts(all)}
	}
	plan := Plan{Pressure: own.Demand / float64(own.Engines), EngineParts: engineParts(all)}
	if plan.Pressure <= lo.Ternary(leaving, restPressure, beginPressure) {
		return plan
	}
	to = lo.Filter(to, func(r receiver, _ int) bool { return plan.Pressure > level+crossingCost(r.roundTrip, tolerable) })
	surplus, allSurplus, room := own.Demand-level*float64(own.Engines), 0.0, lo.SumBy(to, func(r receiver) float64 { return r.room })
	for _, d := range all {
		if pressure := d.Demand / float64(max(d.Engines, 1)); pressure > beginPressure || d.Name == home {
			allSurplus += max(d.Demand-level*float64(d.Engines), 0)
		}
	}
	if surplus <= 0 || room <= 0 {
		return plan
	}
	// Data centres with too much demand share the room in proportion to their surplus.
	plan.Shares = spread(min(surplus*min(room/allSurplus, 1)/own.Demand, 1), to)
	return plan
}

// overallPressure is the demand for each engine over all data centres that are heard.
func overallPressure(home string, all []DataCentre) float64 {
	demand, engines := 0.0, 0
	for _, d := range all {
		if d.Heard || d.Name == home {
			demand += d.Demand
			engines += d.Engines
		}
	}
	return demand / float64(max(engines, 1))
}

func engineParts(all []DataCentre) map[string]float64 {
	total := lo.SumBy(all, func(d DataCentre) int { return d.Engines })
	return lo.SliceToMap(all, func(d DataCentre) (string, float64) { return d.Name, float64(d.Engines) / float64(max(total, 1)) })
}

// crossingCost is the pressure that the time between two data centres is worth: at a pressure of 1
// the first event comes as late as callers tolerate.
func crossingCost(roundTrip, tolerable time.Duration) float64 {
	if tolerable <= 0 {
		return 0
	}
	return float64(roundTrip) / float64(tolerable)
}

type receiver struct {
	name      string
	room      float64
	roundTrip time.Duration
}

// receivers returns the other data centres whose own demand leaves room up to a pressure. Without
// a limit, as for requests that have no engine at home, the room is the number of engines.
func receivers(home string, all []DataCentre, pressure float64) (out []receiver) {
	for _, d := range all {
		if d.Name == home || d.Engines == 0 || !d.Heard {
			continue
		}
		room := float64(d.Engines)
		if !math.IsInf(pressure, 1) {
			room = pressure*room - d.Demand
		}
		if room > 0 {
			out = append(out, receiver{d.Name, room, d.RoundTrip})
		}
	}
	slices.SortFunc(out, func(a, b receiver) int { return cmp.Compare(a.name, b.name) })
	return out
}

// spread divides a part of the requests in proportion to the room.
func spread(part float64, to []receiver) []Share {
	room := lo.SumBy(to, func(r receiver) float64 { return r.room })
	return lo.Map(to, func(r receiver, _ int) Share { return Share{r.name, part * r.room / room} })
}

// Controller holds the state of the decision for one service at one host. It is not safe for
// concurrent use.
type Controller struct {
	demand    map[string]float64
	updatedAt time.Time
	leaving   bool
}

// Update averages the demand and returns the plan.
func (c *Controller) Update(home string, all []DataCentre, tolerable time.Duration, now time.Time) Plan {
	weight := 1.0
	if c.demand != nil {
		weight = 1 - math.Exp(-float64(max(now.Sub(c.updatedAt), 0))/float64(settleTime))
	}
	averaged, smoothed := make(map[string]float64, len(all)), slices.Clone(all)
	for i := range smoothed {
		d := &smoothed[i]
		if previous, known := c.demand[d.Name]; known {
			d.Demand = previous + weight*(d.Demand-previous)
		}
		averaged[d.Name] = d.Demand
	}
	c.demand, c.updatedAt = averaged, now
	plan := Decide(home, smoothed, c.leaving, tolerable)
	c.leaving = plan.Pressure > lo.Ternary(c.leaving, restPressure, beginPressure)
	return plan
}
