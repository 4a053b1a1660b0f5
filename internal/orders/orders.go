// Package orders sends the numbers of upstreams that the holder of a duty orders. The last order
// for each service and data centre is kept in the duty's row before the call, so that the next
// holder knows it and an order that is executed late does not undo a newer one.
package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/duty"
)

const (
	// lateExecution is how long after a call without an answer the platform may still execute it.
	lateExecution = 15 * time.Second
	// repeatInterval is the interval at which an order is repeated while an earlier one may still
	// be executed, if the platform does not reject lower tokens.
	repeatInterval = 3 * time.Second
)

// Holding is the claim of the duty to order upstreams; see duty.Duty.
type Holding interface {
	Grant() (duty.Grant, bool)
	Save(ctx context.Context, token uint64, state []byte) error
	Do(ctx context.Context, token uint64, call func(ctx context.Context, o duty.Order) error) error
	Raise(ctx context.Context, token uint64) (duty.Grant, error)
}

// Order is the last order for a service in a data centre.
type Order struct {
	Count int    `json:"count"`
	Token uint64 `json:"token"`
	// Accepted is set once the platform has accepted the order. If it is not, the outcome is
	// unknown. It reaches the store only with the next order, which saves a write, so an accepted
	// order may look otherwise to the next holder, which sends it once more.
	Accepted bool `json:"accepted"`
}

// subject identifies the orders that replace each other.
type subject struct{ service, dataCentre string }

func (s subject) key() string { return s.service + "/" + s.dataCentre }

// Sender sends orders while this host holds the duty. It is used by one goroutine.
type Sender struct {
	// Call makes the call to the platform.
	Call func(ctx context.Context, o duty.Order, service, dataCentre string, count int) error
	// FencingEnforced is set if the platform rejects calls with a lower token than it has seen.
	FencingEnforced bool
	Now             func() duty.Instant
	Log             logr.Logger

	holding Holding
	// accepted holds orders that were accepted since the row was last written.
	accepted map[string]Order
	// suspect holds until when an earlier order may still be executed, and repeatAt when the
	// current one is repeated for that reason.
	suspect, repeatAt map[string]duty.Instant
	// unseen holds the orders to send again although they were accepted.
	unseen map[string]bool
}

// NewSender returns a sender for a duty.
func NewSender(h Holding, s Sender) *Sender {
	s.holding, s.accepted = h, make(map[string]Order)
	s.suspect, s.repeatAt = make(map[string]duty.Instant), make(map[string]duty.Instant)
	s.unseen = make(map[string]bool)
	return &s
}

// Last returns the last order for a service in a data centre; false if there is none or this host
// does not hold the duty.
func (s *Sender) Last(service, dataCentre string) (Order, bool) {
	g, held := s.holding.Grant()
	if !held {
		return Order{}, false
	}
	o, ok := s.decode(g.State)[subject{service, dataCentre}.key()]
	return o, ok
}

// decode returns the orders in a state, with what was accepted since it was written.
func (s *Sender) decode(state []byte) map[string]Order {
	out := make(map[string]Order)
	if len(state) > 0 {
		if err := json.Unmarshal(state, &out); err != nil {
			s.Log.Error(err, "orders could not be read; all are sent again")
			out = make(map[string]Order)
		}
	}
	for key, o := range s.accepted {
		if out[key].Count == o.Count && out[key].Token == o.Token {
			out[key] = o
		}
	}
	return out
}

// RepeatNext makes the next order for a service and data centre go out even if it is the last accepted
// one, because its effect isn't seen.
func (s *Sender) RepeatNext(service, dataCentre string) {
	s.unseen[subject{service, dataCentre}.key()] = true
}

// OrderCount orders a number of upstreams unless it is the last accepted order. Errors are those
// of package duty; after ErrUnknownOutcome the order may be executed later, and ordering again is
// safe whatever the number.
func (s *Sender) OrderCount(ctx context.Context, service, dataCentre string, count int) error {
	g, held := s.holding.Grant()
	if !held {
		return duty.ErrNotHeld
	}
	book, key, now := s.decode(g.State), subject{service, dataCentre}.key(), s.Now()
	last, ordered := book[key]
	if ordered && !last.Accepted && s.suspect[key] == 0 {
		s.suspect[key] = now.Add(lateExecution) // the order of an earlier holder
	}
	if ordered && last.Accepted && last.Count == count && !s.unseen[key] && !s.mustRepeat(key, now) {
		return nil
	}
	if ordered && last.Count != count && now < s.suspect[key] && last.Token == g.Token {
		// The earlier order may be executed after this one. Under a higher token it is rejected.
		raised, err := s.holding.Raise(ctx, g.Token)
		if err != nil {
			return err
		}
		g = raised
	}
	if !ordered || last.Count != count || last.Token != g.Token {
		book[key] = Order{Count: count, Token: g.Token}
		data, err := json.Marshal(book)
		if err != nil {
			return err
		}
		if err := s.holding.Save(ctx, g.Token, data); err != nil {
			return fmt.Errorf("the order was not sent, since it could not be stored: %w", err)
		}
		clear(s.accepted)
	}
	return s.send(ctx, g.Token, subject{service, dataCentre}, count)
}

// mustRepeat reports whether an accepted order is due to be repeated, since an earlier one may have
// been executed after it.
func (s *Sender) mustRepeat(key string, now duty.Instant) bool {
	return !s.FencingEnforced && now < s.suspect[key].Add(repeatInterval) && s.suspect[key] != 0 && now >= s.repeatAt[key]
}

func (s *Sender) send(ctx context.Context, token uint64, to subject, count int) error {
	err := s.holding.Do(ctx, token, func(ctx context.Context, o duty.Order) error {
		return s.Call(ctx, o, to.service, to.dataCentre, count)
	})
	now, key := s.Now(), to.key()
	s.repeatAt[key] = now.Add(repeatInterval)
	switch {
	case err == nil:
		delete(s.unseen, key)
		s.accepted[key] = Order{Count: count, Token: token, Accepted: true}
		s.Log.Info("upstreams ordered", "service", to.service, "data-centre", to.dataCentre, "count", count, "token", token)
	case errors.Is(err, duty.ErrUnknownOutcome):
		s.suspect[key] = now.Add(lateExecution)
	}
	return err
}
