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
	// lostPause is the time after which a lost upstream without load reports may be tried again.
	lostPause = time.Second
	// counterBits is the part of a permit identifier that counts permits.
	counterBits = 40
)

// State is the owner's or deputy's state of one pool. It is not safe for
// concurrent use; nothing needs closing.
type State struct {
	cfg       Config
	pool      entity.Pool
	out       bool
	upstreams []*upstream // sorted by name
	permits   map[uint64]*permit
	requests  map[string]*permit
	oldest    *permit
	newest    *permit
	// cancelling holds the permits whose cancellation is not confirmed.
	cancelling []*permit
	nextID     uint64
	sigmas     float64

	queue      *fairqueue.Queue[*Request]
	throughput throughput
	pressure   pressure
	// meanOutput is the mean expected output of the requests granted recently.
	meanOutput   float64
	runningNoted time.Time
	lateUntil    time.Time
	suspects     []Request
	isolation    isolation
	lengths      *admission.Predictor
	quarantine   *quarantine.Table

	// openBuffer, candidates and fitting are reused by decisions.
	openBuffer []*upstream
	candidates []routing.Candidate
	fitting    []*upstream

	// heldBack holds fingerprints whose run broke in another pool, until a time.
	heldBack map[uint64]time.Time

	pending []Command
	notices []quarantine.Notice
	unknown []uint64

	epochStart time.Time
	holdUntil  time.Time
	settleAt   time.Time
	unsettled  bool
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
		cfg:        cfg,
		permits:    map[uint64]*permit{},
		requests:   map[string]*permit{},
		nextID:     1,
		sigmas:     admission.PeakSigmas(cfg.MemoryRisk),
		queue:      fairqueue.New[*Request](cfg.MaxQueued),
		lengths:    admission.NewPredictor(),
		quarantine: quarantine.New(),
		heldBack:   map[uint64]time.Time{},
	}
	s.SetPool(time.Time{}, cfg.Pool, false)
	return s
}

// Reserve returns the number of permits for each upstream that only the deputy grants.
func Reserve(limits entity.Limits) int {
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
func (s *State) SetNextPermitID(id uint64) { s.nextID = id }

// SetPool applies a configuration change. out tells that the data centre was
// taken out: nothing is granted and waiting requests are refused. Permits that
// run on a removed upstream stay valid.
func (s *State) SetPool(now time.Time, p entity.Pool, out bool) {
	s.pool, s.out = p, out
	for _, u := range s.upstreams {
		u.removed = true
	}
	for _, row := range p.Upstreams {
		if u := s.upstream(row.Name); u != nil {
			u.leaving, u.removed = row.Leaving, false
			u.tracker.SetLimits(coldLimits(&p))
			continue
		}
		u := newUpstream(now, row, &p)
		u.proven = s.epochStart.IsZero()
		i, _ := s.search(row.Name)
		s.upstreams = slices.Insert(s.upstreams, i, u)
	}
	s.upstreams = slices.DeleteFunc(s.upstreams, func(u *upstream) bool { return u.removed && len(u.permits) == 0 })
	s.isolation.check(s)
}

func (s *State) search(name string) (int, bool) {
	return slices.BinarySearchFunc(s.upstreams, name, func(u *upstream, n string) int { return strings.Compare(u.name, n) })
}

func (s *State) upstream(name string) *upstream {
	if i, ok := s.search(name); ok {
		return s.upstreams[i]
	}
	return nil
}

// Acquire asks for a permit. The answer is a Grant or Refuse from Decide.
// Repeating a request that already holds a permit repeats the grant.
func (s *State) Acquire(now time.Time, r Request) {
	if p := s.requests[r.ID]; p != nil {
		if !p.cancelling {
			s.pending = append(s.pending, Grant{Permit: p.Permit, At: p.granted})
		}
		return
	}
	if s.queue.Contains(r.ID) || slices.ContainsFunc(s.suspects, func(q Request) bool { return q.ID == r.ID }) {
		return
	}
	if reason, retry := s.refusal(now, &r); reason != "" {
		s.refuse(r.ID, reason, retry)
		return
	}
	if r.Isolated || s.quarantine.ShouldIsolate(now, r.Fingerprint) {
		s.queueSuspect(r)
		return
	}
	item := fairqueue.Item[*Request]{
		ID: r.ID, Account: r.Account, Weight: r.Weight, Priority: r.Priority,
		Cost: s.cost(&r), FinishBy: r.FinishBy, Deadline: r.Deadline, Value: &r,
	}
	if !s.queue.Push(now, item, r.MaxQueued) {
		s.refuse(r.ID, ReasonQueueFull, s.throughput.wait(s.queue.Ahead(r.Account, r.Weight, r.Priority)))
	}
}

// refusal returns why a request cannot be queued, or "".
func (s *State) refusal(now time.Time, r *Request) (Reason, time.Duration) {
	if left, refused := s.quarantine.Refused(now, r.Fingerprint); refused {
		return ReasonQuarantined, left
	}
	if !s.usable(r) {
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
	wait := s.throughput.wait(s.queue.Ahead(r.Account, r.Weight, r.Priority))
	if left := r.Deadline.Sub(now); wait > left {
		return ReasonDeadline, wait - left
	}
	return "", 0
}

// usable reports whether some upstream may ever run the request.
func (s *State) usable(r *Request) bool {
	if s.out {
		return false
	}
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return s.mayServe(u, r) })
}

// mayServe reports whether an upstream takes new work and the request may run on it.
func (s *State) mayServe(u *upstream, r *Request) bool {
	return !u.leaving && !u.removed && !u.report.Leaving && !slices.Contains(r.Exclude, u.name)
}

// cost is the expected work of a request, in tokens.
func (s *State) cost(r *Request) float64 {
	return float64(r.PromptTokens) + s.lengths.Lengths(keyOf(r)).Remaining(0, r.MaxTokens)
}

func (s *State) refuse(id string, reason Reason, retry time.Duration) {
	s.pending = append(s.pending, Refuse{RequestID: id, Reason: reason, RetryAfter: retry})
}

// Abandon removes a waiting request whose requester left.
func (s *State) Abandon(_ time.Time, requestID string) {
	if _, ok := s.queue.Remove(requestID); ok {
		return
	}
	s.suspects = slices.DeleteFunc(s.suspects, func(r Request) bool { return r.ID == requestID })
	s.isolation.check(s)
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
		u.notePrefix(e.Prefix)
	}
}

func (u *upstream) notePrefix(prefix uint64) {
	if prefix == 0 {
		return
	}
	if u.prefixes == nil {
		u.prefixes = &routing.PrefixTable{}
	}
	u.prefixes.Add(prefix)
}

// Notify applies another daemon's notice about a suspected request.
func (s *State) Notify(now time.Time, n quarantine.Notice) {
	if n.Broken {
		maps.DeleteFunc(s.heldBack, func(_ uint64, until time.Time) bool { return !now.Before(until) })
		s.heldBack[n.Fingerprint] = now.Add(brokenHold)
	} else {
		delete(s.heldBack, n.Fingerprint)
	}
	s.quarantine.Notify(now, n)
}

// Notices returns and forgets what other daemons must be told about suspected requests.
func (s *State) Notices() []quarantine.Notice {
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
