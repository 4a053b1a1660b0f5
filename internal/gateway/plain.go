package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/hop"
)

// maxWholeAnswer bounds the answers of plain requests that are held whole before
// they are passed on. Holding them lets an idempotent request run again when its
// answer breaks off.
const maxWholeAnswer = 1 << 20

// idlePart is the part of the connections that an upstream accepts which all hosts
// together may keep idle; the rest is for requests in progress.
const idlePart = 0.5

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// exchangeResult tells how one send ended.
type exchangeResult int

const (
	// answered: the upstream's whole answer is at hand.
	answered exchangeResult = iota
	// notRun: the upstream certainly did not run the request.
	notRun
	// unknown: the upstream may have run the request; there is no usable answer.
	unknown
)

var (
	errForeign    = errors.New("upstream answered without a signature; the answer is not passed on")
	errFailed     = errors.New("upstream failed")
	errNoUpstream = errors.New("no upstream is available")
)

// servePlain forwards a request whose answer is one body.
func (c *call) servePlain() {
	c.g.retries.RecordRequest(c.service.Name, c.began)
	var last *answer
	err := c.tryUpstreams(func(u *catalog.Upstream) (bool, error) {
		a, result, err := c.send(u)
		if result != answered {
			return c.mayTryAgain(), err
		}
		last = a
		return a.status >= http.StatusInternalServerError && c.mayRunAgain(), errFailed
	})
	if last != nil && c.r.Context().Err() == nil {
		c.passOn(last)
		return
	}
	c.failWithout(err.Error())
}

// tryUpstreams sends the request to one upstream after the other while send asks for
// another. It returns why the last one did not do.
func (c *call) tryUpstreams(send func(u *catalog.Upstream) (again bool, err error)) error {
	err := errNoUpstream
	for again := true; again; {
		now := time.Now()
		if c.ctx.Err() != nil || !c.maySend(now) {
			break
		}
		u := c.choose(now)
		if u == nil {
			break
		}
		c.tried = append(c.tried, u.ID)
		again, err = send(u)
	}
	return err
}

// mayTryAgain reports whether the request may be sent to one more upstream. One
// that is not idempotent is sent again only while no upstream may have run it.
func (c *call) mayTryAgain() bool { return c.attempts == 0 || c.mayRunAgain() }

// mayRunAgain reports whether the request may run on one more upstream.
func (c *call) mayRunAgain() bool {
	return c.route.Idempotent() && c.attempts < max(c.route.MaxAttempts, 1)
}

// send forwards the request to an upstream and reads the whole answer.
func (c *call) send(u *catalog.Upstream) (*answer, exchangeResult, error) {
	began := time.Now()
	work := balance.Load{Requests: 1}
	c.g.Loads.AddLoad(u.ID, work)
	defer c.g.Loads.RemoveLoad(u.ID, work)
	response, result, err := c.dispatch(u, Dispatch{})
	if err != nil || result != answered {
		return nil, result, err
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxWholeAnswer+1))
	if err == nil && len(body) > maxWholeAnswer {
		err = errors.New("the answer is longer than the limit")
	}
	if err != nil {
		c.lost(u)
		return nil, unknown, err
	}
	c.report(u, response.Status >= http.StatusInternalServerError, time.Since(began), 0)
	if response.Status < http.StatusInternalServerError {
		c.g.Loads.RecordSuccess(u.ID)
		c.g.suspects.Cleared(c.fingerprint)
	} else {
		c.g.Loads.RecordFailure(u.ID, time.Now())
	}
	return &answer{response.Status, response.Header, body}, answered, nil
}

// dispatch sends the request and reads the head of the answer. On success the
// caller closes the response.
func (c *call) dispatch(u *catalog.Upstream, d Dispatch) (*hop.Response, exchangeResult, error) {
	now := time.Now()
	d.Upstream, d.Account, d.Remaining, d.Urgency = u, c.account, c.remaining(now), c.urgency
	c.sends++
	c.entry.upstream = u.ID
	response, err := c.g.Pool.Do(c.ctx, u.Address, &hop.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Body: c.body,
		Header: c.g.Protocol.Forward(c.r.Header, d), MaxIdle: idleShare(c.service.MaxConnections, c.g.Hosts()),
		AcceptResponse: func(h http.Header) bool {
			id := c.g.Protocol.Response(0, h).ID
			return id == "" || id == c.info.ID
		},
	})
	if err != nil {
		return nil, c.exchangeFailed(u, err), err
	}
	info := c.g.Protocol.Response(response.Status, response.Header)
	if info.NotRun {
		response.Drain()
		c.g.Loads.RecordFailure(u.ID, now)
		return nil, notRun, errors.New("upstream refused the request")
	}
	c.attempts++
	if !info.Signed {
		response.Close()
		c.g.Loads.RecordFailure(u.ID, now)
		return nil, unknown, errForeign
	}
	return response, answered, nil
}

// idleShare is this host's part of the connections that an upstream accepts from all
// hosts and that may be kept idle; 0 without a bound.
func idleShare(connections, hosts int) int {
	if connections <= 0 {
		return 0
	}
	return max(int(idlePart*float64(connections))/max(hosts, 1), 1)
}

func (c *call) exchangeFailed(u *catalog.Upstream, err error) exchangeResult {
	var exchange *hop.Error
	if errors.As(err, &exchange) && exchange.Progress == hop.NotSent {
		c.unsent++
		if c.ctx.Err() == nil {
			c.g.Loads.RecordFailure(u.ID, time.Now())
			c.g.Pool.CloseIdle(u.Address)
		}
		return notRun
	}
	c.attempts++
	if c.ctx.Err() == nil {
		c.lost(u)
	}
	return unknown
}

// lost records a run that broke off.
func (c *call) lost(u *catalog.Upstream) {
	now := time.Now()
	c.report(u, true, 0, 0)
	c.g.Loads.RecordFailure(u.ID, now)
	if current := c.g.Catalog().Upstreams[u.ID]; current != nil && !current.Draining {
		c.g.suspects.Lost(c.fingerprint, now)
		c.g.Spread() // the request may come again at any host
	}
}

// report tells the outcome of a run for the comparison of versions.
func (c *call) report(u *catalog.Upstream, failed bool, first, meanStep time.Duration) {
	c.g.Outcome(Outcome{
		Service: c.service.Name, Version: u.Version, Route: c.route.Name, Failed: failed, First: first, MeanStep: meanStep,
	})
}

// passOn writes an upstream's answer unchanged.
func (c *call) passOn(a *answer) {
	copyHeader(c.w.Header(), a.header)
	c.w.WriteHeader(a.status)
	c.entry.status, c.entry.outcome = a.status, "answered"
	if _, err := c.w.Write(a.body); err != nil {
		c.entry.outcome, c.entry.reason = "caller gone", err.Error()
	}
}

func copyHeader(to, from http.Header) {
	closes := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	StripHopHeaders(to)
	if closes != "" {
		to.Set("Connection", closes)
	}
}
