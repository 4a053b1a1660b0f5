package frontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanscale/rattanscale/internal/gossip"
)

const (
	// drainMargin is kept before the process is killed.
	drainMargin = 400 * time.Millisecond
	// callersLeave is the time in which callers learn that the host is leaving:
	// answers of the directory are valid for two seconds.
	callersLeave = 3 * time.Second
	// certainAfter is the time from which on a stopping host takes only what ends for
	// certain. Callers may send until callersLeave; the rest is the way of a request.
	certainAfter = callersLeave - 200*time.Millisecond
	// drainPoll is the interval at which requests in progress are counted.
	drainPoll = 50 * time.Millisecond
	// asideTimeout bounds requests to the directory and to readiness.
	asideTimeout = 5 * time.Second
)

// serveAside serves the directory, readiness and metrics.
func (f *FrontEnd) serveAside(ctx context.Context, group *errgroup.Group) error {
	handlers := map[string]http.Handler{
		f.settings.Listen.Readiness: f.platform.Readiness(f.acceptsCallers),
		f.settings.Listen.Directory: f.platform.Directory(f.callerAddresses),
		f.settings.Listen.Metrics:   f.metricsHandler(),
	}
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadTimeout: asideTimeout, WriteTimeout: asideTimeout, IdleTimeout: f.settings.Limits.IdleTimeout}
		group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (f *FrontEnd) serveCallers(group *errgroup.Group) (*http.Server, error) {
	listener, err := net.Listen("tcp", f.settings.Listen.Caller)
	if err != nil {
		return nil, err
	}
	limits := f.settings.Limits
	server := &http.Server{
		Handler: f.gateway, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.HeaderBytes,
		ConnState: noteState,
	}
	configured := callerListener{Listener: listener, limits: f.callerLimits}
	group.Go(func() error { return ignoreClosed(server.Serve(configured)) })
	return server, nil
}

// drain stops the host without cutting off requests: it leaves the directory, goes
// on serving until callers have learnt of it, and waits for requests in progress.
func (f *FrontEnd) drain(callers *http.Server) {
	began := time.Now()
	end := began.Add(f.settings.Drain.Limit - drainMargin)
	f.log.Info("draining", "active", f.gateway.ActiveRequests())
	f.members.SetState(gossip.Leaving)
	f.gateway.StartDrain(began.Add(certainAfter), end)
	f.announce()
	for time.Now().Before(end) {
		if time.Since(began) >= callersLeave && f.gateway.ActiveRequests() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		f.log.Info("requests were cut off by the end of the drain", "active", f.gateway.ActiveRequests())
		_ = callers.Close()
	}
}
