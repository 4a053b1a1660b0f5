package replay

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/pool"
)

// fleet is what a baseline knows about the upstreams of all pools. It follows
// losses, reports and data centres, like a proxy with health checks.
type fleet struct {
	members []*member
	byName  map[string]*member
	permits map[uint64]*grant
	last    uint64
}

// member is one upstream as a baseline sees it.
type member struct {
	name, pool, incarnation string
	limits                  entity.Limits
	down, leaving, out      bool
	running                 int
	// reserved is the memory set aside for the running requests.
	reserved int
	grants   []*grant
}

func (m *member) usable() bool { return !m.down && !m.leaving && !m.out }

// grant is a permit that a baseline gave.
type grant struct {
	member   *member
	request  pool.Request
	reserved int
	tokens   int
}

func newFleet() fleet {
	return fleet{byName: map[string]*member{}, permits: map[uint64]*grant{}}
}

// SetPool implements Decider.
func (f *fleet) SetPool(_ time.Time, p entity.Pool, out bool) {
	for _, u := range p.Upstreams {
		m := f.byName[u.Name]
		if m == nil {
			m = &member{name: u.Name, pool: p.Name}
			f.byName[u.Name] = m
			f.members = append(f.members, m)
		}
		m.limits, m.out = p.Limits, out
	}
}

// Report implements Decider.
func (f *fleet) Report(_ time.Time, r pool.Report) {
	if m := f.byName[r.Upstream]; m != nil {
		m.down, m.leaving, m.incarnation = false, r.Leaving, r.Incarnation
	}
}

// Lose implements Decider.
func (f *fleet) Lose(_ time.Time, upstream string) {
	if m := f.byName[upstream]; m != nil {
		m.down = true
	}
}

// Progress implements Decider.
func (f *fleet) Progress(_ time.Time, progress []pool.Progress) {
	for _, p := range progress {
		if g := f.permits[p.PermitID]; g != nil {
			g.tokens = p.Tokens
		}
	}
}

// Release implements Decider.
func (f *fleet) Release(_ time.Time, permitID uint64, _ pool.Outcome, _ int) {
	g := f.permits[permitID]
	if g == nil {
		return
	}
	delete(f.permits, permitID)
	g.member.running--
	g.member.grants = slices.DeleteFunc(g.member.grants, func(o *grant) bool { return o == g })
	g.member.reserved -= g.reserved
}

// ConfirmCancelled implements Decider. Baselines cancel nothing.
func (f *fleet) ConfirmCancelled(time.Time, uint64) {}

func (f *fleet) grant(now time.Time, r pool.Request, m *member, reserved int) pool.Command {
	f.last++
	g := &grant{member: m, request: r, reserved: reserved}
	f.permits[f.last] = g
	m.grants = append(m.grants, g)
	m.running++
	m.reserved += reserved
	return pool.Grant{Permit: pool.Permit{
		ID: f.last, RequestID: r.ID, Upstream: m.name, Incarnation: m.incarnation, Expires: now.Add(permitTerm),
	}}
}

// permitTerm is the term of a permit in the running system.
const permitTerm = 10 * time.Second

// least returns the usable upstream with the fewest running requests that passes
// the filter, or nil.
func (f *fleet) least(fits func(*member) bool) *member {
	var best *member
	for _, m := range f.members {
		if m.usable() && (fits == nil || fits(m)) && (best == nil || m.running < best.running) {
			best = m
		}
	}
	return best
}
