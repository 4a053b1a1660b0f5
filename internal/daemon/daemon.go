package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"
	"golang.org/x/sync/errgroup"

	"github.com/rattanscale/rattanscale/internal/accept"
	"github.com/rattanscale/rattanscale/internal/auth"
	"github.com/rattanscale/rattanscale/internal/callerapi"
	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/idempotency"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/membership/runner"
	"github.com/rattanscale/rattanscale/internal/membudget"
	"github.com/rattanscale/rattanscale/internal/operatorapi"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/program"
	"github.com/rattanscale/rattanscale/internal/quarantine"
	"github.com/rattanscale/rattanscale/internal/relay"
	"github.com/rattanscale/rattanscale/internal/settings"
	"github.com/rattanscale/rattanscale/internal/storage"
	"github.com/rattanscale/rattanscale/internal/stream"
	"github.com/rattanscale/rattanscale/internal/timeline"
	"github.com/rattanscale/rattanscale/internal/tlsconf"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

const (
	// syncInterval is the time between checks for a new member view or configuration.
	syncInterval = 20 * time.Millisecond
	// shutdownTimeout bounds closing the HTTP servers after the drain.
	shutdownTimeout = 2 * time.Second
	maxHeaderBytes  = 16 << 10
	// bodyCopies is how many copies of a body the process holds at a time: as received, decoded,
	// and encoded for the upstream.
	bodyCopies          = 4
	maxWholeAnswerBytes = 16 << 20
)

// Daemon is a running rattanscaled process.
type Daemon struct {
	settings       *settings.Settings
	log            logr.Logger
	table          storage.Table
	tls            *tlsconf.Source
	clock          *timeline.Clock
	recorder       *timeline.Recorder
	events         *events
	follower       *changelog.Follower
	changeLog      *changelog.Log
	tracker        *membership.Tracker
	runner         *runner.Runner
	members        members
	peerServer     *peer.Server
	peerClient     *peer.Client
	permitOwner    *permit.Owner
	permitClient   *permit.Client
	ledger         *idempotency.Ledger
	poolStatuses   *poolStatuses
	rollouts       *rollouts
	placements     *placements
	traceRecorder  *traceRecorder
	leavingHosts   *leavingHosts
	control        *control
	relay          *relay.Relay
	callerServer   *callerapi.Server
	operatorServer *operatorapi.Server
	metrics        *metrics.Set
	drain          *drain
	// budget gives out the memory for callers, operatorBudget that for operators.
	budget, operatorBudget *membudget.Budget
}

// Run runs the daemon until ctx ends, drains it and stops it.
func Run(ctx context.Context, s *settings.Settings, e program.Environment) error {
	d, err := newDaemon(newInjector(s, e.Log))
	if err != nil {
		return err
	}
	d.metrics.NewGauge("rattanscale_recovered_panics_total", func() float64 { return float64(guard.Recovered()) })
	d.metrics.NewGauge("rattanscale_log_lines_dropped_total", func() float64 { return float64(e.LogDropped()) })
	return d.serveUntilDone(ctx)
}

func newDaemon(i do.Injector) (*Daemon, error) {
	s := do.MustInvoke[*settings.Settings](i)
	tlsSource, err := do.Invoke[*tlsconf.Source](i)
	if err != nil {
		return nil, err
	}
	table, err := do.Invoke[storage.Table](i)
	if err != nil {
		return nil, err
	}
	options := do.MustInvoke[peer.Options](i)
	d := &Daemon{
		settings: s, log: do.MustInvoke[logr.Logger](i), table: table, tls: tlsSource,
		clock: do.MustInvoke[*timeline.Clock](i), recorder: do.MustInvoke[*timeline.Recorder](i),
		follower: do.MustInvoke[*changelog.Follower](i), changeLog: do.MustInvoke[*changelog.Log](i),
		metrics: metrics.NewSet(), drain: newDrain(),
	}
	limits := membudget.LimitsFor(s.Limits.MemoryMB, membudget.Descriptors())
	debug.SetMemoryLimit(limits.GoBytes)
	d.budget = membudget.New(limits, "caller", d.metrics, d.log)
	d.operatorBudget = membudget.New(limits.Auxiliary(), "operator", d.metrics, d.log)
	d.peerServer, d.peerClient = peer.New(options)
	d.events = &events{d.recorder}
	hosts := do.MustInvoke[storage.HostList](i)
	d.leavingHosts = &leavingHosts{list: hosts}
	d.buildMembership(hosts)
	d.members = members{d.tracker}
	if d.traceRecorder, err = newTraceRecorder(s.TraceFile, d.follower.Configuration, d.log); err != nil {
		return nil, failure.New(failure.InvalidSettings, "trace-file: %v", err)
	}
	d.buildRequestPath(do.MustInvoke[upstream.Engine](i), do.MustInvoke[upstream.Plain](i))
	d.buildInterfaces()
	d.registerMethods()
	d.registerMetrics()
	return d, nil
}

