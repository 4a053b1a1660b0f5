package frontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/discovery"
	"github.com/rattanscale/rattanscale/internal/duty"
	"github.com/rattanscale/rattanscale/internal/enginespeed"
	"github.com/rattanscale/rattanscale/internal/follow"
	"github.com/rattanscale/rattanscale/internal/gateway"
	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/hop"
	"github.com/rattanscale/rattanscale/internal/membudget"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/retry"
	"github.com/rattanscale/rattanscale/internal/routing"
)

const (
	// minUpstreamReadInterval and minOperatorReadInterval limit the rate of reads of a table.
	// They also bound the delay until a reader knows of an engine that leaves at short notice.
	minUpstreamReadInterval = 150 * time.Millisecond
	minOperatorReadInterval = 100 * time.Millisecond
	housekeepingInterval    = 250 * time.Millisecond
	// evidenceInterval is the interval at which hosts of a divided site send their rollout
	// evidence to all others; a bad version must be detected within seconds.
	evidenceInterval = time.Second
)

// Platform is the interface of the front end to the adapter of the users' platform.
type Platform struct {
	Protocol gateway.Protocol
	Engines  func(pool *hop.Pool) gateway.Engines
	// Store returns a client of the store; it calls count after each call.
	Store func(address string, count func(call, outcome string)) follow.Store
	// Hosts returns the table of hosts in a store.
	Hosts func(follow.Store) discovery.Store
	// Catalog returns empty mirrored tables. Changes of Operator and Upstreams call publish with
	// a new catalog.
	Catalog func(log logr.Logger, publish func(*catalog.Catalog)) Catalog
	// Directory and Readiness return handlers that answer in the platform's format.
	Directory func(addresses func(caller string, limit int) (addresses []string, validity time.Duration)) http.Handler
	Readiness func(ready func() bool) http.Handler
	// DutyStore returns the rows of duties in a store, and DutyAPI a client of the platform's calls
	// that only the holder of a duty may make.
	DutyStore func(store follow.Store) (duty.Store, error)
	DutyAPI   func(address string) DutyAPI
}

// Catalog holds the mirrored tables.
type Catalog struct {
	Operator, Upstreams, Statuses *follow.Table
	// Phases returns the phases of rollouts by service, as held in Statuses.
	Phases func() map[string]catalog.RolloutStatus
	// WriteStatus writes a phase if its row still has the expected revision; 0 expects no row.
	WriteStatus func(ctx context.Context, store follow.Store, s catalog.RolloutStatus, expected uint64) error
	// EvictExpired removes the expired upstreams whose retention period has ended.
	EvictExpired func(now time.Time)
}

// FrontEnd is one front-end process.
type FrontEnd struct {
	settings    *Settings
	platform    Platform
	log         logr.Logger
	metrics     *gateway.Metrics
	pool        *hop.Pool
	loadTracker *balance.Tracker
	// speeds is nil if the speeds of engines are not measured.
	speeds        *enginespeed.Table
	leaving       *leaving
	gateway       *gateway.Gateway
	catalog       Catalog
	store         follow.Store
	members       *gossip.Table
	gossip        *gossip.Transport
	peerServer    *peer.Server
	peerClient    *peer.Client
	copyScheduler *copyScheduler
	rollouts      *rollouts
	// budget gives out the memory for callers, auxiliaryBudget that for requests for the
	// directory, readiness and metrics, so that callers cannot crowd these out.
	budget, auxiliaryBudget *membudget.Budget
	// duties is nil if the settings name none.
	duties *duties

	startedAt  time.Time
	fetchSlots chan struct{}

	// sharesBeyondLive is set while more hosts share the limits than this one sees; only the
	// goroutine of housekeeping uses it.
	sharesBeyondLive bool

	changedSeeds atomic.Pointer[[]string]
	// startedGossip is gossip once it runs; the settings may change earlier.
	startedGossip atomic.Pointer[gossip.Transport]

	// fetches holds the running fetches by table.
	fetches map[string]*tableFetches
}

