package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/membership/runner"
	"github.com/rattanscale/rattanscale/internal/operatorapi"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

const (
	methodTimeline = "timeline.read"
	// timelineTimeout bounds reading the events of the other hosts.
	timelineTimeout = 2 * time.Second
	// timelineLimit is the maximum number of events read from one host.
	timelineLimit = 10_000
	// watchBuffer is the number of changes buffered for a slow watcher.
	watchBuffer = 64
	// systemOperator is the operator name of changes that the system itself decides.
	systemOperator = "rattanscale"
)

// control implements operatorapi.Control. It is safe for concurrent use.
type control struct {
	runner       *runner.Runner
	follower     *changelog.Follower
	tracker      *membership.Tracker
	poolStatuses *poolStatuses
	peerCaller   permit.Caller
	recorder     *timeline.Recorder
	events       *events
}

// Change commits an operator's change. The result is pending until Outcome reports otherwise.
func (c *control) Change(ctx context.Context, change entity.Change, expectedRevision uint64) (operatorapi.ChangeResult, error) {
	change.ID = ulid.Make().String()
	if change.Kind == entity.ChangeRolloutStart {
		change.From = c.currentVersion(change.Service)
	}
	revision, err := c.commit(ctx, change, expectedRevision)
	if err != nil {
		return operatorapi.ChangeResult{}, err
	}
	return operatorapi.ChangeResult{ID: change.ID, Revision: revision, Outcome: operatorapi.OutcomePending}, nil
}

// commitSystemChange commits a change decided by the system itself.
func (c *control) commitSystemChange(ctx context.Context, change entity.Change) error {
	change.Operator = systemOperator
	_, err := c.commit(ctx, change, 0)
	return err
}

// commit writes the change to the change log. It fails unless this daemon reaches the
// store and a strict majority of the members; see section 5.8 of docs/design.md.
func (c *control) commit(ctx context.Context, change entity.Change, expectedRevision uint64) (uint64, error) {
	change.CreatedAt = time.Now().UTC()
	result, err := c.runner.Commit(ctx, expectedRevision, change)
	if err != nil {
		return 0, err
	}
	return result.Revision, nil
}

// currentVersion returns the name of the version that serves the traffic of a service:
// the target of a finished rollout, the previous version of any other rollout, or else
// the version with the largest share.
func (c *control) currentVersion(serviceName string) string {
	conf := c.follower.Configuration()
	if rollout, ok := conf.Rollouts[serviceName]; ok {
		if rollout.State == entity.RolloutFinished {
			return rollout.To
		}
		return rollout.From
	}
	service, _ := conf.Service(serviceName)
	return lo.MaxBy(service.Versions, func(a, b entity.Version) bool { return a.Share > b.Share }).Name
}

// Evict removes a member whose process no longer runs.
func (c *control) Evict(ctx context.Context, name, operator string) error {
	return c.runner.Evict(ctx, name, operator)
}

// Outcome returns the state of a change as derived from the change log. It returns false
// if the change is unknown.
func (c *control) Outcome(id string) (operatorapi.ChangeResult, bool) {
	change, ok := c.follower.Find(id)
	if !ok {
		return operatorapi.ChangeResult{}, false
	}
	conf := c.follower.Configuration()
	result := operatorapi.ChangeResult{ID: id, Revision: change.Revision, Outcome: operatorapi.OutcomePending}
	if change.Kind == entity.ChangeRolloutStart {
		result.Outcome, result.Reason = c.rolloutOutcome(change)
		return result, true
	}
	if conf.InForceRevision >= change.Revision {
		result.Outcome = operatorapi.OutcomeInForce
	}
	return result, true
}

// rolloutOutcome returns the outcome and its reason from the change that ended the rollout,
// or OutcomePending if none did.
func (c *control) rolloutOutcome(start entity.Change) (operatorapi.Outcome, string) {
	later, _ := c.follower.Since(start.Revision)
	for _, change := range later {
		if change.Service != start.Service {
			continue
		}
		switch change.Kind {
		case entity.ChangeRolloutFinish:
			return operatorapi.OutcomeFinished, change.Reason
		case entity.ChangeRolloutUndo:
			return operatorapi.OutcomeUndone, change.Reason
		}
	}
	return operatorapi.OutcomePending, ""
}

// Text returns the service text of the latest apply change and the revision that this host
// holds.
func (c *control) Text() (string, uint64) {
	follower := c.follower
	return follower.Text(), follower.Revision()
}

// CheckReady returns a typed failure if this host may not send requests.
func (c *control) CheckReady() error { return c.tracker.Snapshot().MaySend(time.Now()) }

