package pool

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// simulatedRun is the true state of one permit: its holder and its engine.
type simulatedRun struct {
	permit        Permit
	request       Request
	authority     *State // owner or deputy that the holder reports to
	grantedAt     time.Time
	sentSinceCold bool // sent after the engine turned cold
	dispatched    bool
	onEngine      bool
	tokens        int
	holderLost    bool
}

// occupies reports whether the run uses, or may still use, a slot on its engine.
func (r *simulatedRun) occupies(now time.Time) bool {
	return r.onEngine || !r.dispatched && now.Sub(r.grantedAt) < dispatchTimeout
}

type formerState struct {
	state    *State
	leaseEnd time.Time
}

type takenReport struct {
	report  Report
	takenAt time.Time
}

// simulation drives an owner and a deputy with engines that turn cold without warning
// and become warm again. Every grant must keep the number of requests sent to an engine
// since it turned cold within the cold limit.
type simulation struct {
	t                *rapid.T
	now              time.Time
	pool             entity.Pool
	owner            *State
	deputy           *State
	formerStates     []formerState
	runs             []*simulatedRun
	reports          []takenReport
	pendingCancels   []func()
	grantedIDs       map[uint64]bool
	epoch            uint64
	nextRequest      int
	incarnationCount map[string]int
	coldEngines      map[string]bool
	grantCount       int
}

func newSimulation(t *rapid.T) *simulation {
	cold := rapid.IntRange(1, 9).Draw(t, "cold")
	limits := entity.Limits{ColdRequests: cold, MaxRequests: 4 * cold, MemoryTokens: 1 << 20, TargetStep: 60 * time.Millisecond}
	w := &simulation{
		t: t, now: t0, pool: testPool(entity.KindEngine, rapid.IntRange(1, 3).Draw(t, "engines"), limits),
		grantedIDs: map[uint64]bool{}, incarnationCount: map[string]int{}, coldEngines: map[string]bool{},
	}
	for _, u := range w.pool.Upstreams {
		w.coldEngines[u.Name] = true
	}
	w.owner, w.deputy = w.newState(false), w.newState(true)
	return w
}

func (w *simulation) newState(deputy bool) *State {
	s := New(Config{Pool: w.pool, KeepDeputyReserve: true, Deputy: deputy})
	s.SetNextPermitID(PermitIDBase(w.epoch, deputy))
	return s
}

func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.formerStates = slices.DeleteFunc(w.formerStates, func(o formerState) bool { return !w.now.Before(o.leaseEnd) })
	w.runs = slices.DeleteFunc(w.runs, func(r *simulatedRun) bool { return r.holderLost && !r.occupies(w.now) })
}

func (w *simulation) acquire(s *State) {
	w.nextRequest++
	r := request(w.nextRequest)
	r.Fingerprint = uint64(rapid.IntRange(1, 40).Draw(w.t, "fingerprint"))
	s.Acquire(w.now, r)
}

func (w *simulation) decide(s *State) {
	for _, c := range s.Decide(w.now) {
		switch c := c.(type) {
		case Grant:
			w.grant(s, c.Permit)
		case CancelAtUpstream:
			w.pendingCancels = append(w.pendingCancels, func() {
				for _, r := range w.runs {
					if r.permit.ID == c.PermitID {
						r.onEngine, r.dispatched, r.holderLost = false, true, true
					}
				}
				s.ConfirmCancelled(w.now, c.PermitID)
			})
		}
	}
}

func (w *simulation) grant(s *State, p Permit) {
	if w.grantedIDs[p.ID] {
		w.t.Fatalf("permit %d was granted twice", p.ID)
	}
	w.grantedIDs[p.ID] = true
	w.grantCount++
	w.runs = append(w.runs, &simulatedRun{
		permit: p, request: s.permits[p.ID].request, authority: s, grantedAt: w.now,
	})
	count, alone := 0, 0
	for _, r := range w.runs {
		if r.permit.Upstream == p.Upstream && r.occupies(w.now) {
			if w.coldEngines[p.Upstream] && (!r.dispatched || r.sentSinceCold) {
				count++
			}
			if r.permit.Alone && s.permits[r.permit.ID] != nil {
				alone++
			}
		}
	}
	if count > w.pool.Limits.ColdRequests {
		w.t.Fatalf("%d requests on %s, cold limit %d", count, p.Upstream, w.pool.Limits.ColdRequests)
	}
	if s == w.owner && !w.owner.reconciling && alone > 0 && len(s.upstream(p.Upstream).permits) > 1 {
		w.t.Fatalf("a suspect does not run alone on %s", p.Upstream)
	}
}

