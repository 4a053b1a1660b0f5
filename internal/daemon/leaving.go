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

// leavingHosts follows the platform's list of leavingHosts hosts. Upstreams on such hosts
// get no new work, and a daemon on one drains. It is safe for concurrent use.
type leavingHosts struct {
	list storage.HostList

	mu        sync.Mutex
	addresses map[string]bool // IP, or IP and port, as the list gives them
}

// contains reports whether the list names the address, or its IP, as leaving.
func (l *leavingHosts) contains(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[address] {
		return true
	}
	ip, _, err := net.SplitHostPort(address)
	return err == nil && l.addresses[ip]
}

// refresh updates the set and reports whether it changed. The last set stays in use
// while the list cannot be refresh.
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

// watchHostList applies the host list until ctx ends.
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

// drainRequestedSince returns since when operators or the platform want this host to
// take no new work; zero means that nobody does.
func (d *Daemon) drainRequestedSince(now time.Time) time.Time {
	name := d.settings.Host.Name
	requested := d.follower.Configuration().HostsDraining[name] || d.leavingHosts.contains(d.settings.Listen.Peer)
	return d.drain.setRequested(now, requested)
}
