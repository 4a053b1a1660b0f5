package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/hop"
	"github.com/rattanscale/rattanscale/internal/retry"
)

const (
	// defaultDeadline applies to requests that state none.
	defaultDeadline = 30 * time.Second
	// defaultBodyLimit applies before a configuration states one.
	defaultBodyLimit = 4 << 20
	// startingRetry is the time in which a starting host knows its configuration.
	startingRetry = 500 * time.Millisecond
	// leaveRetry sends callers of a stopping host to another one at once.
	leaveRetry = 50 * time.Millisecond
)

// Options configures a Gateway. It must not be changed once used.
type Options struct {
	Host       string
	DataCentre string
	Protocol   Protocol
	Engines    Engines
	Pool       *hop.Pool
	Loads      *balance.Tracker
	// Turns orders the copies between engines of a data centre over all hosts.
	Turns Turns
	// Plain switches to the baseline: the fewest open requests, and no moves.
	Plain bool
	// Outcome is told of each request that an upstream ran.
	Outcome func(Outcome)
	// Announce tells the other hosts of a new notice at once, Spread with the next round.
	Announce, Spread func()
	// Hosts returns the number of hosts that share limits, including this one.
	Hosts func() int
	// Cell returns which upstreams this host's cell prefers; divided is false where all
	// hosts share all upstreams. It knows the loads of other cells' upstreams badly.
	Cell    func() (own func(dataCentre, upstream string) bool, divided bool)
	Metrics *Metrics
	Log     logr.Logger
}

// Outcome tells how a request ran at an upstream.
type Outcome struct {
	Service, Version, Route string
	Failed                  bool
	// First is the time to the answer or the first event; 0 is unknown.
	First, MeanStep time.Duration
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	Options
	// published is the catalog as it was published, catalog the one in force.
	publishMu sync.Mutex
	published atomic.Pointer[catalog.Catalog]
	catalog   atomic.Pointer[catalog.Catalog]
	notices   notices

	rules    atomic.Pointer[map[string]catalog.VersionRule]
	retries  *retry.WindowLimiter
	suspects *Suspects
	streams  *streams

	// leaving is the moment from which new work is limited to what ends in time.
	leaving atomic.Pointer[leave]
	active  atomic.Int64

	randomMu sync.Mutex
	random   *rand.Rand
}

type leave struct{ certainFrom, until time.Time }

// New returns a gateway without a catalog; it refuses requests until one is published.
func New(o Options) *Gateway {
	g := &Gateway{
		Options: o, retries: retry.NewWindowLimiter(), suspects: NewSuspects(), streams: newStreams(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	g.notices.known = make(map[catalog.LeaveNotice]heardNotice)
	g.published.Store(&catalog.Catalog{})
	g.catalog.Store(&catalog.Catalog{})
	return g
}

// Publish replaces the catalog. Streams on engines that began to leave are moved.
func (g *Gateway) Publish(c *catalog.Catalog) {
	g.published.Store(c)
	g.republish()
}

// republish puts the published catalog in force, with the notices of engines.
func (g *Gateway) republish() {
	g.publishMu.Lock()
	c := g.notices.overlay(g.published.Load(), time.Now())
	c.IndexUpstreams()
	g.catalog.Store(c)
	g.publishMu.Unlock()
	g.moveStreams(c)
}

// Catalog returns the catalog in force.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// Suspects returns the table of requests that are suspected of crashing upstreams.
func (g *Gateway) Suspects() *Suspects { return g.suspects }

// SetRetryBounds sets the repeated sends that all hosts together may make.
func (g *Gateway) SetRetryBounds(ratio, slack float64, window time.Duration) {
	g.retries.SetBounds(ratio, slack, window)
}

// SetVersionRules replaces the shares of versions, by service.
func (g *Gateway) SetVersionRules(rules map[string]catalog.VersionRule) { g.rules.Store(&rules) }

// Leave makes the gateway refuse work that is not expected to end before until. From
// certainFrom on, when callers know that the host leaves, it takes only what ends in
// time for certain: another host can do the rest.
func (g *Gateway) Leave(certainFrom, until time.Time) { g.leaving.Store(&leave{certainFrom, until}) }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// call is one request of a caller.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	info    RequestInfo
	catalog *catalog.Catalog
	route   *catalog.Route
	service *catalog.Service
	account string
	urgency int
	body    []byte

	began    time.Time
	deadline time.Time
	ctx      context.Context

	// attempts counts upstreams that may have run the request; sends counts all, unsent
	// those to which no connection could be made.
	attempts, sends, unsent int
	tried                   []string
	fingerprint             uint64
	// held is the work that a stream has on its upstream.
	held  balance.Load
	entry logEntry
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := &call{g: g, w: w, r: r, began: time.Now(), catalog: g.Catalog(), info: g.Protocol.Request(r.Header)}
	c.entry.began = c.began
	defer c.log()
	if g.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if !c.resolve() || !c.readBody() || !c.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	if c.route.Kind == catalog.Stream {
		c.serveStream()
		return
	}
	c.servePlain()
}

// resolve finds the route, the account and the service, or answers the request.
func (c *call) resolve() bool {
	conf := c.catalog.Configuration
	if conf == nil || !c.catalog.UpstreamsKnown {
		c.refuse("no configuration is known yet", startingRetry)
		return false
	}
	if c.route = conf.Route(c.r.Host, c.r.RequestURI); c.route == nil {
		c.fail(http.StatusNotFound, "no route matches")
		return false
	}
	c.urgency = c.route.Priority
	if account := conf.Account(c.info.Key); account != nil {
		c.account = account.Name
		if account.Priority != nil {
			c.urgency = *account.Priority
		}
	} else if conf.AuthRequired() && !c.route.Public {
		c.fail(http.StatusUnauthorized, "the key is unknown")
		return false
	}
	wait := c.info.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.deadline = c.began.Add(wait)
	if name := c.g.assign(c.route, c.info.ID); name != "" {
		c.service = conf.Service(name)
	}
	if c.service == nil {
		c.refuse("the route has no service", startingRetry)
		return false
	}
	return true
}

// assign chooses a service by the weights of the route's split. The same attempt
// gets the same service at every host.
func (g *Gateway) assign(r *catalog.Route, id string) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Split) > 0 {
			return r.Split[0].Service
		}
		return ""
	}
	point := int(retry.Hash(id) % uint64(total))
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}

