package frontend

import (
	"context"
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
	"github.com/rattanscale/rattanscale/internal/retry"
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
		limiter: rate.NewLimiter(callRate(s), 1), clock: usage.NewClock(time.Now, duty.Now), windows: usage.Windows{Width: s.UsageWindow},
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

// callRate is this host's part of the permitted rate of calls. The duties may be held by as many
// hosts, and two holders may overlap.
func callRate(s Duties) rate.Limit {
	if s.CallsPerSecond == 0 {
		return rate.Inf
	}
	return rate.Limit(s.CallsPerSecond / float64(2*len(s.Names)))
}

func (d *duties) addUsage(s Duties) {
	f := d.frontEnd
	d.counts = usage.NewTable(f.settings.Host.Name, d.process)
	d.reporter = &usage.Reporter{
		Table: d.counts, Clock: d.clock, Windows: d.windows, Delay: s.UsageDelay, StartedAt: d.clock.Now(), Metrics: f.metrics.Set(), Log: f.log,
		Send: func(ctx context.Context, o duty.Order, r usage.Report) error {
			if !d.limiter.Allow() {
				return duty.ErrThrottled
			}
			return d.api.ReportUsage(ctx, o, r)
		},
	}
	d.usage = d.runner.Add(DutyUsage, func(ctx context.Context, held *duty.Duty) { d.reporter.Run(ctx, held) })
	d.sender = &usage.Sender{
		Table: d.counts, Clock: d.clock, Receivers: d.receivers, Include: d.sendsCountsOf, Holder: d.knownHolder, SetHolder: d.setHolder, Log: f.log, Oldest: d.reporter.Oldest,
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

// rank returns this host's place for a duty among the live hosts that are not draining. The order
// is that of a hash, which mixes the hosts of the data centres and differs between duties.
func (d *duties) rank(name string) int {
	own, rank := dutyHash(name, d.frontEnd.settings.Host.Name), 0
	for _, m := range d.frontEnd.members.Live(time.Now()) {
		if m.State != gossip.Draining && dutyHash(name, m.Name) < own {
			rank++
		}
	}
	return rank
}

func dutyHash(name, host string) uint64 { return retry.Hash(name + "\x00" + host) }

// receivers returns the hosts to which this host sends its counts: those first in rank and the
// holder. The hosts of a divided site send to the first hosts of their cell, which pass them on.
func (d *duties) receivers() []usage.Receiver {
	f := d.frontEnd
	now := time.Now()
	live := lo.Filter(f.members.Live(now), func(m gossip.Member, _ int) bool { return m.State != gossip.Draining })
	if cells := f.members.Cells(); cells.Divided() && !d.passesCountsOn() {
		live = lo.Filter(live, func(m gossip.Member, _ int) bool { return cells.InOwnCell(m.DataCentre, m.Name) })
		return toReceivers(firstByHash(live))
	}
	chosen := firstByHash(live)
	holder, _ := d.knownHolder()
	if m, found := lo.Find(live, func(m gossip.Member) bool { return m.Name == holder }); found && !lo.Contains(chosen, m) {
		chosen = append(chosen, m)
	}
	return toReceivers(chosen)
}

func firstByHash(live []gossip.Member) []gossip.Member {
	sorted := slices.SortedFunc(slices.Values(live), func(a, b gossip.Member) int {
		if dutyHash(DutyUsage, a.Name) < dutyHash(DutyUsage, b.Name) {
			return -1
		}
		return 1
	})
	return sorted[:min(len(sorted), usageReceivers)]
}

func toReceivers(members []gossip.Member) []usage.Receiver {
	return lo.Map(members, func(m gossip.Member, _ int) usage.Receiver {
		return usage.Receiver{Name: m.Name, Address: m.PeerAddress}
	})
}

// passesCountsOn reports whether this host is one of the first of its cell on a divided site.
func (d *duties) passesCountsOn() bool {
	f := d.frontEnd
	cells := f.members.Cells()
	if !cells.Divided() {
		return false
	}
	own, before := dutyHash(DutyUsage, f.settings.Host.Name), 0
	for _, m := range cells.OwnCellHosts() {
		if m.State != gossip.Draining && dutyHash(DutyUsage, m.Name) < own {
			before++
		}
	}
	return before < usageReceivers
}

// sendsCountsOf reports whether this host sends the counts of a host: its own, those of its cell
// that it passes on, and those of hosts that can not send them any more.
func (d *duties) sendsCountsOf(host string) bool {
	f := d.frontEnd
	if host == f.settings.Host.Name || d.passesCountsOn() {
		return true
	}
	return !f.liveHosts(time.Now())(host)
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
	d.counts.Merge(m.Counts, oldest)
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
