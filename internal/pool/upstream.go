package pool

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/admission"
	"github.com/rattanscale/rattanscale/internal/coldstart"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/routing"
)

const (
	// dispatchMargin bounds the time between a grant and its arrival at the
	// upstream, and between the end of a request at the upstream and its release.
	dispatchMargin = time.Second
	// observationWindow is the interval over which step times of one upstream form one observation.
	observationWindow = 500 * time.Millisecond
	// refusalPause keeps new work away from an upstream that refused a request.
	refusalPause = time.Second
)

// permit is one running request, or one whose cancellation is not confirmed yet.
type permit struct {
	Permit
	upstream    *upstream
	request     Request
	granted     time.Time
	started     time.Time // first progress with a token; zero before
	tokens      int
	meanStep    time.Duration
	expected    float64 // cost charged at the grant
	alone       bool
	cancelling  bool
	cancelSince time.Time
	cancelSent  time.Time
	// older and newer link the live permits in the order of expiry.
	older, newer *permit
}

func (p *permit) load() admission.Load {
	return admission.Load{Held: p.request.PromptTokens + p.tokens, Produced: p.tokens, Limit: p.request.MaxTokens}
}

// upstream is the owner's view of one upstream.
type upstream struct {
	name        string
	leaving     bool
	removed     bool
	incarnation string
	tracker     coldstart.Tracker
	model       admission.StepModel
	permits     []*permit
	profile     admission.Profile
	stale       bool
	prefixes    *routing.Prefixes

	report      Report
	reportTaken time.Time
	hasReport   bool
	// ghosts counts running requests that the latest report shows beyond the known ones.
	ghosts int
	// ended holds the times at which recent permits ended.
	ended []time.Time
	// down is set from a loss until a report shows that the upstream answers again.
	down      bool
	lostAt    time.Time
	pausedTil time.Time
	// proven is set once a report has shown that the reserve of a new deputy is free.
	proven bool

	samples     []time.Duration
	windowStart time.Time
}

func newUpstream(now time.Time, u entity.Upstream, pool *entity.Pool) *upstream {
	return &upstream{
		name:    u.Name,
		leaving: u.Leaving,
		tracker: coldstart.New(now, coldLimits(pool), pool.Kind != entity.KindPlain),
		model:   admission.NewStepModel(pool.Limits.TargetStep),
		proven:  true,
	}
}

func coldLimits(p *entity.Pool) coldstart.Limits {
	return coldstart.Limits{Cold: p.Limits.ColdRequests, Max: p.Limits.MaxRequests}
}

// running returns the requests that count against the limit.
func (u *upstream) running() int { return len(u.permits) + u.ghosts }

func (u *upstream) remove(now time.Time, p *permit) {
	if i := slices.Index(u.permits, p); i >= 0 {
		u.permits = slices.Delete(u.permits, i, i+1)
	}
	u.stale = true
	u.ended = slices.DeleteFunc(u.ended, func(t time.Time) bool { return now.Sub(t) > 10*dispatchMargin })
	u.ended = append(u.ended, now)
}

// refresh recomputes the predicted future of the batch.
func (u *upstream) refresh(lengths *admission.Predictor) {
	if !u.stale {
		return
	}
	u.stale = false
	u.profile.Reset()
	for _, p := range u.permits {
		u.profile.Add(p.load(), lengths.Lengths(keyOf(&p.request)))
	}
}

// applyReport compares a load report with the known running set. Reports may
// come late and out of order; an older one than the latest is ignored.
func (u *upstream) applyReport(now time.Time, r Report) {
	taken := now.Add(-r.Age)
	u.report, u.reportTaken, u.hasReport = r, taken, true
	if r.Incarnation != "" {
		u.incarnation = r.Incarnation
	}
	u.tracker.Report(now, taken, r.Cold)
	if taken.After(u.lostAt) {
		u.down = false
	}
	known := 0
	for _, p := range u.permits {
		if !p.granted.After(taken) {
			known++
		}
	}
	for _, t := range u.ended {
		if t.After(taken.Add(-dispatchMargin)) {
			known++
		}
	}
	u.ghosts = max(r.Running-known, 0)
}

// grantsSince counts live permits that may be missing from a report taken at the given time.
func (u *upstream) grantsSince(taken time.Time) int {
	n := 0
	for _, p := range u.permits {
		if p.started.IsZero() || p.started.After(taken) {
			n++
		}
	}
	return n
}

// observe collects step times and returns the median of each complete window.
func (u *upstream) observe(now time.Time, step time.Duration) (median time.Duration) {
	if len(u.samples) > 0 && now.Sub(u.windowStart) >= observationWindow {
		slices.Sort(u.samples)
		median = u.samples[len(u.samples)/2]
		u.samples = u.samples[:0]
	}
	if len(u.samples) == 0 {
		u.windowStart = now
	}
	u.samples = append(u.samples, step)
	return median
}

// batch returns the number of decoding requests and the tokens in memory.
func (u *upstream) batch() (float64, float64) {
	requests, memory := 0, 0
	for _, p := range u.permits {
		if p.tokens > 0 {
			requests++
			memory += p.request.PromptTokens + p.tokens
		}
	}
	return float64(requests), float64(memory)
}

func keyOf(r *Request) admission.Key { return admission.Key{Service: r.Service, Account: r.Account} }
