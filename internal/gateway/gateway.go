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
	"github.com/rattanscale/rattanscale/internal/promptparts"
	"github.com/rattanscale/rattanscale/internal/retry"
)

const (
	// defaultTimeout applies to requests that state no deadline.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes applies if the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	// startingRetryAfter is the time within which a starting host receives its
	// configuration.
	startingRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter makes callers of a draining host retry at another one at once.
	drainingRetryAfter = 50 * time.Millisecond
)

// Options configures a Gateway. It must not be modified after New.
type Options struct {
	Host        string
	DataCentre  string
	Protocol    Protocol
	Engines     Engines
	Pool        *hop.Pool
	LoadTracker *balance.Tracker
	// CopyScheduler schedules the copies of all hosts between the engines of a data
	// centre.
	CopyScheduler CopyScheduler
	// PlainPolicy selects the baseline: the upstream with the fewest open requests of
	// this host, and no migrations.
	PlainPolicy bool
	// OnOutcome is called with what a request shows about the upstream that runs it, in up
	// to three parts: when its response begins, while it streams, and when it ends.
	OnOutcome func(Outcome)
	// AnnounceNotices sends new leave notices to the other hosts at once. ScheduleReport
	// makes the next regular message go to all hosts, also those of other cells.
	AnnounceNotices, ScheduleReport func()
	// HostCount returns the number of hosts that share the limits, including this one.
	HostCount func() int
	// Cell returns which upstreams belong to this host's cell; divided is false if all
	// hosts share all upstreams. The loads of upstreams in other cells are known less
	// accurately.
	Cell    func() (own func(dataCentre, upstream string) bool, divided bool)
	Metrics *Metrics
	Log     logr.Logger
}

// Outcome describes how a request runs at an upstream.
type Outcome struct {
	Service, Version, Route string
	// Running is set while the request has not ended; Failed is then not known.
	Running, Failed bool
	// TimeToFirst is the time to the response or to the first event; 0 is unknown or
	// reported already. MeanEventInterval is the mean time between the events of a stream.
	TimeToFirst, MeanEventInterval time.Duration
}

// Gateway is the HTTP handler that serves callers. It is safe for concurrent use.
type Gateway struct {
	Options
	// publishMu serialises updates of activeCatalog, which is publishedCatalog with the
	// leave notices applied.
	publishMu        sync.Mutex
	publishedCatalog atomic.Pointer[catalog.Catalog]
	activeCatalog    atomic.Pointer[catalog.Catalog]
	notices          notices

	versionRules atomic.Pointer[map[string]catalog.VersionRule]
	retryLimiter *retry.WindowLimiter
	suspects     *Suspects
	promptParts  *promptparts.Table
	backOffs     *backOffs
	streams      *streamSet
	bodies       bodyBuffer

	// drain is nil until StartDrain.
	drain          atomic.Pointer[drainPeriod]
	activeRequests atomic.Int64

	randomMu sync.Mutex
	random   *rand.Rand
}

// drainPeriod limits the work that a draining host accepts; see StartDrain.
type drainPeriod struct{ strictFrom, end time.Time }

