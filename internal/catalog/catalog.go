// Package catalog holds what operators and upstreams publish: routes, services,
// client accounts, limits, upstreams and data centres taken out of service. A
// Catalog is an immutable snapshot; a reader keeps one for the time of a
// decision, and a writer publishes a new one.
package catalog

import (
	"strings"
	"time"
)

// RouteKind tells what may be repeated on a route.
type RouteKind int

// The kinds of routes.
const (
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by events with increasing identifiers. They
	// are as Unsafe unless the route is Resumable.
	Stream
)

// Route says how the requests below a path prefix of a host name are served.
type Route struct {
	Name string
	// HostName is the name that callers address, without a port.
	HostName string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is on time; to the first event
	// for streams.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between events of a stream that is on time; 0 is unbounded.
	MaxEventGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one attempt of a caller may be sent to.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	Split  []ServiceShare
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// ServiceShare is the weight of one service in a route's split.
type ServiceShare struct {
	Service string
	Weight  int
}

// Service describes the upstreams that serve it.
type Service struct {
	Name string
	// MaxConnections is what one upstream accepts from all hosts together.
	MaxConnections int
	// ColdRate is the number of requests a second that a cold upstream tolerates; 0 is unbounded.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// MemoryTokens is the capacity of an engine's key-value cache.
	MemoryTokens int
	// BytesPerToken and LinkMbps give the time of a copy between engines.
	BytesPerToken int
	LinkMbps      float64
	// SupportsMigration tells whether a running request can be copied to another engine.
	SupportsMigration bool
	// TokensPerEvent is the number of tokens that one event of a stream holds.
	TokensPerEvent int
}

// Account is a client account with the keys by which its callers are known.
type Account struct {
	Name string
	Keys []string
	// Priority replaces that of the route if it is set.
	Priority *int
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators wrote. It is immutable once indexed.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	routesByHostName map[string][]*Route
	accountsByKey    map[string]*Account
	servicesByName   map[string]*Service
}

// BuildIndex prepares the lookups. It is called once, before the configuration is published.
func (c *Configuration) BuildIndex() {
	c.routesByHostName = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHostName[r.HostName] = append(c.routesByHostName[r.HostName], r)
	}
	c.accountsByKey = make(map[string]*Account)
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.accountsByKey[key] = &c.Accounts[i]
		}
	}
	c.servicesByName = make(map[string]*Service)
	for i := range c.Services {
		c.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	var best *Route
	for _, r := range c.routesByHostName[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// AuthRequired reports whether callers need a key on routes that are not public.
func (c *Configuration) AuthRequired() bool { return len(c.Accounts) > 0 }

// Account returns the account that holds the key, or nil.
func (c *Configuration) Account(key string) *Account { return c.accountsByKey[key] }

// Service returns the service of the name, or nil.
func (c *Configuration) Service(name string) *Service { return c.servicesByName[name] }

// Upstream is one incarnation of an upstream, as it registered itself.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Version    string
	Slots      int
	// Draining upstreams take no new work and stop soon.
	Draining bool
	// Expired is set while the entry has disappeared without notice. The store drops
	// entries of living upstreams while it is away, so these serve as a last resort.
	Expired bool
	// ColdUntil is the end of the slow time after a start, on the local clock.
	ColdUntil time.Time
	// Incarnation identifies the incarnation: the start in Unix milliseconds, 0 if unknown.
	Incarnation int64
}

// Leaving reports whether the upstream stops soon. Some give no notice but that
// their entry disappears.
func (u *Upstream) Leaving() bool { return u.Draining || u.Expired }

// LeaveNotice is the word of one incarnation of an upstream that it leaves. It is final:
// an upstream that starts again under the same identifier is another incarnation.
type LeaveNotice struct {
	Upstream    string
	Incarnation int64
}

// Rollout is an operator's order to move a service to a version.
type Rollout struct {
	Service  string
	Version  string
	Duration time.Duration
	// Revision is the store's version of the order; a new order has a higher one.
	Revision uint64
}

// RolloutPhase is how far a rollout is.
type RolloutPhase string

// The phases of a rollout. RolloutCompleted and RolloutRolledBack are final.
const (
	RolloutRunning    RolloutPhase = "running"
	RolloutCompleted  RolloutPhase = "completed"
	RolloutRolledBack RolloutPhase = "rolled-back"
)

// RolloutStatus is the phase that the store holds; operators read it.
type RolloutStatus struct {
	Service, Version string
	Phase            RolloutPhase
	// Revision is that of the row, 0 without one.
	Revision uint64
}

// VersionRule divides the requests of a service between its versions.
type VersionRule struct {
	Version string
	// Share of the requests goes to the version, the rest to all others.
	Share float64
	// Exclusive is set when the other versions are about to stop.
	Exclusive bool
}

// Catalog is a snapshot of everything published.
type Catalog struct {
	// Configuration is nil until the first one is known.
	Configuration *Configuration
	Upstreams     map[string]*Upstream
	// DataCentresOut holds the data centres that get no new work.
	DataCentresOut map[string]bool
	Rollouts       map[string]Rollout
	// UpstreamsKnown is set once the table of upstreams was read, at UpstreamsRevision.
	UpstreamsKnown    bool
	UpstreamsRevision uint64

	upstreamsByService map[string][]*Upstream
}

// IndexUpstreams prepares OfService. It is called before the catalog is put in force.
func (c *Catalog) IndexUpstreams() {
	if c.upstreamsByService != nil {
		return
	}
	c.upstreamsByService = make(map[string][]*Upstream)
	for _, u := range c.Upstreams {
		c.upstreamsByService[u.Service] = append(c.upstreamsByService[u.Service], u)
	}
}

// UpstreamsOfService returns the upstreams of a service in any order. The list is shared and must
// not be changed.
func (c *Catalog) UpstreamsOfService(name string) []*Upstream { return c.upstreamsByService[name] }

// WithUpstreams returns a copy with other upstreams, which is not indexed.
func (c *Catalog) WithUpstreams(upstreams map[string]*Upstream) *Catalog {
	out := *c
	out.Upstreams, out.upstreamsByService = upstreams, nil
	return &out
}

// Usable reports whether the upstream may get new work.
func (c *Catalog) Usable(u *Upstream) bool {
	return !u.Draining && !c.DataCentresOut[u.DataCentre]
}
