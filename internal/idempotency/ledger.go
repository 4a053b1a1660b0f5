// Package idempotency keeps the records that make a call run at most once. A
// record is claimed in the table service before the call is sent; a claim is
// never taken over, so a call whose holder died is reported as unknown and is
// not sent again.
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

// The states of a record. Done is final. Refused records may be claimed again,
// because the refusal proves that the call did not run.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateRefused State = "refused"
)

// MaxBody is the largest response body that a record keeps.
const MaxBody = 64 << 10

const (
	claimBatchWindow   = 5 * time.Millisecond
	outcomeBatchWindow = 50 * time.Millisecond
	commitTimeout      = time.Second
	readTimeout        = time.Second
	// maxClaimWrites bounds the writes of one claim whose outcome stays unknown.
	maxClaimWrites = 4
	// maxReadTries bounds the reads that resolve a write whose answer was lost.
	maxReadTries = 3
	// outcomeRetryLimit is how long an outcome is retried while the store is out.
	outcomeRetryLimit = 30 * time.Minute
)

// Response is the outcome of a call that ran.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is set when the body was larger than MaxBody and is not kept.
	Truncated bool `json:"truncated,omitempty"`
}

// Record is the durable state of one call.
type Record struct {
	Fingerprint uint64    `json:"fingerprint"`
	Token       string    `json:"token"`
	Holder      string    `json:"holder"`
	State       State     `json:"state"`
	ClaimedAt   time.Time `json:"at"`
	Response    *Response `json:"response,omitempty"`
}

// Claim is the exclusive right to send one call. Its holder ends it with Finish
// or Refuse. A claim that is never ended stays claimed: its outcome is unknown.
type Claim struct {
	ledger  *Ledger
	key     storage.Key
	record  Record
	version uint64
}

// Ledger claims and finishes records. It is safe for concurrent use. Run must be
// running; it stops when its context ends.
type Ledger struct {
	table          storage.Table
	holder         string
	now            func() time.Time
	claims         *batcher
	outcomes       *batcher
	outcomeRetries sync.WaitGroup
	retryCtx       context.Context
	cancelRetries  context.CancelFunc
}

// New returns a Ledger that writes as the named holder.
func New(table storage.Table, holder string, now func() time.Time) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{
		table: table, holder: holder, now: now,
		claims:   newBatcher(table, claimBatchWindow, commitTimeout),
		outcomes: newBatcher(table, outcomeBatchWindow, commitTimeout),
		retryCtx: ctx, cancelRetries: cancel,
	}
}

// Run batches writes until ctx ends, then waits for outcomes that are being
// retried to stop.
func (l *Ledger) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { l.claims.run(ctx) })
	loops.Go(func() { l.outcomes.run(ctx) })
	loops.Wait()
	l.cancelRetries()
	l.outcomeRetries.Wait()
}

// Claim claims the key for a call with the given fingerprint. Exactly one of the
// results is set: a Claim to send the call, the Response of the call that ran
// before, or an error. Every error but OutcomeUnknown proves that this request
// caused no run.
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
			return nil, nil, failure.NotRun(failure.StoreUnavailable, "the call cannot be recorded: %v", err)
		}
		// A conflict or a lost answer: the row tells whose claim it is.
		existing, version, err := l.read(ctx, claim.key)
		if err != nil {
			claim.refuseInBackground()
			return nil, nil, failure.NotRun(failure.StoreUnavailable, "the record of the call cannot be read back: %v", err)
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
				"a call with this key was claimed by host %s at %s and has no recorded outcome", existing.Holder, existing.ClaimedAt.Format(time.RFC3339))
		default:
			claim.version = version
		}
		if ctx.Err() != nil {
			break
		}
	}
	claim.refuseInBackground()
	return nil, nil, failure.NotRun(failure.StoreUnavailable, "the call could not be recorded in %d attempts", maxClaimWrites)
}

// write stores the claim if the row still has the version that was read.
func (c *Claim) write(ctx context.Context) error {
	err := c.ledger.claims.submit(ctx, c.putWrite(c.version))
	if err == nil {
		c.version++
	}
	return err
}

func (c *Claim) putWrite(expect uint64) storage.Write {
	value, err := json.Marshal(c.record)
	if err != nil {
		panic(err) // Record holds only types that always encode
	}
	return storage.Write{Kind: storage.Put, Key: c.key, Expect: expect, Value: value}
}

// Finish records the response of a call that ran. When the store is out, the
// record is written later; until then a repetition is answered as unknown.
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
	err := c.ledger.outcomes.submit(ctx, c.putWrite(c.version))
	if err != nil {
		c.retryOutcome()
	}
	return err
}

// refuseInBackground turns a claim that may have been written, and whose call was not sent, into a refusal.
func (c *Claim) refuseInBackground() {
	c.record.State = StateRefused
	c.retryOutcome()
}

// retryOutcome writes the outcome in the background until it succeeds. It writes
// only over a row that carries this claim's token.
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

// read returns the record, or nil when there is none.
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
