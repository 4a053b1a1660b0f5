// Package catalog holds what operators and upstreams publish: routes, services, client
// accounts, limits, upstreams and data centres taken out of service. A Catalog is an
// immutable snapshot: a reader uses the same one throughout a decision, and a writer
// publishes a new one.
package catalog

import (
	"strings"
	"time"
)

// RouteKind states whether the requests on a route may run more than once.
type RouteKind int

const (
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by events with increasing identifiers. They are
	// treated as Unsafe unless the route is Resumable.
	Stream
)

// Route configures how the requests below a path prefix of a host name are served.
type Route struct {
	Name string
	// HostName is the name in the request's Host header, without a port.
	HostName string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams may continue at another upstream after the last delivered event.
	Resumable bool
	// Timeout is the longest time that a caller waits for the end of the request.
	Timeout time.Duration
	// LatencyTarget is the time within which the response, or the first event of a stream,
	// counts as on time.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between events of a stream that counts as on
	// time; 0 is unlimited.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of upstreams that may run one attempt of a
	// caller.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
	// Priority ranks the requests of the route.
	Priority Priority
	Split    []ServiceShare
}

// Idempotent reports whether a request on the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

type ServiceShare struct {
	Service string
	Weight  int
}

// Service describes a service and the limits of its upstreams.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts from all
	// hosts together.
	MaxConnections int
	// ColdRate is the number of requests a second that a cold upstream can handle; 0 is
	// unlimited.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if the number of the service's upstreams is not ordered by the hosts.
	Scaling *Scaling
}

// Scaling bounds the number of upstreams that may be ordered for a service.
type Scaling struct {
	// MinUpstreams and MaxUpstreams hold for each data centre.
	MinUpstreams, MaxUpstreams int
	// StartTime is the time from an order until a new upstream serves.
	StartTime time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// MemoryTokens is the capacity of an engine's key-value cache, in tokens.
	MemoryTokens int
	// BytesPerToken and LinkMbps (megabits a second) determine the duration of a copy
	// between engines.
	BytesPerToken int
	LinkMbps      float64
	// SupportsMigration is set if a running request can be copied to another engine.
	SupportsMigration bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Account is a client account with the API keys that identify its callers.
type Account struct {
	Name string
	Keys []string
	// Priority, if it is stated, takes precedence over that of the route.
	Priority Priority
}

// Limits bounds the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' configuration. It is immutable after
// BuildIndex.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	// rankedServices holds the services whose requests differ in priority.
	rankedServices   map[string]bool
	routesByHostName map[string][]*Route
	accountsByKey    map[string]*Account
	servicesByName   map[string]*Service
}

// BuildIndex builds the lookup maps. It must be called once, before the configuration is
// published.
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
	c.indexPriorities()
}

// Route returns the route with the longest prefix that matches the path, or nil. A port
// in host and a query in path are ignored.
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

// AuthRequired reports whether routes that are not public require an API key.
func (c *Configuration) AuthRequired() bool { return len(c.Accounts) > 0 }

// Account returns the account that holds the API key, or nil.
func (c *Configuration) Account(key string) *Account { return c.accountsByKey[key] }

// Service returns the service with the given name, or nil.
func (c *Configuration) Service(name string) *Service { return c.servicesByName[name] }

// Upstream is one incarnation of an upstream, as it registered itself.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Version    string
	Slots      int
	// Draining upstreams accept no new work and stop soon.
	Draining bool
	// Expired is set while the upstream's entry is missing although the upstream gave no
	// notice. An outage of the store removes entries of running upstreams, so expired
	// upstreams are used as a last resort.
	Expired bool
	// ColdUntil is the end of the warm-up after a start, on the local clock.
	ColdUntil time.Time
	// Incarnation is the start time of the process in Unix milliseconds; 0 is unknown.
	Incarnation int64
}

// Leaving reports whether the upstream is expected to stop soon. Some upstreams give no
// notice other than the removal of their entry.
func (u *Upstream) Leaving() bool { return u.Draining || u.Expired }

// LeaveNotice is the announcement of one incarnation of an upstream that it leaves. It
// is final: an upstream that starts again under the same identifier has another
// incarnation.
type LeaveNotice struct {
	Upstream    string
	Incarnation int64 `msgpack:"Born"`
}

// Rollout is an operator's order to replace the running version of a service.
type Rollout struct {
	Service  string
	Version  string
	Duration time.Duration
	// Revision is the store's revision of the order; a new order has a higher one.
	Revision uint64
}

// RolloutPhase is the phase of a rollout. RolloutCompleted and RolloutRolledBack are
// final.
type RolloutPhase string

const (
	RolloutRunning    RolloutPhase = "running"
	RolloutCompleted  RolloutPhase = "completed"
	RolloutRolledBack RolloutPhase = "rolled-back"
)

// RolloutStatus is the phase that hosts write to the store for operators to read.
type RolloutStatus struct {
	Service, Version string
	Phase            RolloutPhase
	// Revision is the store's revision of the row; 0 means that there is no row.
	Revision uint64
}

// VersionRule divides the requests of a service between its versions.
type VersionRule struct {
	Version string
	// Share is the fraction of requests that Version receives, from 0 to 1; the other
	// versions receive the rest.
	Share float64
	// RouteShares holds the fractions of the routes that differ from Share.
	RouteShares map[string]float64
	// Exclusive sends all requests to Version because the other versions are about to
	// stop.
	Exclusive bool
}

// Catalog is a snapshot of all published data.
type Catalog struct {
	// Configuration is nil until the first one has been received.
	Configuration *Configuration
	Upstreams     map[string]*Upstream
	// DataCentresOut holds the data centres that receive no new work.
	DataCentresOut map[string]bool
	Rollouts       map[string]Rollout
	// UpstreamsKnown is set once the table of upstreams has been read; UpstreamsRevision
	// is the revision of the table.
	UpstreamsKnown    bool
	UpstreamsRevision uint64

	upstreamsByService map[string][]*Upstream
}

// IndexUpstreams builds the lookup of UpstreamsOfService. It must be called before the
// catalog is shared.
func (c *Catalog) IndexUpstreams() {
	if c.upstreamsByService != nil {
		return
	}
	c.upstreamsByService = make(map[string][]*Upstream)
	for _, u := range c.Upstreams {
		c.upstreamsByService[u.Service] = append(c.upstreamsByService[u.Service], u)
	}
}

// UpstreamsOfService returns the upstreams of a service in no particular order. The
// slice is shared and must not be modified.
func (c *Catalog) UpstreamsOfService(name string) []*Upstream { return c.upstreamsByService[name] }

// UpstreamsByDataCentre returns the upstreams of a service by data centre, in no particular
// order. Expired upstreams are left out.
func (c *Catalog) UpstreamsByDataCentre(service string) map[string][]*Upstream {
	out := make(map[string][]*Upstream)
	for _, u := range c.UpstreamsOfService(service) {
		if !u.Expired {
			out[u.DataCentre] = append(out[u.DataCentre], u)
		}
	}
	return out
}

// WithUpstreams returns a copy of the catalog with the given upstreams. The copy has no
// index yet.
func (c *Catalog) WithUpstreams(upstreams map[string]*Upstream) *Catalog {
	out := *c
	out.Upstreams, out.upstreamsByService = upstreams, nil
	return &out
}

// Usable reports whether the upstream may receive new work.
func (c *Catalog) Usable(u *Upstream) bool {
	return !u.Draining && !c.DataCentresOut[u.DataCentre]
}
