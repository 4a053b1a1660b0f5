//go:build hostile

package hostile

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/tlsconf/tlstest"
)

const (
	bodyBytes   = 4 << 20
	headBytes   = 16 << 10
	bodyClients = 30
	headClients = 300
	// endlessClients send endlessBytes each, or until the process closes the connection.
	endlessClients, endlessBytes = 100, 4 << 20
	repeatClients, repeatRounds  = 16, 4
	chunkBytes                   = 1000
	// fieldBytes is the length of the fields that oddFields makes, "aaaa:1\r\n".
	fieldBytes = 8
)

var (
	bodyOnce = sync.OnceValue(func() []byte { return bytes.Repeat([]byte("x"), bodyBytes) })
	// chunkedBody is a body in chunks that lacks its last byte and its end.
	chunkedBody = sync.OnceValue(func() []byte {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
		whole := strings.Repeat(chunk, bodyBytes/chunkBytes)
		return []byte(whole[:len(whole)-3])
	})
)

// oddFields returns distinct header fields of a few bytes each, n bytes together.
func oddFields(n int) string {
	var b strings.Builder
	for i := range n / fieldBytes {
		b.WriteString(string([]byte{'a' + byte(i/17576%26), 'a' + byte(i/676%26), 'a' + byte(i/26%26), 'a' + byte(i%26)}) + ":1\r\n")
	}
	return b.String()
}

// crowd is a number of clients that do the same. After send returns they keep their
// connections open.
type crowd struct {
	clients int
	send    func(t target, conn net.Conn)
}

func write(conn net.Conn, parts ...[]byte) {
	buffers := net.Buffers(parts)
	_, _ = buffers.WriteTo(conn) // the process may close the connection
}

var crowds = map[string]crowd{
	"bodies with a length, one byte short": {bodyClients, func(t target, conn net.Conn) {
		write(conn, []byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.head, bodyBytes)), bodyOnce()[1:])
	}},
	"bodies in chunks, short of their end": {bodyClients, func(t target, conn net.Conn) {
		write(conn, []byte(t.head+"Transfer-Encoding: chunked\r\n\r\n"), chunkedBody())
	}},
	"whole bodies at once, again and again": {repeatClients, func(t target, conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for i := range repeatRounds {
			id := fmt.Sprintf("X-Attempt-Id: %s-%d\r\n", conn.LocalAddr(), i)
			write(conn, []byte(fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n", t.head, id, bodyBytes)), bodyOnce())
		}
	}},
	"legal heads of very many short odd lines": {headClients, func(t target, conn net.Conn) {
		const framing = "Content-Length: 10\r\n\r\n"
		fields := oddFields(headBytes - len(t.head) - len(framing) - 200)
		write(conn, []byte(t.head+fields+framing+"123456789"))
	}},
	"heads over the limit": {headClients, func(t target, conn net.Conn) {
		write(conn, []byte(t.head+oddFields(60<<10)))
	}},
	"endless heads": {endlessClients, func(t target, conn net.Conn) {
		write(conn, []byte(t.head), []byte(oddFields(endlessBytes)))
	}},
	"one endless line": {endlessClients, func(t target, conn net.Conn) {
		write(conn, []byte(t.head+"Odd: "), bodyOnce())
	}},
	"endless blank lines": {endlessClients, func(_ target, conn net.Conn) {
		write(conn, bytes.Repeat([]byte("\r\n"), endlessBytes/2))
	}},
}

// attack lets the crowd send, and checks the process while and after it does. The clients keep
// what the process leaves open until the test ends.
func (c crowd) attack(t *testing.T, target target) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var sent, clients sync.WaitGroup
	dialer := net.Dialer{Timeout: waitTimeout}
	for range cmp.Or(*clientCount, c.clients) {
		sent.Add(1)
		clients.Go(func() {
			conn, err := dialer.DialContext(ctx, "tcp", target.address)
			if err == nil {
				defer func() { _ = conn.Close() }()
				// A client that the process neither reads nor closes stays open as it is.
				_ = conn.SetWriteDeadline(time.Now().Add(waitTimeout / 4))
				c.send(target, conn)
			}
			sent.Done()
			<-ctx.Done()
		})
	}
	done := make(chan struct{})
	go func() { sent.Wait(); close(done) }()
	descriptors := 0
	answered := func() bool {
		descriptors = max(descriptors, target.descriptors())
		return target.ordinary()
	}
	for sending := true; sending; {
		select {
		case <-done:
			sending = false
		case <-time.After(10 * time.Millisecond):
		}
		descriptors = max(descriptors, target.descriptors())
	}
	require.True(t, target.lives(), "the process has ended")
	eventually(t, "an ordinary request is answered beside the crowd", answered)
	descriptors = max(descriptors, target.descriptors())
	stop()
	clients.Wait()
	eventually(t, "an ordinary request is answered after the crowd", target.ordinary)
	require.True(t, target.lives(), "the process has ended")
	memory := target.peakMemoryMB()
	t.Logf("peak memory %d MB, %d descriptors", memory, descriptors)
	assert.LessOrEqual(t, memory, *machineMemoryMB, "peak memory in MB")
	assert.LessOrEqual(t, descriptors, *machineDescriptors-spareDescriptors, "open descriptors")
}

