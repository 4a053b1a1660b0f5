package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/hop"
)

// idleConnectionFraction is the fraction of an upstream's connections that all hosts
// together may keep idle; the rest is for requests in progress.
const idleConnectionFraction = 0.5

// responsePieceBytes is what a caller must read within callerWriteTimeout, so that one that does
// not read holds no response for longer.
const responsePieceBytes = 64 << 10

const (
	// maxBufferedResponseBytes limits the responses that are buffered completely before they
	// are forwarded. Buffering allows an idempotent request to run again if its response is
	// truncated.
	maxBufferedResponseBytes = 1 << 20
	// sharedBufferBytes bounds what the responses of all requests hold beyond a first part of each.
	sharedBufferBytes = 4 << 20
)

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// exchangeResult is the result of one send.
type exchangeResult int

const (
	// responseReceived means that the upstream sent a usable response.
	responseReceived exchangeResult = iota
	// notRun means that the upstream certainly did not run the request.
	notRun
	// mayHaveRun means that the upstream may have run the request but there is no usable
	// response.
	mayHaveRun
	// runOver means that the upstream has run the request and works on it no more, or cannot be
	// reached, and that there is no usable response.
	runOver
)

var (
	errUnsignedResponse = errors.New("upstream answered without a signature; the answer is not passed on")
	errUpstreamFailed   = errors.New("upstream failed")
	errNoUpstream       = errors.New("no upstream is available")
	errLimited          = errors.New("upstreams limit their requests, this host's share is used up, and no other upstream has room")
	errTargetLeft       = errors.New("the upstream began to leave, or to refuse requests for a time, before the request was sent")
)

// servePlain forwards a request that is not a stream.
func (c *call) servePlain() {
	c.g.retryLimiter.RecordRequest(c.service.Name, c.startedAt)
	var last *bufferedResponse
	err := c.tryUpstreams(func(u *catalog.Upstream) (bool, error) {
		a, result, err := c.sendPlain(u)
		if result != responseReceived {
			return c.mayResend(), err
		}
		last = a
		return a.status >= http.StatusInternalServerError && c.mayRunAgain(), errUpstreamFailed
	})
	if last != nil && c.r.Context().Err() == nil {
		c.writeResponse(last)
		return
	}
	c.failWithoutResponse(err.Error())
}

// tryUpstreams sends the request to one upstream after another until send reports that
// no other is needed or none is available. It returns the last error.
func (c *call) tryUpstreams(send func(u *catalog.Upstream) (resend bool, err error)) error {
	err := errNoUpstream
	for resend := true; resend; {
		now := time.Now()
		if c.ctx.Err() != nil || !c.maySend(now) {
			break
		}
		if c.sends > 0 && c.attempts == 0 && c.mayBeCut(now) {
			break // another host can still run it
		}
		if c.hasCrashingPart() {
			return errCrashingPart
		}
		u := c.chooseUpstream(now)
		if u == nil {
			if limited, _, _ := c.g.limitsOf(c.g.Catalog(), c.service.Name, now); limited > 0 && c.sends == 0 {
				return errLimited
			}
			break
		}
		c.triedUpstreams = append(c.triedUpstreams, u.ID)
		resend, err = send(u)
	}
	return err
}

// mayResend reports whether the request may be sent to another upstream. A request that
// is not idempotent is sent again only if no upstream may have run it.
func (c *call) mayResend() bool { return c.attempts == 0 || c.mayRunAgain() }

// mayRunAgain reports whether another upstream may run the request.
func (c *call) mayRunAgain() bool {
	return c.route.Idempotent() && c.attempts < max(c.route.MaxAttempts, 1)
}

// sendPlain forwards the request to an upstream and reads the complete response.
func (c *call) sendPlain(u *catalog.Upstream) (*bufferedResponse, exchangeResult, error) {
	load := balance.Load{Requests: 1}
	c.g.LoadTracker.AddLoad(u.ID, load)
	defer c.g.LoadTracker.RemoveLoad(u.ID, load)
	response, result, err := c.dispatch(u, Dispatch{})
	if err != nil || result != responseReceived {
		return nil, result, err
	}
	defer response.Close()
	body, release, err := c.g.bodies.Read(response)
	c.releaseBodies = append(c.releaseBodies, release)
	if err != nil {
		c.recordLostRun(u, err)
		return nil, mayHaveRun, err
	}
	c.run.recordEnd(response.Status >= http.StatusInternalServerError, time.Now())
	if response.Status < http.StatusInternalServerError {
		c.g.LoadTracker.RecordSuccess(u.ID)
		c.g.suspects.Clear(c.fingerprint)
	} else {
		c.g.LoadTracker.RecordFailure(u.ID, time.Now())
	}
	return &bufferedResponse{response.Status, response.Header, body}, responseReceived, nil
}

