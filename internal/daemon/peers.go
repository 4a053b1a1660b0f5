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

// noticeTimeout bounds the notification of one peer about suspected requests.
const noticeTimeout = time.Second

// registerMethods sets the handlers of the methods that this package serves.
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

// sendSuspectNotices tells the other members about suspected requests.
func sendSuspectNotices(ctx context.Context, tracker *membership.Tracker, peerCaller permit.Caller, notices []quarantine.Notice) {
	var calls sync.WaitGroup
	for _, member := range tracker.Snapshot().View.Members {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			// A member that misses the notice learns of the request when it is lost there.
			_ = peerCaller.Call(callCtx, member.PeerAddress, permit.MethodSuspect, permit.SuspectParams{Notices: notices}, nil)
		})
	}
	calls.Wait()
}
