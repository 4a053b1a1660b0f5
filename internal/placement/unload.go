package placement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

// trackSurplus records since when each model has had more copies than it needs. A model
// without a routed version needs none.
func (p *poolPlan) trackSurplus(targets []target) {
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
	maps.DeleteFunc(p.surplusSince, func(k modelKey, _ time.Time) bool { return k.pool == p.pool.Name && !held[k.model] })
	for model := range held {
		key := modelKey{p.pool.Name, model}
		if p.copies(model) <= needed[model] {
			delete(p.surplusSince, key)
		} else if _, known := p.surplusSince[key]; !known {
			p.surplusSince[key] = p.now
		}
	}
}

// surplusLasted reports whether a model has had too many copies for MinSurplusDuration.
func (p *poolPlan) surplusLasted(model string) bool {
	since, found := p.surplusSince[modelKey{p.pool.Name, model}]
	return found && p.now.Sub(since) >= p.settings.MinSurplusDuration
}

// unloadUnrouted unloads models without a routed version. A spare copy of a model in use
// is kept until its slot is needed, because it costs nothing and demand may return.
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

// urgency determines which copies of other models may be unloaded for a model that has too
// few copies.
type urgency int

const (
	// urgencyDemand: only copies that have been surplus for MinSurplusDuration.
	urgencyDemand urgency = iota
	// urgencyMinimum: copies above the minCopies of the other model.
	urgencyMinimum
	// urgencyUnserved: all but the last copy of the other model, regardless of its dwell
	// time, because no engine serves the model.
	urgencyUnserved
)

func urgencyOf(have, minCopies int) urgency {
	switch {
	case have == 0:
		return urgencyUnserved
	case have < minCopies:
		return urgencyMinimum
	}
	return urgencyDemand
}

// canGiveUpCopy reports whether a model can give up a copy to a model of the given urgency.
// A model that has given up a copy still has enough copies that it cannot claim the slot back,
// so that two models do not replace each other repeatedly.
func (p *poolPlan) canGiveUpCopy(other target, need urgency) bool {
	have := p.copies(other.model)
	switch need {
	case urgencyUnserved:
		return have > min(1, other.minCopies)
	case urgencyMinimum:
		return have > other.minCopies
	}
	return have > other.copies && p.surplusLasted(other.model)
}

// freeSlot unloads one copy of another model from an upstream without a free slot. The slot
// is used in a later tick, after a report shows that it is free.
func (p *poolPlan) freeSlot(t target, allTargets []target) {
	if p.pendingUnloads() > 0 {
		return // one slot at a time, since the model may then have enough copies
	}
	need := urgencyOf(p.copies(t.model), t.minCopies)
	for _, other := range append(p.unroutedTargets(allTargets), allTargets...) {
		if other.model == t.model || !p.canGiveUpCopy(other, need) {
			continue
		}
		for i := range p.nodes {
			n := &p.nodes[i]
			full := len(n.models) >= p.settings.ModelsPerUpstream
			if full && !slices.Contains(n.models, t.model) && p.mayUnload(n, other.model, need == urgencyUnserved) {
				p.unload(n, other.model, fmt.Sprintf("model %s needs the slot: it has %d of %d copies, the unloaded model has %d of %d",
					t.model, p.copies(t.model), t.copies, p.copies(other.model), other.copies))
				return
			}
		}
	}
}

// unroutedTargets returns a target of 0 copies for each loaded model without a routed version.
func (p *poolPlan) unroutedTargets(targets []target) (out []target) {
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

func (p *poolPlan) pendingUnloads() (count int) {
	for i := range p.nodes {
		if e, found := p.trackedOrders[p.nodes[i].Name]; found && e.order.Kind == upstream.OrderUnload {
			count++
		}
	}
	return count
}

func (p *poolPlan) mayUnload(n *node, model string, ignoreDwell bool) bool {
	key := copyKey{n.Name, model}
	loaded, known := p.loadedAt[key]
	dwellElapsed := ignoreDwell || !known || p.now.Sub(loaded) >= p.settings.MinDwell
	return n.canTakeOrder && dwellElapsed && slices.Contains(n.models, model) && p.mayRetry(key)
}

func (p *poolPlan) unload(n *node, model, reason string) {
	p.issue(n, Order{Kind: upstream.OrderUnload, Model: model, Reason: reason})
}
