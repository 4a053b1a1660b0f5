package replay

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/pool"
)

// upstreamTracker is the state of all upstreams as a baseline knows it from losses,
// load reports and data-centre changes, like a proxy with health checks.
type upstreamTracker struct {
	upstreams      []*trackedUpstream
	upstreamByName map[string]*trackedUpstream
	permits        map[uint64]*grantedPermit
	lastPermitID   uint64
}

// trackedUpstream is one upstream as a baseline knows it.
type trackedUpstream struct {
	name, pool, incarnation      string
	limits                       entity.Limits
	down, leaving, dataCentreOut bool
	runningRequests              int
	// reservedTokens is the memory reserved for the running requests.
	reservedTokens int
	permits        []*grantedPermit
}

func (m *trackedUpstream) usable() bool { return !m.down && !m.leaving && !m.dataCentreOut }

// grantedPermit is a permit that a baseline granted.
type grantedPermit struct {
	upstream       *trackedUpstream
	request        pool.Request
	reservedTokens int
	producedTokens int
}

func newUpstreamTracker() upstreamTracker {
	return upstreamTracker{upstreamByName: map[string]*trackedUpstream{}, permits: map[uint64]*grantedPermit{}}
}

// SetPool implements Decider.
func (f *upstreamTracker) SetPool(_ time.Time, p entity.Pool, dataCentreOut bool) {
	for _, u := range p.Upstreams {
		tracked := f.upstreamByName[u.Name]
		if tracked == nil {
			tracked = &trackedUpstream{name: u.Name, pool: p.Name}
			f.upstreamByName[u.Name] = tracked
			f.upstreams = append(f.upstreams, tracked)
		}
		tracked.limits, tracked.dataCentreOut = p.Limits, dataCentreOut
	}
}

// Report implements Decider.
func (f *upstreamTracker) Report(_ time.Time, r pool.Report) {
	if tracked := f.upstreamByName[r.Upstream]; tracked != nil {
		tracked.down, tracked.leaving, tracked.incarnation = false, r.Leaving, r.Incarnation
	}
}

// Lose implements Decider.
func (f *upstreamTracker) Lose(_ time.Time, upstream string) {
	if tracked := f.upstreamByName[upstream]; tracked != nil {
		tracked.down = true
	}
}

// Progress implements Decider.
func (f *upstreamTracker) Progress(_ time.Time, progress []pool.Progress) {
	for _, p := range progress {
		if g := f.permits[p.PermitID]; g != nil {
			g.producedTokens = p.Tokens
		}
	}
}

// Release implements Decider.
func (f *upstreamTracker) Release(_ time.Time, permitID uint64, _ pool.Outcome, _ int) {
	g := f.permits[permitID]
	if g == nil {
		return
	}
	delete(f.permits, permitID)
	g.upstream.runningRequests--
	g.upstream.permits = slices.DeleteFunc(g.upstream.permits, func(o *grantedPermit) bool { return o == g })
	g.upstream.reservedTokens -= g.reservedTokens
}

// ConfirmCancelled implements Decider. Baselines cancel nothing.
func (f *upstreamTracker) ConfirmCancelled(time.Time, uint64) {}

func (f *upstreamTracker) grant(now time.Time, r pool.Request, tracked *trackedUpstream, reserved int) pool.Command {
	f.lastPermitID++
	g := &grantedPermit{upstream: tracked, request: r, reservedTokens: reserved}
	f.permits[f.lastPermitID] = g
	tracked.permits = append(tracked.permits, g)
	tracked.runningRequests++
	tracked.reservedTokens += reserved
	return pool.Grant{Permit: pool.Permit{
		ID: f.lastPermitID, RequestID: r.ID, Upstream: tracked.name, Incarnation: tracked.incarnation, Expires: now.Add(permitTerm),
	}}
}

// permitTerm is the validity of a permit, as in the daemon.
const permitTerm = 10 * time.Second

// leastLoaded returns the usable upstream with the fewest running requests that passes
// the filter, or nil. A nil filter accepts every upstream.
func (f *upstreamTracker) leastLoaded(fits func(*trackedUpstream) bool) *trackedUpstream {
	var best *trackedUpstream
	for _, tracked := range f.upstreams {
		if tracked.usable() && (fits == nil || fits(tracked)) && (best == nil || tracked.runningRequests < best.runningRequests) {
			best = tracked
		}
	}
	return best
}