func descriptorLimit() string { return fmt.Sprintf("%s=%d", descriptorsEnv, *machineDescriptors) }

// Guards against clients that end a front end by the memory it holds for them.
func TestFrontendOutlivesCrowd(t *testing.T) {
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			target, _ := startFrontend(t, descriptorLimit())
			c.attack(t, target)
		})
	}
}

// Guards against clients that end a daemon by the memory it holds for callers or operators.
func TestDaemonOutlivesCrowd(t *testing.T) {
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			caller, _ := startDaemon(t, descriptorLimit())
			c.attack(t, caller)
		})
		t.Run("operators: "+name, func(t *testing.T) {
			_, operator := startDaemon(t, descriptorLimit())
			c.attack(t, operator)
		})
	}
}

// silentCrowd opens connections, more than the process may have descriptors, and sends nothing.
func silentCrowd() crowd { return crowd{*machineDescriptors + 50, func(target, net.Conn) {}} }

// Guards against clients that use up the descriptors by connections on which nothing arrives.
func TestSilentConnectionsLeaveDescriptors(t *testing.T) {
	t.Run("callers", func(t *testing.T) {
		target, _ := startFrontend(t, descriptorLimit())
		silentCrowd().attack(t, target)
	})
	for _, name := range []string{"readiness", "directory", "metrics", "peer"} {
		t.Run(name, func(t *testing.T) {
			target, addresses := startFrontend(t, descriptorLimit())
			target.address = addresses[name]
			silentCrowd().attack(t, target)
		})
	}
	t.Run("daemon", func(t *testing.T) {
		target, _ := startDaemon(t, descriptorLimit())
		silentCrowd().attack(t, target)
	})
	t.Run("operators", func(t *testing.T) {
		_, target := startDaemon(t, descriptorLimit())
		silentCrowd().attack(t, target)
	})
}

// Guards against clients that end a front end by heads at the addresses beside the one for callers.
func TestHeadsAtOtherAddresses(t *testing.T) {
	for _, name := range []string{"readiness", "directory", "metrics"} {
		for _, crowdName := range []string{"legal heads of very many short odd lines", "heads over the limit", "endless heads"} {
			t.Run(name+": "+crowdName, func(t *testing.T) {
				target, addresses := startFrontend(t, descriptorLimit())
				target.address = addresses[name]
				crowds[crowdName].attack(t, target)
			})
		}
	}
}

// Guards against limits that a client inside the limits of the pages meets: a single body and a
// single head at the limit, also of short lines, and 20 requests at a time with bodies of 17 kB.
func TestRequestsWithinLimitsAreServedInCalm(t *testing.T) {
	target, _ := startFrontend(t, descriptorLimit())
	url := "http://" + target.address + "/unsafe/a"
	header := map[string]string{"Authorization": "Bearer " + accountKey}
	for i := range 3 {
		header["X-Attempt-Id"] = fmt.Sprint("body-", i)
		require.True(t, succeeds("POST", url, string(bodyOnce()), header), "a body of 4 MiB")
		conn, err := net.Dial("tcp", target.address)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
		head := target.head + fmt.Sprintf("X-Attempt-Id: head-%d\r\nContent-Length: 0\r\n", i)
		write(conn, []byte(head+oddFields(headBytes-len(head)-100)+"\r\n"))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, "a head of 16 KiB")
		_ = conn.Close()
		var calls sync.WaitGroup
		for j := range 20 {
			calls.Go(func() {
				ok := succeeds("POST", url, strings.Repeat("x", 17_000), map[string]string{
					"Authorization": "Bearer " + accountKey, "X-Attempt-Id": fmt.Sprintf("many-%d-%d", i, j),
				})
				assert.True(t, ok, "20 requests at a time")
			})
		}
		calls.Wait()
	}
}

// handshakeCrowd sends the start of a TLS handshake message of the longest length, and stays.
var handshakeCrowd = crowd{headClients, func(_ target, conn net.Conn) {
	const messageBytes, recordBytes = 64 << 10, 16 << 10
	message := append([]byte{1, 0, 0xff, 0xff}, make([]byte, messageBytes-100)...)
	for len(message) > 0 {
		n := min(len(message), recordBytes)
		write(conn, []byte{22, 3, 1, byte(n >> 8), byte(n)}, message[:n])
		message = message[n:]
	}
}}

// Guards against handshakes that hold memory or descriptors of a daemon.
func TestDaemonOutlivesHandshakes(t *testing.T) {
	start := func(t *testing.T) (caller, operator target) {
		cert, key := tlstest.WriteCertificate(t, t.TempDir(), 1)
		t.Setenv("RATTAN_CA", cert)
		return startDaemonWith(t, daemonExtras{settings: fmt.Sprintf("tls: {cert: %s, key: %s, ca: %s}\n", cert, key, cert)}, "https", descriptorLimit())
	}
	t.Run("callers", func(t *testing.T) {
		caller, _ := start(t)
		handshakeCrowd.attack(t, caller)
	})
	t.Run("operators", func(t *testing.T) {
		_, operator := start(t)
		handshakeCrowd.attack(t, operator)
	})
}
