package frontend

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"github.com/rattanscale/rattanscale/internal/duty"
	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/usage"
)

const (
	methodUsage = "usage"
	// usageReceivers is the number of hosts, first in rank, that receive the counts of all others
	// besides the holder.
	usageReceivers = 2
	// usageFlushTimeout bounds the last message of a host that stops.
	usageFlushTimeout = 300 * time.Millisecond
)

// DutyAPI makes the calls to the platform that only the holder of a duty may make. Its errors are
// those of package duty.
type DutyAPI interface {
	ReportUsage(ctx context.Context, o duty.Order, r usage.Report) error
	OrderCount(ctx context.Context, o duty.Order, service, dataCentre string, count int) error
}

// duties are the duties of this host.
type duties struct {
	frontEnd *FrontEnd
	api      DutyAPI
	runner   *duty.Runner
	process  string
	limiter  *rate.Limiter

	clock    *usage.Clock
	windows  usage.Windows
	counts   *usage.Table
	reporter *usage.Reporter
	sender   *usage.Sender
	usage    *duty.Duty
	scaling  *scaling

	mu sync.Mutex
	// holder is the holder of the duty to report that other hosts have told of.
	holder      string
	holderToken uint64
}

// newDuties returns the duties that the settings name, nil if they name none.
func newDuties(f *FrontEnd) *duties {
	s := f.settings.Duties
	if len(s.Names) == 0 || f.platform.DutyAPI == nil {
		return nil
	}
	store, err := f.platform.DutyStore(f.store)
	if err != nil {
		f.log.Error(err, "duties are not available")
		return nil
	}
	d := &duties{
		frontEnd: f, api: f.platform.DutyAPI(s.Address), process: strconv.FormatInt(f.startedAt.UnixNano(), 36),
		limiter: newCallLimiter(s), clock: usage.NewClock(time.Now, duty.Now), windows: usage.Windows{Width: s.UsageWindow},
	}
	d.runner = duty.NewRunner(duty.Options{
		Host: f.settings.Host.Name, Process: d.process, Term: s.Term, PauseMargin: s.PauseMargin, Store: store, Rank: d.rank,
		Willing: f.acceptsCallers, Metrics: f.metrics.Set(), Log: f.log,
	})
	if lo.Contains(s.Names, DutyUsage) {
		d.addUsage(s)
	}
	if lo.Contains(s.Names, DutyAutoscale) {
		d.addScaling(s)
	}
	return d
}

// newCallLimiter returns a limiter with this host's part of the permitted rate of calls. The duties
// may be held by as many hosts, and two holders may overlap.
func newCallLimiter(s Duties) *rate.Limiter {
	if s.CallsPerSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	perSecond := s.CallsPerSecond / float64(2*len(s.Names))
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond/2), 1))
}

// limited makes a call once the rate allows it. A call that would have to wait for longer than its
// time is not made.
func (d *duties) limited(ctx context.Context, call func() error) error {
	if err := d.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", duty.ErrThrottled, err)
	}
	return call()
}

func (d *duties) addUsage(s Duties) {
	f := d.frontEnd
	d.counts = usage.NewTable(f.settings.Host.Name, d.process)
	d.reporter = &usage.Reporter{
		Table: d.counts, Clock: d.clock, Windows: d.windows, Delay: s.UsageDelay, StartedAt: d.clock.Now(), Metrics: f.metrics.Set(), Log: f.log,
		Send: func(ctx context.Context, o duty.Order, r usage.Report) error {
			return d.limited(ctx, func() error { return d.api.ReportUsage(ctx, o, r) })
		},
	}
	d.usage = d.runner.Add(DutyUsage, func(ctx context.Context, held *duty.Duty) { d.reporter.Run(ctx, held) })
	d.sender = &usage.Sender{
		Table: d.counts, Clock: d.clock, Receivers: d.receivers, Include: d.countsToSend, Holder: d.knownHolder, SetHolder: d.setHolder, Log: f.log, Oldest: d.reporter.Oldest,
		Call: func(ctx context.Context, address string, m usage.Message) (reply usage.Reply, err error) {
			err = f.peerClient.Call(ctx, address, methodUsage, m, &reply)
			return reply, err
		},
	}
}

func (d *duties) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { d.runner.Run(ctx) })
	if d.sender != nil {
		group.Go(func() { d.sender.Run(ctx) })
	}
	group.Wait()
}

// rank returns this host's place for a duty among the live hosts that are not draining.
func (d *duties) rank(name string) int {
	self := d.frontEnd.members.Self()
	own := duty.Host{Name: self.Name, DataCentre: self.DataCentre}
	return slices.Index(duty.RankHosts(name, append(d.liveHosts(), own)), own)
}

