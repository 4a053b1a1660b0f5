package standin

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

// run executes engine steps while there are requests, until Close.
func (e *Engine) run() {
	defer e.stopped.Done()
	for {
		var step <-chan time.Time
		if duration, busy := e.beginStep(); busy {
			step = time.After(duration)
		}
		select {
		case <-e.stop:
			return
		case <-step:
			e.finishStep()
		case <-e.wakeWhenIdle(step):
		}
	}
}

// wakeWhenIdle returns the wake channel, or nil during a step: a request that
// arrives during a step waits for the next one.
func (e *Engine) wakeWhenIdle(step <-chan time.Time) <-chan struct{} {
	if step != nil {
		return nil
	}
	return e.wake
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// beginStep admits waiting requests and returns the duration of the next step. It
// reports false when there is no request to run.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortStableFunc(e.waiting, func(a, b *generation) int {
		return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority), cmp.Compare(a.arrivalNumber, b.arrivalNumber))
	})
	prefillTokens := 0
	for len(e.waiting) > 0 {
		g := e.waiting[0]
		if !e.fitsInMemory(e.usedMemoryTokens() + g.memoryTokens() + len(e.running) + 1) {
			break
		}
		prefillTokens += e.prefillTokens(g)
		e.waiting = e.waiting[1:]
		e.running = append(e.running, g)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	return e.stepTime(prefillTokens), true
}

func (e *Engine) stepTime(prefillTokens int) time.Duration {
	s := e.settings
	const kilo = 1000
	step := s.BaseStep + s.StepPerRequest*time.Duration(len(e.running)) +
		s.StepPerKiloToken*time.Duration(e.usedMemoryTokens())/kilo + s.PrefillPerKiloToken*time.Duration(prefillTokens)/kilo
	if e.cold && s.ColdFactor > 0 {
		step = time.Duration(float64(step) * s.ColdFactor)
	}
	return step
}

// prefillTokens returns the number of tokens to compute when the request is
// admitted. A preempted request computes its output again; a cached prefix costs
// nothing.
func (e *Engine) prefillTokens(g *generation) int {
	tokens := g.memoryTokens()
	prefix := upstream.PrefixHash(g.request.Prompt)
	if e.cache.touch(prefix, time.Now()) {
		tokens -= min(len(g.request.Prompt), upstream.PrefixBytes) / 4
	}
	return max(tokens, 0)
}

// finishStep produces one token for each running request.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc(e.running, e.promptHasCrashMarker) {
		e.crash()
		return
	}
	for _, g := range slices.Clone(e.running) {
		if g.producedTokens < g.targetTokens {
			g.producedTokens++
			e.stats.Tokens++
		}
		if g.producedTokens >= g.targetTokens {
			e.complete(g, g.finishReason)
		}
		g.notify()
	}
	e.preempt()
	e.dropExpired()
	e.appendReport()
}

func (e *Engine) promptHasCrashMarker(g *generation) bool {
	return e.crashMarker != "" && strings.Contains(g.request.Prompt, e.crashMarker)
}

func (e *Engine) complete(g *generation, finishReason string) {
	g.done, g.finishReason = true, finishReason
	if g.readerCount == 0 {
		g.unreadSince = time.Now()
	}
	e.removeFromBatch(g)
	e.stats.Completed++
	if e.cold {
		if e.completedWhileCold++; e.completedWhileCold >= e.settings.WarmAfter {
			e.cold = false
		}
	}
}

// preempt returns the most recently admitted requests to the queue until the
// next step fits in memory. A request that does not fit alone is completed with
// the finish reason "length".
func (e *Engine) preempt() {
	for len(e.running) > 0 && !e.fitsInMemory(e.usedMemoryTokens()+len(e.running)) {
		last := e.running[len(e.running)-1]
		if len(e.running) == 1 {
			e.complete(last, "length")
			last.notify()
			return
		}
		e.running = e.running[:len(e.running)-1]
		e.waiting = append(e.waiting, last)
		e.stats.Preemptions++
	}
}

func (e *Engine) fitsInMemory(tokens int) bool {
	return e.settings.MemoryTokens <= 0 || tokens <= e.settings.MemoryTokens
}

func (e *Engine) usedMemoryTokens() int {
	total := 0
	for _, g := range e.running {
		total += g.memoryTokens()
	}
	return total
}

// appendReport adds the current state to the history from which delayed load
// reports are served.
func (e *Engine) appendReport() {
	now := time.Now()
	e.reportHistory = append(e.reportHistory, upstream.Report{
		Incarnation: e.incarnation, Cold: e.cold, Leaving: e.leaving, Running: len(e.running),
		Waiting: len(e.waiting), MemoryTokens: e.usedMemoryTokens(), Preemptions: e.stats.Preemptions,
		Models: slices.Clone(e.models), Role: e.role, MeasuredAt: now,
	})
	e.trimHistory(now)
}

// trimHistory drops old entries, so that the first one is the newest that is at
// least ReportLag old.
func (e *Engine) trimHistory(now time.Time) {
	visibleUntil := now.Add(-e.settings.ReportLag)
	firstKept := 0
	for firstKept+1 < len(e.reportHistory) && !e.reportHistory[firstKept+1].MeasuredAt.After(visibleUntil) {
		firstKept++
	}
	e.reportHistory = slices.Delete(e.reportHistory, 0, firstKept)
}

// report returns the state as of ReportLag ago. Its time is ReportLag ago also
// when the state has not changed for longer.
func (e *Engine) report() upstream.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.trimHistory(now)
	r := e.reportHistory[0]
	if visibleUntil := now.Add(-e.settings.ReportLag); r.MeasuredAt.Before(visibleUntil) {
		r.MeasuredAt = visibleUntil
	}
	return r
}

// loadModel makes the model available after the load time, unless the engine
// restarted in between.
func (e *Engine) loadModel(model string) {
	incarnation := e.incarnation
	time.AfterFunc(e.settings.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation == incarnation && !slices.Contains(e.models, model) {
			e.models = append(e.models, model)
			e.appendReport()
		}
	})
}

// applyOrder carries out an order. It reports false, and ignores the order, if the
// fencing token is lower than one seen before and IgnoreFencing is not set.
func (e *Engine) applyOrder(o upstream.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fencing < e.highestFencingToken {
		e.stats.StaleOrders++
		if !e.settings.IgnoreFencing {
			return false
		}
	}
	e.highestFencingToken = max(e.highestFencingToken, o.Fencing)
	e.stats.Orders++
	switch o.Kind {
	case upstream.OrderLoad:
		e.loadModel(o.Model)
	case upstream.OrderUnload:
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	case upstream.OrderSetRole:
		e.role = o.Role
	}
	e.appendReport()
	return true
}
