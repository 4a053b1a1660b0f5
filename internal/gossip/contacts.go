package gossip

import "sync"

const (
	// maxContactsPerRound bounds the contacts of a round. A site of 2,600 hosts of which half
	// are not known is contacted within 9 s.
	maxContactsPerRound = 32
	// contactTries is how often a host is contacted, since datagrams may be lost.
	contactTries = 3
)

// contact is a host that is to be sent to although it is not known.
type contact struct {
	host  Member
	tries int
}

// contacts are the hosts that a host tries to reach. It is safe for concurrent use.
type contacts struct {
	mu      sync.Mutex
	pending []contact
}

// add adds hosts that are not pending yet.
func (c *contacts) add(hosts []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := make(map[string]bool, len(c.pending))
	for _, p := range c.pending {
		pending[p.host.PeerAddress] = true
	}
	for _, h := range hosts {
		if !pending[h.PeerAddress] {
			c.pending = append(c.pending, contact{host: h})
		}
	}
}

// next returns the hosts to send to in this round.
func (c *contacts) next(known func(name string) bool) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Member
	for range len(c.pending) { // each at most once
		if len(out) == maxContactsPerRound {
			break
		}
		first := c.pending[0]
		c.pending = c.pending[1:]
		if known(first.host.Name) {
			continue
		}
		out = append(out, first.host)
		if first.tries++; first.tries < contactTries {
			c.pending = append(c.pending, first)
		}
	}
	return out
}