// New returns a front end that serves once Run is called.
func New(s *Settings, p Platform, log logr.Logger) *FrontEnd {
	f := &FrontEnd{
		settings: s, platform: p, log: log, metrics: gateway.NewMetrics(), loadTracker: balance.NewTracker(),
		startedAt: time.Now(), fetchSlots: make(chan struct{}, maxServedFetches),
	}
	limits := membudget.LimitsFor(s.Limits.MemoryMB, membudget.Descriptors())
	f.budget = membudget.New(limits, "caller", f.metrics.Set(), log)
	f.auxiliaryBudget = membudget.New(limits.Auxiliary(), "auxiliary", f.metrics.Set(), log)
	f.pool = hop.NewPool(func(h http.Header) string { return p.Protocol.Response(0, h).ID }, f.metrics.RecordConnection)
	if s.Placement.EngineSpeeds {
		f.speeds = enginespeed.NewTable()
	}
	f.members = gossip.NewTable(gossip.Member{
		Name: s.Host.Name, Incarnation: time.Now().UnixMilli(), State: gossip.Starting, DataCentre: s.Host.DataCentre,
		CallerAddress: s.Listen.Caller, PeerAddress: s.Listen.Peer,
	})
	f.rollouts, f.leaving = newRollouts(f), newLeaving()
	f.copyScheduler = newCopyScheduler(f)
	f.gateway = gateway.New(gateway.Options{
		PlainPolicy: s.Policy == PolicyPlain, CopyScheduler: f.copyScheduler, OnOutcome: f.rollouts.recordOutcome, AnnounceNotices: f.announce, ScheduleReport: f.sendToAllNextRound, Cell: f.ownCell,
		OnRunBegan: f.recordRunBegan,
		Host:       s.Host.Name, DataCentre: s.Host.DataCentre, Protocol: p.Protocol, Engines: p.Engines(f.pool),
		Pool: f.pool, LoadTracker: f.loadTracker, Speeds: f.speeds, Priorities: s.Placement.Priorities, HostCount: f.sharingHostCount, LimitSharers: f.members.LimitSharers, Metrics: f.metrics, Log: log,
	})
	f.gateway.SetRetryBounds(s.Retry.Ratio, s.Retry.Slack, s.Retry.Window)
	f.catalog = p.Catalog(log, func(c *catalog.Catalog) {
		f.gateway.Publish(c)
		if len(c.Rollouts) > 0 { // a new rollout order limits its version's share of requests at once
			f.rollouts.evaluate(context.Background(), time.Now())
		}
		f.announceReady()
	})
	f.store = p.Store(s.Store.Address, f.metrics.RecordStoreCall)
	f.duties = newDuties(f)
	f.fetches = lo.SliceToMap(f.tables(), func(t *follow.Table) (string, *tableFetches) { return t.Name(), newTableFetches() })
	return f
}

// announce sends this host's state to its cell at once and to all other hosts in the next round.
func (f *FrontEnd) announce() {
	f.sendToAllNextRound()
	f.gossip.SendNow()
}

func (f *FrontEnd) sendToAllNextRound() { f.gossip.SendToAllNextRound() }

// ownCell returns a function that reports whether an upstream is in this host's cell, and
// whether the site is divided into cells.
func (f *FrontEnd) ownCell() (own func(dataCentre, upstream string) bool, divided bool) {
	cells := f.members.Cells()
	return cells.InOwnCell, cells.Divided()
}

func (f *FrontEnd) dataCentreOf(upstream string) (dataCentre string, known bool) {
	u := f.gateway.Catalog().Upstreams[upstream]
	if u == nil {
		return "", false
	}
	return u.DataCentre, true
}

// sharingHostCount returns the number of hosts, including this one, that share the limits.
func (f *FrontEnd) sharingHostCount() int { return f.members.SharingHosts(time.Now()) }