// readBody reads the body within the request's time. Nothing has been sent to an
// upstream before.
func (c *call) readBody() bool {
	limits := c.catalog.Configuration.Limits
	if limits.HeaderBytes > 0 && headerBytes(c.r) > limits.HeaderBytes {
		c.fail(http.StatusRequestHeaderFieldsTooLarge, "the header is longer than the limit")
		return false
	}
	if c.r.ContentLength == 0 {
		return true
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	connection := http.NewResponseController(c.w)
	err := connection.SetReadDeadline(c.deadline)
	if err == nil {
		c.body, err = io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// The server watches the connection for the end of the caller from now on.
		if err := connection.SetReadDeadline(time.Time{}); err != nil {
			c.g.Log.Error(err, "the read deadline of a caller's connection could not be removed", "request", c.info.ID)
		}
		return true
	case errors.As(err, &tooLarge):
		c.fail(http.StatusRequestEntityTooLarge, "the body is longer than the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		c.fail(http.StatusRequestTimeout, "the body did not arrive within the time of the request")
	default:
		c.fail(http.StatusBadRequest, "the body could not be read: "+err.Error())
	}
	return false
}

// headerBytes is the size of the request line and the header fields, as they are
// written on a connection.
func headerBytes(r *http.Request) int {
	const requestLine, field = len("  HTTP/1.1\r\n"), len(": \r\n")
	n := requestLine + len(r.Method) + len(r.RequestURI) + len("Host") + len(r.Host) + field
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + field
		}
	}
	return n
}

// admit refuses what can not be served.
func (c *call) admit() bool {
	c.fingerprint = c.fingerprintOf()
	if c.g.suspects.Refused(c.fingerprint, time.Now()) {
		c.refuse("the request has crashed upstreams", maxRetryAfter)
		return false
	}
	if leaving := c.g.leaving.Load(); leaving != nil && !c.endsBefore(leaving, time.Now()) {
		c.refuse("the host is stopping", leaveRetry)
		return false
	}
	return true
}

// fingerprintOf is the same at every host for equal requests of an account.
func (c *call) fingerprintOf() uint64 {
	return retry.Hash(c.account + "\x00" + c.r.RequestURI + "\x00" + string(c.body))
}

// endsBefore reports whether a stopping host may take the request on. Estimates of a
// length are right at the median only.
func (c *call) endsBefore(l *leave, now time.Time) bool {
	took := c.route.LatencyTarget
	if c.route.Kind == catalog.Stream {
		tokens := c.outputTokens()
		if !now.Before(l.certainFrom) {
			tokens = max(tokens, c.info.MaxOutputTokens)
		}
		took += time.Duration(tokens) * expectedStep
	}
	return !now.Add(took).After(l.until)
}

// outputTokens estimates the length of a generation.
func (c *call) outputTokens() int {
	if c.info.LengthHint > 0 {
		return c.info.LengthHint
	}
	return c.info.MaxOutputTokens / 2
}

// tokens is the memory that a generation is expected to hold at its end.
func (c *call) tokens() int { return c.info.PromptTokens + c.outputTokens() }

// choose picks an upstream, or returns nil.
func (c *call) choose(now time.Time) *catalog.Upstream {
	return c.g.choose(c.g.Catalog(), c.service, c.info.ID, c.tokens(), c.tried, now)
}