// pickRun returns a random run that satisfies the condition, or nil.
func (w *simulation) pickRun(ok func(*simulatedRun) bool) *simulatedRun {
	var matching []*simulatedRun
	for _, r := range w.runs {
		if ok(r) {
			matching = append(matching, r)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return rapid.SampledFrom(matching).Draw(w.t, "run")
}

func (w *simulation) dispatch() {
	if r := w.pickRun(func(r *simulatedRun) bool { return !r.holderLost && !r.dispatched && r.occupies(w.now) }); r != nil {
		r.dispatched, r.onEngine, r.sentSinceCold = true, true, true
	}
}

// progress makes every live holder report, except for those that report to a former
// owner or deputy.
func (w *simulation) progress() {
	for _, r := range w.runs {
		if r.holderLost || !w.isCurrent(r.authority) {
			continue
		}
		if r.onEngine {
			r.tokens += 10
		}
		r.authority.Progress(w.now, []Progress{{PermitID: r.permit.ID, Tokens: r.tokens, StepTime: 20 * time.Millisecond}})
	}
}

func (w *simulation) isCurrent(s *State) bool { return s == w.owner || s == w.deputy }

func (w *simulation) finish() {
	r := w.pickRun(func(r *simulatedRun) bool { return r.onEngine })
	if r == nil {
		return
	}
	r.onEngine = false
	if !r.holderLost {
		outcome := rapid.SampledFrom([]Outcome{Completed, Cancelled, Failed}).Draw(w.t, "outcome")
		r.authority.Release(w.now, r.permit.ID, outcome, r.tokens)
	}
	r.holderLost = true
}

// breakStream breaks the connection of a run whose engine may continue the request.
func (w *simulation) breakStream() {
	if r := w.pickRun(func(r *simulatedRun) bool { return !r.holderLost && r.dispatched }); r != nil {
		r.authority.Release(w.now, r.permit.ID, UpstreamLost, r.tokens)
		r.holderLost = true
	}
}

func (w *simulation) neverSend() {
	if r := w.pickRun(func(r *simulatedRun) bool { return !r.holderLost && !r.dispatched }); r != nil {
		r.dispatched, r.holderLost = true, true
		r.authority.Release(w.now, r.permit.ID, NeverSent, 0)
	}
}

func (w *simulation) loseHolder() {
	if r := w.pickRun(func(r *simulatedRun) bool { return !r.holderLost }); r != nil {
		r.holderLost = true
		if !r.dispatched && rapid.Bool().Draw(w.t, "dispatched-before") && r.occupies(w.now) {
			r.onEngine, r.sentSinceCold = true, true
		}
		r.dispatched = true
	}
}

func (w *simulation) engine() string {
	return rapid.SampledFrom(w.pool.Upstreams).Draw(w.t, "engine").Name
}

func (w *simulation) takeReport() {
	name := w.engine()
	running := 0
	for _, r := range w.runs {
		if r.onEngine && r.permit.Upstream == name {
			running++
		}
	}
	incarnation := fmt.Sprint("i", w.incarnationCount[name])
	w.reports = append(w.reports, takenReport{Report{Upstream: name, Incarnation: incarnation, Cold: w.coldEngines[name], Running: running}, w.now})
}

// deliverReport delivers a report late, and possibly out of order.
func (w *simulation) deliverReport() {
	if len(w.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.reports)-1).Draw(w.t, "report")
	r := w.reports[i]
	w.reports = slices.Delete(w.reports, i, i+1)
	r.report.Age = w.now.Sub(r.takenAt)
	for _, s := range []*State{w.owner, w.deputy} {
		s.Report(w.now, r.report)
	}
}

func (w *simulation) crash() {
	name := w.engine()
	w.incarnationCount[name]++
	w.coldEngines[name] = true
	for _, r := range w.runs {
		if r.permit.Upstream == name && r.onEngine {
			r.onEngine, r.holderLost = false, true
		}
	}
	for _, o := range w.formerStates {
		o.state.Lose(w.now, name)
	}
	w.owner.Lose(w.now, name)
	w.deputy.Lose(w.now, name)
}

// toggleCold makes a cold engine warm, or a warm one cold without warning. Requests
// that already run slow down, but they were not sent to a cold engine.
func (w *simulation) toggleCold() {
	name := w.engine()
	w.coldEngines[name] = !w.coldEngines[name]
	for _, r := range w.runs {
		if r.permit.Upstream == name {
			r.sentSinceCold = false
		}
	}
}

func (w *simulation) cancel() {
	if len(w.pendingCancels) > 0 {
		w.pendingCancels[0]()
		w.pendingCancels = w.pendingCancels[1:]
	}
}

// changeEpoch replaces the owner, the deputy or both. The replaced ones may continue to
// grant until their lease ends.
func (w *simulation) changeEpoch() {
	if len(w.formerStates) > 0 {
		return
	}
	w.epoch++
	end := w.now.Add(3 * time.Second)
	newOwner := rapid.Bool().Draw(w.t, "new-owner")
	newDeputy := !newOwner || rapid.Bool().Draw(w.t, "new-deputy")
	if newOwner {
		w.formerStates = append(w.formerStates, formerState{w.owner, end})
		w.owner = w.newState(false)
		w.owner.StartEpoch(w.now, end)
	}
	if newDeputy {
		w.formerStates = append(w.formerStates, formerState{w.deputy, end})
		w.deputy = w.newState(true)
		w.deputy.StartEpoch(w.now, end)
		if !newOwner {
			w.owner.RecordDeputyChange(w.now, end)
		}
	}
}

// register makes one holder of a permit from a former owner or deputy register it with
// the owner.
func (w *simulation) register() {
	r := w.pickRun(func(r *simulatedRun) bool { return !r.holderLost && !w.isCurrent(r.authority) })
	if r == nil {
		return
	}
	r.authority = w.owner
	w.owner.Adopt(w.now, []AdoptedPermit{{Permit: r.permit, Request: r.request, Tokens: r.tokens}})
}

// finishReconciliation ends the owner's reconciliation once all members have registered
// their permits.
func (w *simulation) finishReconciliation() {
	for _, r := range w.runs {
		if !w.isCurrent(r.authority) && r.occupies(w.now) {
			return
		}
	}
	if len(w.formerStates) == 0 {
		w.owner.FinishReconciliation(w.now)
	}
}
