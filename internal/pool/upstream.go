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
	// dispatchTimeout bounds the time between a grant and its arrival at the upstream.
	dispatchTimeout = 500 * time.Millisecond
	// endedMemory is how long ended permits are kept for comparison with late reports.
	endedMemory = 10 * time.Second
	// cleanReports is the number of reports without unknown requests
	// after which an upstream is known to run only what was granted.
	cleanReports = 2
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
	grew        time.Time // last progress with a new token
	completed   bool
	short       bool
	meanStep    time.Duration
	expected    float64 // cost charged at the grant
	cancelling  bool
	cancelSince time.Time
	cancelSent  time.Time
	// older and newer link the live permits in the order of expiry.
	older, newer *permit
	// broken is set once the holder reported that the run broke.
	broken bool
}

func (p *permit) load() admission.Load {
	return admission.Load{Held: p.request.PromptTokens + p.tokens, Produced: p.tokens, Limit: p.request.MaxTokens}
}

// endedPermit is a permit that a late report may still show as running.
type endedPermit struct {
	granted time.Time
	started time.Time // zero when it never made progress
	at      time.Time
	// completed tells that the request ran until it ended.
	completed bool
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
	broken      []brokenRun
	short       int // permits whose expected output is at most the mean
	alone       int // permits that must have the upstream to themselves
	profile     admission.Profile
	stale       bool
	// base is the load of the present batch as a share of memory and of the target
	// step; it bounds from below the load with one more request.
	base load
	// rejected describes a request that did not fit since the last change.
	rejected footprint
	prefixes *routing.PrefixTable

	report      Report
	reportTaken time.Time
	hasReport   bool
	// doubt is set while the upstream may run requests that are not known here:
	// after a change of owner or deputy, and after a loss.
	doubt bool
	clean int
	// cleanAt is when the latest report that showed only known requests was taken.
	cleanAt time.Time
	// unknown counts requests that the latest report shows beyond the known ones.
	unknown int
	// assumed stands for unknown until a report taken at or after assumedTil.
	assumed int
	// inTransit bounds the permits granted before the latest report that had not
	// arrived when it was taken.
	inTransit  int
	assumedTil time.Time
	ended      []endedPermit
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

// holds reports whether the upstream has loaded the model, as far as its reports tell.
func (u *upstream) holds(model string) bool {
	return model == "" || len(u.report.Models) == 0 || slices.Contains(u.report.Models, model)
}

// running returns the requests that count against the limit.
func (u *upstream) running() int { return len(u.permits) + max(u.unknown, u.assumed) }

func (u *upstream) remove(now time.Time, p *permit) {
	if i := slices.Index(u.permits, p); i >= 0 {
		u.permits = slices.Delete(u.permits, i, i+1)
	}
	u.stale = true
	u.ended = slices.DeleteFunc(u.ended, func(e endedPermit) bool { return now.Sub(e.at) > endedMemory })
	u.ended = append(u.ended, endedPermit{granted: p.granted, started: p.started, at: now, completed: p.completed})
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
	u.changed()
}

// changed forgets what was derived from the previous profile.
func (u *upstream) changed() {
	u.base, u.rejected = load{}, footprint{}
}

// applyReport compares a load report with the known running set. Reports may
// come late and out of order; an older one than the latest is ignored.
func (u *upstream) applyReport(now time.Time, r Report, reserve int) {
	taken := now.Add(-r.Age)
	u.report, u.reportTaken, u.hasReport = r, taken, true
	if r.Incarnation != "" {
		u.incarnation = r.Incarnation
	}
	u.tracker.Report(now, taken, r.Cold)
	if !taken.Before(u.lostAt.Add(dispatchTimeout)) {
		// Requests that were on their way at the loss are in this report.
		u.down = false
	}
	if !taken.Before(u.assumedTil) {
		u.assumed = 0
	}
	u.countUnknown()
	u.countTransit(taken, reserve)
}

// countTransit compares the report with the permits granted before it. What it
// does not show as running had not arrived or had ended. Up to reserve of the
// requests that it shows may be the deputy's.
func (u *upstream) countTransit(taken time.Time, reserve int) {
	granted := 0
	for _, p := range u.permits {
		if p.granted.Before(taken) {
			granted++
		}
	}
	for _, e := range u.ended {
		if e.granted.Before(taken) && !e.at.Before(taken) {
			granted++
		}
	}
	u.inTransit = granted
	if !u.doubt {
		u.inTransit = max(granted-max(u.report.Running-reserve, 0), 0)
	}
}

// countUnknown compares the latest report with the permits that certainly ran
// when it was taken: those that had begun before and produced a token or
// completed afterwards. The result is too high rather than too low, and falls
// with the progress that follows.
func (u *upstream) countUnknown() {
	if !u.doubt {
		u.unknown = 0
		return
	}
	taken, known := u.reportTaken, 0
	for _, p := range u.permits {
		if !p.started.IsZero() && p.started.Before(taken) && p.grew.After(taken) {
			known++
		}
	}
	for _, e := range u.ended {
		if e.completed && !e.started.IsZero() && e.started.Before(taken) && e.at.After(taken) {
			known++
		}
	}
	u.unknown = max(u.report.Running-known, 0)
	if u.unknown > 0 || u.down || taken.Before(u.assumedTil) || !taken.After(u.cleanAt) {
		return
	}
	u.cleanAt = taken
	if u.clean++; u.clean >= cleanReports {
		u.doubt = false
	}
}

// distrust makes the next reports count until they show only known requests.
func (u *upstream) distrust() { u.doubt, u.clean = true, 0 }

// grantsSince counts live permits that may be missing from a report taken at the given time.
func (u *upstream) grantsSince(taken time.Time) int {
	n := 0
	for _, p := range u.permits {
		if p.started.IsZero() || !p.started.Before(taken) {
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
