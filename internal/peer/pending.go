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
}

// add adds a connection and closes the oldest one if there are too many.
func (p *pendingHandshakes) add(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= maxPendingHandshakes {
		_ = p.conns[0].Close()
		p.conns = slices.Delete(p.conns, 0, 1)
	}
	p.conns = append(p.conns, conn)
}

func (p *pendingHandshakes) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.conns, conn); i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
}