// Run serves until ctx ends or a server fails, then drains.
func (f *FrontEnd) Run(ctx context.Context) error {
	debug.SetMemoryLimit(f.budget.Limits().GoBytes)
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, workCtx := errgroup.WithContext(workCtx)
	if err := f.startPeers(workCtx, group); err != nil {
		return err
	}
	always := func() bool { return true }
	group.Go(func() error { f.mirrorTable(workCtx, f.catalog.Operator, minOperatorReadInterval, always); return nil })
	group.Go(func() error { f.mirrorTable(workCtx, f.catalog.Upstreams, minUpstreamReadInterval, always); return nil })
	group.Go(func() error {
		f.mirrorTable(workCtx, f.catalog.Statuses, minStatusReadInterval, f.rolloutsOrdered)
		return nil
	})
	group.Go(func() error { f.runHousekeeping(workCtx); return nil })
	if f.duties != nil {
		group.Go(func() error { f.duties.run(workCtx); return nil })
	}
	group.Go(func() error { f.runDiscovery(workCtx); return nil })
	group.Go(func() error { f.gateway.WatchLeavingEngines(workCtx, f.upstreamsAge); return nil })
	if err := f.serveAuxiliary(workCtx, group); err != nil {
		return err
	}
	callers, err := f.serveCallers(group)
	if err != nil {
		return err
	}
	f.log.Info("started", "data-centre", f.settings.Host.DataCentre, "caller", f.settings.Listen.Caller)
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
	}
	f.drain(callers)
	f.flushUsage()
	stop()
	f.pool.Close()
	err = group.Wait()
	f.log.Info("stopped")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (f *FrontEnd) startPeers(ctx context.Context, group *errgroup.Group) error {
	s := f.settings
	f.peerServer, f.peerClient = peer.New(peer.Options{Address: s.Listen.Peer, Key: s.Peers.Key, Logger: f.log, CallTimeout: fetchTimeout})
	peer.Register(f.peerServer, methodChanges, f.serveChanges)
	f.copyScheduler.register(f.peerServer)
	f.registerUsage()
	f.registerDemand()
	listener, err := net.Listen("tcp", s.Listen.Peer)
	if err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp", s.Listen.Peer)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return err
	}
	f.gossip = &gossip.Transport{
		Table: f.members, Conn: conn, Seeds: f.otherSeeds(f.seeds()), Compose: f.composeMessage, OnReceived: f.onMessage,
		LoadsChanged: f.loadTracker.Changed(), LocateUpstream: f.dataCentreOf, OnUnsent: f.metrics.RecordUnsentGossip, Log: f.log,
	}
	f.startedGossip.Store(f.gossip)
	group.Go(func() error { return f.peerServer.Serve(listener) })
	group.Go(func() error { f.gossip.Run(ctx); return nil })
	context.AfterFunc(ctx, func() {
		_ = f.peerServer.Close()
		_ = f.peerClient.Close()
	})
	return nil
}

func (f *FrontEnd) tables() []*follow.Table {
	return []*follow.Table{f.catalog.Operator, f.catalog.Upstreams, f.catalog.Statuses}
}

func (f *FrontEnd) composeMessage(m *gossip.Message, full bool) {
	now := time.Now()
	if full {
		evidence, rest := f.rollouts.encodeEvidence()
		m.Evidence, m.Sections = evidence, append(f.storedHostsSection(m.Reply, now), rest...)
	}
	switch m.Content {
	case gossip.AllLoads:
		m.Loads = f.loadTracker.OwnLoads()
		m.Sections = append(m.Sections, f.speedsSection(now)...)
	case gossip.ChangedLoads:
		m.Loads = f.loadTracker.TakeChanges()
		return
	case gossip.NoLoads:
	}
	m.Losses = f.gateway.Suspects().OwnCounts()
	m.PromptParts = f.gateway.PromptParts().OwnReport(now)
	m.Notices = f.gateway.Notices()
	m.Limits = f.gateway.Limits().Report(now)
	m.Tables = make(map[string]gossip.TableState, 2)
	for _, t := range f.tables() {
		_, confirmed, known := t.Status()
		if !known {
			continue
		}
		age := int64(-1)
		if !confirmed.IsZero() {
			age = now.Sub(confirmed).Milliseconds()
		}
		m.Tables[t.Name()] = gossip.TableState{Revision: t.ContentRevision(), Age: age}
	}
}

