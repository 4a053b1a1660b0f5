package frontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/follow"
	"github.com/rattanscale/rattanscale/internal/gateway"
	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/hop"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/retry"
	"github.com/rattanscale/rattanscale/internal/routing"
)

const (
	// stepIn is the age of the last confirmation by any reader after which further
	// hosts read the store, one more after each stepInRank: calls are priced, and in
	// an outage all of them would fail.
	stepIn     = 1200 * time.Millisecond
	stepInRank = 400 * time.Millisecond
	// upstreamPace and operatorPace bound the reads of a table; an engine that leaves at
	// short notice is known after this time at the latest.
	upstreamPace = 150 * time.Millisecond
	operatorPace = 100 * time.Millisecond
	// tickInterval is the time between rounds of housekeeping.
	tickInterval = 250 * time.Millisecond
	// evidenceInterval is how often hosts of a divided site tell all others of the
	// evidence on rollouts; a bad version is to be found within seconds.
	evidenceInterval = time.Second
	// fetchTimeout bounds a fetch of changes from another host.
	fetchTimeout = time.Second
	// memoryShare is the share of the memory limit at which the garbage collector
	// works harder; the rest is for stacks and buffers of the kernel.
	memoryShare = 0.6
	// methodChanges is the call by which a host fetches changes of a table.
	methodChanges = "table.changes"
	// startGrace is the time in which a starting host waits for what its peers know
	// before it reads whole tables itself; startRank more for each host before it.
	startGrace = 250 * time.Millisecond
	startRank  = 20 * time.Millisecond
	// servedAtOnce bounds the peers that fetch at the same time: after a restart of a
	// large site all of them fetch whole tables.
	servedAtOnce = 4
)

