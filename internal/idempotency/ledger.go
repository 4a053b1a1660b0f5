// Package idempotency stores the records that ensure that a call runs at most once.
// A record is claimed in the table service before the call is sent. A claim is never
// taken over, so the outcome of a call whose holder crashed is reported as unknown and
// the call is not sent again.
package idempotency

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/storage"
)

// State is the state of a record.
type State string

// The states of a record. StateDone is final. A record in StateRefused may be claimed
// again, because the refusal proves that the call did not run.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateRefused State = "refused"
)

// MaxBody is the size in bytes of the largest response body that a record keeps.
const MaxBody = 64 << 10

const (
	claimBatchWindow   = 5 * time.Millisecond
	outcomeBatchWindow = 50 * time.Millisecond
	commitTimeout      = time.Second
	readTimeout        = time.Second
	// maxClaimWrites bounds the writes of one claim after conflicts and unknown outcomes.
	maxClaimWrites = 4
	// maxReadTries bounds the tries of one read of a record.
	maxReadTries = 3
	// outcomeRetryLimit is how long the write of an outcome is retried while the store is
	// unavailable.
	outcomeRetryLimit = 30 * time.Minute
)

// Response is the stored response of a call that ran.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is set if the body was larger than MaxBody and was not stored.
	Truncated bool `json:"truncated,omitempty"`
}

// Record is the stored state of one call.
type Record struct {
	Fingerprint uint64    `json:"fingerprint"`
	Token       string    `json:"token"`
	Holder      string    `json:"holder"`
	State       State     `json:"state"`
	ClaimedAt   time.Time `json:"at"`
	Response    *Response `json:"response,omitempty"`
}

// Claim is the exclusive right to send one call. Its holder ends it with Finish or
// Refuse. A claim that is never ended stays in StateClaimed, with an unknown outcome.
type Claim struct {
	ledger  *Ledger
	key     storage.Key
	record  Record
	version uint64
}

// Ledger claims and finishes records. It is safe for concurrent use. Its methods work
// only while Run is running.
type Ledger struct {
	table          storage.Table
	holder         string
	now            func() time.Time
	claimWrites    *batcher
	outcomeWrites  *batcher
	outcomeRetries sync.WaitGroup
	retryCtx       context.Context
	cancelRetries  context.CancelFunc
}

// New returns a Ledger that claims records for the named holder.
func New(table storage.Table, holder string, now func() time.Time) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{
		table: table, holder: holder, now: now,
		claimWrites:   newBatcher(table, claimBatchWindow, commitTimeout),
		outcomeWrites: newBatcher(table, outcomeBatchWindow, commitTimeout),
		retryCtx:      ctx, cancelRetries: cancel,
	}
}

// Run batches writes until ctx ends, then cancels the retries of outcomes and waits for
// them to stop.
func (l *Ledger) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { l.claimWrites.run(ctx) })
	loops.Go(func() { l.outcomeWrites.run(ctx) })
	loops.Wait()
	l.cancelRetries()
	l.outcomeRetries.Wait()
}

// Claim claims the key for a call with the given fingerprint. Exactly one of the
// results is set: a Claim that permits sending the call, the Response of the call that
// already ran, or an error. Every error except OutcomeUnknown proves that this request
// did not cause the call to run.
func (l *Ledger) Claim(ctx context.Context, account, key string, fingerprint uint64) (*Claim, *Response, error) {
	claim := &Claim{
		ledger: l,
		key:    storage.Key{Partition: "call#" + account, Sort: key},
		record: Record{Fingerprint: fingerprint, Token: rand.Text(), Holder: l.holder, State: StateClaimed, ClaimedAt: l.now().UTC()},
	}
	for range maxClaimWrites {
		err := claim.write(ctx)
		switch {
		case err == nil:
			return claim, nil, nil
		case errors.Is(err, storage.ErrUnavailable):
			return nil, nil, failure.NotRun(failure.StoreUnavailable, "this request was not sent because the record of its call cannot be written: %v", err)
		}
		// After a conflict or an unknown outcome the row shows who holds the claim.
		existing, version, err := l.read(ctx, claim.key)
		if err != nil {
			claim.refuseInBackground()
			return nil, nil, failure.NotRun(failure.StoreUnavailable, "this request was not sent because the record of its call cannot be read back: %v", err)
		}
		switch {
		case existing == nil:
			claim.version = 0
		case existing.Token == claim.record.Token:
			claim.version = version
			return claim, nil, nil
		case existing.Fingerprint != fingerprint:
			return nil, nil, failure.NotRun(failure.KeyReused, "Idempotency-Key %q belongs to a different request", key)
		case existing.State == StateDone:
			return nil, existing.Response, nil
		case existing.State == StateClaimed:
			return nil, nil, failure.New(failure.OutcomeUnknown,
				"a call with this Idempotency-Key was claimed by host %s at %s and has no recorded outcome", existing.Holder, existing.ClaimedAt.Format(time.RFC3339))
		default:
			claim.version = version
		}
		if ctx.Err() != nil {
			break
		}
	}
	claim.refuseInBackground()
	return nil, nil, failure.NotRun(failure.StoreUnavailable, "this request was not sent because the record of its call could not be written in %d tries", maxClaimWrites)
}

