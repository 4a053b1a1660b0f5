package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/quarantine"
	"github.com/rattanscale/rattanscale/internal/rollout"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

const (
	// epochWithoutView is an epoch for which Heartbeat omits the view.
	epochWithoutView = ^uint64(0)
	// largeRevision is the revision after about a year with 55,000 changes a day.
	largeRevision = 20_000_000
	hostName      = "praha-1-host-0001"
	requestID     = "01JABCDEFGHJKMNPQRSTVWXYZ0"
)

var fixedTime = time.Unix(1_790_000_000, 123456789).UTC()

func hostIdentity(n int) membership.Identity {
	return membership.Identity{Name: fmt.Sprintf("praha-%d-host-%04d", n%4+1, n), Incarnation: uint64(fixedTime.UnixMilli()) + uint64(n)}
}

// newCellTracker returns the tracker of member self in a cell of n members. It has
// received a heartbeat of every other member.
func newCellTracker(n, self int, now time.Time) *membership.Tracker {
	view := membership.View{Epoch: 1_000}
	for i := range n {
		id := hostIdentity(i)
		m := membership.Member{
			Identity: id, DataCentre: fmt.Sprint("praha-", i%4+1), PeerAddress: fmt.Sprintf("10.1.2.%d:7003", i),
			CallerAddress: fmt.Sprintf("10.1.2.%d:7001", i), OperatorAddress: fmt.Sprintf("10.1.2.%d:7002", i),
		}
		view = membership.View{Epoch: view.Epoch, Members: append(view.Members, m)}
	}
	view = sortMembers(view)
	t := membership.NewTracker("cell", hostIdentity(self), now)
	t.SetAppliedRevision(now, largeRevision)
	t.ObserveStoreRead(now, now, view, largeRevision)
	t.SetLocalState(now, membership.LocalState{Streams: 334})
	for i := range n {
		if i != self {
			heartbeat := membership.Heartbeat{Identity: hostIdentity(i), Revision: largeRevision, Epoch: view.Epoch, Ready: true, StoreAgeMillis: 412, StoreHead: largeRevision}
			t.ObserveHeartbeat(now, now, heartbeat)
		}
	}
	return t
}

// sortMembers sorts the members by name, by joining them one by one.
func sortMembers(view membership.View) membership.View {
	out := membership.View{}
	for _, m := range view.Members {
		out = out.Join(m)
	}
	return membership.View{Epoch: view.Epoch, Floor: largeRevision, Members: out.Members}
}

// BenchmarkHeartbeatCall measures member.heartbeat with the work of the trackers at
// both ends.
func BenchmarkHeartbeatCall(b *testing.B) {
	fitSlopes(b, "member", []int{8, 16, 32, 64}, func(n int) []measurement {
		now := time.Now()
		sender, receiver := newCellTracker(n, 0, now), newCellTracker(n, 1, now)
		w := newPeerPair(b, func(s *peer.Server) {
			peer.Register(s, "member.heartbeat", func(_ context.Context, h membership.Heartbeat) (membership.Heartbeat, error) {
				receiver.ObserveRequest(time.Now(), h)
				return receiver.Heartbeat(time.Now(), h.Epoch), nil
			})
		})
		return w.measureCall(b, func() error {
			sent := time.Now()
			sender.ObserveStoreRead(sent, sent, membership.View{}, largeRevision)
			receiver.ObserveStoreRead(sent, sent, membership.View{}, largeRevision)
			var response membership.Heartbeat
			err := w.client.Call(context.Background(), w.address, "member.heartbeat", sender.Heartbeat(sent, epochWithoutView), &response)
			sender.ObserveHeartbeat(time.Now(), sent, response)
			return err
		})
	})
}

func newStatusResult(upstreams int) permit.StatusResult {
	if upstreams == 0 {
		return permit.StatusResult{}
	}
	s := permit.PoolStatus{Pool: "model-0001-praha-1", Owner: hostName, Queued: 12}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, permit.UpstreamStatus{
			Name: fmt.Sprintf("e%05d", i), Incarnation: "5f2c9a1b7d3e4f60", Reachable: true, Running: 87, Limit: 96,
			Step: 48_123_456, Models: []string{"oldtown-7b"},
		})
	}
	return permit.StatusResult{Pools: []permit.PoolStatus{s}}
}

func BenchmarkStatusCall(b *testing.B) {
	fitSlopes(b, "upstream", []int{0, 4, 8, 16, 32}, func(n int) []measurement {
		return measureMethod(b, permit.MethodStatus, struct{}{}, newStatusResult(n))
	})
}

func runningPermit(n int) permit.RunningRequest {
	id := pool.PermitIDBase(1_000, false) + uint64(n)
	return permit.RunningRequest{
		Permit: pool.Permit{
			ID: id, RequestID: requestID, Upstream: fmt.Sprintf("e%05d", n%4), Incarnation: "5f2c9a1b7d3e4f60", Expires: fixedTime,
		},
		Fingerprint: 0x9e3779b97f4a7c15 + uint64(n), Service: "service-0001", Version: "v1", Account: fmt.Sprintf("account-%05d", n), PromptTokens: 1234,
		Progress: pool.Progress{PermitID: id, Tokens: 345, StepTime: 48_123_456, FirstToken: 412_345_678},
	}
}

func BenchmarkProgressCall(b *testing.B) {
	fitSlopes(b, "permit", []int{4, 16, 64, 256}, func(n int) []measurement {
		p := permit.ProgressParams{Pool: "model-0001-praha-1", Role: permit.RoleOwner, Holder: hostName}
		for i := range n {
			p.Running = append(p.Running, runningPermit(i))
		}
		return measureMethod(b, permit.MethodProgress, p, struct{}{})
	})
}

