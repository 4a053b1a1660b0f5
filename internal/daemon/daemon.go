package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"
	"golang.org/x/sync/errgroup"

	"github.com/rattanscale/rattanscale/internal/auth"
	"github.com/rattanscale/rattanscale/internal/callerapi"
	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/idempotency"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/membership/runner"
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
	// syncInterval is the time between checks for a new view or configuration.
	syncInterval = 20 * time.Millisecond
	// shutdownLimit bounds the closing of servers after the drain.
	shutdownLimit  = 2 * time.Second
	maxHeaderBytes = 16 << 10
	maxWholeBytes  = 16 << 20
)

// Daemon is one running rattanscaled.
type Daemon struct {
	settings *settings.Settings
	log      logr.Logger
	table    storage.Table
	tls      *tlsconf.Source
	clock    *timeline.Clock
	recorder *timeline.Recorder
	events   *events
	follower *changelog.Follower
	changes  *changelog.Log
	tracker  *membership.Tracker
	runner   *runner.Runner
	members  members
	server   *peer.Server
	client   *peer.Client
	owner    *permit.Owner
	permits  *permit.Client
	ledger   *idempotency.Ledger
	statuses *statuses
	rollouts *rollouts
	placing  *placements
	trace    *recording
	leaving  *leaving
	control  *control
	relay    *relay.Relay
	caller   *callerapi.Server
	operator *operatorapi.Server
	metrics  *metrics.Set
	drain    *drain
}

// Run runs the daemon until ctx ends, then drains it.
func Run(ctx context.Context, s *settings.Settings, e program.Environment) error {
	d, err := newDaemon(newInjector(s, e.Log))
	if err != nil {
		return err
	}
	d.metrics.NewGauge("rattanscale_log_lines_dropped_total", func() float64 { return float64(e.LogDropped()) })
	return d.run(ctx)
}

func newDaemon(i do.Injector) (*Daemon, error) {
	s := do.MustInvoke[*settings.Settings](i)
	source, err := do.Invoke[*tlsconf.Source](i)
	if err != nil {
		return nil, err
	}
	table, err := do.Invoke[storage.Table](i)
	if err != nil {
		return nil, err
	}
	options := do.MustInvoke[peer.Options](i)
	d := &Daemon{
		settings: s, log: do.MustInvoke[logr.Logger](i), table: table, tls: source,
		clock: do.MustInvoke[*timeline.Clock](i), recorder: do.MustInvoke[*timeline.Recorder](i),
		follower: do.MustInvoke[*changelog.Follower](i), changes: do.MustInvoke[*changelog.Log](i),
		metrics: metrics.NewSet(), drain: newDrain(),
	}
	d.server, d.client = peer.New(options)
	d.events = &events{d.recorder}
	hosts := do.MustInvoke[storage.HostList](i)
	d.leaving = &leaving{list: hosts}
	d.buildMembership(hosts)
	d.members = members{d.tracker}
	if d.trace, err = newRecording(s.TraceFile, d.follower.Configuration, d.log); err != nil {
		return nil, failure.New(failure.InvalidSettings, "trace-file: %v", err)
	}
	d.buildDecisions(do.MustInvoke[upstream.Engine](i), do.MustInvoke[upstream.Plain](i))
	d.buildInterfaces()
	d.registerMethods()
	d.registerMetrics()
	return d, nil
}

// buildMembership builds the parts that keep the view and the configuration.
func (d *Daemon) buildMembership(hosts storage.HostList) {
	s := d.settings
	d.runner = runner.New(runner.Config{
		Cell: s.Host.Cell,
		Self: membership.Member{
			Identity: membership.Identity{Name: s.Host.Name}, PeerAddress: s.Listen.Peer, CallerAddress: s.Listen.Caller,
			OperatorAddress: s.Listen.Operator, DataCentre: s.Host.DataCentre,
		},
		Table: d.table, HostList: hosts, ChangeLog: d.changes, Peers: d.client, LocalState: d.localState, Logger: d.log, Timeline: d.recorder,
	})
	d.tracker = d.runner.Tracker()
}

// localState is what this daemon tells the others about itself.
func (d *Daemon) localState() membership.LocalState {
	draining := d.drain.leaving.Load() || !d.drainedSince(time.Now()).IsZero()
	return membership.LocalState{Draining: draining, Streams: d.caller.OpenStreams()}
}

// buildDecisions builds the parts that decide who may send and that relay requests.
func (d *Daemon) buildDecisions(engine upstream.Engine, plain upstream.Plain) {
	s := d.settings
	d.owner = permit.NewOwner(d.members, engine, plain, d.events, d.log)
	d.owner.ReserveForDeputy = s.Platform.Table != "memory" // the memory table serves a single host
	d.owner.SendNotices = func(n []quarantine.Notice) { notifySuspects(context.Background(), d.tracker, d.client, n) }
	d.permits = permit.NewClient(d.client, d.members, d.log)
	d.ledger = idempotency.New(d.table, s.Host.Name, time.Now)
	d.statuses = newStatuses(d.follower.Configuration, d.tracker, d.client)
	d.rollouts = newRollouts(d.follower.Configuration, d.tracker, d.client, d.statuses, d.log)
	d.placing = newPlacements(d, engine)
	d.relay = &relay.Relay{
		Engine: engine, Plain: plain, Permits: d.permits, Ledger: d.ledger, Config: d.follower.Configuration,
		Pools: d.statuses, Signer: stream.NewSigner(s.Keys.Resume), Events: d.events, Evidence: newObserver(d.metrics, d.rollouts),
		Budget: &budget{}, Trace: d.trace, Log: d.log, DataCentre: s.Host.DataCentre, OtherHosts: d.otherHosts,
		Handover: d.drain.handover, MaxWholeAnswerBytes: maxWholeBytes,
	}
}