// buildMembership builds the parts that track the member view and the configuration.
func (d *Daemon) buildMembership(hosts storage.HostList) {
	s := d.settings
	d.runner = runner.New(runner.Config{
		Cell: s.Host.Cell,
		Self: membership.Member{
			Identity: membership.Identity{Name: s.Host.Name}, PeerAddress: s.Listen.Peer, CallerAddress: s.Listen.Caller,
			OperatorAddress: s.Listen.Operator, DataCentre: s.Host.DataCentre,
		},
		Table: d.table, HostList: hosts, ChangeLog: d.changeLog, Peers: d.peerClient, LocalState: d.localState, Logger: d.log, Timeline: d.recorder,
	})
	d.tracker = d.runner.Tracker()
}

// localState returns the state that this daemon reports to the other members.
func (d *Daemon) localState() membership.LocalState {
	draining := d.drain.announced.Load() || !d.drainRequestedSince(time.Now()).IsZero()
	return membership.LocalState{Draining: draining, Streams: d.callerServer.OpenStreams()}
}

// buildRequestPath builds the parts that grant permits, place models, judge rollouts and
// relay requests.
func (d *Daemon) buildRequestPath(engine upstream.Engine, plain upstream.Plain) {
	s := d.settings
	d.permitOwner = permit.NewOwner(d.members, engine, plain, d.events, d.log)
	// The memory table is local to one process, so the cell has no deputy.
	d.permitOwner.ReserveForDeputy = s.Platform.Table != "memory"
	d.permitOwner.SendNotices = func(n []quarantine.Notice) { sendSuspectNotices(context.Background(), d.tracker, d.peerClient, n) }
	d.permitClient = permit.NewClient(d.peerClient, d.members, d.log)
	d.ledger = idempotency.New(d.table, s.Host.Name, time.Now)
	d.poolStatuses = newPoolStatuses(d.follower.Configuration, d.tracker, d.peerClient)
	d.rollouts = newRollouts(d.follower.Configuration, d.tracker, d.peerClient, d.poolStatuses, d.log)
	d.placements = newPlacements(d, engine)
	d.relay = &relay.Relay{
		Engine: engine, Plain: plain, Permits: d.permitClient, Ledger: d.ledger, Config: d.follower.Configuration,
		Pools: d.poolStatuses, Signer: stream.NewSigner(s.Keys.Resume), Events: d.events, Evidence: newObserver(d.metrics, d.rollouts),
		Budget: &retryBudget{}, Trace: d.traceRecorder, Log: d.log, DataCentre: s.Host.DataCentre, OtherHosts: d.otherHosts,
		Handover: d.drain.handover, MaxWholeAnswerBytes: maxWholeAnswerBytes,
	}
}

// buildInterfaces builds the HTTP interfaces for callers and operators.
func (d *Daemon) buildInterfaces() {
	s := d.settings
	d.control = &control{
		runner: d.runner, follower: d.follower, tracker: d.tracker, poolStatuses: d.poolStatuses, peerCaller: d.peerClient, recorder: d.recorder, events: d.events,
	}
	d.rollouts.committer = d.control
	d.callerServer = &callerapi.Server{
		State: callerState{d}, Relay: d.relay, Keys: auth.NewKeys(s.Keys.Accounts), Signer: d.relay.Signer, Log: d.log,
		HostName: s.Host.Name, MaxBodyBytes: s.Limits.MaxBodyBytes, WriteTimeout: s.Limits.IdleTimeout, MaxStreams: int64(s.Limits.MaxOpenStreams),
	}
	d.operatorServer = &operatorapi.Server{
		Control: d.control, Keys: auth.NewKeys(s.Keys.Operators), MaxBodyBytes: s.Limits.MaxBodyBytes,
		WriteMetrics: func(w http.ResponseWriter) {
			d.metrics.WritePrometheus(w)
			metrics.WriteProcessMetrics(w)
		},
	}
}

// callerState implements callerapi.State.
type callerState struct{ d *Daemon }

func (s callerState) Hosts(dataCentre string) []callerapi.Host {
	return s.d.members.rankedHosts(dataCentre, s.d.follower.Configuration().HostsDraining, uint64(time.Now().UnixNano()))
}
func (s callerState) CheckAccepting() error         { return s.d.checkAccepting() }
func (s callerState) CheckReady() error             { return s.d.control.CheckReady() }
func (s callerState) Config() *entity.Configuration { return s.d.follower.Configuration() }

