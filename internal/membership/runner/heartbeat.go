package runner

import (
	"context"
	"encoding/json"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/membership"
)

// Names of the peer methods.
const (
	MethodHeartbeat = "member.heartbeat"
	MethodDelta     = "config.delta"
	MethodRead      = "config.read"
)

// Register registers the handlers of the runner's peer methods.
func (r *Runner) Register(server Registrar) {
	registerMethod(r, server, MethodHeartbeat, r.onHeartbeat)
	registerMethod(r, server, MethodDelta, r.onDelta)
	registerMethod(r, server, MethodRead, r.onRead)
}

func registerMethod[P, R any](r *Runner, server Registrar, method string, handler func(P) (R, error)) {
	server.Handle(method, func(_ context.Context, raw json.RawMessage) (any, error) {
		// Answers of a daemon that has left must not count as contact with a member.
		if r.stopped.Load() {
			return nil, failure.NotRun(failure.Draining, "host %s has left the cell", r.config.Self.Name)
		}
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, failure.NotRun(failure.InvalidRequest, "invalid parameters of %s: %v", method, err)
		}
		return handler(params)
	})
}

func (r *Runner) onHeartbeat(request membership.Heartbeat) (membership.Heartbeat, error) {
	if request.Name == "" || request.Name == r.config.Self.Name {
		return membership.Heartbeat{}, failure.NotRun(failure.InvalidRequest, "invalid heartbeat from host %q to host %q", request.Name, r.config.Self.Name)
	}
	now := r.now()
	r.tracker.ObserveRequest(now, request)
	return r.tracker.Heartbeat(now, request.Epoch), nil
}

func (r *Runner) onDelta(delta Delta) (DeltaResponse, error) {
	if err := r.applyDelta(delta); err != nil {
		r.config.Logger.V(1).Info("failed to apply change log entries sent by another host", "from", delta.From, "error", err.Error())
	}
	revision := r.follower.Revision()
	if n := len(delta.Entries); n > 0 && delta.Entries[n-1].Revision > revision {
		r.requestPull()
	}
	return DeltaResponse{Revision: revision}, nil
}

func (r *Runner) onRead(request ReadRequest) (Delta, error) {
	delta := Delta{From: r.config.Self.Name}
	entries, ok := r.follower.Since(request.After)
	if !ok {
		snapshot := r.follower.Snapshot()
		delta.Snapshot = &snapshot
		return delta, nil
	}
	delta.Entries = entries
	return delta, nil
}

func (r *Runner) heartbeatLoop(ctx context.Context) {
	runEvery(ctx, membership.HeartbeatInterval, func() {
		s := r.tracker.Snapshot()
		for _, host := range s.Hosts() {
			if host.Name != s.Self.Name {
				r.startHeartbeat(ctx, host.PeerAddress)
			}
		}
		if !s.Ready && r.storeFailed.Load() {
			r.startInOutage(ctx, s)
		}
	})
}

// startHeartbeat sends a heartbeat to the address unless one is in flight.
func (r *Runner) startHeartbeat(ctx context.Context, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heartbeatsInFlight[address] {
		return
	}
	r.heartbeatsInFlight[address] = r.spawn(func() {
		r.heartbeat(ctx, address)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.heartbeatsInFlight, address)
	})
}

func (r *Runner) heartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.now()
	var answer membership.Heartbeat
	err := r.config.Peers.Call(ctx, address, MethodHeartbeat, r.tracker.Heartbeat(sent, membership.NoView), &answer)
	if err != nil {
		r.config.Logger.V(1).Info("heartbeat not answered", "address", address, "error", err.Error())
		return
	}
	r.tracker.ObserveHeartbeat(r.now(), sent, answer)
	r.syncTracker()
	if s := r.tracker.Snapshot(); s.KnownHead > s.Revision {
		r.requestPull()
	}
}

// startInOutage sends heartbeats to the addresses of the host list, which may be out
// of date, and makes the daemon ready once a strict majority of the highest view
// found has answered.
func (r *Runner) startInOutage(ctx context.Context, s *membership.Snapshot) {
	if r.tracker.TryReadyByMajority(r.now()) {
		r.config.Logger.Info("became ready during a store outage", "revision", s.Revision, "epoch", s.View.Epoch)
		r.record("started-in-outage")
		return
	}
	if r.config.HostList == nil {
		return
	}
	r.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		hosts, err := r.config.HostList.Hosts(ctx)
		if err != nil {
			r.config.Logger.V(1).Info("failed to read the host list", "error", err.Error())
			return
		}
		for _, host := range hosts {
			if host.Address != r.config.Self.PeerAddress {
				r.heartbeat(ctx, host.Address)
			}
		}
	})
}
