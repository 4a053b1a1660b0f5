package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rattanscale/rattanscale/internal/enginespeed"
	"github.com/rattanscale/rattanscale/internal/spill"
)

const (
	playStep    = 10 * time.Millisecond
	chunkTokens = 112
	eventTokens = 4
	slowFactor  = 1.7
	fastFactor  = 0.7
)

// playRun is a stream on an engine of the play below.
type playRun struct {
	home                     int
	long                     bool
	promptLeft, outputLeft   float64
	demand                   Demand
	placedAt                 time.Duration
	started, firstLate, late bool
}

type playEngine struct {
	id     string
	factor float64
	runs   []*playRun
	// stalledUntil is the end of a stall, in which the engine takes 2.5 times as long.
	stalledUntil time.Duration
}

// stepTime is the time in seconds for one output token of each stream.
func (e *playEngine) stepTime(at time.Duration) (seconds float64, readsPrompt bool) {
	readsPrompt = lenPending(e.runs) > 0
	seconds = 0.007 + 0.00012*float64(len(e.runs))
	if readsPrompt {
		seconds += 0.008
	}
	if at < e.stalledUntil {
		seconds *= 2.5
	}
	return seconds * e.factor, readsPrompt
}

func lenPending(runs []*playRun) (n int) {
	for _, r := range runs {
		if r.promptLeft > 0 {
			n++
		}
	}
	return n
}

func (e *playEngine) load() (l Load) {
	for _, r := range e.runs {
		l.Requests++
		l.Tokens += r.demand.MemoryTokens
		l.PendingPromptTokens += int(r.promptLeft)
	}
	return l
}

// measure records what the hosts of the engine's streams observe.
func (e *playEngine) measure(table *enginespeed.Table, at time.Duration, now time.Time) {
	stepTime, prompts := e.stepTime(at)
	if generating := len(e.runs) - lenPending(e.runs); generating > 0 {
		table.RecordOutput("s", e.id, 1, enginespeed.Output{Tokens: eventTokens, Duration: time.Duration(eventTokens * stepTime * float64(time.Second)), Running: len(e.runs), Prompts: prompts}, now)
	}
	if prompts {
		table.RecordPrompt("s", e.id, 1, chunkTokens, time.Duration(stepTime*float64(time.Second)), now)
	}
}

// advance runs the engine for one playStep and returns the streams that have ended.
func (e *playEngine) advance(at time.Duration) (ended []*playRun) {
	stepTime, _ := e.stepTime(at)
	steps := playStep.Seconds() / stepTime
	chunk := steps * chunkTokens
	left := e.runs[:0]
	for _, r := range e.runs {
		if r.promptLeft > 0 {
			read := min(chunk, r.promptLeft)
			chunk -= read
			r.promptLeft -= read
			left = append(left, r)
			continue
		}
		if !r.started {
			r.started, r.firstLate = true, (at-r.placedAt).Seconds() > r.demand.FirstEventTarget
		}
		r.late = r.late || r.firstLate || r.outputLeft > eventTokens && eventTokens*stepTime > r.demand.MaxEventGap
		if r.outputLeft -= steps; r.outputLeft > 0 {
			left = append(left, r)
		} else {
			ended = append(ended, r)
		}
	}
	e.runs = left
	return ended
}

// inTime counts the streams that ended, and those without a late first event or gap.
type inTime struct{ ended, inTime int }

func (n inTime) share() float64 { return float64(n.inTime) / float64(max(n.ended, 1)) }

// play is a load of long and short streams that hosts place on engines. Each host sees the loads as
// they were viewAge ago, and its own placements since.
type play struct {
	hosts, engines, dataCentres int
	viewAge                     time.Duration
	// factors are the times that engines take, in turn; speedsKnown tells them to the hosts.
	factors     []float64
	speedsKnown bool
	// perEngine is the number of streams a second for each engine. The callers of the first data
	// centre start crowd times as many as those of another one.
	perEngine, crowd float64
	// plan lets requests leave the data centre by the plan of spill.
	plan bool
	// lostAt is when the engines of the last data centre are lost, and the reports of its hosts.
	lostAt time.Duration
}

// playResult counts streams by kind and by the data centre of their callers.
type playResult struct {
	long, short inTime
	byHome      []inTime
	// left counts the streams that left a data centre; swapped those of them that left within the
	// same second in which as many came from others.
	left, swapped []int
}

func (p play) dataCentreOf(engine int) int { return engine * p.dataCentres / p.engines }

