package placement

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

// fakeEngine is an EngineClient with scripted reports and errors; it runs inside a
// synctest bubble.
type fakeEngine struct {
	reports  []upstream.Report // returned in turn; the last one repeats
	readErr  error
	readTime time.Duration
	orderErr error
	orders   []upstream.Order
}

func (f *fakeEngine) ReadLoadReport(ctx context.Context, _ string) (upstream.Report, error) {
	select {
	case <-ctx.Done():
		return upstream.Report{}, ctx.Err()
	case <-time.After(f.readTime):
	}
	r := f.reports[0]
	if len(f.reports) > 1 {
		f.reports = f.reports[1:]
	}
	return r, f.readErr
}

func (f *fakeEngine) Order(_ context.Context, _ string, o upstream.Order) error {
	f.orders = append(f.orders, o)
	return f.orderErr
}

// Guards against orders that are sent without confirmed ownership or sent twice, and
// against outcomes that the engine's state does not prove.
func TestExecutorProvesOutcomes(t *testing.T) {
	empty := upstream.Report{Incarnation: "1"}
	loaded := upstream.Report{Incarnation: "1", Models: []string{"m"}}
	restarted := upstream.Report{Incarnation: "2"}
	granted := func(Order, time.Duration) error { return nil }
	denied := func(Order, time.Duration) error { return errors.New("lease ends in 1.9s") }
	for name, c := range map[string]struct {
		engine    fakeEngine
		authority OwnershipCheck
		want      Outcome
		sent      int
	}{
		"loaded after a while":      {fakeEngine{reports: []upstream.Report{empty, empty, empty, loaded}}, granted, Done, 1},
		"loaded before":             {fakeEngine{reports: []upstream.Report{loaded}}, granted, Done, 0},
		"state cannot be read":      {fakeEngine{reports: []upstream.Report{empty}, readErr: errors.New("reset")}, granted, NotSent, 0},
		"state read takes too long": {fakeEngine{reports: []upstream.Report{empty}, readTime: time.Minute}, granted, NotSent, 0},
		"restarted before":          {fakeEngine{reports: []upstream.Report{restarted}}, granted, NotSent, 0},
		"lease too short":           {fakeEngine{reports: []upstream.Report{empty}}, denied, NotSent, 0},
		"restarted meanwhile":       {fakeEngine{reports: []upstream.Report{empty, restarted}}, granted, Failed, 1},
		"refused":                   {fakeEngine{reports: []upstream.Report{empty}, orderErr: &upstream.RefusedError{}}, granted, Failed, 1},
		"old token":                 {fakeEngine{reports: []upstream.Report{empty}, orderErr: upstream.ErrStaleOrder}, granted, Stale, 1},
		"never reached it":          {fakeEngine{reports: []upstream.Report{empty}, orderErr: upstream.ErrNotSent}, granted, NotSent, 1},
		"answer lost, took effect":  {fakeEngine{reports: []upstream.Report{empty, loaded}, orderErr: upstream.ErrLost}, granted, Done, 1},
		"answer lost, no effect":    {fakeEngine{reports: []upstream.Report{empty}, orderErr: upstream.ErrLost}, granted, Unknown, 1},
		"accepted but never shows":  {fakeEngine{reports: []upstream.Report{empty}}, granted, Unknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := NewExecutor(&c.engine, c.authority, map[string]string{"u": "secret"}, time.Minute)
				r := x.Execute(t.Context(), Order{Upstream: "u", Address: "a", Incarnation: "1", Kind: upstream.OrderLoad, Model: "m", Token: 9})
				assert.Equal(t, c.want, r.Outcome, "%v", r.Err)
				assert.Equal(t, c.want == Done, r.Err == nil)
				assert.Len(t, c.engine.orders, c.sent)
				if c.sent > 0 {
					assert.Equal(t, upstream.Order{Kind: upstream.OrderLoad, Model: "m", Fencing: 9, Credential: "secret"}, c.engine.orders[0])
				}
			})
		})
	}
}

// Guards against two concurrent orders on one engine, and against an ownership check that
// happens before the read of the engine's state.
func TestExecutorSerializesOrdersAndChecksOwnershipLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{reports: []upstream.Report{{Incarnation: "1"}}, readTime: 900 * time.Millisecond}
		startedAt := time.Now()
		var checkedAfter time.Duration
		x := NewExecutor(engine, func(_ Order, atLeast time.Duration) error {
			checkedAfter = time.Since(startedAt)
			assert.Equal(t, LeaseMargin, atLeast)
			return nil
		}, nil, 10*time.Second)
		o := Order{Upstream: "u", Address: "a", Incarnation: "1", Kind: upstream.OrderLoad, Model: "m"}
		results := make(chan Result, 1)
		go func() { results <- x.Execute(t.Context(), o) }()
		synctest.Wait()
		assert.Equal(t, NotSent, x.Execute(t.Context(), o).Outcome)
		assert.Equal(t, Unknown, (<-results).Outcome)
		assert.Equal(t, engine.readTime, checkedAfter)
		assert.Len(t, engine.orders, 1)
	})
}
