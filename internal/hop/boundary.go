package hop

import (
	"errors"
	"net"
	"net/http"
	"regexp"
	"strings"

	"golang.org/x/sys/unix"
)

// atBoundary reports whether the connection is open and holds no byte that was not read yet. It
// is called right before a request is sent: bytes that have arrived by then belong to no request.
//
// It asks the kernel. A read whose deadline has passed returns before it looks at the socket, so
// it shows neither bytes nor the end of the connection.
func (c *conn) atBoundary() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		for {
			// Without an error there is a byte, or the upstream has closed the connection.
			if _, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); !errors.Is(peekErr, unix.EINTR) {
				return
			}
		}
	})
	return err == nil && (errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EWOULDBLOCK))
}

// statusLine matches the beginning of a response head.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

// ContainsHead reports whether another response head begins inside the head of a response. An
// upstream may have sent the start of a second answer to an earlier request while this request
// was on its way; the lines of the response to this one then follow in the middle of a field.
func ContainsHead(r *http.Response) bool {
	if isHead(r.Status) {
		return true
	}
	for _, values := range r.Header {
		for _, value := range values {
			if isHead(value) {
				return true
			}
		}
	}
	return false
}

func isHead(text string) bool { return strings.Contains(text, "HTTP/") && statusLine.MatchString(text) }
