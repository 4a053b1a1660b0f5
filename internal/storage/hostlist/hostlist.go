// Package hostlist implements storage.HostList over HTTP. GET /hosts returns the list as
// a JSON array.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/storage"
)

const (
	dialTimeout  = 300 * time.Millisecond
	callTimeout  = time.Second
	maxListBytes = 8 << 20
)

// List implements storage.HostList. It is safe for concurrent use. Close
// releases its idle connections.
type List struct {
	url  string
	http *http.Client
}

var _ storage.HostList = (*List)(nil)

// New returns the list that is served at /hosts below the base URL.
func New(baseURL string) *List {
	return &List{url: strings.TrimSuffix(baseURL, "/") + "/hosts", http: storage.NewHTTPClient(dialTimeout)}
}

func (l *List) Close() { l.http.CloseIdleConnections() }

// Hosts returns the list, which may be out of date. Every error wraps
// storage.ErrUnavailable.
func (l *List) Hosts(ctx context.Context) ([]storage.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := l.fetch(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return hosts, nil
}

func (l *List) fetch(ctx context.Context) ([]storage.ListedHost, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, err
	}
	response, err := l.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("host list service returned HTTP status %d", response.StatusCode)
	}
	var hosts []storage.ListedHost
	err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&hosts)
	return hosts, err
}
