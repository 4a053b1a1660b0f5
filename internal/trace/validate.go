package trace

import (
	"math"
	"slices"
)

// The bounds keep times and sums far from integer overflow.
const (
	maxTimeMS       = int64(31 * 24 * 3600 * 1000)
	maxTokens       = 10_000_000
	maxMicroseconds = 60e6
)

// declaredNames holds the names that the header declares and the identifiers of the
// requests read so far.
type declaredNames struct {
	pools, upstreams, dataCentres, services, accounts, requests map[string]bool
}

func (p *parser) checkHeader() error {
	h := &p.trace.Header
	p.names = declaredNames{
		pools: map[string]bool{}, upstreams: map[string]bool{}, dataCentres: map[string]bool{},
		services: map[string]bool{}, accounts: map[string]bool{}, requests: map[string]bool{},
	}
	switch {
	case h.Name == "":
		return p.errorf("set name", "trace has no name")
	case h.Order != OrderTime && h.Order != OrderCompletion:
		return p.errorf("use time or completion", "order %q is unknown", h.Order)
	case h.SpanMS <= 0 || h.SpanMS > maxTimeMS:
		return p.errorf("set span_ms to the length of the trace", "span_ms %d is out of range", h.SpanMS)
	case h.WarmupMS < 0 || h.WarmupMS >= h.SpanMS:
		return p.errorf("set warmup_ms below span_ms", "warmup_ms %d is out of range", h.WarmupMS)
	case len(h.Pools) == 0 || len(h.Services) == 0 || len(h.Accounts) == 0:
		return p.errorf("list at least one of each", "pools, services or accounts are missing")
	}
	for _, check := range []func() error{p.checkPools, p.checkServices, p.checkAccounts, p.checkOutcomes} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *parser) declare(set map[string]bool, kind, name string) error {
	if name == "" {
		return p.errorf("set its name", "%s without a name", kind)
	}
	if set[name] {
		return p.errorf("use each name once", "%s %q is listed twice", kind, name)
	}
	set[name] = true
	return nil
}

func (p *parser) checkPools() error {
	for _, pool := range p.trace.Header.Pools {
		if err := p.declare(p.names.pools, "pool", pool.Name); err != nil {
			return err
		}
		if pool.DataCentre == "" || len(pool.Upstreams) == 0 {
			return p.errorf("set data_centre and upstreams", "pool %q is incomplete", pool.Name)
		}
		p.names.dataCentres[pool.DataCentre] = true
		l := pool.Limits
		if l.ColdRequests < 1 || l.MaxRequests < l.ColdRequests || l.TargetStepMS < 1 || l.TargetStepMS > maxTimeMS ||
			l.MemoryTokens < 0 || l.MemoryTokens > maxTokens || l.MaxRequests > maxTokens {
			return p.errorf("set 1 <= cold_requests <= max_requests and target_step_ms >= 1",
				"limits of pool %q are out of range", pool.Name)
		}
		for _, u := range pool.Upstreams {
			if err := p.declare(p.names.upstreams, "upstream", u.Name); err != nil {
				return err
			}
			if field := u.Engine.invalidField(); field != "" {
				return p.errorf("use the range of docs/trace-format.md",
					"%s of upstream %q is out of range", field, u.Name)
			}
		}
	}
	return nil
}

// invalidField returns the name of a parameter that is out of range, or "".
func (e Engine) invalidField() string {
	between := func(v, low, high float64) bool { return v >= low && v <= high }
	checks := []struct {
		field string
		ok    bool
	}{
		{"base_us", between(e.BaseUS, 1, maxMicroseconds)},
		{"per_request_us", between(e.PerRequestUS, 0, maxMicroseconds)},
		{"per_thousand_tokens_us", between(e.PerThousandTokensUS, 0, maxMicroseconds)},
		{"prefill_per_token_us", between(e.PrefillPerTokenUS, 0, maxMicroseconds)},
		{"prefill_chunk", e.PrefillChunk >= 1 && e.PrefillChunk <= maxTokens},
		{"noise", between(e.Noise, 0, 0.5)},
		{"max_batch", e.MaxBatch >= 1 && e.MaxBatch <= maxTokens},
		{"memory_tokens", e.MemoryTokens >= 1 && e.MemoryTokens <= maxTokens},
		{"prefix_cache_tokens", e.PrefixCacheTokens >= 0 && e.PrefixCacheTokens <= maxTokens},
		{"cold_requests", e.ColdRequests >= 1 && e.ColdRequests <= maxTokens},
		{"warm_after", e.WarmAfter >= 1 && e.WarmAfter <= maxTokens},
		{"cold_factor", between(e.ColdFactor, 1, 1000)},
		{"restart_ms", e.RestartMS >= 0 && e.RestartMS <= maxTimeMS},
		{"report_every_ms", e.ReportEveryMS >= 1 && e.ReportEveryMS <= maxTimeMS},
		{"report_lag_ms", e.ReportLagMS >= 0 && e.ReportLagMS <= maxTimeMS},
		{"cache_lag_ms", e.CacheLagMS >= 0 && e.CacheLagMS <= maxTimeMS},
		{"cache_gap", between(e.CacheEventLoss, 0, 1)},
	}
	for _, c := range checks {
		if !c.ok {
			return c.field
		}
	}
	return ""
}

