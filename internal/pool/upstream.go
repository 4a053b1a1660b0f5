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
	// endedRetention is how long ended permits are kept for comparison with late reports.
	endedRetention = 10 * time.Second
	// requiredCleanReports is the number of reports without unknown requests after
	// which an upstream is known to run only granted requests.
	requiredCleanReports = 2
	// observationWindow is the interval over which step times of one upstream form one observation.
	observationWindow = 500 * time.Millisecond
	// refusalPauseDuration is how long an upstream that refused a request receives no
	// new work.
	refusalPauseDuration = time.Second
)

// permit is one running request, or one whose cancellation has not been confirmed.
type permit struct {
	Permit
	upstream        *upstream
	request         Request
	grantedAt       time.Time
	startedAt       time.Time // first progress with a token; zero before
	tokens          int
	lastTokenAt     time.Time // last progress with a new token
	completed       bool
	isShort         bool
	meanStep        time.Duration
	expectedCost    float64 // cost charged to the account at the grant, in tokens
	cancelling      bool
	cancelStartedAt time.Time
	cancelSentAt    time.Time
	// prevToExpire and nextToExpire link the live permits in the order of expiry.
	prevToExpire, nextToExpire *permit
	// broken is set once the holder reported that the run broke.
	broken bool
}

func (p *permit) admissionLoad() admission.Load {
	return admission.Load{HeldTokens: p.request.PromptTokens + p.tokens, ProducedTokens: p.tokens, MaxTokens: p.request.MaxTokens}
}

// endedPermit is a permit that a late report may still show as running.
type endedPermit struct {
	grantedAt time.Time
	startedAt time.Time // zero when it never produced a token
	endedAt   time.Time
	// completed is set when the request ended with Completed.
	completed bool
}

// upstream is the owner's view of one upstream.
type upstream struct {
	name         string
	leaving      bool
	removed      bool
	incarnation  string
	coldTracker  coldstart.Tracker
	stepModel    admission.StepModel
	permits      []*permit
	brokenRuns   []brokenRun
	shortCount   int // permits whose expected output is at most the mean
	aloneCount   int // permits that must have the upstream to themselves
	profile      admission.Profile
	profileStale bool
	// currentLoad is the predicted load of the present batch. It bounds the load with
	// one more request from below.
	currentLoad load
	// rejected is the size of a request that did not fit since the profile last
	// changed.
	rejected footprint
	prefixes *routing.PrefixTable

	report        Report
	reportTakenAt time.Time
	hasReport     bool
	// unverified is set while the upstream may run requests that are not known here:
	// after a change of owner or deputy, and after a loss.
	unverified       bool
	cleanReportCount int
	// lastCleanReportAt is when the latest report that showed only known requests was
	// taken.
	lastCleanReportAt time.Time
	// unknownRunning is the number of requests that the latest report shows beyond the
	// known ones.
	unknownRunning int
	// assumedUnknown is a lower bound of unknownRunning until a report taken at or
	// after assumedUntil.
	assumedUnknown int
	// inTransit bounds the permits granted before the latest report that had not
	// arrived when it was taken.
	inTransit    int
	assumedUntil time.Time
	endedPermits []endedPermit
	// down is set from a loss until a report shows that the upstream answers again.
	down   bool
	lostAt time.Time
	// lossExpected is set if the upstream was leaving at its latest loss or restart.
	lossExpected bool
	pausedUntil  time.Time
	// reserveFree is set once a report has shown that the reserve of a new deputy is
	// free.
	reserveFree bool

	stepSamples []time.Duration
	windowStart time.Time
}

func newUpstream(now time.Time, u entity.Upstream, pool *entity.Pool) *upstream {
	return &upstream{
		name:        u.Name,
		leaving:     u.Leaving,
		coldTracker: coldstart.New(now, coldLimits(pool), pool.Kind != entity.KindPlain),
		stepModel:   admission.NewStepModel(pool.Limits.TargetStep),
		reserveFree: true,
	}
}

func coldLimits(p *entity.Pool) coldstart.Limits {
	return coldstart.Limits{Cold: p.Limits.ColdRequests, Max: p.Limits.MaxRequests}
}

// hasModel reports whether the upstream has loaded the model, as far as its reports show.
func (u *upstream) hasModel(model string) bool {
	return model == "" || len(u.report.Models) == 0 || slices.Contains(u.report.Models, model)
}

// running returns the number of requests that count against the limit.
func (u *upstream) running() int { return len(u.permits) + max(u.unknownRunning, u.assumedUnknown) }

func (u *upstream) removePermit(now time.Time, p *permit) {
	if i := slices.Index(u.permits, p); i >= 0 {
		u.permits = slices.Delete(u.permits, i, i+1)
	}
	u.profileStale = true
	u.endedPermits = slices.DeleteFunc(u.endedPermits, func(e endedPermit) bool { return now.Sub(e.endedAt) > endedRetention })
	u.endedPermits = append(u.endedPermits, endedPermit{grantedAt: p.grantedAt, startedAt: p.startedAt, endedAt: now, completed: p.completed})
}

