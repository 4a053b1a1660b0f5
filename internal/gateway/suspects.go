package gateway

import (
	"errors"
	"maps"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/promptparts"
	"github.com/rattanscale/rattanscale/internal/retry"
)

const (
	// maxRequestLosses is the number of failed runs on all hosts after which a request
	// is refused. A single failure can be the engine's own, and two can coincide.
	maxRequestLosses = 3
	// lossRetention is how long failed runs are counted after the last one. A request
	// that comes again later is run.
	lossRetention = time.Minute
)

// Suspects counts the runs of equal requests that ended with a broken connection and
// were not followed by a response. It protects engines from callers that repeat a request
// that crashes them. Hosts exchange their counts, since such a request may come again at
// any host. It is safe for concurrent use.
type Suspects struct {
	mu         sync.Mutex
	ownLosses  map[uint64]*lossRecord
	peerLosses map[string]map[uint64]int
}

type lossRecord struct {
	losses   int
	lastLoss time.Time
}

func NewSuspects() *Suspects {
	return &Suspects{ownLosses: make(map[uint64]*lossRecord), peerLosses: make(map[string]map[uint64]int)}
}

// RecordLoss counts a failed run of a request.
func (s *Suspects) RecordLoss(fingerprint uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.ownLosses[fingerprint]
	if entry == nil {
		entry = &lossRecord{}
		s.ownLosses[fingerprint] = entry
	}
	entry.losses++
	entry.lastLoss = now
}

// Clear deletes the failed runs of a request that later received a response.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ownLosses, fingerprint)
}

// IsRefused reports whether the request has failed too often to be run again.
func (s *Suspects) IsRefused(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	losses := 0
	if entry := s.ownLosses[fingerprint]; entry != nil && now.Sub(entry.lastLoss) < lossRetention {
		losses = entry.losses
	}
	for _, counts := range s.peerLosses {
		losses += counts[fingerprint]
	}
	return losses >= maxRequestLosses
}

// OwnCounts returns this host's counts by fingerprint, for the other hosts.
func (s *Suspects) OwnCounts() map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ownLosses) == 0 {
		return nil
	}
	out := make(map[uint64]int, len(s.ownLosses))
	for fingerprint, entry := range s.ownLosses {
		out[fingerprint] = entry.losses
	}
	return out
}

// SetPeerCounts replaces the counts of another host.
func (s *Suspects) SetPeerCounts(host string, counts map[uint64]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setPeerCountsLocked(host, counts)
}

func (s *Suspects) setPeerCountsLocked(host string, counts map[uint64]int) {
	if len(counts) == 0 {
		delete(s.peerLosses, host)
		return
	}
	s.peerLosses[host] = counts
}

// SetPeerCountsWithin replaces the counts of another host for the fingerprints that covered selects.
func (s *Suspects) SetPeerCountsWithin(host string, counts map[uint64]int, covered func(fingerprint uint64) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	merged := maps.Clone(counts)
	if merged == nil {
		merged = make(map[uint64]int)
	}
	for fingerprint, losses := range s.peerLosses[host] {
		if !covered(fingerprint) {
			merged[fingerprint] = losses
		}
	}
	s.setPeerCountsLocked(host, merged)
}

// Evict deletes expired entries and the counts of hosts that are no longer live.
func (s *Suspects) Evict(now time.Time, isLive func(host string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fingerprint, entry := range s.ownLosses {
		if now.Sub(entry.lastLoss) >= lossRetention {
			delete(s.ownLosses, fingerprint)
		}
	}
	for host := range s.peerLosses {
		if !isLive(host) {
			delete(s.peerLosses, host)
		}
	}
}

// beginningEvents is the number of events up to which an engine has only begun to answer.
const beginningEvents = 1

var errCrashingPart = errors.New("engines have crashed on a part of the prompt")

// hasCrashingPart reports whether engines crash on a part of the request's prompt.
func (c *call) hasCrashingPart() bool {
	_, refused := c.g.promptParts.Refused(c.info.SharedParts, time.Now())
	return refused
}

// recordCrash records that the upstream was lost before it had answered the request. A
// request that is answered already has not caused it, and an upstream that is only silent
// has not crashed.
func (c *call) recordCrash(u *catalog.Upstream, cause error, now time.Time) {
	var netError net.Error
	if len(c.info.SharedParts) == 0 || c.run.events > beginningEvents || errors.As(cause, &netError) && netError.Timeout() {
		return
	}
	engine := promptparts.Engine(retry.Hash(u.ID + "/" + strconv.FormatInt(u.Incarnation, 10)))
	if c.g.promptParts.RecordCrash(c.info.SharedParts, engine, now) {
		c.g.Log.Info("engine lost before it answered", "request", c.info.ID, "upstream", u.ID, "parts", len(c.info.SharedParts), "error", cause.Error())
	}
}

// recordAnswer records that an engine answers the request.
func (c *call) recordAnswer(now time.Time) { c.g.promptParts.RecordAnswer(c.info.SharedParts, now) }
