package pool

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanscale/rattanscale/internal/admission"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/fairqueue"
	"github.com/rattanscale/rattanscale/internal/quarantine"
	"github.com/rattanscale/rattanscale/internal/routing"
)

const (
	defaultPermitTerm = 10 * time.Second
	defaultMemoryRisk = 0.05
	defaultMaxQueued  = 16384
	// lostRetryDelay is the time after which a lost upstream without load reports may be tried again.
	lostRetryDelay = time.Second
	// counterBits is the number of low bits of a permit identifier that count permits.
	counterBits = 40
)

// State is the owner's or deputy's state of one pool. It is not safe for concurrent use
// and needs no closing.
type State struct {
	cfg              Config
	pool             entity.Pool
	dataCentreOut    bool
	upstreams        []*upstream // sorted by name
	permits          map[uint64]*permit
	permitsByRequest map[string]*permit
	firstToExpire    *permit
	lastToExpire     *permit
	// cancelling holds the permits whose cancellation has not been confirmed.
	cancelling   []*permit
	nextPermitID uint64
	peakSigmas   float64

	queue      *fairqueue.Queue[*Request]
	throughput throughput
	pressure   queuePressure
	// meanOutput is the moving average of the expected output of granted requests, in
	// tokens.
	meanOutput        float64
	runningRecordedAt time.Time
	relaxedUntil      time.Time
	suspects          []Request
	isolation         isolation
	lengths           *admission.Predictor
	quarantine        *quarantine.Table

	// availableBuffer, candidates and fittingUpstreams are reused by decisions to save
	// allocations.
	availableBuffer  []*upstream
	candidates       []routing.Candidate
	fittingUpstreams []*upstream

	// heldBackUntil holds the fingerprints whose run broke in another pool and the time
	// until which they are held back.
	heldBackUntil map[uint64]time.Time

	commands       []Command
	notices        []quarantine.Notice
	unknownPermits []uint64

	epochStart     time.Time
	holdUntil      time.Time
	reconcileUntil time.Time
	reconciling    bool
}

// New returns the state of a pool on which nothing runs.
func New(cfg Config) *State {
	if cfg.PermitTerm <= 0 {
		cfg.PermitTerm = defaultPermitTerm
	}
	if cfg.MemoryRisk <= 0 {
		cfg.MemoryRisk = defaultMemoryRisk
	}
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	s := &State{
		cfg:              cfg,
		permits:          map[uint64]*permit{},
		permitsByRequest: map[string]*permit{},
		nextPermitID:     1,
		peakSigmas:       admission.PeakSigmas(cfg.MemoryRisk),
		queue:            fairqueue.New[*Request](cfg.MaxQueued),
		lengths:          admission.NewPredictor(),
		quarantine:       quarantine.New(),
		heldBackUntil:    map[uint64]time.Time{},
	}
	s.SetPool(time.Time{}, cfg.Pool, false)
	return s
}

// DeputyReserve returns the number of permits for each upstream that only the deputy grants.
func DeputyReserve(limits entity.Limits) int {
	if limits.ColdRequests < 2 {
		return 0
	}
	return max(limits.ColdRequests/4, 1)
}

// PermitIDBase returns the first permit identifier of an owner or deputy in an
// epoch. Identifiers of one pool never collide as long as an epoch has one owner and one deputy.
func PermitIDBase(epoch uint64, deputy bool) uint64 {
	base := epoch << 1
	if deputy {
		base |= 1
	}
	return base<<counterBits + 1
}

// GrantedByDeputy reports whether a deputy granted the permit.
func GrantedByDeputy(permitID uint64) bool { return permitID>>counterBits&1 == 1 }

// SameIssuer reports whether one owner or deputy issued both permits in one epoch.
func SameIssuer(a, b uint64) bool { return a>>counterBits == b>>counterBits }

// SetNextPermitID sets the identifier of the next permit; see PermitIDBase.
func (s *State) SetNextPermitID(id uint64) { s.nextPermitID = id }

// SetPool applies a configuration change. dataCentreOut is set when the data centre was
// taken out: nothing is granted and waiting requests are refused. Permits that run on a
// removed upstream stay valid.
func (s *State) SetPool(now time.Time, p entity.Pool, dataCentreOut bool) {
	s.pool, s.dataCentreOut = p, dataCentreOut
	for _, u := range s.upstreams {
		u.removed = true
	}
	for _, row := range p.Upstreams {
		if u := s.upstream(row.Name); u != nil {
			u.leaving, u.removed = row.Leaving, false
			u.coldTracker.SetLimits(coldLimits(&p))
			continue
		}
		u := newUpstream(now, row, &p)
		u.reserveFree = s.epochStart.IsZero()
		i, _ := s.searchUpstream(row.Name)
		s.upstreams = slices.Insert(s.upstreams, i, u)
	}
	s.upstreams = slices.DeleteFunc(s.upstreams, func(u *upstream) bool { return u.removed && len(u.permits) == 0 })
	s.isolation.releaseIfUnneeded(s)
}

func (s *State) searchUpstream(name string) (int, bool) {
	return slices.BinarySearchFunc(s.upstreams, name, func(u *upstream, n string) int { return strings.Compare(u.name, n) })
}

func (s *State) upstream(name string) *upstream {
	if i, ok := s.searchUpstream(name); ok {
		return s.upstreams[i]
	}
	return nil
}