// choose picks an upstream for a request that is expected to hold the tokens, or
// returns nil. With many hosts it looks at some sound upstreams first, and at all only
// where none of these may take the request; on a divided site at those of this host's
// cell before that. The baseline always looks at all.
func (g *Gateway) choose(cat *catalog.Catalog, service *catalog.Service, request string, tokens int, tried []string, now time.Time) *catalog.Upstream {
	allowed := g.versions(service.Name, request)
	usable := func(u *catalog.Upstream) bool {
		return cat.Usable(u) && allowed(u.Version) && !slices.Contains(tried, u.ID)
	}
	hosts, all := g.Hosts(), cat.UpstreamsOfService(service.Name)
	sound := func(u *catalog.Upstream) bool { return !u.Expired && usable(u) && !g.Loads.IsAvoided(u.ID, now) }
	// Plain upstreams are few and their requests short: all hosts share them.
	if own, divided := g.Cell(); divided && service.Engine != nil && !g.Plain {
		near := g.draw(all, balance.PreselectionSize(hosts), func(u *catalog.Upstream) bool { return own(u.DataCentre, u.ID) && sound(u) })
		if u := g.chooseAmong(near, service, tokens, hosts, now); u != nil && g.hasRoom(u, service, tokens, now) {
			return u
		}
	}
	if enough := balance.PreselectionSize(hosts); len(all) > enough && !g.Plain {
		if drawn := g.draw(all, enough, sound); len(drawn) == enough {
			if u := g.chooseAmong(drawn, service, tokens, hosts, now); u != nil {
				return u
			}
		}
	}
	return g.chooseAmong(lo.Filter(all, func(u *catalog.Upstream, _ int) bool { return usable(u) }), service, tokens, hosts, now)
}

// hasRoom reports whether the request fits into an upstream at once.
func (g *Gateway) hasRoom(u *catalog.Upstream, service *catalog.Service, tokens int, now time.Time) bool {
	c := g.candidate(u, service, g.Loads.Views([]string{u.ID}, now)[0])
	return !balance.AllFull([]balance.Candidate{c}, tokens)
}

// draw returns enough upstreams, or all that fit if these are fewer. It starts at a
// random one, so that hosts draw different ones.
func (g *Gateway) draw(all []*catalog.Upstream, enough int, fits func(*catalog.Upstream) bool) []*catalog.Upstream {
	if len(all) == 0 {
		return nil
	}
	g.randomMu.Lock()
	first := g.random.IntN(len(all))
	g.randomMu.Unlock()
	var out []*catalog.Upstream
	for i := 0; i < len(all) && len(out) < enough; i++ {
		if u := all[(first+i)%len(all)]; fits(u) {
			out = append(out, u)
		}
	}
	return out
}

// chooseAmong picks one of the upstreams, in the order of their cost, whose rate for
// cold upstreams is not used up.
func (g *Gateway) chooseAmong(candidates []*catalog.Upstream, service *catalog.Service, tokens, hosts int, now time.Time) *catalog.Upstream {
	views := g.Loads.Views(lo.Map(candidates, func(u *catalog.Upstream, _ int) string { return u.ID }), now)
	for len(candidates) > 0 {
		rows := lo.Map(candidates, func(u *catalog.Upstream, i int) balance.Candidate { return g.candidate(u, service, views[i]) })
		g.randomMu.Lock()
		best := balance.Pick(rows, tokens, hosts, g.random)
		if g.Plain {
			best = balance.PickFewestRequests(views, g.random)
		}
		g.randomMu.Unlock()
		u := candidates[best]
		if service.ColdRate == 0 || !now.Before(u.ColdUntil) || g.Loads.AllowCold(u.ID, service.ColdRate, hosts, now) {
			return u
		}
		candidates, views = slices.Delete(candidates, best, best+1), slices.Delete(views, best, best+1)
	}
	return nil
}

// shareGrain is the resolution of a version's share.
const shareGrain = 10_000

// versions returns which versions of a service may take a request. The same request
// gets the same answer at every host.
func (g *Gateway) versions(service, request string) func(version string) bool {
	rules := g.rules.Load()
	if rules == nil {
		return func(string) bool { return true }
	}
	rule, ok := (*rules)[service]
	if !ok {
		return func(string) bool { return true }
	}
	onNew := rule.Exclusive || float64(retry.Hash(request+rule.Version)%shareGrain) < rule.Share*shareGrain
	return func(version string) bool { return (version == rule.Version) == onNew }
}

func (g *Gateway) candidate(u *catalog.Upstream, service *catalog.Service, v balance.View) balance.Candidate {
	c := balance.Candidate{View: v, Local: u.DataCentre == g.DataCentre, Slots: u.Slots, LastResort: u.Expired}
	if service.Engine != nil {
		c.MemoryTokens = service.Engine.MemoryTokens
		if c.Slots == 0 {
			c.Slots = service.Engine.Slots
		}
	}
	return c
}

// maySend reports whether one more send is within the bounds of the request and of the
// service. A send counts as a repetition once one before it has reached an upstream.
func (c *call) maySend(now time.Time) bool {
	if c.sends == c.unsent {
		return c.sends < maxSends
	}
	return c.sends < maxSends && c.g.retries.Allow(c.service.Name, now, c.g.Hosts())
}

func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }
