package frontend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanscale/rattanscale/internal/accept"
	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/membudget"
)

const (
	// drainMargin is the time reserved for closing down before the process is killed.
	drainMargin = 400 * time.Millisecond
	// drainNoticePeriod is how long callers may still send new requests to a draining host:
	// responses of the directory are valid for two seconds.
	drainNoticePeriod = 3 * time.Second
	// restrictedAdmissionDelay is the time after the start of the drain from which a host accepts
	// only requests that are certain to end before it stops. It is shorter than drainNoticePeriod
	// by the time that a request may take to arrive.
	restrictedAdmissionDelay = drainNoticePeriod - 200*time.Millisecond
	drainPollInterval        = 50 * time.Millisecond
	// auxiliaryTimeout bounds requests for the directory, readiness and metrics.
	auxiliaryTimeout = 5 * time.Second
	// maxAuxiliaryHeadBytes bounds the heads of these requests.
	maxAuxiliaryHeadBytes = 16 << 10
	// refusedRetryAfter is the delay after which a request may be sent again that was refused
	// for lack of memory.
	refusedRetryAfter = time.Second
)

// serveAuxiliary serves the directory, readiness and metrics until ctx ends.
func (f *FrontEnd) serveAuxiliary(ctx context.Context, group *errgroup.Group) error {
	handlers := map[string]http.Handler{
		f.settings.Listen.Readiness: f.platform.Readiness(f.acceptsCallers),
		f.settings.Listen.Directory: f.platform.Directory(f.callerAddresses),
		f.settings.Listen.Metrics:   f.operatorHandler(),
	}
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		listener, err := accept.Listen("tcp", address, f.log)
		if err != nil {
			return err
		}
		server := &http.Server{
			Handler: membudget.Handler(handler, 1), ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, IdleTimeout: f.settings.Limits.IdleTimeout,
			MaxHeaderBytes: maxAuxiliaryHeadBytes, ConnState: membudget.OnState, ConnContext: membudget.WithConn,
		}
		counted := membudget.Listen(listener, f.budgetOptions(f.auxiliaryBudget, func() int { return maxAuxiliaryHeadBytes }))
		group.Go(func() error { return ignoreServerClosed(server.Serve(counted)) })
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return nil
}

// budgetOptions returns the options of a listener whose memory the budget gives out.
func (f *FrontEnd) budgetOptions(budget *membudget.Budget, maxHeadBytes func() int) membudget.Options {
	refusal := http.Header{}
	f.platform.Protocol.RetryAfter(refusal, refusedRetryAfter)
	return membudget.Options{Budget: budget, MaxHeadBytes: maxHeadBytes, RefusalHeader: refusal}
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (f *FrontEnd) serveCallers(group *errgroup.Group) (*http.Server, error) {
	listener, err := accept.Listen("tcp", f.settings.Listen.Caller, f.log)
	if err != nil {
		return nil, err
	}
	limits := f.settings.Limits
	server := &http.Server{
		Handler: f.gateway, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.HeaderBytes,
		ConnState: onConnState, ConnContext: membudget.WithConn,
	}
	counted := membudget.Listen(listener, f.budgetOptions(f.budget, func() int {
		if configured := f.callerLimits().HeaderBytes; configured > 0 {
			return configured
		}
		return limits.HeaderBytes
	}))
	configuredListener := callerListener{Listener: counted, limits: f.callerLimits}
	group.Go(func() error { return ignoreServerClosed(server.Serve(configuredListener)) })
	return server, nil
}

// drain stops the host without cutting off requests: it leaves the directory, serves until
// callers no longer use it, and waits for active requests up to the drain limit.
func (f *FrontEnd) drain(callers *http.Server) {
	startedAt := time.Now()
	deadline := startedAt.Add(f.settings.Drain.Limit - drainMargin)
	f.log.Info("draining", "active", f.gateway.ActiveRequests())
	f.members.SetState(gossip.Draining)
	f.gateway.StartDrain(startedAt.Add(restrictedAdmissionDelay), deadline)
	f.announce()
	f.releaseDuties()
	for time.Now().Before(deadline) {
		if time.Since(startedAt) >= drainNoticePeriod && f.gateway.ActiveRequests() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		f.log.Info("requests were cut off by the end of the drain", "active", f.gateway.ActiveRequests())
		_ = callers.Close()
	}
}
