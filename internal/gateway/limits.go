package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/upstreamlimit"
)

func limitedUpstream(u *catalog.Upstream) upstreamlimit.Upstream {
	return upstreamlimit.Upstream{ID: u.ID, Incarnation: u.Incarnation}
}

// Limits returns the request limits that upstreams have stated.
func (g *Gateway) Limits() *upstreamlimit.Table { return g.limits }

// recordLimit records the request limit that an upstream states in a response, or that it states
// none, and tells the other hosts of a change at once.
func (g *Gateway) recordLimit(u *catalog.Upstream, info ResponseInfo, sentAt, now time.Time) {
	if info.InvalidLimit != "" && g.backOffs.shouldLogInvalid(u, now) {
		g.Log.Info("request limit of an upstream ignored: the value is invalid", "upstream", u.ID, "value", info.InvalidLimit)
	}
	if info.RequestLimit == nil || !g.limits.Record(limitedUpstream(u), *info.RequestLimit, sentAt, now) {
		return
	}
	if *info.RequestLimit >= 0 {
		g.Log.Info("upstream limits its requests", "upstream", u.ID, "per-second", *info.RequestLimit)
		g.Metrics.RecordStatement("limit")
	} else {
		g.Log.Info("upstream no longer limits its requests", "upstream", u.ID)
		g.Metrics.RecordStatement("limit lifted")
	}
	g.AnnounceNotices()
}

// MergeLimits adds what upstreams said to another host. Statements of upstreams that this host does
// not know are dropped, so that datagrams can not fill the table; they are repeated.
func (g *Gateway) MergeLimits(reported []upstreamlimit.Statement, now time.Time) {
	upstreams := g.Catalog().Upstreams
	known := lo.Filter(reported, func(s upstreamlimit.Statement, _ int) bool {
		u := upstreams[s.Upstream]
		return u != nil && u.Incarnation == s.Incarnation
	})
	g.limits.Merge(known, now)
}

// takeFromLimit reports whether this host may send a request to an upstream now, and takes it
// from the host's share if the upstream limits its requests.
func (g *Gateway) takeFromLimit(u *catalog.Upstream, now time.Time) bool {
	return g.limits.Take(limitedUpstream(u), g.LimitSharers, now)
}

// limitsOf returns how many upstreams of a service that may receive requests limit them, how many
// do not, and the sum of the limits in requests per second.
func (g *Gateway) limitsOf(cat *catalog.Catalog, service string, now time.Time) (limited, unlimited int, total float64) {
	for _, u := range cat.UpstreamsOfService(service) {
		if !g.mayReceive(cat, u, now) {
			continue
		}
		if perSecond, ok := g.limits.Limit(limitedUpstream(u), now); ok {
			limited, total = limited+1, total+perSecond
		} else {
			unlimited++
		}
	}
	return limited, unlimited, total
}

// retryAfterLimits returns when a caller that was refused because all upstreams of the service
// limit their requests should return: after the time in which all hosts together get one more
// request, and up to as much again, so that callers do not all return at once. It returns false
// if an upstream takes requests without a limit, or none is in use.
func (g *Gateway) retryAfterLimits(cat *catalog.Catalog, service string, now time.Time) (time.Duration, bool) {
	limited, unlimited, total := g.limitsOf(cat, service, now)
	if limited == 0 || unlimited > 0 {
		return 0, false
	}
	wait := min(time.Duration(float64(time.Second)/total), maxRetryAfter)
	return wait + time.Duration(rand.Float64()*float64(wait)), true
}
