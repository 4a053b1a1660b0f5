package e2e

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// load is a set of callers that send generations one after another.
type load struct {
	ctx     context.Context
	stop    context.CancelFunc
	callers sync.WaitGroup
	mu      sync.Mutex
	results []requestResult
}

// startLoad starts callers; caller i sends to host i modulo the number of hosts first
// and to the other hosts if that one refuses.
func (c *cluster) startLoad(service string, callers, tokens int, hosts ...*host) *load {
	ctx, stop := context.WithCancel(c.t.Context())
	l := &load{ctx: ctx, stop: stop}
	for i := range callers {
		order := append(append([]*host{}, hosts[i%len(hosts):]...), hosts[:i%len(hosts)]...)
		client := c.newClient(order...)
		l.callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				length := tokens + (i*7+n)%20 // gives the answers of different requests different lengths
				l.add(c.sendGeneration(client, order[0], service, fmt.Sprintf("caller %d request %d tokens=%d", i, n, length), length))
			}
		})
	}
	c.t.Cleanup(func() { stop(); l.callers.Wait() })
	return l
}

func (l *load) add(r requestResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// completed returns the number of complete answers so far.
func (l *load) completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.results {
		if r.err == nil {
			n++
		}
	}
	return n
}

// stopAndCollect stops the callers after their current request and returns all results.
func (l *load) stopAndCollect() []requestResult {
	l.stop()
	l.callers.Wait()
	return l.results
}

// requireComplete requires that each request either got a complete answer or was
// refused as not run, before any token, with one of the kinds. It returns the numbers
// of both.
func requireComplete(t *testing.T, results []requestResult, kinds ...failure.Kind) (complete, refused int) {
	t.Helper()
	for _, r := range results {
		if r.err == nil {
			requireCompleteAnswer(t, r.answer, r.tokens)
			complete++
			continue
		}
		refusal := r.refusal()
		require.NotNil(t, refusal, "%s: %v", r.prompt, r.err)
		require.Contains(t, kinds, refusal.Kind, "%s: %v", r.prompt, r.err)
		require.True(t, refusal.NotRun, "%s: %v", r.prompt, r.err)
		refused++
	}
	return complete, refused
}

// pause sends SIGSTOP and returns a function that sends SIGCONT.
func (p *process) pause() (resume func()) {
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}