// dispatch sends the request and reads the status and headers of the response. On success
// the caller must close the response.
func (c *call) dispatch(u *catalog.Upstream, d Dispatch) (*hop.Response, exchangeResult, error) {
	now := time.Now()
	d.Upstream, d.Account, d.Priority, d.Remaining = u, c.account, c.priority, c.remaining(now)
	c.sends++
	c.startRun(u, d)
	c.logEntry.upstream = u.ID
	if c.service.Engine != nil {
		c.g.Metrics.RecordDispatch(u.DataCentre == c.g.DataCentre)
	}
	response, err := c.g.Pool.Do(c.ctx, u.Address, &hop.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Body: c.body, ID: c.info.ID,
		Header: c.g.Protocol.Forward(c.r.Header, d), MaxIdle: maxIdleConnections(c.service.MaxConnections, c.g.HostCount()),
		BeforeSend: func() error { return c.checkTarget(u, d) },
	})
	if err != nil {
		return nil, c.recordExchangeFailure(u, err), err
	}
	info := c.g.Protocol.Response(response.Status, response.Header)
	c.g.recordStatements(u, info, now)
	if info.NotRun {
		response.Drain()
		c.g.LoadTracker.RecordFailure(u.ID, now)
		return nil, notRun, errors.New("upstream refused the request")
	}
	c.attempts++
	if !info.Signed {
		response.Close()
		c.g.LoadTracker.RecordFailure(u.ID, now)
		return nil, mayHaveRun, errUnsignedResponse
	}
	return response, responseReceived, nil
}

// maxIdleConnections is the number of idle connections that this host may keep to an
// upstream; 0 is unlimited.
func maxIdleConnections(connections, hosts int) int {
	if connections <= 0 {
		return 0
	}
	return max(int(idleConnectionFraction*float64(connections))/max(hosts, 1), 1)
}

// checkTarget is called right before the request is sent, since time has passed since the
// upstream was chosen: the connection had to be opened, or the process was paused. A run
// that continues from a copy is tied to its engine, which may be leaving.
func (c *call) checkTarget(u *catalog.Upstream, d Dispatch) error {
	if d.CopyName != "" {
		return nil
	}
	if c.hasCrashingPart() {
		return errCrashingPart
	}
	current := c.g.Catalog()
	if latest := current.Upstreams[u.ID]; latest == nil || !c.g.mayReceive(current, latest, time.Now()) {
		return errTargetLeft
	}
	return nil
}

// recordExchangeFailure records a failed exchange and reports whether the upstream may
// have run the request.
func (c *call) recordExchangeFailure(u *catalog.Upstream, err error) exchangeResult {
	var hopError *hop.Error
	if errors.As(err, &hopError) && hopError.Progress == hop.NotSent {
		c.undeliveredSends++
		if c.ctx.Err() == nil && !errors.Is(err, errTargetLeft) && !errors.Is(err, errCrashingPart) {
			c.g.LoadTracker.RecordFailure(u.ID, time.Now())
			c.g.Pool.CloseIdle(u.Address)
		}
		return notRun
	}
	c.attempts++
	c.recordLostRun(u, err)
	return mayHaveRun
}

// recordLostRun records that an upstream failed while it may have been running the
// request, unless the caller left or the time of the request was over.
func (c *call) recordLostRun(u *catalog.Upstream, cause error) {
	now := time.Now()
	if c.ctx.Err() != nil {
		c.run.recordAbandoned(now)
		return
	}
	c.run.recordEnd(true, now)
	c.g.LoadTracker.RecordFailure(u.ID, now)
	if current := c.g.Catalog().Upstreams[u.ID]; current != nil && !current.Draining {
		c.g.suspects.RecordLoss(c.fingerprint, now)
		c.recordCrash(u, cause, now)
		c.g.ScheduleReport() // the caller may retry at any host
	}
}

// writeResponse writes an upstream's response to the caller without changes.
func (c *call) writeResponse(a *bufferedResponse) {
	copyHeader(c.w.Header(), a.header)
	c.w.WriteHeader(a.status)
	c.logEntry.status, c.logEntry.outcome = a.status, "answered"
	controller := http.NewResponseController(c.w)
	for body := a.body; len(body) > 0; {
		piece := body[:min(len(body), responsePieceBytes)]
		body = body[len(piece):]
		// Without a deadline, which some writers lack, the caller's connection ends the write.
		_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if _, err := c.w.Write(piece); err != nil {
			c.logEntry.outcome, c.logEntry.reason = "caller gone", err.Error()
			return
		}
	}
}

// copyHeader copies the headers of an upstream's response, except hop-by-hop headers. A
// Connection header that is already set is kept.
func copyHeader(to, from http.Header) {
	connection := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	StripHopByHopHeaders(to)
	if connection != "" {
		to.Set("Connection", connection)
	}
}