// BenchmarkFinishedCall measures the part of a digest that reports finished requests.
func BenchmarkFinishedCall(b *testing.B) {
	fitSlopes(b, "finished", []int{1, 4, 16, 64}, func(n int) []measurement {
		p := permit.ProgressParams{Pool: "model-0001-praha-1", Role: permit.RoleOwner, Holder: hostName}
		for i := range n {
			p.Finished = append(p.Finished, permit.FinishedRequest{PermitID: runningPermit(i).Permit.ID, Upstream: "e00001", Tokens: 378})
		}
		return measureMethod(b, permit.MethodProgress, p, struct{}{})
	})
}

// BenchmarkAcquireCall measures pool.acquire by the number of excluded upstreams. The
// first attempt of a request excludes none.
func BenchmarkAcquireCall(b *testing.B) {
	fitSlopes(b, "excluded", []int{0, 1, 2, 3}, func(n int) []measurement {
		p := permit.AcquireParams{Pool: "model-0001-praha-1", Role: permit.RoleOwner, Holder: hostName, Wait: 2 * time.Second, Request: pool.Request{
			ID: requestID, Fingerprint: 0x9e3779b97f4a7c15, Service: "service-0001", Version: "v1", Account: "account-00001", Weight: 3,
			MaxQueued: 100, Priority: 5, PromptTokens: 1234, MaxTokens: 4096, PrefixHash: 0x9e3779b97f4a7c15, Deadline: fixedTime, FinishBy: fixedTime,
		}}
		for i := range n {
			p.Request.Exclude = append(p.Request.Exclude, fmt.Sprintf("e%05d", i))
		}
		granted := runningPermit(0).Permit
		return measureMethod(b, permit.MethodAcquire, p, permit.AcquireResult{Permit: &granted, Waited: 123_456})
	})
}

// evidenceMessage has the form of the parameters of rollout.evidence.
type evidenceMessage struct {
	Rollout string         `json:"rollout"`
	Report  rollout.Report `json:"report"`
}

// newEvidenceReport returns a report with n routes and the given outcomes for each
// route and version, whose latencies spread over a factor of four.
func newEvidenceReport(n, outcomes int) rollout.Report {
	c := rollout.NewCounter(hostName, "1790000000123456789")
	for route := range n {
		for i := range outcomes {
			spread := time.Duration(100+300*i/outcomes) * time.Millisecond
			for _, onNew := range []bool{false, true} {
				c.Record(25, fmt.Sprintf("account-%05d", route), onNew, rollout.Outcome{FirstToken: 2 * spread, MeanStep: spread / 8})
			}
		}
	}
	return c.Report(true)
}

func BenchmarkEvidenceCall(b *testing.B) {
	fitSlopes(b, "route", []int{4, 8, 16, 32}, func(n int) []measurement {
		return measureMethod(b, "rollout.evidence", evidenceMessage{requestID, newEvidenceReport(n, 20)}, struct{}{})
	})
}

// BenchmarkSparseEvidenceCall measures a partial report, whose routes have had one
// request on each version.
func BenchmarkSparseEvidenceCall(b *testing.B) {
	fitSlopes(b, "route", []int{1, 2, 4, 8}, func(n int) []measurement {
		return measureMethod(b, "rollout.evidence", evidenceMessage{requestID, newEvidenceReport(n, 1)}, struct{}{})
	})
}

func BenchmarkDeltaCall(b *testing.B) {
	fitSlopes(b, "entry", []int{1, 4, 16, 64}, func(n int) []measurement {
		var entries []entity.Change
		for i := range n {
			entries = append(entries, smallChange(largeRevision+uint64(i)))
		}
		return measureMethod(b, "config.delta", entries, struct{}{})
	})
}

// BenchmarkTextDeltaCall measures an entry that carries a service text.
func BenchmarkTextDeltaCall(b *testing.B) {
	fitSlopes(b, "upstream", []int{1000, 2000, 4000, 8000}, func(n int) []measurement {
		change := smallChange(largeRevision)
		change.Kind, change.Text = entity.ChangeApply, serviceText(textSize{pools: 100, upstreamsEach: n / 100, services: 1, accounts: 1})
		return measureMethod(b, "config.delta", []entity.Change{change}, struct{}{})
	})
}

func BenchmarkSuspectCall(b *testing.B) {
	fitSlopes(b, "notice", []int{8, 16, 32, 64}, func(n int) []measurement {
		var p permit.SuspectParams
		for i := range n {
			p.Notices = append(p.Notices, quarantine.Notice{Fingerprint: 0x9e3779b97f4a7c15 + uint64(i), Losses: 1})
		}
		return measureMethod(b, permit.MethodSuspect, p, struct{}{})
	})
}

func recordTimelineEvent(r *timeline.Recorder, n int) {
	r.Record("request.sent", fmt.Sprintf("01JABCDEFGHJKMN%011d", n), timeline.Attr("upstream", "e00001"), timeline.Attr("incarnation", "5f2c9a1b7d3e4f60"))
}

func BenchmarkTimelineCall(b *testing.B) {
	fitSlopes(b, "event", []int{100, 200, 400, 800}, func(n int) []measurement {
		r := timeline.NewRecorder(hostName, timeline.NewClock(time.Now), n)
		for i := range n {
			recordTimelineEvent(r, i)
		}
		return measureMethod(b, "timeline.read", timeline.Filter{Limit: n}, r.Read(timeline.Filter{}))
	})
}
