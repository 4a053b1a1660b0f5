package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// Client calls other daemons. It keeps one connection to each and reconnects with
// exponential backoff and jitter. It is safe for concurrent use. Its owner must
// call Close.
type Client struct {
	endpoint *endpoint
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	dials  map[string]*dialState
	closed bool
	wg     sync.WaitGroup
}

// dialState tracks the dials of one address.
type dialState struct {
	dialDone   chan struct{} // closed when the current dial ends; nil while no dial runs
	notBefore  time.Time     // earliest time of the next dial
	retryDelay *backoff.ExponentialBackOff
	lastErr    error
}

func newClient(e *endpoint) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{endpoint: e, ctx: ctx, cancel: cancel, dials: map[string]*dialState{}}
}

// Call calls a method and decodes its result into result, which may be nil. A
// failure that the other daemon reports is returned as *failure.Error. Otherwise
// the error is ErrUnreachable or ErrClosed if the call was not sent, and ErrNoResponse
// if it may have run. Options.CallTimeout applies if ctx has no deadline.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.endpoint.options.CallTimeout)
		defer cancel()
	}
	if address == c.endpoint.options.Address {
		return c.callSelf(ctx, method, params, result)
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	conn.activeCalls.Add(1)
	defer conn.activeCalls.Add(-1)
	started := time.Now()
	waiter, err := conn.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return unsentError(address, err)
	}
	probe := time.AfterFunc(probeDelay, conn.probe)
	defer probe.Stop()
	err = waiter.Wait(ctx, result)
	switch rpcErr := asRPCError(err); {
	case err == nil:
		return nil
	case rpcErr != nil:
		return decodeError(rpcErr)
	case ctx.Err() != nil && conn.stream.lastReceived().Before(started):
		go conn.probe() // the call may have been too short for a probe of its own
	case ctx.Err() == nil && !errors.Is(err, jsonrpc2.ErrClosed):
		return failure.New(failure.Internal, "decode the response of %s to method %s: %v", address, method, err)
	}
	return fmt.Errorf("%w: %s to %s: %w", ErrNoResponse, method, address, err)
}

// Notify sends a message that has no response. It returns once the message is written.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	if address == c.endpoint.options.Address {
		return c.callSelf(ctx, method, params, nil)
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	if err := conn.rpc.Notify(ctx, method, params); err != nil {
		return unsentError(address, err)
	}
	return nil
}

// unsentError returns the error for a message that was not completely written: the
// failure.Error that err holds, or else ErrUnreachable.
func unsentError(address string, err error) error {
	var failed *failure.Error
	if errors.As(err, &failed) {
		return failed
	}
	return fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
}

// callSelf invokes the daemon's own handler. Parameters and result are encoded and
// decoded as in a remote call, so that both behave alike.
func (c *Client) callSelf(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	value, err := c.endpoint.invoke(context.WithValue(ctx, remoteAddressKey{}, c.endpoint.options.Address), method, raw)
	if err != nil {
		return failure.From(err)
	}
	if result == nil {
		return nil
	}
	if raw, err = json.Marshal(value); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// connect returns the connection to the address. Concurrent callers share one dial.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	for {
		dialDone, err := c.ensureDialing(address)
		if err != nil {
			return nil, err
		}
		if conn, ok := c.endpoint.connectionTo(address); ok {
			return conn, nil
		}
		if dialDone == nil {
			continue // the dial ended between the two checks
		}
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, ctx.Err())
		}
	}
}

// ensureDialing starts a dial unless there is a connection or a dial already runs.
// It returns the channel that is closed when the dial ends, or nil if there is a
// connection. Between dials it returns ErrUnreachable until the backoff has passed.
func (c *Client) ensureDialing(address string) (<-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if _, ok := c.endpoint.connectionTo(address); ok {
		return nil, nil
	}
	dial := c.dials[address]
	if dial == nil {
		retryDelay := backoff.NewExponentialBackOff()
		retryDelay.InitialInterval, retryDelay.MaxInterval = minRedialDelay, maxRedialDelay
		dial = &dialState{retryDelay: retryDelay}
		c.dials[address] = dial
	}
	if dial.dialDone != nil {
		return dial.dialDone, nil
	}
	if time.Now().Before(dial.notBefore) {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, dial.lastErr)
	}
	done := make(chan struct{})
	dial.dialDone = done
	c.wg.Go(func() {
		err := c.dial(address)
		c.mu.Lock()
		defer c.mu.Unlock()
		dial.dialDone, dial.lastErr = nil, err
		if err == nil {
			dial.retryDelay.Reset()
			// The delay prevents a tight loop when connections break right after the dial.
			dial.notBefore, dial.lastErr = time.Now().Add(minRedialDelay), errors.New("connection lost")
		} else {
			dial.notBefore = time.Now().Add(dial.retryDelay.NextBackOff())
		}
		close(done)
	})
	return done, nil
}

func (c *Client) dial(address string) error {
	options := c.endpoint.options
	if options.Faults.isBlocked(options.Address, address) || options.Faults.isBlocked(address, options.Address) {
		return errors.New("blocked by fault injection")
	}
	ctx, cancel := context.WithTimeout(c.ctx, handshakeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	if options.ClientTLS != nil {
		config := options.ClientTLS.Clone()
		if config.ServerName == "" {
			config.ServerName, _, _ = net.SplitHostPort(address)
		}
		conn = tls.Client(conn, config)
	}
	defer context.AfterFunc(c.ctx, func() { _ = conn.Close() })()
	if _, err := dialHandshake(conn, options); err != nil {
		_ = conn.Close()
		return err
	}
	c.endpoint.addConnection(conn, address, options.Address)
	return nil
}

// Close closes the connections that this client dialled. Pending calls on them
// return ErrNoResponse.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.wg.Wait()
	c.endpoint.closeConnections(true)
	return nil
}