// liveHosts returns the other live hosts that are not draining.
func (d *duties) liveHosts() []duty.Host { return toHosts(d.frontEnd.members.Live(time.Now())) }

func toHosts(members []gossip.Member) []duty.Host {
	return lo.FilterMap(members, func(m gossip.Member, _ int) (duty.Host, bool) {
		return duty.Host{Name: m.Name, DataCentre: m.DataCentre}, m.State != gossip.Draining
	})
}

// receivers returns the hosts to which this host sends its counts: those first in rank and the
// holder. The hosts of a divided site send to the first hosts of their cell, which pass them on.
func (d *duties) receivers() []usage.Receiver {
	f := d.frontEnd
	live := d.liveHosts()
	if cells := f.members.Cells(); cells.Divided() && !d.passesCountsOn() {
		live = toHosts(cells.OwnCellHosts())
	}
	chosen := duty.RankHosts(DutyUsage, live)
	chosen = chosen[:min(len(chosen), usageReceivers)]
	holder, _ := d.knownHolder()
	byName := func(h duty.Host) bool { return h.Name == holder }
	if h, isLive := lo.Find(live, byName); isLive && !lo.ContainsBy(chosen, byName) {
		chosen = append(chosen, h)
	}
	return lo.FilterMap(chosen, func(h duty.Host, _ int) (usage.Receiver, bool) {
		address, known := f.members.PeerAddress(h.Name)
		return usage.Receiver{Name: h.Name, Address: address}, known
	})
}

// passesCountsOn reports whether this host is one of the first of its cell on a divided site.
func (d *duties) passesCountsOn() bool {
	members := d.frontEnd.members
	cells, self := members.Cells(), members.Self()
	if !cells.Divided() {
		return false
	}
	own := duty.Host{Name: self.Name, DataCentre: self.DataCentre}
	return slices.Index(duty.RankHosts(DutyUsage, append(toHosts(cells.OwnCellHosts()), own)), own) < usageReceivers
}

// countsToSend returns a function that reports whether this host sends the counts of a host: its
// own, those of its cell that it passes on, and those of hosts that can not send them any more.
func (d *duties) countsToSend() func(host string) bool {
	f := d.frontEnd
	all, live := d.passesCountsOn(), f.liveHosts(time.Now())
	return func(host string) bool { return all || host == f.settings.Host.Name || !live(host) }
}

// knownHolder returns the holder of the duty to report that has the highest token known here.
func (d *duties) knownHolder() (host string, token uint64) {
	host, token = d.usage.Holder()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holderToken > token {
		return d.holder, d.holderToken
	}
	return host, token
}

func (d *duties) setHolder(host string, token uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if token > d.holderToken {
		d.holder, d.holderToken = host, token
	}
}

// receiveCounts merges the counts of other hosts.
func (d *duties) receiveCounts(_ context.Context, m usage.Message) (usage.Reply, error) {
	oldest := d.reporter.Oldest()
	// Windows far ahead are those of a host with a wrong clock; they would never be evicted.
	newest := d.windows.At(d.clock.Now().Add(usage.MaxAhead))
	d.counts.Merge(lo.Filter(m.Counts, func(c usage.Counts, _ int) bool { return c.Window <= newest }), oldest)
	d.counts.Evict(oldest)
	d.setHolder(m.Holder, m.Token)
	holder, token := d.knownHolder()
	return usage.Reply{Process: d.process, Holder: holder, Token: token, Now: d.clock.Now().UnixMilli()}, nil
}

// recordRunBegan counts a request of an account that an upstream began to run.
func (f *FrontEnd) recordRunBegan(account string, at time.Time) {
	d := f.duties
	if d == nil || d.counts == nil || account == "" {
		return
	}
	d.counts.Add(d.windows.At(d.clock.Now().Add(-time.Since(at))), account)
}

// registerUsage serves the counts of other hosts.
func (f *FrontEnd) registerUsage() {
	if f.duties != nil && f.duties.counts != nil {
		peer.Register(f.peerServer, methodUsage, f.duties.receiveCounts)
	}
}

// releaseDuties gives up the duties of a draining host, so that another one need not wait for the
// end of the term.
func (f *FrontEnd) releaseDuties() {
	if f.duties != nil {
		f.duties.runner.Wake()
	}
}

// flushUsage sends the last counts of a host that stops.
func (f *FrontEnd) flushUsage() {
	if f.duties == nil || f.duties.sender == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageFlushTimeout)
	defer cancel()
	guard.Run(f.log, "last usage counts", func() { f.duties.sender.Send(ctx) })
}
