package pool

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// run is one permit as the world sees it: its holder and its engine.
type run struct {
	permit     Permit
	request    Request
	authority  *State // whom the holder reports to
	granted    time.Time
	sinceCold  bool // sent after the engine turned cold
	dispatched bool
	onEngine   bool
	tokens     int
	holderGone bool
}

// occupies reports whether the run takes or may still take a place on its engine.
func (r *run) occupies(now time.Time) bool {
	return r.onEngine || !r.dispatched && now.Sub(r.granted) < dispatchTimeout
}

type stale struct {
	state *State
	until time.Time
}

type taken struct {
	report Report
	at     time.Time
}

// world drives an owner and a deputy over engines that turn cold without warning
// and become warm again. Every grant must keep the number of requests sent to an
// engine since it turned cold within the cold limit.
type world struct {
	t          *rapid.T
	now        time.Time
	pool       entity.Pool
	owner      *State
	deputy     *State
	old        []stale
	runs       []*run
	reports    []taken
	cancels    []func()
	ids        map[uint64]bool
	epoch      uint64
	nextReq    int
	incarnated map[string]int
	cold       map[string]bool
	granted    int
}

func newWorld(t *rapid.T) *world {
	cold := rapid.IntRange(1, 9).Draw(t, "cold")
	limits := entity.Limits{ColdRequests: cold, MaxRequests: 4 * cold, MemoryTokens: 1 << 20, TargetStep: 60 * time.Millisecond}
	w := &world{
		t: t, now: t0, pool: testPool(entity.KindEngine, rapid.IntRange(1, 3).Draw(t, "engines"), limits),
		ids: map[uint64]bool{}, incarnated: map[string]int{}, cold: map[string]bool{},
	}
	for _, u := range w.pool.Upstreams {
		w.cold[u.Name] = true
	}
	w.owner, w.deputy = w.fresh(false), w.fresh(true)
	return w
}

func (w *world) fresh(deputy bool) *State {
	s := New(Config{Pool: w.pool, Reserve: true, Deputy: deputy})
	s.SetNextPermitID(PermitIDBase(w.epoch, deputy))
	return s
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.old = slices.DeleteFunc(w.old, func(o stale) bool { return !w.now.Before(o.until) })
	w.runs = slices.DeleteFunc(w.runs, func(r *run) bool { return r.holderGone && !r.occupies(w.now) })
}

func (w *world) acquire(s *State) {
	w.nextReq++
	r := request(w.nextReq)
	r.Fingerprint = uint64(rapid.IntRange(1, 40).Draw(w.t, "fingerprint"))
	s.Acquire(w.now, r)
}

func (w *world) decide(s *State) {
	for _, c := range s.Decide(w.now) {
		switch c := c.(type) {
		case Grant:
			w.grant(s, c.Permit)
		case CancelAtUpstream:
			w.cancels = append(w.cancels, func() {
				for _, r := range w.runs {
					if r.permit.ID == c.PermitID {
						r.onEngine, r.dispatched, r.holderGone = false, true, true
					}
				}
				s.ConfirmCancelled(w.now, c.PermitID)
			})
		}
	}
}