// onMessage merges the loads of a peer and fetches table changes that only the peer holds.
func (f *FrontEnd) onMessage(m gossip.Message, now time.Time) {
	f.mergeLoads(m, now)
	f.mergeSpeeds(m, now)
	if continues := m.Split != nil && m.Split.Continuation; m.Content == gossip.ChangedLoads && !continues {
		return
	}
	switch {
	case m.Split == nil:
		f.gateway.Suspects().SetPeerCounts(m.Self.Name, m.Losses)
	case m.Split.Losses != nil:
		f.gateway.Suspects().SetPeerCountsWithin(m.Self.Name, m.Losses, m.Split.Losses.Contains)
	}
	f.mergeStoredHosts(m.Sections, now)
	f.rollouts.mergeEvidence(m.Evidence, m.Sections)
	f.gateway.PromptParts().Merge(m.PromptParts, now)
	f.gateway.MergeNotices(m.Notices)
	f.gateway.MergeLimits(m.Limits, now)
	for _, t := range f.tables() {
		peerState, ok := m.Tables[t.Name()]
		if !ok {
			continue
		}
		if _, confirmed, known := t.Status(); !known || peerState.Revision > t.ContentRevision() {
			f.fetches[t.Name()].recordAnnounced(peerState.Revision, t, now)
			// Every cell has its own reader, from which the changes arrive shortly after
			// without a transfer between data centres.
			if !known || f.members.InOwnCell(m.Self.Name) || now.Sub(confirmed) > standbyReadAge {
				f.fetch(t, m.Self.Name, now)
			}
		} else if peerState.Age >= 0 {
			t.Confirm(peerState.Revision, now.Add(-time.Duration(peerState.Age)*time.Millisecond))
		}
	}
}

func (f *FrontEnd) mergeLoads(m gossip.Message, now time.Time) {
	switch {
	case m.Split != nil && m.Split.Loads != nil:
		f.loadTracker.SetPeerReportWithin(m.Self.Name, m.Loads, m.Split.Loads.Contains, now)
	case m.Split == nil && m.Content == gossip.AllLoads:
		f.loadTracker.SetPeerReport(m.Self.Name, m.Loads, now)
	default:
		f.loadTracker.UpdatePeerReport(m.Self.Name, m.Loads, now)
	}
}

// mirrorTable reads a table from the store while needed returns true and this host is one of
// the readers, or while no reader has reached the store recently.
func (f *FrontEnd) mirrorTable(ctx context.Context, t *follow.Table, minReadInterval time.Duration, needed func() bool) {
	duty := &readDuty{}
	reader := follow.Reader{
		Table: t, Store: announcingStore{f.store, f.gossip.SendNow, duty}, MinReadInterval: minReadInterval, Log: f.log,
		ShouldRead: func(now time.Time) bool {
			if !needed() {
				return false
			}
			rank, standbyRank := f.members.CellRanks(now)
			_, confirmed, known := t.Status()
			return duty.shouldRead(readSituation{
				now: now, startedAt: f.startedAt, rank: rank, standbyRank: standbyRank, readers: f.cellReaderCount(),
				isSeed: f.isSeed(), confirmedAt: confirmed, known: known, behindSince: f.fetches[t.Name()].behind(t),
			})
		},
	}
	reader.Run(ctx)
}

// cellReaderCount is the number of hosts of a cell that read the store. On a divided site one per
// cell is enough: there are several cells, and other hosts take over if the reader fails.
func (f *FrontEnd) cellReaderCount() int {
	if f.members.Cells().Divided() {
		return 1
	}
	return f.settings.Store.Readers
}

// announcingStore is the store as a reader uses it. It calls announce after it has returned
// changes, and after the first read of a host that steps in.
type announcingStore struct {
	follow.Store
	announce func()
	duty     *readDuty
}