// Acquire asks for a permit. The answer is a Grant or Refuse from Decide.
// Repeating a request that already holds a permit repeats the grant.
func (s *State) Acquire(now time.Time, r Request) {
	if p := s.permitsByRequest[r.ID]; p != nil {
		if !p.cancelling {
			s.commands = append(s.commands, Grant{Permit: p.Permit, GrantedAt: p.grantedAt})
		}
		return
	}
	if s.queue.Contains(r.ID) || slices.ContainsFunc(s.suspects, func(q Request) bool { return q.ID == r.ID }) {
		return
	}
	if reason, retry := s.refusalReason(now, &r); reason != "" {
		s.refuse(r.ID, reason, retry)
		return
	}
	if r.Isolated || s.quarantine.ShouldIsolate(now, r.Fingerprint) {
		s.queueSuspect(r)
		return
	}
	item := fairqueue.Item[*Request]{
		ID: r.ID, Account: r.Account, Weight: r.Weight, Priority: r.Priority,
		Cost: s.expectedCost(&r), FinishBy: r.FinishBy, Deadline: r.Deadline, Value: &r,
	}
	if !s.queue.Push(now, item, r.MaxQueued) {
		s.refuse(r.ID, ReasonQueueFull, s.throughput.expectedWait(s.queue.CostAhead(r.Account, r.Weight, r.Priority)))
	}
}

// refusalReason returns why a request cannot be queued, or "", and the time after which
// a retry may succeed.
func (s *State) refusalReason(now time.Time, r *Request) (Reason, time.Duration) {
	if refusedFor, refused := s.quarantine.Refused(now, r.Fingerprint); refused {
		return ReasonQuarantined, refusedFor
	}
	if !s.servable(r) {
		return ReasonNoUpstream, 0
	}
	if m := s.pool.Limits.MemoryTokens; m > 0 && r.PromptTokens >= m {
		return ReasonNeverFits, 0
	}
	if r.Deadline.IsZero() {
		return "", 0
	}
	if now.After(r.Deadline) {
		return ReasonDeadline, 0
	}
	wait := s.throughput.expectedWait(s.queue.CostAhead(r.Account, r.Weight, r.Priority))
	if untilDeadline := r.Deadline.Sub(now); wait > untilDeadline {
		return ReasonDeadline, wait - untilDeadline
	}
	return "", 0
}

// servable reports whether some upstream may ever run the request.
func (s *State) servable(r *Request) bool {
	if s.dataCentreOut {
		return false
	}
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return s.mayServe(u, r) })
}

// mayServe reports whether an upstream accepts new work and the request may run on it.
func (s *State) mayServe(u *upstream, r *Request) bool {
	return !u.leaving && !u.removed && !u.report.Leaving && !slices.Contains(r.Exclude, u.name)
}

// expectedCost returns the expected work of a request, in tokens.
func (s *State) expectedCost(r *Request) float64 {
	return float64(r.PromptTokens) + s.lengths.Lengths(lengthKey(r)).ExpectedRemaining(0, r.MaxTokens)
}

func (s *State) refuse(id string, reason Reason, retry time.Duration) {
	s.commands = append(s.commands, Refuse{RequestID: id, Reason: reason, RetryAfter: retry})
}

// Abandon removes a waiting request whose requester no longer waits for it.
func (s *State) Abandon(_ time.Time, requestID string) {
	if _, ok := s.queue.Remove(requestID); ok {
		return
	}
	s.suspects = slices.DeleteFunc(s.suspects, func(r Request) bool { return r.ID == requestID })
	s.isolation.releaseIfUnneeded(s)
}

// CacheEvents records that prompt prefixes entered or left an upstream's cache.
func (s *State) CacheEvents(_ time.Time, name string, events ...CacheEvent) {
	u := s.upstream(name)
	if u == nil {
		return
	}
	for _, e := range events {
		if e.Evicted {
			if u.prefixes != nil {
				u.prefixes.Evict(e.Prefix)
			}
			continue
		}
		u.recordPrefix(e.Prefix)
	}
}

func (u *upstream) recordPrefix(prefix uint64) {
	if prefix == 0 {
		return
	}
	if u.prefixes == nil {
		u.prefixes = &routing.PrefixTable{}
	}
	u.prefixes.Add(prefix)
}

// ApplyNotice applies another daemon's notice about a suspected request.
func (s *State) ApplyNotice(now time.Time, n quarantine.Notice) {
	if n.Broken {
		maps.DeleteFunc(s.heldBackUntil, func(_ uint64, until time.Time) bool { return !now.Before(until) })
		s.heldBackUntil[n.Fingerprint] = now.Add(brokenHoldDuration)
	} else {
		delete(s.heldBackUntil, n.Fingerprint)
	}
	if s.upstream(n.Upstream) == nil {
		n.Upstream = "" // a loss in another pool says nothing about the upstreams of this one
	}
	s.quarantine.ApplyNotice(now, n)
}

// TakeNotices returns and clears the notices about suspected requests for other
// daemons.
func (s *State) TakeNotices() []quarantine.Notice {
	out := s.notices
	s.notices = nil
	return out
}

func (s *State) routingKey(r *Request) uint64 {
	if r.PrefixHash != 0 {
		return r.PrefixHash ^ s.cfg.Seed
	}
	return xxhash.Sum64String(r.ID) ^ s.cfg.Seed
}
