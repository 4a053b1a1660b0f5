package placement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

// noteSurplus notes since when each model has had more copies than it needs. A model that
// no version routes to needs none.
func (p *poolPlan) noteSurplus(targets []target) {
	needed := map[string]int{}
	for _, t := range targets {
		needed[t.model] = t.copies
	}
	held := map[string]bool{}
	for i := range p.nodes {
		for _, model := range p.nodes[i].models {
			held[model] = true
		}
	}
	maps.DeleteFunc(p.surplus, func(k modelKey, _ time.Time) bool { return k.pool == p.pool.Name && !held[k.model] })
	for model := range held {
		key := modelKey{p.pool.Name, model}
		if p.copies(model) <= needed[model] {
			delete(p.surplus, key)
		} else if _, known := p.surplus[key]; !known {
			p.surplus[key] = p.now
		}
	}
}

// surplusLasted tells whether a model has had too many copies for long enough.
func (p *poolPlan) surplusLasted(model string) bool {
	since, found := p.surplus[modelKey{p.pool.Name, model}]
	return found && p.now.Sub(since) >= p.settings.SurplusHold
}

// unloadUnrouted unloads models that no version routes to. A spare copy of a model in use
// stays until its slot is needed, because it costs nothing and demand may return.
func (p *poolPlan) unloadUnrouted(targets []target) {
	for i := range p.nodes {
		n := &p.nodes[i]
		for _, model := range slices.Sorted(slices.Values(n.models)) {
			routes := slices.ContainsFunc(targets, func(t target) bool { return t.model == model })
			if !routes && p.surplusLasted(model) && p.mayUnload(n, model, false) {
				p.unload(n, model, "no version routes to the model")
				break
			}
		}
	}
}

// urgency tells what a model that is short of copies may take from others.
type urgency int

const (
	// forDemand takes copies that have been spare for SurplusHold.
	forDemand urgency = iota
	// forLeast takes what other models have above their least copies.
	forLeast
	// forFirst takes all but the last copy of others at once, since no engine serves the model.
	forFirst
)

func urgencyOf(have, least int) urgency {
	switch {
	case have == 0:
		return forFirst
	case have < least:
		return forLeast
	}
	return forDemand
}

// spare tells whether a model can give up a copy to one of the given urgency. What it keeps
// is never less than what it could take back, so that two models do not alternate.
func (p *poolPlan) spare(other target, need urgency) bool {
	have := p.copies(other.model)
	switch need {
	case forFirst:
		return have > min(1, other.least)
	case forLeast:
		return have > other.least
	}
	return have > other.copies && p.surplusLasted(other.model)
}

// makeRoom unloads one copy of another model from an upstream without a free slot. The
// slot is used in a later tick, when a report shows that it is free.
func (p *poolPlan) makeRoom(t target, all []target) {
	if p.openUnloads() > 0 {
		return // one slot at a time: the model that is short may then have enough
	}
	need := urgencyOf(p.copies(t.model), t.least)
	for _, other := range append(p.unrouted(all), all...) {
		if other.model == t.model || !p.spare(other, need) {
			continue
		}
		for i := range p.nodes {
			n := &p.nodes[i]
			full := len(n.models) >= p.settings.ModelsPerUpstream
			if full && !slices.Contains(n.models, t.model) && p.mayUnload(n, other.model, need == forFirst) {
				p.unload(n, other.model, fmt.Sprintf("%s needs the slot: it has %d of %d copies, this model %d of %d",
					t.model, p.copies(t.model), t.copies, p.copies(other.model), other.copies))
				return
			}
		}
	}
}

// unrouted returns the held models that no version routes to, as targets without copies.
func (p *poolPlan) unrouted(targets []target) (out []target) {
	for i := range p.nodes {
		for _, model := range p.nodes[i].models {
			same := func(t target) bool { return t.model == model }
			if !slices.ContainsFunc(targets, same) && !slices.ContainsFunc(out, same) {
				out = append(out, target{model: model})
			}
		}
	}
	return out
}

func (p *poolPlan) openUnloads() (open int) {
	for i := range p.nodes {
		if e, found := p.expected[p.nodes[i].Name]; found && e.order.Kind == upstream.OrderUnload {
			open++
		}
	}
	return open
}

func (p *poolPlan) mayUnload(n *node, model string, atOnce bool) bool {
	key := copyKey{n.Name, model}
	loaded, known := p.loadedAt[key]
	settled := atOnce || !known || p.now.Sub(loaded) >= p.settings.MinDwell
	return n.free && settled && slices.Contains(n.models, model) && p.mayRetry(key)
}

func (p *poolPlan) unload(n *node, model, reason string) {
	p.order(n, Order{Kind: upstream.OrderUnload, Model: model, Reason: reason})
}