// Platform is what the front end needs from the platform's adapter.
type Platform struct {
	Protocol gateway.Protocol
	Engines  func(pool *hop.Pool) gateway.Engines
	// Store reads the mirrored tables.
	Store func(address string, count func(call, outcome string)) follow.Store
	// Catalog returns the mirrored tables; they publish a catalog on each change.
	Catalog func(log logr.Logger, publish func(*catalog.Catalog)) Catalog
	// Directory and Readiness answer in the form of the platform.
	Directory func(addresses func(caller string, limit int) (addresses []string, validity time.Duration)) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Catalog holds the mirrored tables.
type Catalog struct {
	Operator, Upstreams, Statuses *follow.Table
	// Phases returns the phases of rollouts by service, as Statuses holds them.
	Phases func() map[string]catalog.RolloutStatus
	// WriteStatus writes a phase if its row still has the expected revision.
	WriteStatus func(ctx context.Context, store follow.Store, s catalog.RolloutStatus, expected uint64) error
	Tick        func(now time.Time)
}

// FrontEnd is one running front end.
type FrontEnd struct {
	settings *Settings
	platform Platform
	log      logr.Logger
	metrics  *gateway.Metrics
	pool     *hop.Pool
	loads    *balance.Tracker
	gateway  *gateway.Gateway
	catalog  Catalog
	store    follow.Store
	members  *gossip.Table
	gossip   *gossip.Transport
	server   *peer.Server
	client   *peer.Client
	turns    *turns
	rollouts *rollouts

	startedAt time.Time
	serving   chan struct{}

	fetchMu  sync.Mutex
	fetching map[string]bool
}

// New returns a front end that is not yet running.
func New(s *Settings, p Platform, log logr.Logger) *FrontEnd {
	f := &FrontEnd{
		settings: s, platform: p, log: log, metrics: gateway.NewMetrics(), loads: balance.NewTracker(),
		fetching: make(map[string]bool), startedAt: time.Now(), serving: make(chan struct{}, servedAtOnce),
	}
	f.pool = hop.NewPool(f.metrics.RecordConnection)
	f.members = gossip.NewTable(gossip.Member{
		Name: s.Host.Name, Incarnation: time.Now().UnixMilli(), State: gossip.Starting, DataCentre: s.Host.DataCentre,
		CallerAddress: s.Listen.Caller, PeerAddress: s.Listen.Peer,
	})
	f.rollouts = newRollouts(f)
	f.turns = newTurns(f)
	f.gateway = gateway.New(gateway.Options{
		PlainPolicy: s.Policy == PolicyPlain, CopyScheduler: f.turns, OnOutcome: f.rollouts.record, AnnounceNotices: f.announce, ScheduleReport: f.spread, Cell: f.cell,
		Host: s.Host.Name, DataCentre: s.Host.DataCentre, Protocol: p.Protocol, Engines: p.Engines(f.pool),
		Pool: f.pool, LoadTracker: f.loads, HostCount: f.hosts, Metrics: f.metrics, Log: log,
	})
	f.gateway.SetRetryBounds(s.Retry.Ratio, s.Retry.Slack, s.Retry.Window)
	f.catalog = p.Catalog(log, func(c *catalog.Catalog) {
		f.gateway.Publish(c)
		if len(c.Rollouts) > 0 { // a new order bounds its version's share from the first request on
			f.rollouts.tick(context.Background(), time.Now())
		}
		f.noteReady()
	})
	f.store = p.Store(s.Store.Address, f.metrics.RecordStoreCall)
	return f
}

// announce tells the cell of news at once and all other hosts with the next round.
func (f *FrontEnd) announce() {
	f.spread()
	f.gossip.Send()
}

// spread tells all hosts with the next round.
func (f *FrontEnd) spread() { f.gossip.Spread() }

// cell returns which upstreams this host's cell prefers.
func (f *FrontEnd) cell() (own func(dataCentre, upstream string) bool, divided bool) {
	cells := f.members.Cells()
	return cells.Own, cells.Divided()
}

// locate returns the data centre of an upstream.
func (f *FrontEnd) locate(upstream string) (dataCentre string, known bool) {
	u := f.gateway.Catalog().Upstreams[upstream]
	if u == nil {
		return "", false
	}
	return u.DataCentre, true
}

// hosts returns the number of hosts that share limits.
func (f *FrontEnd) hosts() int { return f.members.CountLive(time.Now()) + 1 }

// Run serves until ctx ends, then drains.
func (f *FrontEnd) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(f.settings.Limits.MemoryMB) * (1 << 20)))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	if err := f.startPeers(work, group); err != nil {
		return err
	}
	always := func() bool { return true }
	group.Go(func() error { f.follow(work, f.catalog.Operator, operatorPace, always); return nil })
	group.Go(func() error { f.follow(work, f.catalog.Upstreams, upstreamPace, always); return nil })
	group.Go(func() error { f.follow(work, f.catalog.Statuses, statusPace, f.rolloutsOrdered); return nil })
	group.Go(func() error { f.tick(work); return nil })
	group.Go(func() error { f.gateway.WatchLeavingEngines(work, f.upstreamsAge); return nil })
	if err := f.serveAside(work, group); err != nil {
		return err
	}
	callers, err := f.serveCallers(group)
	if err != nil {
		return err
	}
	f.log.Info("started", "data-centre", f.settings.Host.DataCentre, "caller", f.settings.Listen.Caller)
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	f.drain(callers)
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
	f.server, f.client = peer.New(peer.Options{Address: s.Listen.Peer, Key: s.Peers.Key, Logger: f.log, CallTimeout: fetchTimeout})
	peer.Register(f.server, methodChanges, f.changes)
	f.turns.register(f.server)
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
		Table: f.members, Conn: conn, Seeds: f.seeds(), Compose: f.compose, Received: f.received,
		Changed: f.loads.Changed(), Locate: f.locate, Log: f.log,
	}
	group.Go(func() error { return f.server.Serve(listener) })
	group.Go(func() error { f.gossip.Run(ctx); return nil })
	context.AfterFunc(ctx, func() {
		_ = f.server.Close()
		_ = f.client.Close()
	})
	return nil
}

// isSeed reports whether other hosts try this host first; without seeds every host is one.
func (f *FrontEnd) isSeed() bool {
	seeds := f.settings.Peers.Seeds
	return len(seeds) == 0 || lo.Contains(seeds, f.settings.Listen.Peer)
}

