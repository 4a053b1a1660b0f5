package enginespeed

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Speed is the estimated speed of an engine. The zero value is unknown.
type Speed struct {
	// PromptToken is the time for a token of a prompt in seconds, while the engine also
	// generates.
	PromptToken float64
	// OutputToken is the time for an output token in seconds while Running requests run and no
	// prompt is processed, and PerRequest the time that each further request adds.
	OutputToken, Running, PerRequest float64
	// MeasuredTokens is the number of output tokens on which the estimate stands; older ones
	// count less.
	MeasuredTokens float64
	MeasuredAt     time.Time

	tail *tail
}

// Known reports whether the speed was estimated.
func (s Speed) Known() bool { return s.OutputToken > 0 && s.PromptToken > 0 }

// OutputTokenAt is the expected time for an output token in seconds while the given number of
// requests run.
func (s Speed) OutputTokenAt(running int) float64 {
	return max(s.OutputToken+s.PerRequest*(float64(running)-s.Running), s.OutputToken/2)
}

// LongestGap is the expected time in seconds for an output token in the longest of some gaps between
// events, while the given number of requests run.
func (s Speed) LongestGap(gaps, running int) float64 {
	return s.OutputTokenAt(running) * s.tail.longest(gaps)
}

// Comparison compares the engines of a service at the same load.
type Comparison struct {
	// Fast and Slow are the mean times in seconds for an output token of the fast fifth and the
	// slow fifth of the engines; 0 if too few are known.
	Fast, Slow float64
	// Differ is set if the engines differ in speed.
	Differ bool
}

// Estimates is an immutable snapshot of the speeds of all engines.
type Estimates struct {
	speeds      map[string]Speed
	typical     map[string]Speed
	comparisons map[string]Comparison
}

// Compared returns how the engines of a service compare.
func (e *Estimates) Compared(service string) Comparison { return e.comparisons[service] }

// Comparisons returns how the engines compare, by service. The map must not be modified.
func (e *Estimates) Comparisons() map[string]Comparison { return e.comparisons }

// Of returns the speed of an engine, that of its service's mean if nothing was measured on it.
func (e *Estimates) Of(service, engine string) Speed {
	if s, ok := e.speeds[engine]; ok {
		return s
	}
	return e.typical[service]
}

// Estimates returns the latest snapshot.
func (t *Table) Estimates() *Estimates { return t.estimates.Load() }

// Refresh computes a new snapshot. It returns the services whose engines have begun or ceased to
// differ.
func (t *Table) Refresh(now time.Time) (changed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byService := make(map[string][]string)
	for id, e := range t.engines {
		e.decay(now)
		byService[e.service] = append(byService[e.service], id)
	}
	next := &Estimates{speeds: make(map[string]Speed, len(t.engines)), typical: make(map[string]Speed), comparisons: make(map[string]Comparison)}
	for service, ids := range byService {
		all := lo.Map(ids, func(id string, _ int) sums { return t.engines[id].sums })
		mean, known := newTypicalSpeed(all)
		if !known {
			continue
		}
		if gaps := t.gaps[service]; gaps != nil {
			mean.tail = gaps.snapshot()
		}
		if mean.tail == nil { // beside prompts, and with a stall
			mean.tail = &tail{assumed: assumedStall * max(mean.promptedToken/mean.pooledToken, 1)}
		}
		next.typical[service] = mean.Speed
		for _, id := range ids {
			e := t.engines[id]
			next.speeds[id] = mean.of(e.sums, e.measuredAt)
		}
		speeds := lo.Map(ids, func(id string, _ int) Speed { return next.speeds[id] })
		differed := t.estimates.Load().comparisons[service].Differ
		next.comparisons[service] = compare(speeds, differed)
		if next.comparisons[service].Differ != differed {
			changed = append(changed, service)
		}
	}
	maps.DeleteFunc(t.gaps, func(service string, _ *distribution) bool { return byService[service] == nil })
	t.estimates.Store(next)
	slices.Sort(changed)
	return changed
}

// typicalSpeed is the mean speed of a service's engines, with what changes it on each of them.
type typicalSpeed struct {
	Speed
	// pooledToken and promptedToken are the times in seconds for an output token over all tokens,
	// while no prompt was pending and while some were.
	pooledToken, promptedToken float64
	// factor is the mean over the engines of the times that each takes against pooledToken. It is
	// above 1 where fast engines are given more.
	factor float64
}