// refreshProfile recomputes the predicted load of the batch when its permits have
// changed.
func (u *upstream) refreshProfile(lengths *admission.Predictor) {
	if !u.profileStale {
		return
	}
	u.profileStale = false
	u.profile.Reset()
	for _, p := range u.permits {
		u.profile.Add(p.admissionLoad(), lengths.Lengths(lengthKey(&p.request)))
	}
	u.resetDerivedLoad()
}

// resetDerivedLoad clears the values derived from the previous profile.
func (u *upstream) resetDerivedLoad() {
	u.currentLoad, u.rejected = load{}, footprint{}
}

// applyReport compares a load report with the known running requests. The caller drops
// reports that are older than the latest one.
func (u *upstream) applyReport(now time.Time, r Report, reserve int) {
	takenAt := now.Add(-r.Age)
	u.report, u.reportTakenAt, u.hasReport = r, takenAt, true
	if r.Incarnation != "" {
		u.incarnation = r.Incarnation
	}
	u.coldTracker.Report(now, takenAt, r.Cold)
	if !takenAt.Before(u.lostAt.Add(dispatchTimeout)) {
		// Requests that were in transit at the time of the loss are in this report.
		u.down = false
	}
	if !takenAt.Before(u.assumedUntil) {
		u.assumedUnknown = 0
	}
	u.countUnknown()
	u.countInTransit(takenAt, reserve)
}

// countInTransit compares the report with the permits granted before it was taken.
// Those that it does not show as running had not arrived or had ended. Up to reserve of
// the requests that it shows may be the deputy's.
//
// takenAt is the earliest time at which the report can have been taken. It may be as late as
// its arrival, so that it may show requests that were granted in between.
func (u *upstream) countInTransit(takenAt time.Time, reserve int) {
	before, since := 0, 0
	count := func(grantedAt time.Time) {
		if grantedAt.Before(takenAt) {
			before++
		} else {
			since++
		}
	}
	for _, p := range u.permits {
		count(p.grantedAt)
	}
	for _, e := range u.endedPermits {
		if !e.endedAt.Before(takenAt) {
			count(e.grantedAt)
		}
	}
	u.inTransit = before
	if !u.unverified {
		u.inTransit = min(max(before-max(u.report.Running-reserve-since, 0), 0), before)
	}
}

// countUnknown compares the latest report with the permits that certainly ran when it
// was taken: those that had started before and produced a token or completed
// afterwards. The result is an upper bound that falls with later progress.
func (u *upstream) countUnknown() {
	if !u.unverified {
		u.unknownRunning = 0
		return
	}
	takenAt, known := u.reportTakenAt, 0
	for _, p := range u.permits {
		if !p.startedAt.IsZero() && p.startedAt.Before(takenAt) && p.lastTokenAt.After(takenAt) {
			known++
		}
	}
	for _, e := range u.endedPermits {
		if e.completed && !e.startedAt.IsZero() && e.startedAt.Before(takenAt) && e.endedAt.After(takenAt) {
			known++
		}
	}
	u.unknownRunning = max(u.report.Running-known, 0)
	if u.unknownRunning > 0 || u.down || takenAt.Before(u.assumedUntil) || !takenAt.After(u.lastCleanReportAt) {
		return
	}
	u.lastCleanReportAt = takenAt
	if u.cleanReportCount++; u.cleanReportCount >= requiredCleanReports {
		u.unverified = false
	}
}

// markUnverified counts reported requests as unknown until the reports show only known
// ones.
func (u *upstream) markUnverified() { u.unverified, u.cleanReportCount = true, 0 }

// grantsSince returns the number of live permits that may be missing from a report
// taken at the given time.
func (u *upstream) grantsSince(takenAt time.Time) int {
	n := 0
	for _, p := range u.permits {
		if p.startedAt.IsZero() || !p.startedAt.Before(takenAt) {
			n++
		}
	}
	return n
}

// observeStep collects step times. It returns the median of a window when the window is
// complete, 0 otherwise.
func (u *upstream) observeStep(now time.Time, step time.Duration) (median time.Duration) {
	if len(u.stepSamples) > 0 && now.Sub(u.windowStart) >= observationWindow {
		slices.Sort(u.stepSamples)
		median = u.stepSamples[len(u.stepSamples)/2]
		u.stepSamples = u.stepSamples[:0]
	}
	if len(u.stepSamples) == 0 {
		u.windowStart = now
	}
	u.stepSamples = append(u.stepSamples, step)
	return median
}

// batchSize returns the number of decoding requests and their tokens in memory.
func (u *upstream) batchSize() (float64, float64) {
	requests, memory := 0, 0
	for _, p := range u.permits {
		if p.tokens > 0 {
			requests++
			memory += p.request.PromptTokens + p.tokens
		}
	}
	return float64(requests), float64(memory)
}

func lengthKey(r *Request) admission.Key {
	return admission.Key{Service: r.Service, Account: r.Account}
}