// seeds returns the peer addresses of the other seed hosts.
func (f *FrontEnd) seeds() []string {
	return lo.Without(f.settings.Peers.Seeds, f.settings.Listen.Peer)
}

func (f *FrontEnd) tables() []*follow.Table {
	return []*follow.Table{f.catalog.Operator, f.catalog.Upstreams, f.catalog.Statuses}
}

func (f *FrontEnd) compose(m *gossip.Message, full bool) {
	now := time.Now()
	if full {
		m.Evidence = f.rollouts.reports()
	}
	switch m.Content {
	case gossip.AllLoads:
		m.Loads = f.loads.OwnLoads()
	case gossip.ChangedLoads:
		m.Loads = f.loads.TakeChanges()
		return
	case gossip.NoLoads:
	}
	m.Losses = f.gateway.Suspects().OwnCounts()
	m.Notices = f.gateway.Notices()
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
		m.Tables[t.Name()] = gossip.TableState{Revision: t.Content(), Age: age}
	}
}

// received takes the loads of a peer and fetches changes that it holds.
func (f *FrontEnd) received(m gossip.Message, now time.Time) {
	switch m.Content {
	case gossip.AllLoads:
		f.loads.SetPeerReport(m.Self.Name, m.Loads, now)
	case gossip.ChangedLoads:
		f.loads.UpdatePeerReport(m.Self.Name, m.Loads, now)
		return
	case gossip.NoLoads:
		f.loads.UpdatePeerReport(m.Self.Name, nil, now)
	}
	f.rollouts.merge(m.Evidence)
	f.gateway.Suspects().SetPeerCounts(m.Self.Name, m.Losses)
	f.gateway.MergeNotices(m.Notices)
	for _, t := range f.tables() {
		theirs, ok := m.Tables[t.Name()]
		if !ok {
			continue
		}
		if _, confirmed, known := t.Status(); !known || theirs.Revision > t.Content() {
			// A cell has a reader of its own; its changes come a moment later and cost
			// no transfer between data centres.
			if !known || f.members.Near(m.Self.Name) || now.Sub(confirmed) > stepIn {
				f.fetch(t, m.Self.Name)
			}
		} else if theirs.Age >= 0 {
			t.Confirm(theirs.Revision, now.Add(-time.Duration(theirs.Age)*time.Millisecond))
		}
	}
}

type changesQuery struct {
	Table    string `json:"table"`
	Revision uint64 `json:"revision"`
	// Known is false when the caller holds nothing yet.
	Known bool `json:"known"`
}

func (f *FrontEnd) changes(ctx context.Context, q changesQuery) (follow.Packed, error) {
	select {
	case f.serving <- struct{}{}:
		defer func() { <-f.serving }()
	case <-ctx.Done():
		return follow.Packed{}, ctx.Err()
	}
	for _, t := range f.tables() {
		if t.Name() != q.Table {
			continue
		}
		if d, ok := t.Since(q.Revision, time.Now()); ok {
			return follow.Pack(d)
		}
	}
	return follow.Packed{}, errors.New("the table is not known here")
}

// fetch fetches changes of a table from a host, one fetch at a time for each table.
func (f *FrontEnd) fetch(t *follow.Table, peer string) {
	address, known := f.members.PeerAddress(peer)
	if !known {
		return
	}
	f.fetchMu.Lock()
	busy := f.fetching[t.Name()]
	f.fetching[t.Name()] = true
	f.fetchMu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			f.fetchMu.Lock()
			f.fetching[t.Name()] = false
			f.fetchMu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		revision, _, _ := t.Status()
		var packed follow.Packed
		err := f.client.Call(ctx, address, methodChanges, changesQuery{Table: t.Name(), Revision: revision}, &packed)
		var d follow.Delta
		if err == nil {
			d, err = packed.Unpack()
		}
		if err != nil {
			f.log.V(1).Info("changes could not be fetched", "peer", address, "table", t.Name(), "error", err.Error())
			return
		}
		t.Merge(d, time.Now())
	}()
}

