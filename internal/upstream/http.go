package upstream

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// URL returns the URL of a path at an upstream's address, which is IP:port or
// has a scheme.
func URL(address, path string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/") + path
	}
	return "http://" + address + path
}

// NewHTTPClient returns a client with bounded set-up time and bounded idle
// connections. It follows no redirect, because a redirected request could run
// on an upstream that the pool's owner did not choose.
func NewHTTPClient(dialTimeout time.Duration, idlePerHost int) *http.Client {
	const idleTimeout = 30 * time.Second
	const maxIdle = 1024
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConns:        maxIdle,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