// newTypicalSpeed returns the mean over the engines of a service, which is what is expected of one
// of which nothing is known. The effect of further requests is estimated within each engine and not
// between engines, since fast ones are given more.
func newTypicalSpeed(engines []sums) (typicalSpeed, bool) {
	var total sums
	covariance, variance := 0.0, 0.0
	for _, s := range engines {
		total.promptTokens += s.promptTokens
		total.promptSeconds += s.promptSeconds
		total.outputTokens += s.outputTokens
		total.outputSeconds += s.outputSeconds
		total.promptedTokens += s.promptedTokens
		total.promptedSeconds += s.promptedSeconds
		total.running += s.running
		if s.outputTokens > 0 {
			covariance += s.runningTime - s.outputSeconds*s.running/s.outputTokens
			variance += s.squaredRunning - s.running*s.running/s.outputTokens
		}
	}
	if total.outputTokens < outputPriorTokens || total.promptTokens < promptPriorTokens {
		return typicalSpeed{}, false
	}
	out := typicalSpeed{Speed: Speed{
		PromptToken: total.promptSeconds / total.promptTokens, OutputToken: total.outputSeconds / total.outputTokens,
		Running: total.running / total.outputTokens,
	}}
	if variance > total.outputTokens { // the number of requests varied by one or more
		out.PerRequest = min(max(covariance/variance, 0), out.OutputToken/out.Running)
	}
	out.pooledToken, out.promptedToken = out.OutputToken, out.OutputToken
	if total.promptedTokens >= outputPriorTokens {
		out.promptedToken = total.promptedSeconds / total.promptedTokens
	}
	out.factor = 1
	if measured := lo.Filter(engines, func(s sums, _ int) bool { return s.outputTokens >= outputPriorTokens }); len(measured) > 0 {
		out.factor = lo.Mean(lo.Map(measured, func(s sums, _ int) float64 { return s.outputSeconds / out.expectedSeconds(s) }))
	}
	out.OutputToken *= out.factor
	out.PerRequest *= out.factor
	if measured := lo.Filter(engines, func(s sums, _ int) bool { return s.promptTokens >= promptPriorTokens }); len(measured) > 0 {
		out.PromptToken = lo.Mean(lo.Map(measured, func(s sums, _ int) float64 { return s.promptSeconds / s.promptTokens }))
	}
	return out, true
}

// expectedSeconds is the time that all engines together would have taken for the tokens in the sums,
// beside the same requests.
func (typical typicalSpeed) expectedSeconds(s sums) float64 {
	seconds := s.outputTokens*typical.pooledToken + typical.PerRequest*(s.running-typical.Running*s.outputTokens)
	return max(seconds, s.outputTokens*typical.pooledToken/2)
}

// of returns the speed of an engine with the given sums. The fewer tokens were measured, the closer
// it is to the typical speed.
func (typical typicalSpeed) of(s sums, measuredAt time.Time) Speed {
	mean := typical
	mean.PerRequest /= typical.factor
	prior := outputPriorTokens * typical.pooledToken
	factor := (s.outputSeconds + prior*typical.factor) / (mean.expectedSeconds(s) + prior) / typical.factor
	return Speed{
		PromptToken: (s.promptSeconds + promptPriorTokens*typical.PromptToken) / (s.promptTokens + promptPriorTokens),
		OutputToken: factor * typical.OutputToken, Running: typical.Running, PerRequest: factor * typical.PerRequest,
		MeasuredTokens: s.outputTokens, MeasuredAt: measuredAt, tail: typical.tail,
	}
}

// compare compares the speeds of a service's engines; differed is the previous verdict.
func compare(speeds []Speed, differed bool) Comparison {
	speeds = lo.Filter(speeds, func(s Speed, _ int) bool { return s.MeasuredTokens >= outputPriorTokens })
	if len(speeds) < minComparedEngines {
		return Comparison{Differ: differed && len(speeds) > 0}
	}
	times := lo.Map(speeds, func(s Speed, _ int) float64 { return s.OutputToken }) // Running is the same for all
	slices.Sort(times)
	compared := max(int(comparedShare*float64(len(times))), 1)
	out := Comparison{Fast: lo.Mean(times[:compared]), Slow: lo.Mean(times[len(times)-compared:])}
	out.Differ = out.Slow >= out.Fast*lo.Ternary(differed, similarRatio, differentRatio)
	return out
}