func (w *world) grant(s *State, p Permit) {
	if w.ids[p.ID] {
		w.t.Fatalf("permit %d was granted twice", p.ID)
	}
	w.ids[p.ID] = true
	w.granted++
	w.runs = append(w.runs, &run{
		permit: p, request: s.permits[p.ID].request, authority: s, granted: w.now,
	})
	count, alone := 0, 0
	for _, r := range w.runs {
		if r.permit.Upstream == p.Upstream && r.occupies(w.now) {
			if w.cold[p.Upstream] && (!r.dispatched || r.sinceCold) {
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
	if s == w.owner && !w.owner.unsettled && alone > 0 && len(s.upstream(p.Upstream).permits) > 1 {
		w.t.Fatalf("a suspect does not run alone on %s", p.Upstream)
	}
}

// pick returns some run that satisfies the condition, or nil.
func (w *world) pick(ok func(*run) bool) *run {
	var some []*run
	for _, r := range w.runs {
		if ok(r) {
			some = append(some, r)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return rapid.SampledFrom(some).Draw(w.t, "run")
}

func (w *world) dispatch() {
	if r := w.pick(func(r *run) bool { return !r.holderGone && !r.dispatched && r.occupies(w.now) }); r != nil {
		r.dispatched, r.onEngine, r.sinceCold = true, true, true
	}
}

// progress makes every present holder report, except for those that report to a past authority.
func (w *world) progress() {
	for _, r := range w.runs {
		if r.holderGone || !w.current(r.authority) {
			continue
		}
		if r.onEngine {
			r.tokens += 10
		}
		r.authority.Progress(w.now, []Progress{{PermitID: r.permit.ID, Tokens: r.tokens, StepTime: 20 * time.Millisecond}})
	}
}

func (w *world) current(s *State) bool { return s == w.owner || s == w.deputy }

func (w *world) finish() {
	r := w.pick(func(r *run) bool { return r.onEngine })
	if r == nil {
		return
	}
	r.onEngine = false
	if !r.holderGone {
		outcome := rapid.SampledFrom([]Outcome{Completed, Cancelled, Failed}).Draw(w.t, "outcome")
		r.authority.Release(w.now, r.permit.ID, outcome, r.tokens)
	}
	r.holderGone = true
}

// breakStream ends a stream whose engine may go on with the request.
func (w *world) breakStream() {
	if r := w.pick(func(r *run) bool { return !r.holderGone && r.dispatched }); r != nil {
		r.authority.Release(w.now, r.permit.ID, UpstreamLost, r.tokens)
		r.holderGone = true
	}
}

func (w *world) neverSend() {
	if r := w.pick(func(r *run) bool { return !r.holderGone && !r.dispatched }); r != nil {
		r.dispatched, r.holderGone = true, true
		r.authority.Release(w.now, r.permit.ID, NeverSent, 0)
	}
}

func (w *world) loseHolder() {
	if r := w.pick(func(r *run) bool { return !r.holderGone }); r != nil {
		r.holderGone = true
		if !r.dispatched && rapid.Bool().Draw(w.t, "dispatched-before") && r.occupies(w.now) {
			r.onEngine, r.sinceCold = true, true
		}
		r.dispatched = true
	}
}

func (w *world) engine() string {
	return rapid.SampledFrom(w.pool.Upstreams).Draw(w.t, "engine").Name
}

func (w *world) takeReport() {
	name := w.engine()
	running := 0
	for _, r := range w.runs {
		if r.onEngine && r.permit.Upstream == name {
			running++
		}
	}
	incarnation := fmt.Sprint("i", w.incarnated[name])
	w.reports = append(w.reports, taken{Report{Upstream: name, Incarnation: incarnation, Cold: w.cold[name], Running: running}, w.now})
}

// deliverReport delivers a report late, and possibly out of order.
func (w *world) deliverReport() {
	if len(w.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.reports)-1).Draw(w.t, "report")
	r := w.reports[i]
	w.reports = slices.Delete(w.reports, i, i+1)
	r.report.Age = w.now.Sub(r.at)
	for _, s := range []*State{w.owner, w.deputy} {
		s.Report(w.now, r.report)
	}
}

func (w *world) crash() {
	name := w.engine()
	w.incarnated[name]++
	w.cold[name] = true
	for _, r := range w.runs {
		if r.permit.Upstream == name && r.onEngine {
			r.onEngine, r.holderGone = false, true
		}
	}
	for _, o := range w.old {
		o.state.Lose(w.now, name)
	}
	w.owner.Lose(w.now, name)
	w.deputy.Lose(w.now, name)
}

// turn makes an engine warm, or cold without warning. Requests that run already
// slow down, but they were not sent to a cold engine.
func (w *world) turn() {
	name := w.engine()
	w.cold[name] = !w.cold[name]
	for _, r := range w.runs {
		if r.permit.Upstream == name {
			r.sinceCold = false
		}
	}
}

func (w *world) cancel() {
	if len(w.cancels) > 0 {
		w.cancels[0]()
		w.cancels = w.cancels[1:]
	}
}

// changeEpoch replaces the owner, the deputy or both. The replaced ones may go
// on granting until their lease ends.
func (w *world) changeEpoch() {
	if len(w.old) > 0 {
		return
	}
	w.epoch++
	end := w.now.Add(3 * time.Second)
	newOwner := rapid.Bool().Draw(w.t, "new-owner")
	newDeputy := !newOwner || rapid.Bool().Draw(w.t, "new-deputy")
	if newOwner {
		w.old = append(w.old, stale{w.owner, end})
		w.owner = w.fresh(false)
		w.owner.HoldUntil(w.now, end)
	}
	if newDeputy {
		w.old = append(w.old, stale{w.deputy, end})
		w.deputy = w.fresh(true)
		w.deputy.HoldUntil(w.now, end)
		if !newOwner {
			w.owner.DeputyChanged(w.now, end)
		}
	}
}

// register makes one holder of a permit of a past authority register with the owner.
func (w *world) register() {
	r := w.pick(func(r *run) bool { return !r.holderGone && !w.current(r.authority) })
	if r == nil {
		return
	}
	r.authority = w.owner
	w.owner.Adopt(w.now, []AdoptedPermit{{Permit: r.permit, Request: r.request, Tokens: r.tokens}})
}

// settle reports that all members have registered, when that is true.
func (w *world) settle() {
	for _, r := range w.runs {
		if !w.current(r.authority) && r.occupies(w.now) {
			return
		}
	}
	if len(w.old) == 0 {
		w.owner.Settle(w.now)
	}
}
