package daemon

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/storage"
)

const (
	// hostListInterval is the time between reads of the platform's host list.
	hostListInterval = 2 * time.Second
	hostListTimeout  = 2 * time.Second
)

// leavingHosts holds the hosts that the platform lists as leaving. Upstreams on such
// hosts get no new requests, and a daemon on one drains. It is safe for concurrent use.
type leavingHosts struct {
	list storage.HostList

	mu        sync.Mutex
	addresses map[string]bool // IP or IP:port, as in the list
}

// contains reports whether the address (IP:port), or its IP, is listed as leaving.
func (l *leavingHosts) contains(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[address] {
		return true
	}
	ip, _, err := net.SplitHostPort(address)
	return err == nil && l.addresses[ip]
}

// refresh reads the list and reports whether the leaving hosts changed. If the list
// cannot be read, the previous ones stay in use.
func (l *leavingHosts) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := l.list.Hosts(ctx)
	if err != nil {
		return false
	}
	addresses := map[string]bool{}
	for _, h := range hosts {
		if h.Leaving {
			addresses[h.Address] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := !maps.Equal(addresses, l.addresses)
	l.addresses = addresses
	return changed
}

// watchHostList reads the host list every hostListInterval until ctx ends and passes
// changes to the owner.
func (d *Daemon) watchHostList(ctx context.Context) {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		if d.leavingHosts.refresh(ctx) {
			d.events.Record("host-list-changed", "")
			d.permitOwner.SetLeaving(d.leavingHosts.contains)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// drainRequestedSince returns since when operators or the platform have requested that
// this host drains, or zero if none is requested.
func (d *Daemon) drainRequestedSince(now time.Time) time.Time {
	name := d.settings.Host.Name
	requested := d.follower.Configuration().HostsDraining[name] || d.leavingHosts.contains(d.settings.Listen.Peer)
	return d.drain.setRequested(now, requested)
}
