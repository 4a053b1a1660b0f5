package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/enginespeed"
	"github.com/rattanscale/rattanscale/internal/hop"
	"github.com/rattanscale/rattanscale/internal/membudget"
	"github.com/rattanscale/rattanscale/internal/promptparts"
	"github.com/rattanscale/rattanscale/internal/responsebuffer"
	"github.com/rattanscale/rattanscale/internal/retry"
	"github.com/rattanscale/rattanscale/internal/upstreamlimit"
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
	// noRoomRetryAfter is the time within which requests that stall have given up their memory.
	noRoomRetryAfter = time.Second
)

// Options configures a Gateway. It must not be modified after New.
type Options struct {
	Host        string
	DataCentre  string
	Protocol    Protocol
	Engines     Engines
	Pool        *hop.Pool
	LoadTracker *balance.Tracker
	// Priorities makes engines process requests in the order of their priority.
	Priorities bool
	// Speeds holds the speeds of engines; nil does not measure them.
	Speeds *enginespeed.Table
	// CopyScheduler schedules the copies of all hosts between the engines of a data
	// centre.
	CopyScheduler CopyScheduler
	// PlainPolicy selects the baseline: the upstream with the fewest open requests of
	// this host, and no migrations.
	PlainPolicy bool
	// OnOutcome is called with what a request shows about the upstream that runs it, in up
	// to three parts: when its response begins, while it streams, and when it ends.
	OnOutcome func(Outcome)
	// OnRunBegan is called once for each request that an upstream began to run, with the account
	// and the time of the first event or, if the response is no stream, of the sending. It may be
	// nil.
	OnRunBegan func(account string, at time.Time)
	// AnnounceNotices sends new leave notices to the other hosts at once. ScheduleReport
	// makes the next regular message go to all hosts, also those of other cells.
	AnnounceNotices, ScheduleReport func()
	// HostCount returns the number of hosts that share the limits, including this one.
	HostCount func() int
	// LimitSharers returns the hosts that share the request limits of upstreams.
	LimitSharers func() *upstreamlimit.Sharers
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
	leavePlans   atomic.Pointer[leavePlans]
	retryLimiter *retry.WindowLimiter
	suspects     *Suspects
	promptParts  *promptparts.Table
	backOffs     *backOffs
	limits       *upstreamlimit.Table
	streams      *streamSet
	// bodies is the room for responses that are held whole and for long events.
	bodies *responsebuffer.Buffer

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
		Options: o, retryLimiter: retry.NewWindowLimiter(), suspects: NewSuspects(), promptParts: promptparts.NewTable(), backOffs: newBackOffs(), limits: upstreamlimit.NewTable(time.Now()), streams: newStreamSet(),
		bodies: responsebuffer.New(maxBufferedResponseBytes, sharedBufferBytes),
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
	// priority is not stated if all requests to the service have the same.
	priority catalog.Priority
	body     []byte

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
	// begunReported is set once OnRunBegan was called.
	begunReported bool
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
	defer membudget.Release(r.Context())
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
	account := configuration.Account(c.info.Key)
	if account != nil {
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
	if c.service.Engine != nil && c.g.Priorities {
		c.priority = configuration.PriorityOf(c.route, account, c.service.Name)
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
		if err := membudget.Complete(c.r.Context()); err != nil {
			c.refuseWithoutRoom(err)
			return false
		}
		return true
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	controller := http.NewResponseController(c.w)
	err := controller.SetReadDeadline(c.deadline)
	if err == nil {
		c.body, err = membudget.ReadBody(c.r.Context(), http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, limit)
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
	case errors.Is(err, membudget.ErrNoRoom):
		c.refuseWithoutRoom(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		c.fail(http.StatusRequestTimeout, "the body did not arrive within the time of the request")
	default:
		c.fail(http.StatusBadRequest, "the body could not be read: "+err.Error())
	}
	return false
}

// refuseWithoutRoom refuses a request for which the process has no memory. The rest of its body
// is not read.
func (c *call) refuseWithoutRoom(err error) {
	c.w.Header().Set("Connection", "close")
	c.refuse(err.Error(), noRoomRetryAfter)
}

// headerSize is the size in bytes of the request line and the header fields: as sent, or encoded
// in the usual way if that is less, since callers may send more or less white space.
func headerSize(r *http.Request) int {
	if sent, known := membudget.HeadBytes(r.Context()); known {
		return min(sent, encodedHeaderSize(r))
	}
	return encodedHeaderSize(r)
}

func encodedHeaderSize(r *http.Request) int {
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
	if c.mayBeCut(time.Now()) {
		c.refuse("the host is stopping", drainingRetryAfter)
		return false
	}
	return true
}

// computeFingerprint returns a hash that is the same on every host for equal requests of
// an account.
func (c *call) computeFingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.account + "\x00" + c.r.RequestURI + "\x00") // never fails
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

// endsBeforeDrain reports whether a draining host may send the request. Once strictFrom has
// passed all of the request's time must be left, since an upstream may need it.
func (c *call) endsBeforeDrain(period *drainPeriod, now time.Time) bool {
	if !now.Before(period.strictFrom) {
		return !c.deadline.After(period.end)
	}
	duration := c.route.LatencyTarget
	if c.route.Kind == catalog.Stream {
		duration += time.Duration(c.expectedOutputTokens()) * expectedTokenInterval
	}
	return !now.Add(duration).After(period.end)
}

// mayBeCut reports whether this host is draining and may end before the request does.
func (c *call) mayBeCut(now time.Time) bool {
	period := c.g.drain.Load()
	return period != nil && !c.endsBeforeDrain(period, now)
}

// expectedOutputTokens estimates the output length of a generation. A hint may be far off, but the
// output does not exceed the stated maximum.
func (c *call) expectedOutputTokens() int {
	switch {
	case c.info.LengthHint > 0 && c.info.MaxOutputTokens > 0:
		return min(c.info.LengthHint, c.info.MaxOutputTokens)
	case c.info.LengthHint > 0:
		return c.info.LengthHint
	default:
		return c.info.MaxOutputTokens / 2
	}
}

// expectedMemoryTokens is the memory, in tokens, that a generation is expected to hold
// at its end.
func (c *call) expectedMemoryTokens() int { return c.info.PromptTokens + c.expectedOutputTokens() }

// chooseUpstream selects an upstream that has not been tried yet, or returns nil.
func (c *call) chooseUpstream(now time.Time) *catalog.Upstream {
	return c.g.chooseUpstream(c.g.Catalog(), c.service, c.route.Name, c.info.ID, c.demand(), c.triedUpstreams, now)
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