// serveUntilDone serves requests until ctx ends or the membership fails. When ctx ends it
// drains the host before it stops.
func (d *Daemon) serveUntilDone(ctx context.Context) error {
	listeners, err := d.openListeners()
	if err != nil {
		return err
	}
	// The loops run until the drain is over. The membership runs longer than the other
	// loops, because a daemon must have stopped granting permits before it leaves the view.
	loopsCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	membershipCtx, stopMembership := context.WithCancel(loopsCtx)
	defer stopMembership()
	workCtx, stopWork := context.WithCancel(loopsCtx)
	defer stopWork()
	var serverGroup errgroup.Group
	servers := d.startServers(&serverGroup, listeners)
	membershipEnded := make(chan error, 1)
	go func() { membershipEnded <- d.runner.Run(membershipCtx) }()
	var loopGroup sync.WaitGroup
	for _, loop := range []func(context.Context){
		d.permitOwner.Run, d.permitClient.Run, d.ledger.Run, d.poolStatuses.run, d.rollouts.run, d.placements.run, d.traceRecorder.run, d.watchHostList, d.syncPools,
	} {
		loopGroup.Go(func() { loop(workCtx) })
	}
	d.events.Record("host-started", "", "data-centre", d.settings.Host.DataCentre)
	d.log.Info("started", "caller", d.settings.Listen.Caller, "operator", d.settings.Listen.Operator, "peer", d.settings.Listen.Peer)
	select {
	case <-ctx.Done():
		d.drainHost(loopsCtx)
	case err = <-membershipEnded: // another process joined under the same host name
	}
	stopWork()
	loopGroup.Wait()
	stopMembership()
	if err == nil {
		err = <-membershipEnded
	}
	d.closeServers(servers)
	err = errors.Join(err, serverGroup.Wait())
	d.log.Info("stopped")
	return err
}

type listeners struct{ caller, operator, peer net.Listener }

func (d *Daemon) openListeners() (l listeners, err error) {
	for _, bind := range []struct {
		address  string
		listener *net.Listener
	}{{d.settings.Listen.Caller, &l.caller}, {d.settings.Listen.Operator, &l.operator}, {d.settings.Listen.Peer, &l.peer}} {
		if *bind.listener, err = accept.Listen("tcp", bind.address, d.log); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (d *Daemon) startServers(group *errgroup.Group, l listeners) []*http.Server {
	group.Go(func() error { return d.peerServer.Serve(l.peer) })
	callerServer, operatorServer := d.httpServer(d.callerServer.Handler()), d.httpServer(d.operatorServer.Handler())
	for server, listener := range map[*http.Server]net.Listener{callerServer: d.count(l.caller, d.budget), operatorServer: d.count(l.operator, d.operatorBudget)} {
		group.Go(func() error {
			err := error(nil)
			if server.TLSConfig != nil {
				err = server.ServeTLS(listener, "", "")
			} else {
				err = server.Serve(listener)
			}
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return err
		})
	}
	return []*http.Server{callerServer, operatorServer}
}

// count returns a listener whose connections the budget counts.
func (d *Daemon) count(l net.Listener, budget *membudget.Budget) net.Listener {
	return membudget.Listen(l, membudget.Options{
		Budget: budget, TLS: d.tls != nil, MaxHeadBytes: func() int { return maxHeaderBytes }, RefusalHeader: http.Header{"Retry-After": {"1"}},
	})
}

func (d *Daemon) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: membudget.Handler(handler, bodyCopies), ConnState: membudget.OnState, ConnContext: membudget.WithConn,
		ReadHeaderTimeout: d.settings.Limits.HeaderTimeout, IdleTimeout: d.settings.Limits.IdleTimeout,
		ReadTimeout: d.settings.Limits.IdleTimeout, MaxHeaderBytes: maxHeaderBytes, TLSConfig: d.tls.Server(false),
	}
}

func (d *Daemon) closeServers(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	_ = d.peerClient.Close()
	_ = d.peerServer.Close()
}

// syncPools passes each new member view and configuration to the owner until ctx ends. It
// resets the owner if this daemon rejoined the cell with a new incarnation.
func (d *Daemon) syncPools(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	var epoch, revision, incarnation uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot, conf := d.tracker.Snapshot(), d.follower.Configuration()
		if incarnation != 0 && snapshot.Self.Incarnation != incarnation {
			d.permitOwner.Reset()
		}
		if snapshot.View.Epoch == epoch && conf.Revision == revision && snapshot.Self.Incarnation == incarnation {
			continue
		}
		if conf.Revision != revision {
			d.events.Record("pools-synced", "", "revision", formatUint(conf.Revision))
			d.traceRecorder.recordConfiguration(conf)
		}
		epoch, revision, incarnation = snapshot.View.Epoch, conf.Revision, snapshot.Self.Incarnation
		d.permitOwner.Sync(ctx, conf, epoch)
	}
}
