package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/quarantine"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

// noticeTimeout bounds the call that notifies one member of suspected requests.
const noticeTimeout = time.Second

// registerMethods registers the handlers of the peer methods that this daemon serves.
func (d *Daemon) registerMethods() {
	d.runner.Register(d.peerServer)
	peer.Register(d.peerServer, permit.MethodAcquire, d.permitOwner.Acquire)
	peer.Register(d.peerServer, permit.MethodProgress, d.permitOwner.Progress)
	peer.Register(d.peerServer, permit.MethodStatus, func(context.Context, struct{}) (permit.StatusResult, error) {
		return d.permitOwner.Status(), nil
	})
	peer.Register(d.peerServer, permit.MethodSuspect, func(_ context.Context, p permit.SuspectParams) (struct{}, error) {
		d.permitOwner.ApplyNotices(p.Notices)
		return struct{}{}, nil
	})
	peer.Register(d.peerServer, methodEvidence, func(_ context.Context, p evidenceParams) (struct{}, error) {
		d.rollouts.mergeReport(p)
		return struct{}{}, nil
	})
	peer.Register(d.peerServer, methodTimeline, func(_ context.Context, f timeline.Filter) ([]timeline.Event, error) {
		return d.recorder.Read(f), nil
	})
}

// sendSuspectNotices notifies all members of requests suspected of crashing engines.
func sendSuspectNotices(ctx context.Context, tracker *membership.Tracker, peerCaller permit.Caller, notices []quarantine.Notice) {
	var calls sync.WaitGroup
	for _, member := range tracker.Snapshot().View.Members {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			// The error is ignored: a member that misses the notice suspects the request
			// itself once an engine is lost while running it there.
			_ = peerCaller.Call(callCtx, member.PeerAddress, permit.MethodSuspect, permit.SuspectParams{Notices: notices}, nil)
		})
	}
	calls.Wait()
}
