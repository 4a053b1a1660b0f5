package gateway

import (
	"sync"
	"time"
)

const (
	// maxRequestLosses is the number of broken runs, over all hosts, after which a
	// request is refused. One loss can be the engine's own, and two can coincide.
	maxRequestLosses = 3
	// lossRetention is how long losses are remembered; a request that comes again
	// after that is tried anew.
	lossRetention = time.Minute
)

// Suspects counts the runs of equal requests that ended with a broken connection
// and were not followed by an answer. Hosts tell each other their counts, since a
// request that crashes engines comes again at any host. It answers callers that
// send such a request again and again. It is safe for concurrent use.
type Suspects struct {
	mu         sync.Mutex
	ownLosses  map[uint64]*lossRecord
	peerLosses map[string]map[uint64]int
}

type lossRecord struct {
	losses   int
	lastLoss time.Time
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	return &Suspects{ownLosses: make(map[uint64]*lossRecord), peerLosses: make(map[string]map[uint64]int)}
}

// RecordLoss counts a run that broke off.
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

// Clear forgets the losses of a request that was answered.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ownLosses, fingerprint)
}

// IsRefused reports whether the request must not run.
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

// OwnCounts returns this host's counts, for the other hosts.
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
	if len(counts) == 0 {
		delete(s.peerLosses, host)
		return
	}
	s.peerLosses[host] = counts
}

// Evict drops old entries and the counts of hosts that are gone.
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