func (p play) run() playResult {
	const duration, tracked, planInterval = 40 * time.Second, 8 * time.Second, 250 * time.Millisecond
	random := rand.New(rand.NewPCG(7, 8))
	all, start, table := make([]*playEngine, p.engines), time.Unix(1000, 0), enginespeed.NewTable()
	for i := range all {
		all[i] = &playEngine{id: fmt.Sprint(i), factor: p.factors[i%len(p.factors)]}
	}
	type placement struct {
		at           time.Duration
		host, engine int
		load         Load
	}
	result := playResult{byHome: make([]inTime, p.dataCentres), left: make([]int, p.dataCentres), swapped: make([]int, p.dataCentres)}
	left, arrived := make([]int, p.dataCentres), make([]int, p.dataCentres) // in the current second
	controllers, plans := make([]spill.Controller, p.hosts), make([]spill.Plan, p.hosts)
	var recent []placement
	var history [][]Load    // loads by step and engine
	var demands [][]float64 // demand in engines by step and data centre of the callers
	due, viewSteps := 0.0, int(p.viewAge/playStep)
	for at := time.Duration(0); at < duration; at += playStep {
		if at%time.Second == 0 {
			for i := range left {
				result.left[i] += left[i]
				result.swapped[i] += min(left[i], arrived[i])
			}
			clear(left)
			clear(arrived)
		}
		lost := p.lostAt > 0 && at >= p.lostAt
		loads, demand := make([]Load, p.engines), make([]float64, p.dataCentres)
		for i, e := range all {
			if at%(600*time.Millisecond) == 0 && random.Float64() < 0.15 {
				e.stalledUntil = at + 600*time.Millisecond
			}
			if lost && p.dataCentreOf(i) == p.dataCentres-1 {
				e.runs = nil
			}
			for _, r := range e.advance(at) {
				if r.placedAt >= tracked {
					result.record(r)
				}
			}
			if p.speedsKnown && at%(5*playStep) == 0 {
				e.measure(table, at, start.Add(at))
			}
			loads[i] = e.load()
			for _, r := range e.runs {
				demand[r.home] += float64(r.demand.MemoryTokens) / playMemory
			}
		}
		if at%planInterval == 0 {
			table.Refresh(start.Add(at))
		}
		history, demands = append(history, loads), append(demands, demand)
		seenStep := max(len(history)-1-viewSteps, 0)
		for host := range plans {
			if p.plan && at%planInterval == 0 {
				dataCentres := make([]spill.DataCentre, p.dataCentres)
				for i := range dataCentres {
					dataCentres[i] = spill.DataCentre{Name: fmt.Sprint(i), Engines: p.engines / p.dataCentres, Demand: demands[seenStep][i], Heard: true}
				}
				if lost {
					dataCentres[p.dataCentres-1].Engines, dataCentres[p.dataCentres-1].Heard = 0, false
				}
				plans[host] = controllers[host].Update(fmt.Sprint(host%p.dataCentres), dataCentres, 750*time.Millisecond, start.Add(at))
			}
		}
		for len(recent) > 0 && recent[0].at < at-p.viewAge {
			recent = recent[1:]
		}
		for due += p.perEngine * float64(p.engines) * playStep.Seconds(); due >= 1; due-- {
			home := 0
			if n := random.Float64() * (p.crowd + float64(p.dataCentres) - 1); n >= p.crowd {
				home = 1 + int(n-p.crowd)
			}
			host := random.IntN((p.hosts-home+p.dataCentres-1)/p.dataCentres)*p.dataCentres + home
			r := newPlayRun(random, home, at)
			estimates := table.Estimates()
			own := make([]Load, p.engines) // placements that the view does not show
			for _, placed := range recent {
				if placed.host == host {
					own[placed.engine] = own[placed.engine].plus(placed.load)
				}
			}
			candidates, index := make([]Candidate, 0, p.engines), make([]int, 0, p.engines)
			for i := range all {
				dataCentre := p.dataCentreOf(i)
				if lost && dataCentre == p.dataCentres-1 {
					continue
				}
				c := Candidate{View: View{Load: history[seenStep][i]}, Local: dataCentre == home, Slots: 24, MemoryTokens: playMemory}
				if estimates.Compared("s").Differ {
					c.Speed = estimates.Of("s", all[i].id)
				}
				c.Load = c.Load.plus(own[i])
				candidates, index = append(candidates, c), append(index, i)
			}
			best := -1
			if draw := cmp.Or(plans[host].Draw(random.Float64()), fmt.Sprint(home)); p.plan {
				var there []Candidate
				var thereIndex []int
				for i, c := range candidates {
					if fmt.Sprint(p.dataCentreOf(index[i])) == draw {
						c.Local = true
						there, thereIndex = append(there, c), append(thereIndex, index[i])
					}
				}
				if chosen := Pick(there, r.demand, p.hosts, float64(len(there))/float64(len(candidates)), random); chosen >= 0 && ServesInTime(there[chosen], r.demand) {
					best = thereIndex[chosen]
				}
			}
			if best < 0 {
				best = index[Pick(candidates, r.demand, p.hosts, 1, random)]
			}
			if to := p.dataCentreOf(best); to != home && at >= tracked {
				left[home]++
				arrived[to]++
			}
			all[best].runs = append(all[best].runs, r)
			recent = append(recent, placement{at, host, best, Load{Requests: 1, Tokens: r.demand.MemoryTokens, PendingPromptTokens: r.demand.PromptTokens}})
		}
	}
	return result
}

func (n *playResult) record(r *playRun) {
	kind := &n.short
	if r.long {
		kind = &n.long
	}
	for _, counted := range []*inTime{kind, &n.byHome[r.home]} {
		counted.ended++
		if !r.late {
			counted.inTime++
		}
	}
}

// playMemory is the memory of an engine in tokens.
const playMemory = 26_854

// newPlayRun returns a short stream, or a long one in about half of the cases.
func newPlayRun(random *rand.Rand, home int, at time.Duration) *playRun {
	r := &playRun{home: home, long: random.Float64() < 0.47, placedAt: at, promptLeft: 2200, outputLeft: 9}
	r.demand = Demand{PromptTokens: 2200, Events: 2, TokensPerEvent: eventTokens, FirstEventTarget: 1.5, MaxEventGap: 0.18}
	if r.long {
		r.promptLeft, r.outputLeft = 3000, math.Min(200+random.ExpFloat64()*500, 1768)
		r.demand.PromptTokens, r.demand.Events, r.demand.FirstEventTarget = 3000, int(r.outputLeft)/eventTokens, 1.8
	}
	r.demand.MemoryTokens = r.demand.PromptTokens + int(r.outputLeft)
	return r
}
