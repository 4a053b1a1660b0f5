// Package hedge repeats calls that change nothing and are not answered in time. It answers
// connections that went silent: the first call may never end, a second one over another
// connection does.
package hedge

import (
	"context"
	"time"
)

type outcome[T any] struct {
	value  T
	err    error
	hedged bool
}

// Do runs first, and second as well if first has not ended after delay. It returns the result of
// the one that succeeds first, and whether that is second; the context of the other one is
// cancelled. If first fails within delay, or both fail, it returns the error of the one that
// failed last.
func Do[T any](ctx context.Context, delay time.Duration, first, second func(context.Context) (T, error)) (T, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], 2)
	run := func(call func(context.Context) (T, error), hedged bool) {
		value, err := call(ctx)
		outcomes <- outcome[T]{value, err, hedged}
	}
	running := 1
	go run(first, false)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case o := <-outcomes:
			running--
			if o.err == nil || running == 0 {
				return o.value, o.hedged, o.err
			}
		case <-timer.C:
			running++
			go run(second, true)
		}
	}
}
