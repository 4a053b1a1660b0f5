//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func get(url string) (int, string) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// caller is a client that sends one request at a time over a kept connection.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// reply is what a client got; err is set if the answer was not complete.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error
	closing bool
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer.
func (c *caller) send(method, path, id, body string, deadline time.Duration, extra ...string) reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return reply{err: fmt.Errorf("no connection: %w", err)}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, routeHost, id, deadline.Milliseconds(), apiKey)
	for _, line := range extra {
		b.WriteString(line + "\r\n")
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	var out reply
	if _, out.err = io.WriteString(c.conn, b.String()); out.err == nil {
		var response *http.Response
		if response, out.err = http.ReadResponse(c.reader, &http.Request{Method: method}); out.err == nil {
			var data []byte
			data, out.err = io.ReadAll(response.Body)
			out.status, out.header, out.body, out.closing = response.StatusCode, response.Header, string(data), response.Close
		}
	}
	if out.err != nil || out.closing {
		c.close()
	}
	return out
}