// Changes returns changes and calls announce shortly after, when the table has applied them.
func (a announcingStore) Changes(ctx context.Context, table string, since uint64, wait time.Duration) ([]follow.Row, uint64, error) {
	if !a.duty.mayWait() {
		wait = 0
	}
	rows, revision, err := a.Store.Changes(ctx, table, since, wait)
	if announce := a.duty.recordRead(err); announce || err == nil && len(rows) > 0 {
		// The caller applies the rows directly after this returns.
		time.AfterFunc(time.Millisecond, a.announce)
	}
	return rows, revision, err
}

func (f *FrontEnd) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	var evidenceSentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if f.rolloutsOrdered() && now.Sub(evidenceSentAt) >= evidenceInterval {
				f.sendToAllNextRound()
				evidenceSentAt = now
			}
			guard.Run(f.log, "housekeeping", func() { f.housekeepOnce(ctx, now) })
		}
	}
}

func (f *FrontEnd) housekeepOnce(ctx context.Context, now time.Time) {
	f.recordHostCounts(now)
	f.catalog.EvictExpired(now)
	f.rollouts.evaluate(ctx, now)
	f.pool.CloseStale(now)
	f.gateway.Suspects().Evict(now, f.liveHosts(now))
	f.gateway.PromptParts().Evict(now)
	f.gateway.EvictBackOffs(now)
	f.gateway.Limits().Evict(now)
	f.refreshSpeeds(now)
	f.updateLeaving(now)
	upstreams := f.gateway.Catalog().Upstreams
	f.loadTracker.Evict(func(id string) bool { return upstreams[id] != nil }, now)
}

// liveHosts returns a function that reports whether another host is live.
func (f *FrontEnd) liveHosts(now time.Time) func(host string) bool {
	members := lo.KeyBy(f.members.Live(now), func(m gossip.Member) string { return m.Name })
	return func(host string) bool { return lo.HasKey(members, host) }
}

// upstreamsAge returns the time since the store last confirmed the table of upstreams, 0 while it
// is not loaded.
func (f *FrontEnd) upstreamsAge(now time.Time) time.Duration {
	_, confirmed, known := f.catalog.Upstreams.Status()
	if !known {
		return 0
	}
	return now.Sub(confirmed)
}

// announceReady changes the state of a starting host to ready once it can serve.
func (f *FrontEnd) announceReady() {
	if f.ready() && f.members.Self().State == gossip.Starting {
		f.members.SetState(gossip.Ready)
		f.log.Info("ready")
	}
}

// ready reports whether the host can serve: it knows a configuration and upstreams.
func (f *FrontEnd) ready() bool {
	c := f.gateway.Catalog()
	return c.Configuration != nil && c.UpstreamsKnown
}

// acceptsCallers reports whether callers should use this host.
func (f *FrontEnd) acceptsCallers() bool {
	return f.ready() && f.members.Self().State != gossip.Draining
}

// callerAddresses returns up to limit addresses of hosts that a caller can use, and how long the
// response is valid. If there are more hosts, the choice depends on caller, which identifies the
// caller: different callers get different hosts, and the same caller always gets the same ones,
// since it drops its connections to hosts that a new response omits.
func (f *FrontEnd) callerAddresses(caller string, limit int) ([]string, time.Duration) {
	self := f.members.Self()
	hosts := []routing.Host{{Name: self.Name, Address: self.CallerAddress, Ready: f.acceptsCallers()}}
	for _, m := range f.members.Live(time.Now()) {
		hosts = append(hosts, routing.Host{Name: m.Name, Address: m.CallerAddress, Ready: m.State == gossip.Ready})
	}
	chosen := routing.RankHosts(hosts, "", retry.Hash(caller), limit)
	return lo.Map(chosen, func(h routing.Host, _ int) string { return h.Address }), f.settings.Directory.Validity
}

// operatorHandler serves the metrics, and at /where where a request would go now.
func (f *FrontEnd) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /where", f.serveWhere)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { f.metrics.Write(w) })
	return mux
}
