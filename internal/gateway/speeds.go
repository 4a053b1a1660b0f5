package gateway

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/enginespeed"
)

// speedOf returns the speed of an engine; it is unknown unless the engines of the service differ.
func (g *Gateway) speedOf(u *catalog.Upstream) enginespeed.Speed {
	if g.Speeds == nil || g.PlainPolicy {
		return enginespeed.Speed{}
	}
	estimates := g.Speeds.Estimates()
	if !estimates.Compared(u.Service).Differ {
		return enginespeed.Speed{}
	}
	return estimates.Of(u.Service, u.ID)
}

// demand describes the request for the choice of an upstream.
func (c *call) demand() balance.Demand {
	return newDemand(c.route, c.service, c.info.PromptTokens, c.expectedOutputTokens())
}

// newDemand describes a request with the given tokens of prompt and expected output.
func newDemand(route *catalog.Route, service *catalog.Service, promptTokens, outputTokens int) balance.Demand {
	d := balance.Demand{MemoryTokens: promptTokens + outputTokens}
	if route.Kind == catalog.Stream && service.Engine != nil {
		d.PromptTokens, d.TokensPerEvent = promptTokens, max(service.Engine.TokensPerEvent, 1)
		d.Events = outputTokens / d.TokensPerEvent
		d.FirstEventTarget, d.MaxEventGap = route.LatencyTarget.Seconds(), route.MaxEventGap.Seconds()
	}
	return d
}

// remainingDemand describes the rest of a running stream, whose prompt is processed.
func (c *call) remainingDemand(s *stream) balance.Demand {
	_, events, _ := s.progress()
	d := c.demand()
	d.PromptTokens, d.FirstEventTarget, d.Events = 0, 0, max(d.Events-events, 1)
	return d
}

// measureFirstEvent records the time in which the engine processed the prompt. Tokens are those
// of this prompt and of the prompts that were pending on the engine when it was sent.
func (r *runReport) measureFirstEvent(now time.Time) {
	if speeds := r.call.g.Speeds; speeds != nil && !r.partial && r.call.info.PromptTokens > 0 {
		speeds.RecordPrompt(r.upstream.Service, r.upstream.ID, r.upstream.Incarnation, r.pendingPromptTokens, now.Sub(r.sentAt), now)
	}
}

// measureEventGap records the time between two events of a stream. It leaves out a gap in most of
// which this host was busy with the caller, who may read slowly.
func (r *runReport) measureEventGap(previous, now time.Time) {
	speeds, engine := r.call.g.Speeds, r.call.service.Engine
	if speeds == nil || engine == nil || r.waitingSince.Sub(previous) > now.Sub(previous)/2 {
		return
	}
	load := r.call.g.LoadTracker.Views([]string{r.upstream.ID}, now)[0].Load
	speeds.RecordOutput(r.upstream.Service, r.upstream.ID, r.upstream.Incarnation, enginespeed.Output{
		Tokens: max(engine.TokensPerEvent, 1), Duration: now.Sub(previous), Running: load.Requests, Prompts: load.PendingPromptTokens > 0,
	}, now)
}