// New returns a gateway without a catalog; it refuses requests until Publish is called.
func New(o Options) *Gateway {
	g := &Gateway{
		Options: o, retryLimiter: retry.NewWindowLimiter(), suspects: NewSuspects(), promptParts: promptparts.NewTable(), backOffs: newBackOffs(), streams: newStreamSet(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	g.notices.received = make(map[catalog.LeaveNotice]receivedNotice)
	g.publishedCatalog.Store(&catalog.Catalog{})
	g.activeCatalog.Store(&catalog.Catalog{})
	return g
}

// Publish replaces the catalog and starts migrating the streams of engines that have
// begun to leave.
func (g *Gateway) Publish(c *catalog.Catalog) {
	g.publishedCatalog.Store(c)
	g.activate()
}

// activate makes the published catalog the active one, with the leave notices applied.
func (g *Gateway) activate() {
	g.publishMu.Lock()
	c := g.notices.applyTo(g.publishedCatalog.Load(), time.Now())
	c.IndexUpstreams()
	g.activeCatalog.Store(c)
	g.publishMu.Unlock()
	g.startMigrations(c)
}

// Catalog returns the active catalog.
func (g *Gateway) Catalog() *catalog.Catalog { return g.activeCatalog.Load() }

// Suspects returns the table of requests that are suspected of crashing upstreams.
func (g *Gateway) Suspects() *Suspects { return g.suspects }

// PromptParts returns the table of prompt parts on which engines have crashed.
func (g *Gateway) PromptParts() *promptparts.Table { return g.promptParts }

// SetRetryBounds limits the retries of all hosts together in any window to ratio times
// the requests, plus slack.
func (g *Gateway) SetRetryBounds(ratio, slack float64, window time.Duration) {
	g.retryLimiter.SetBounds(ratio, slack, window)
}

// RequestRate returns the callers' requests per second to a service at this host.
func (g *Gateway) RequestRate(service string, now time.Time) float64 {
	return g.retryLimiter.RequestRate(service, now)
}

// SetVersionRules replaces the rules that divide requests between versions, by service.
func (g *Gateway) SetVersionRules(rules map[string]catalog.VersionRule) { g.versionRules.Store(&rules) }

// StartDrain makes the gateway refuse requests that are not expected to finish before
// end. From strictFrom on, when callers know that the host is leaving, it accepts only
// requests that are certain to finish in time, because another host can serve the rest.
func (g *Gateway) StartDrain(strictFrom, end time.Time) { g.drain.Store(&drainPeriod{strictFrom, end}) }

// ActiveRequests returns the number of requests in progress.
func (g *Gateway) ActiveRequests() int64 { return g.activeRequests.Load() }

// call is the state of one request of a caller.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	info    RequestInfo
	catalog *catalog.Catalog
	route   *catalog.Route
	service *catalog.Service
	account string
	body    []byte

	startedAt time.Time
	deadline  time.Time
	ctx       context.Context

	// attempts counts the upstreams that may have run the request. sends counts all
	// sends, and undeliveredSends those that did not reach an upstream.
	attempts, sends, undeliveredSends int
	triedUpstreams                    []string
	// fingerprint identifies equal requests of an account.
	fingerprint uint64
	// run is the report of the latest run.
	run *runReport
	// streamLoad is the load that a stream currently puts on its upstream.
	streamLoad balance.Load
	// releaseBodies free the room of the buffered responses once the request has ended.
	releaseBodies []func()
	logEntry      logEntry
}

func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	c := &call{g: g, w: w, r: r, startedAt: time.Now(), catalog: g.Catalog(), info: g.Protocol.Request(r.Header)}
	c.logEntry.startedAt = c.startedAt
	defer c.logRequest()
	defer func() {
		for _, release := range c.releaseBodies {
			release()
		}
	}()
	if g.drain.Load() != nil {
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

// resolve determines the route, the account and the service. If one is missing it
// responds to the request and returns false.
func (c *call) resolve() bool {
	configuration := c.catalog.Configuration
	if configuration == nil || !c.catalog.UpstreamsKnown {
		c.refuse("no configuration is known yet", startingRetryAfter)
		return false
	}
	if c.route = configuration.Route(c.r.Host, c.r.RequestURI); c.route == nil {
		c.fail(http.StatusNotFound, "no route matches")
		return false
	}
	if account := configuration.Account(c.info.Key); account != nil {
		c.account = account.Name
	} else if configuration.AuthRequired() && !c.route.Public {
		c.fail(http.StatusUnauthorized, "the key is unknown")
		return false
	}
	timeout := c.info.Deadline
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.startedAt.Add(timeout)
	if name := c.g.chooseService(c.route, c.info.ID); name != "" {
		c.service = configuration.Service(name)
	}
	if c.service == nil {
		c.refuse("the route has no service", startingRetryAfter)
		return false
	}
	return true
}

// chooseService selects a service by the weights of the route's split. Every host selects
// the same service for the same request identifier.
func (g *Gateway) chooseService(r *catalog.Route, id string) string {
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
	remainder := int(retry.Hash(id) % uint64(total))
	for _, s := range r.Split {
		if remainder < s.Weight {
			return s.Service
		}
		remainder -= s.Weight
	}
	return ""
}

// readBody reads the body before the deadline of the request. If it fails, it responds to
// the request and returns false. Nothing has been sent to an upstream at this point.
func (c *call) readBody() bool {
	limits := c.catalog.Configuration.Limits
	if limits.HeaderBytes > 0 && headerSize(c.r) > limits.HeaderBytes {
		c.fail(http.StatusRequestHeaderFieldsTooLarge, "the header is longer than the limit")
		return false
	}
	if c.r.ContentLength == 0 {
		return true
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	controller := http.NewResponseController(c.w)
	err := controller.SetReadDeadline(c.deadline)
	if err == nil {
		c.body, err = io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// From here on the server reads the connection to detect that the caller has disconnected.
		if err := controller.SetReadDeadline(time.Time{}); err != nil {
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

// headerSize is the encoded size in bytes of the request line and the header fields.
func headerSize(r *http.Request) int {
	const requestLineOverhead, fieldOverhead = len("  HTTP/1.1\r\n"), len(": \r\n")
	n := requestLineOverhead + len(r.Method) + len(r.RequestURI) + len("Host") + len(r.Host) + fieldOverhead
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + fieldOverhead
		}
	}
	return n
}

// admit refuses requests that have crashed upstreams or would outlast the drain of this
// host.
func (c *call) admit() bool {
	c.fingerprint = c.computeFingerprint()
	if c.g.suspects.IsRefused(c.fingerprint, time.Now()) {
		c.refuse("the request has crashed upstreams", maxRetryAfter)
		return false
	}
	if c.hasCrashingPart() {
		c.refuse(errCrashingPart.Error(), maxRetryAfter)
		return false
	}
	if drain := c.g.drain.Load(); drain != nil && !c.endsBeforeDrain(drain, time.Now()) {
		c.refuse("the host is stopping", drainingRetryAfter)
		return false
	}
	return true
}

// computeFingerprint returns a hash that is the same on every host for equal requests of
// an account.
func (c *call) computeFingerprint() uint64 {
	return retry.Hash(c.account + "\x00" + c.r.RequestURI + "\x00" + string(c.body))
}

// endsBeforeDrain reports whether a draining host may accept the request. Once
// strictFrom has passed it assumes the maximum output length, since estimates are right
// only at the median.
func (c *call) endsBeforeDrain(period *drainPeriod, now time.Time) bool {
	duration := c.route.LatencyTarget
	if c.route.Kind == catalog.Stream {
		tokens := c.expectedOutputTokens()
		if !now.Before(period.strictFrom) {
			tokens = max(tokens, c.info.MaxOutputTokens)
		}
		duration += time.Duration(tokens) * expectedTokenInterval
	}
	return !now.Add(duration).After(period.end)
}

// expectedOutputTokens estimates the output length of a generation.
func (c *call) expectedOutputTokens() int {
	if c.info.LengthHint > 0 {
		return c.info.LengthHint
	}
	return c.info.MaxOutputTokens / 2
}

// expectedMemoryTokens is the memory, in tokens, that a generation is expected to hold
// at its end.
func (c *call) expectedMemoryTokens() int { return c.info.PromptTokens + c.expectedOutputTokens() }

// chooseUpstream selects an upstream that has not been tried yet, or returns nil.
func (c *call) chooseUpstream(now time.Time) *catalog.Upstream {
	return c.g.chooseUpstream(c.g.Catalog(), c.service, c.info.ID, c.expectedMemoryTokens(), c.triedUpstreams, now)
}

// chooseUpstream selects an upstream for a request that is expected to hold the given
// tokens of memory, or returns nil. A request of a version on trial runs on another
// version if no upstream of its own has capacity.
func (g *Gateway) chooseUpstream(cat *catalog.Catalog, service *catalog.Service, request string, tokens int, triedUpstreams []string, now time.Time) *catalog.Upstream {
	versionAllowed, onTrial := g.allowedVersions(service.Name, request)
	u := g.chooseOfVersion(cat, service, versionAllowed, tokens, triedUpstreams, now)
	if onTrial && (u == nil || !g.hasRoom(u, service, tokens, now)) {
		otherVersion := func(version string) bool { return !versionAllowed(version) }
		if other := g.chooseOfVersion(cat, service, otherVersion, tokens, triedUpstreams, now); other != nil {
			return other
		}
	}
	return u
}

// chooseOfVersion selects an upstream of the allowed versions. It considers, in this
// order: healthy engines of this host's cell, if the site is divided into cells; a random
// part of the healthy upstreams, if there are many hosts; all upstreams. The plain policy
// always considers all.
func (g *Gateway) chooseOfVersion(cat *catalog.Catalog, service *catalog.Service, versionAllowed func(string) bool, tokens int, triedUpstreams []string, now time.Time) *catalog.Upstream {
	mayReceive := cat.Usable
	if g.backOffs.count.Load() > 0 {
		mayReceive = func(u *catalog.Upstream) bool { return g.mayReceive(cat, u, now) }
	}
	isUsable := func(u *catalog.Upstream) bool {
		return mayReceive(u) && versionAllowed(u.Version) && !slices.Contains(triedUpstreams, u.ID)
	}
	hosts, upstreams := g.HostCount(), cat.UpstreamsOfService(service.Name)
	isHealthy := func(u *catalog.Upstream) bool {
		return !u.Expired && isUsable(u) && !g.LoadTracker.IsAvoided(u.ID, now)
	}
	// Plain upstreams are few and their requests are short, so all hosts share them.
	if inOwnCell, divided := g.Cell(); divided && service.Engine != nil && !g.PlainPolicy {
		cellUpstreams := g.preselect(upstreams, balance.PreselectionSize(hosts), func(u *catalog.Upstream) bool { return inOwnCell(u.DataCentre, u.ID) && isHealthy(u) })
		if u := g.chooseAmong(cellUpstreams, service, tokens, hosts, now); u != nil && g.hasRoom(u, service, tokens, now) {
			return u
		}
	}
	if limit := balance.PreselectionSize(hosts); len(upstreams) > limit && !g.PlainPolicy {
		if preselected := g.preselect(upstreams, limit, isHealthy); len(preselected) == limit {
			if u := g.chooseAmong(preselected, service, tokens, hosts, now); u != nil {
				return u
			}
		}
	}
	return g.chooseAmong(lo.Filter(upstreams, func(u *catalog.Upstream, _ int) bool { return isUsable(u) }), service, tokens, hosts, now)
}

// hasRoom reports whether the upstream has capacity for the request.
func (g *Gateway) hasRoom(u *catalog.Upstream, service *catalog.Service, tokens int, now time.Time) bool {
	c := g.newCandidate(u, service, g.LoadTracker.Views([]string{u.ID}, now)[0])
	return !balance.AllFull([]balance.Candidate{c}, tokens)
}

// preselect returns up to limit eligible upstreams, starting at a random position so
// that hosts select different ones.
func (g *Gateway) preselect(all []*catalog.Upstream, limit int, isEligible func(*catalog.Upstream) bool) []*catalog.Upstream {
	if len(all) == 0 {
		return nil
	}
	g.randomMu.Lock()
	first := g.random.IntN(len(all))
	g.randomMu.Unlock()
	var out []*catalog.Upstream
	for i := 0; i < len(all) && len(out) < limit; i++ {
		if u := all[(first+i)%len(all)]; isEligible(u) {
			out = append(out, u)
		}
	}
	return out
}

// chooseAmong picks the upstream with the lowest cost, skipping cold ones whose request
// rate is used up. It modifies candidates.
func (g *Gateway) chooseAmong(candidates []*catalog.Upstream, service *catalog.Service, tokens, hosts int, now time.Time) *catalog.Upstream {
	views := g.LoadTracker.Views(lo.Map(candidates, func(u *catalog.Upstream, _ int) string { return u.ID }), now)
	for len(candidates) > 0 {
		balanceCandidates := lo.Map(candidates, func(u *catalog.Upstream, i int) balance.Candidate { return g.newCandidate(u, service, views[i]) })
		g.randomMu.Lock()
		best := balance.Pick(balanceCandidates, tokens, hosts, g.random)
		if g.PlainPolicy {
			best = balance.PickFewestRequests(views, g.random)
		}
		g.randomMu.Unlock()
		u := candidates[best]
		if service.ColdRate == 0 || !now.Before(u.ColdUntil) || g.LoadTracker.AllowCold(u.ID, service.ColdRate, hosts, now) {
			return u
		}
		candidates, views = slices.Delete(candidates, best, best+1), slices.Delete(views, best, best+1)
	}
	return nil
}

// shareResolution is the number of steps into which the share of a version is divided.
const shareResolution = 10_000

// allowedVersions returns a function that reports whether a version may serve the
// request, and whether the request is one of those on which a version is tried.
func (g *Gateway) allowedVersions(service, request string) (allowed func(version string) bool, onTrial bool) {
	rules := g.versionRules.Load()
	if rules == nil {
		return func(string) bool { return true }, false
	}
	rule, ok := (*rules)[service]
	if !ok {
		return func(string) bool { return true }, false
	}
	onTrial = !rule.Exclusive && float64(retry.Hash(request+rule.Version)%shareResolution) < rule.Share*shareResolution
	return func(version string) bool { return (version == rule.Version) == (rule.Exclusive || onTrial) }, onTrial
}

func (g *Gateway) newCandidate(u *catalog.Upstream, service *catalog.Service, v balance.View) balance.Candidate {
	c := balance.Candidate{View: v, Local: u.DataCentre == g.DataCentre, Slots: u.Slots, LastResort: u.Expired}
	if service.Engine != nil {
		c.MemoryTokens = service.Engine.MemoryTokens
		if c.Slots == 0 {
			c.Slots = service.Engine.Slots
		}
	}
	return c
}

// maySend reports whether the limits of the request and of the service allow one more
// send. A send counts as a retry once an earlier one has reached an upstream.
func (c *call) maySend(now time.Time) bool {
	if c.sends == c.undeliveredSends {
		return c.sends < maxSends
	}
	return c.sends < maxSends && c.g.retryLimiter.Allow(c.service.Name, now, c.g.HostCount())
}

// remaining is the time until the caller's deadline.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }
