package upstream

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"

	"github.com/rattanscale/rattanscale/internal/hop"
	"github.com/rattanscale/rattanscale/internal/responsehead"
)

// HeaderExchange identifies one exchange. Upstreams echo it in each response, also in refusals.
const HeaderExchange = "X-Exchange-Id"

var errForeignResponse = errors.New("upstream sent a response that does not belong to this request; the attempt counts as failed")

// Transport is an HTTP transport that counts a response only if it belongs to its request. An
// upstream may send a second response late, and over a kept connection it would be taken for the
// response to the next request. Connections are kept only to upstreams that echo HeaderExchange.
// It is safe for concurrent use.
type Transport struct {
	*responsehead.Transport
	mu sync.Mutex
	// echoing holds the addresses whose latest response had the identifier of its exchange.
	echoing map[string]bool
}

// maxEchoing bounds the addresses that are remembered; connections to others are not kept.
const maxEchoing = 1 << 16

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	reused := false
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
	})
	request, id := r.Clone(ctx), strconv.FormatUint(rand.Uint64(), 16)
	request.Header.Set(HeaderExchange, id)
	request.Close = request.Close || !t.echoes(r.URL.Host)
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	echo := response.Header.Get(HeaderExchange)
	t.recordEcho(r.URL.Host, echo == id)
	if hop.ContainsHead(response) || echo != id && (echo != "" || reused) {
		_ = response.Body.Close()
		return nil, errForeignResponse
	}
	return response, nil
}

func (t *Transport) echoes(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.echoing[address]
}

func (t *Transport) recordEcho(address string, echoes bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !echoes {
		delete(t.echoing, address)
	} else if len(t.echoing) < maxEchoing {
		t.echoing[address] = true
	}
}