// Status returns the configuration at the revision that this host holds, and the state
// of hosts, pools and the store as this host observes it.
func (c *control) Status() operatorapi.Status {
	conf := c.follower.Configuration()
	snapshot := c.tracker.Snapshot()
	return operatorapi.Status{
		Revision: conf.Revision, InForce: conf.InForceRevision, Configuration: configurationRows(conf),
		Observed: operatorapi.Observed{
			Host: snapshot.Self.Name, Epoch: snapshot.View.Epoch, Hosts: hostRows(snapshot),
			Pools: c.poolStatuses.All(), Store: storeStatus(snapshot),
		},
	}
}

func storeStatus(s *membership.Snapshot) string {
	confirmed := s.ConfirmedAt()
	switch {
	case confirmed.IsZero():
		return "never reached"
	case s.IsFresh(time.Now()):
		return "confirmed"
	default:
		return "not confirmed for " + time.Since(confirmed).Round(time.Second).String()
	}
}

func configurationRows(conf *entity.Configuration) operatorapi.Configuration {
	var out operatorapi.Configuration
	if conf.Text != nil {
		for _, name := range conf.Text.DataCentres {
			out.DataCentres = append(out.DataCentres, operatorapi.DataCentreRow{Name: name, Out: conf.DataCentresOut[name]})
		}
		out.Services = lo.Map(conf.Text.Services, func(s entity.Service, _ int) string { return s.Name })
		out.ClientAccounts = lo.Map(conf.Text.Accounts, func(a entity.ClientAccount, _ int) string { return a.Name })
	}
	out.HostsDraining = slices.Sorted(maps.Keys(conf.HostsDraining))
	for _, name := range slices.Sorted(maps.Keys(conf.Rollouts)) {
		r := conf.Rollouts[name]
		out.Rollouts = append(out.Rollouts, operatorapi.RolloutRow{
			Service: r.Service, From: r.From, To: r.To, Step: r.Step, State: string(r.State), Reason: r.Reason, FinishBy: r.FinishBy,
		})
	}
	return out
}

func hostRows(s *membership.Snapshot) []operatorapi.HostRow {
	now := time.Now()
	return lo.Map(s.Hosts(), func(h membership.Host, _ int) operatorapi.HostRow {
		row := operatorapi.HostRow{
			Name: h.Name, DataCentre: h.DataCentre, CallerAddress: h.CallerAddress, OperatorAddress: h.OperatorAddress,
			Ready: h.Ready, Draining: h.Draining, OpenStreams: h.Streams, Revision: h.Revision,
		}
		if !h.ContactAt.IsZero() {
			row.LastSeenSecondsAgo = now.Sub(h.ContactAt).Seconds()
		}
		return row
	})
}

// Watch sends the changes with a revision above afterRevision until ctx ends or send fails.
func (c *control) Watch(ctx context.Context, afterRevision uint64, send func(entity.Change) error) error {
	follower := c.follower
	watcher := follower.Watch(watchBuffer)
	defer watcher.Close()
	sendSince := func() error {
		entries, _ := follower.Since(afterRevision)
		for _, change := range entries {
			if err := send(change); err != nil {
				return err
			}
			afterRevision = change.Revision
		}
		return nil
	}
	if err := sendSince(); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case update := <-watcher.Updates():
			if update.Resync || update.Change.Revision > afterRevision {
				if err := sendSince(); err != nil {
					return err
				}
			}
		}
	}
}

// Timeline returns the merged events of all members, and the hosts that could not be read.
func (c *control) Timeline(ctx context.Context, query operatorapi.TimelineQuery) ([]timeline.Event, []string) {
	filter := timeline.Filter{Request: query.Request, Kind: timeline.Kind(query.Kind), Limit: timelineLimit}
	if query.Since > 0 {
		filter.Since = timeline.TimestampOf(time.Now().Add(-query.Since))
	}
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	var mu sync.Mutex
	eventLists := [][]timeline.Event{c.recorder.Read(filter)}
	var unreachable []string
	var calls sync.WaitGroup
	snapshot := c.tracker.Snapshot()
	for _, member := range snapshot.View.Members {
		if member.Name == snapshot.Self.Name {
			continue
		}
		calls.Go(func() {
			var events []timeline.Event
			err := c.peerCaller.Call(ctx, member.PeerAddress, methodTimeline, filter, &events)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, member.Name)
				return
			}
			eventLists = append(eventLists, events)
		})
	}
	calls.Wait()
	slices.Sort(unreachable)
	return timeline.Merge(eventLists...), unreachable
}