// write stores the claim unless the version of the row has changed since it was read.
func (c *Claim) write(ctx context.Context) error {
	err := c.ledger.claimWrites.submit(ctx, c.putWrite(c.version))
	if err == nil {
		c.version++
	}
	return err
}

func (c *Claim) putWrite(expect uint64) storage.Write {
	value, err := json.Marshal(c.record)
	if err != nil {
		panic(err) // Record contains only types that can always be encoded
	}
	return storage.Write{Kind: storage.Put, Key: c.key, ExpectedVersion: expect, Value: value}
}

// Finish records the response of a call that ran. If the write fails, it returns the
// error and retries in the background; until the retry succeeds, repeated calls are
// answered with OutcomeUnknown.
func (c *Claim) Finish(ctx context.Context, response Response) error {
	if len(response.Body) > MaxBody {
		response.Body, response.Truncated = nil, true
	}
	c.record.Response = &response
	return c.recordOutcome(ctx, StateDone)
}

// Refuse records that the call did not run, so that the key can be used again.
func (c *Claim) Refuse(ctx context.Context) error { return c.recordOutcome(ctx, StateRefused) }

func (c *Claim) recordOutcome(ctx context.Context, state State) error {
	c.record.State = state
	err := c.ledger.outcomeWrites.submit(ctx, c.putWrite(c.version))
	if err != nil {
		c.retryOutcome()
	}
	return err
}

// refuseInBackground records that the call was not sent, for a claim that may have been
// written.
func (c *Claim) refuseInBackground() {
	c.record.State = StateRefused
	c.retryOutcome()
}

// retryOutcome writes the outcome in the background until it succeeds or
// outcomeRetryLimit has passed. It only overwrites a row with this claim's token.
func (c *Claim) retryOutcome() {
	l := c.ledger
	l.outcomeRetries.Go(func() {
		_, _ = backoff.Retry(l.retryCtx, func() (struct{}, error) {
			return struct{}{}, c.writeOutcome(l.retryCtx)
		}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(outcomeRetryLimit))
	})
}

func (c *Claim) writeOutcome(ctx context.Context) error {
	existing, version, err := c.ledger.read(ctx, c.key)
	if err != nil {
		return err
	}
	if existing == nil || existing.Token != c.record.Token || existing.State != StateClaimed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return c.ledger.table.Commit(ctx, c.putWrite(version))
}

// read returns the record and the version of its row, or nil if there is no record.
func (l *Ledger) read(ctx context.Context, key storage.Key) (*Record, uint64, error) {
	var err error
	for range maxReadTries {
		var item storage.Item
		item, err = l.get(ctx, key)
		if errors.Is(err, storage.ErrNotFound) {
			return nil, 0, nil
		}
		if err != nil {
			continue
		}
		record := new(Record)
		if err = json.Unmarshal(item.Value, record); err == nil {
			return record, item.Version, nil
		}
	}
	return nil, 0, err
}

func (l *Ledger) get(ctx context.Context, key storage.Key) (storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return l.table.Get(ctx, key)
}
