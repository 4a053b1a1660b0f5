package peer

import (
	"net"
	"slices"
	"sync"
)

// maxPendingHandshakes bounds the accepted connections whose other end has not proved that it
// holds the key. Hosts of a site may all connect at once.
const maxPendingHandshakes = 128

// pendingHandshakes holds the connections in their handshake, the oldest first. It answers ends
// that connect and send nothing. It is safe for concurrent use.
type pendingHandshakes struct {
	mu    sync.Mutex
	conns []net.Conn
	// removed is signalled when a connection is removed.
	removed sync.Cond
}

// add adds a connection. If there are too many it closes the oldest one and waits until its
// handshake has ended, as it holds its descriptor until then.
func (p *pendingHandshakes) add(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed.L = &p.mu
	for len(p.conns) >= maxPendingHandshakes {
		_ = p.conns[0].Close()
		p.removed.Wait()
	}
	p.conns = append(p.conns, conn)
}

func (p *pendingHandshakes) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.conns, conn); i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
		p.removed.Broadcast()
	}
}
