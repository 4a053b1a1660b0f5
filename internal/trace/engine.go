package trace

// DefaultEngine returns the parameters of the engine model for a recorded trace,
// whose engines are known only by their limits: a step of 20 ms that grows to the
// target at MaxRequests, and a cold engine that is 3 times slower.
func DefaultEngine(l Limits) Engine {
	const baseUS = 20_000
	perRequest := max(float64(l.TargetStepMS)*1000-baseUS, 1000) / float64(max(l.MaxRequests, 1))
	memory := l.MemoryTokens
	if memory == 0 {
		memory = 65_536
	}
	return Engine{
		BaseUS: baseUS, PerRequestUS: perRequest / 2, PerThousandTokensUS: perRequest / 2, PrefillPerTokenUS: 15, PrefillChunk: 512, Noise: 0.05,
		MaxBatch: max(2*l.MaxRequests, 1), MemoryTokens: memory, PrefixCacheTokens: memory / 4, ColdRequests: max(l.ColdRequests, 1),
		WarmAfter: 4, ColdFactor: 3, RestartMS: 10_000, ReportEveryMS: 250, ReportLagMS: 500, CacheLagMS: 1000, CacheEventLoss: 0.1,
	}
}