// follow reads a table from the store while this host is one of the readers, or
// while no reader has been in touch with the store lately.
func (f *FrontEnd) follow(ctx context.Context, t *follow.Table, pace time.Duration, needed func() bool) {
	reader := follow.Reader{
		Table: t, Store: announcing{f.store, f.gossip.Send}, Pace: pace, Log: f.log,
		ShouldRead: func(now time.Time) bool {
			if !needed() {
				return false
			}
			rank := f.members.CellRank(now)
			if rank < f.readers() && (f.isSeed() || now.Sub(f.startedAt) > startGrace) {
				return true
			}
			_, confirmed, known := t.Status()
			if !known {
				return now.Sub(f.startedAt) > startGrace+time.Duration(rank)*startRank
			}
			return now.Sub(confirmed) > stepIn+time.Duration(rank)*stepInRank
		},
	}
	reader.Run(ctx)
}

// readers is the number of hosts of a cell that read the store. On a divided site each
// cell has one: there are several cells, and other hosts step in where it fails.
func (f *FrontEnd) readers() int {
	if f.members.Cells().Divided() {
		return 1
	}
	return f.settings.Store.Readers
}

// announcing tells the peers of changes at once.
type announcing struct {
	follow.Store
	announce func()
}

// Changes reads changes and announces them once they are applied.
func (a announcing) Changes(ctx context.Context, table string, since uint64, wait time.Duration) ([]follow.Row, uint64, error) {
	rows, revision, err := a.Store.Changes(ctx, table, since, wait)
	if err == nil && len(rows) > 0 {
		// The table applies the rows right after this returns.
		time.AfterFunc(time.Millisecond, a.announce)
	}
	return rows, revision, err
}

func (f *FrontEnd) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var spread time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if f.rolloutsOrdered() && now.Sub(spread) >= evidenceInterval {
				f.spread()
				spread = now
			}
			f.catalog.Tick(now)
			f.rollouts.tick(ctx, now)
			f.pool.Sweep(now)
			f.gateway.Suspects().Evict(now, f.live(now))
			upstreams := f.gateway.Catalog().Upstreams
			f.loads.Evict(func(id string) bool { return upstreams[id] != nil }, now)
		}
	}
}

// live returns which hosts were heard of lately.
func (f *FrontEnd) live(now time.Time) func(host string) bool {
	members := lo.KeyBy(f.members.Live(now), func(m gossip.Member) string { return m.Name })
	return func(host string) bool { return lo.HasKey(members, host) }
}

// upstreamsAge is the time since the store last confirmed the upstreams' table.
func (f *FrontEnd) upstreamsAge(now time.Time) time.Duration {
	_, confirmed, known := f.catalog.Upstreams.Status()
	if !known {
		return 0
	}
	return now.Sub(confirmed)
}

// noteReady announces the host once it can serve.
func (f *FrontEnd) noteReady() {
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
	return f.ready() && f.members.Self().State != gossip.Leaving
}

// callerAddresses returns the addresses of hosts that a caller can use. Where there are
// more than fit into an answer, a caller always gets the same ones, since it stops using
// connections to hosts that a new answer leaves out, and different callers get different
// ones. caller tells callers apart.
func (f *FrontEnd) callerAddresses(caller string, limit int) ([]string, time.Duration) {
	self := f.members.Self()
	hosts := []routing.Host{{Name: self.Name, Address: self.CallerAddress, Ready: f.acceptsCallers()}}
	for _, m := range f.members.Live(time.Now()) {
		hosts = append(hosts, routing.Host{Name: m.Name, Address: m.CallerAddress, Ready: m.State == gossip.Ready})
	}
	chosen := routing.RankHosts(hosts, "", retry.Hash(caller), limit)
	return lo.Map(chosen, func(h routing.Host, _ int) string { return h.Address }), f.settings.Directory.Validity
}

func (f *FrontEnd) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { f.metrics.Write(w) })
}