// buildInterfaces builds the interfaces of callers and operators.
func (d *Daemon) buildInterfaces() {
	s := d.settings
	d.control = &control{
		runner: d.runner, follower: d.follower, tracker: d.tracker, statuses: d.statuses, caller: d.client, recorder: d.recorder, events: d.events,
	}
	d.rollouts.commits = d.control
	d.caller = &callerapi.Server{
		State: callerState{d}, Relay: d.relay, Keys: auth.NewKeys(s.Keys.Accounts), Signer: d.relay.Signer, Log: d.log,
		HostName: s.Host.Name, BodyBytes: s.Limits.BodyBytes, WriteTimeout: s.Limits.IdleTimeout, MaxStreams: int64(s.Limits.OpenStreams),
	}
	d.operator = &operatorapi.Server{
		Control: d.control, Keys: auth.NewKeys(s.Keys.Operators), BodyBytes: s.Limits.BodyBytes,
		Metrics: func(w http.ResponseWriter) {
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
func (s callerState) Accepting() error              { return s.d.accepting() }
func (s callerState) Ready() error                  { return s.d.control.Ready() }
func (s callerState) Config() *entity.Configuration { return s.d.follower.Configuration() }

// run serves until ctx ends, drains and stops.
func (d *Daemon) run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	// The loops outlive ctx until the drain is over. The membership outlives the
	// other loops, because a daemon must have stopped granting when it leaves the view.
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	member, leave := context.WithCancel(loops)
	defer leave()
	work, stopWork := context.WithCancel(loops)
	defer stopWork()
	var group errgroup.Group
	servers := d.serve(&group, listeners)
	membershipEnded := make(chan error, 1)
	go func() { membershipEnded <- d.runner.Run(member) }()
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){
		d.owner.Run, d.permits.Run, d.ledger.Run, d.statuses.run, d.rollouts.run, d.placing.run, d.trace.run, d.followHostList, d.syncPools,
	} {
		running.Go(func() { loop(work) })
	}
	d.events.Record("host-started", "", "data-centre", d.settings.Host.DataCentre)
	d.log.Info("started", "caller", d.settings.Listen.Caller, "operator", d.settings.Listen.Operator, "peer", d.settings.Listen.Peer)
	select {
	case <-ctx.Done():
		d.drainAll(loops)
	case err = <-membershipEnded: // another process has the same host name
	}
	stopWork()
	running.Wait()
	leave()
	if err == nil {
		err = <-membershipEnded
	}
	d.shutdown(servers)
	err = errors.Join(err, group.Wait())
	d.log.Info("stopped")
	return err
}

type listeners struct{ caller, operator, peer net.Listener }

func (d *Daemon) listen() (l listeners, err error) {
	for _, bind := range []struct {
		address  string
		listener *net.Listener
	}{{d.settings.Listen.Caller, &l.caller}, {d.settings.Listen.Operator, &l.operator}, {d.settings.Listen.Peer, &l.peer}} {
		if *bind.listener, err = net.Listen("tcp", bind.address); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (d *Daemon) serve(group *errgroup.Group, l listeners) []*http.Server {
	group.Go(func() error { return d.server.Serve(l.peer) })
	callers, operators := d.httpServer(d.caller.Handler()), d.httpServer(d.operator.Handler())
	for server, listener := range map[*http.Server]net.Listener{callers: l.caller, operators: l.operator} {
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
	return []*http.Server{callers, operators}
}

func (d *Daemon) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: d.settings.Limits.HeaderTimeout, IdleTimeout: d.settings.Limits.IdleTimeout,
		ReadTimeout: d.settings.Limits.IdleTimeout, MaxHeaderBytes: maxHeaderBytes, TLSConfig: d.tls.Server(false),
	}
}

func (d *Daemon) shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	_ = d.client.Close()
	_ = d.server.Close()
}

// syncPools gives the owner the pools of the current view and configuration.
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
			d.owner.Reset()
		}
		if snapshot.View.Epoch == epoch && conf.Revision == revision && snapshot.Self.Incarnation == incarnation {
			continue
		}
		if conf.Revision != revision {
			d.events.Record("pools-synced", "", "revision", u64(conf.Revision))
			d.trace.applied(conf)
		}
		epoch, revision, incarnation = snapshot.View.Epoch, conf.Revision, snapshot.Self.Incarnation
		d.owner.Sync(ctx, conf, epoch)
	}
}