func (p *parser) checkServices() error {
	for _, s := range p.trace.Header.Services {
		if err := p.declare(p.names.services, "service", s.Name); err != nil {
			return err
		}
		if len(s.Pools) == 0 {
			return p.errorf("list the pools of the service", "service %q has no pool", s.Name)
		}
		for _, name := range s.Pools {
			if !p.names.pools[name] {
				return p.errorf("list a pool of the header", "service %q names the unknown pool %q", s.Name, name)
			}
		}
		if s.Delivery != DeliverWhole && s.Delivery != DeliverRestart && s.Delivery != DeliverError {
			return p.errorf("use whole, restart or error", "delivery %q of service %q is unknown", s.Delivery, s.Name)
		}
		if s.Priority < 0 || s.Priority > 9 || s.DeadlineMS < 0 || s.DeadlineMS > maxTimeMS {
			return p.errorf("use priority 0 to 9 and deadline_ms >= 0", "service %q has a value out of range", s.Name)
		}
	}
	return nil
}

func (p *parser) checkAccounts() error {
	for _, a := range p.trace.Header.Accounts {
		if err := p.declare(p.names.accounts, "account", a.Name); err != nil {
			return err
		}
		if !(a.Share > 0) || a.Share > maxMicroseconds || a.MaxQueued < 0 {
			return p.errorf("use share > 0 and max_queued >= 0", "account %q has a value out of range", a.Name)
		}
	}
	return nil
}

func (p *parser) checkOutcomes() error {
	seen := map[string]bool{}
	for _, o := range p.trace.Header.Outcomes {
		if err := p.declare(seen, "outcome", o.Name); err != nil {
			return err
		}
		if !slices.Contains(Metrics(), o.Metric) {
			return p.errorf("use a metric of docs/trace-format.md", "outcome %q: metric %q is unknown", o.Name, o.Metric)
		}
		if o.AtMost == nil && o.AtLeast == nil {
			return p.errorf("set at_most or at_least", "outcome %q has no bound", o.Name)
		}
		if o.ReferencePolicy != "" && o.ReferenceTrace != "" {
			return p.errorf("set either of or of_trace", "outcome %q sets of and of_trace", o.Name)
		}
	}
	return nil
}

func (p *parser) checkEvent(e Event) error {
	if e.AtMS < 0 || e.AtMS > maxTimeMS {
		return p.errorf("use an offset in milliseconds", "at_ms %d is out of range", e.AtMS)
	}
	if n := len(p.trace.Events); n > 0 && p.trace.Header.Order == OrderTime && e.AtMS < p.trace.Events[n-1].AtMS {
		return p.errorf("sort events by at_ms or set order to completion", "event is earlier than the one before")
	}
	if (e.Arrival != nil) != (e.Kind == Arrive) {
		return p.errorf("give arrival for kind arrival only", "kind %q and the fields do not match", e.Kind)
	}
	if e.NoticeMS < 0 || e.NoticeMS > maxTimeMS || (e.NoticeMS > 0 && e.Kind != UpstreamReclaimed) {
		return p.errorf("use notice_ms for upstream-reclaimed only", "notice_ms %d is not allowed", e.NoticeMS)
	}
	switch e.Kind {
	case Arrive:
		return p.checkArrival(*e.Arrival, e)
	case UpstreamCold, UpstreamReclaimed, UpstreamLost, UpstreamBack:
		if !p.names.upstreams[e.Upstream] || e.DataCentre != "" {
			return p.errorf("name an upstream of the header only", "%s: upstream %q is unknown", e.Kind, e.Upstream)
		}
	case DataCentreOut, DataCentreBack:
		if !p.names.dataCentres[e.DataCentre] || e.Upstream != "" {
			return p.errorf("name a data centre of the header only", "%s: data centre %q is unknown", e.Kind, e.DataCentre)
		}
	default:
		return p.errorf("use a kind of docs/trace-format.md", "kind %q is unknown", e.Kind)
	}
	return nil
}

func (p *parser) checkArrival(a Arrival, e Event) error {
	if e.Upstream != "" || e.DataCentre != "" {
		return p.errorf("remove upstream and data_centre", "arrival with upstream or data_centre")
	}
	if err := p.declare(p.names.requests, "request", a.ID); err != nil {
		return err
	}
	if !p.names.services[a.Service] {
		return p.errorf("use a service of the header", "service %q is unknown", a.Service)
	}
	if !p.names.accounts[a.Account] {
		return p.errorf("use an account of the header", "account %q is unknown", a.Account)
	}
	if a.Priority != nil && (*a.Priority < 0 || *a.Priority > 9) {
		return p.errorf("use 0 to 9", "priority %d is out of range", *a.Priority)
	}
	tokens := []int{a.PromptTokens, a.OutputTokens, a.MaxTokens, a.PrefixTokens}
	if slices.Min(tokens) < 0 || slices.Max(tokens) > maxTokens || a.PromptTokens < 1 || a.OutputTokens < 1 {
		return p.errorf("use prompt and output of at least 1", "request %q has a token count out of range", a.ID)
	}
	if a.PrefixTokens > a.PromptTokens || (a.MaxTokens > 0 && a.OutputTokens > a.MaxTokens) {
		return p.errorf("keep prefix_tokens within prompt and output within max", "request %q contradicts itself", a.ID)
	}
	times := []int64{a.DeadlineMS, a.FinishByMS, a.AbandonMS}
	if slices.Min(times) < 0 || slices.Max(times) > maxTimeMS || a.PrefixHash > math.MaxInt64 {
		return p.errorf("use times of at least 0", "request %q has a value out of range", a.ID)
	}
	return nil
}
