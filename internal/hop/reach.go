package hop

import (
	"context"
	"time"
)

const (
	// reachTimeout is the time after which an upstream without a new connection counts as
	// unreachable.
	reachTimeout = dialTimeout
	// secondDialDelay is the time after which a second connection is opened: the first packet of
	// one may be lost, and is sent again only after a second.
	secondDialDelay = 250 * time.Millisecond
)

// Reach opens a connection to an address and keeps it for later requests. An error means that the
// upstream cannot be reached. Open connections do not show that: they may have become silent.
func (p *Pool) Reach(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	results := make(chan error, 2)
	dial := func() {
		c, err := p.dial(ctx, address)
		if err == nil {
			p.putIdle(c, time.Now(), defaultMaxIdle)
		}
		results <- err
	}
	go dial()
	timer := time.NewTimer(secondDialDelay)
	defer timer.Stop()
	select {
	case err := <-results:
		return err
	case <-timer.C:
	}
	go dial()
	if err := <-results; err == nil {
		return nil
	}
	return <-results
}
