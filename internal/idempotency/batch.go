package idempotency

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanscale/rattanscale/internal/storage"
)

const (
	// maxBatchWrites is the maximum number of writes in one transaction of the table service.
	maxBatchWrites = 100
	// maxConcurrentSingleWrites bounds the concurrent single writes after a conflict in a batch.
	maxConcurrentSingleWrites = 8
)

// pendingWrite is a write that waits for its result.
type pendingWrite struct {
	write  storage.Write
	result chan error
}

// batcher combines the writes of concurrent requests into transactions. run executes
// the loop; submit may be called from any goroutine.
type batcher struct {
	table         storage.Table
	collectWindow time.Duration
	timeout       time.Duration
	queue         chan pendingWrite
	stopped       chan struct{}
}

func newBatcher(table storage.Table, window, timeout time.Duration) *batcher {
	return &batcher{
		table: table, collectWindow: window, timeout: timeout,
		queue: make(chan pendingWrite), stopped: make(chan struct{}),
	}
}

// submit writes w as part of a batch and returns its result. It returns
// ErrOutcomeUnknown if ctx ends after the write was queued.
func (b *batcher) submit(ctx context.Context, w storage.Write) error {
	p := pendingWrite{write: w, result: make(chan error, 1)}
	select {
	case b.queue <- p:
	case <-b.stopped:
		return storage.ErrUnavailable
	case <-ctx.Done():
		return storage.ErrUnavailable
	}
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return storage.ErrOutcomeUnknown
	}
}

// run collects and flushes batches until ctx ends and all flushes have finished.
func (b *batcher) run(ctx context.Context) {
	defer close(b.stopped)
	var flushes errgroup.Group
	defer func() { _ = flushes.Wait() }()
	var carriedOver []pendingWrite
	for {
		batch, rest := b.collect(ctx, carriedOver)
		carriedOver = rest
		if len(batch) == 0 {
			return
		}
		flushes.Go(func() error { b.flush(batch); return nil })
	}
}

// collect returns the next batch with at most one write per key, because a transaction
// must not contain an item twice. Further writes of the same key are returned as rest.
func (b *batcher) collect(ctx context.Context, carriedOver []pendingWrite) (batch, rest []pendingWrite) {
	keys := map[storage.Key]bool{}
	add := func(p pendingWrite) {
		if keys[p.write.Key] {
			rest = append(rest, p)
			return
		}
		keys[p.write.Key] = true
		batch = append(batch, p)
	}
	for _, p := range carriedOver {
		add(p)
	}
	if len(batch) == 0 {
		select {
		case p := <-b.queue:
			add(p)
		case <-ctx.Done():
			return nil, nil
		}
	}
	window := time.NewTimer(b.collectWindow)
	defer window.Stop()
	for len(batch) < maxBatchWrites {
		select {
		case p := <-b.queue:
			add(p)
		case <-window.C:
			return batch, rest
		case <-ctx.Done():
			return batch, rest
		}
	}
	return batch, rest
}

func (b *batcher) flush(batch []pendingWrite) {
	writes := make([]storage.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	err := b.commit(writes...)
	if len(batch) == 1 || !errors.Is(err, storage.ErrConflict) {
		for _, p := range batch {
			p.result <- err
		}
		return
	}
	// One failed condition rejects the whole transaction, so each write is committed alone.
	var singles errgroup.Group
	singles.SetLimit(maxConcurrentSingleWrites)
	for _, p := range batch {
		singles.Go(func() error { p.result <- b.commit(p.write); return nil })
	}
	_ = singles.Wait()
}

func (b *batcher) commit(writes ...storage.Write) error {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	return b.table.Commit(ctx, writes...)
}
