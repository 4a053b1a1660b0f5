package usage

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/guard"
)

const (
	// batchWindow is the time during which counts are collected into one message. It bounds what
	// the other hosts miss of the counts of a host that is killed.
	batchWindow = 400 * time.Millisecond
	// sendTimeout bounds the call to one host.
	sendTimeout = 700 * time.Millisecond
	// reviewInterval is the interval at which unacknowledged counts are sent again, and at which
	// hosts that have become receivers are noticed.
	reviewInterval = time.Second
)

// Message carries counts to another host.
type Message struct {
	Counts []Counts `json:"counts"`
	// Holder is the holder of the duty to report, as the sender knows it, with its token.
	Holder string `json:"holder,omitempty"`
	Token  uint64 `json:"token,omitempty"`
}

// Reply acknowledges the counts of a message.
type Reply struct {
	// Process identifies the receiver's process; a new one holds no counts.
	Process string `json:"process"`
	Holder  string `json:"holder,omitempty"`
	Token   uint64 `json:"token,omitempty"`
	// Now is the receiver's estimate of true time in Unix milliseconds.
	Now int64 `json:"now"`
}

// Receiver is a host to which counts are sent.
type Receiver struct{ Name, Address string }

// Sender sends the counts that a receiver has not acknowledged, soon after they change.
type Sender struct {
	Table *Table
	Clock *Clock
	// Receivers returns the hosts to which counts are sent now.
	Receivers func() []Receiver
	// Include returns a function that reports whether this host sends the counts of a host now.
	Include func() func(host string) bool
	// Holder returns the known holder of the duty to report; SetHolder learns it.
	Holder    func() (host string, token uint64)
	SetHolder func(host string, token uint64)
	Call      func(ctx context.Context, address string, m Message) (Reply, error)
	// Oldest returns the oldest window whose counts are kept.
	Oldest func() int64
	Log    logr.Logger

	mu        sync.Mutex
	receivers map[string]*receiverState
}

type receiverState struct {
	process      string
	acknowledged map[Key]uint64
	// failing is set if the last call failed.
	failing bool
}

// Run sends until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.Table.Changed():
			select {
			case <-time.After(batchWindow):
			case <-ctx.Done():
				return
			}
		case <-ticker.C:
			s.evict(s.Oldest())
		case <-ctx.Done():
			return
		}
		guard.Run(s.Log, "sending of usage counts", func() { s.Send(ctx) })
	}
}

// evict deletes what is known of windows before oldest.
func (s *Sender) evict(oldest int64) {
	s.Table.Evict(oldest)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.receivers {
		maps.DeleteFunc(state.acknowledged, func(k Key, _ uint64) bool { return k.Window < oldest })
	}
}

// Send sends to all receivers what they have not acknowledged.
func (s *Sender) Send(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	current, include := make(map[string]*receiverState), s.Include()
	var group sync.WaitGroup
	for _, r := range s.Receivers() {
		state := s.receivers[r.Name]
		if state == nil {
			state = &receiverState{acknowledged: make(map[Key]uint64)}
		}
		current[r.Name] = state
		group.Go(func() {
			err := s.sendTo(ctx, r, state, include)
			if err != nil && !state.failing { // one line for each outage of a receiver
				s.Log.Info("usage counts not sent", "peer", r.Name, "error", err.Error())
			}
			state.failing = err != nil
		})
	}
	group.Wait()
	s.receivers = current
}

func (s *Sender) sendTo(ctx context.Context, r Receiver, state *receiverState, include func(host string) bool) error {
	counts, versions := s.Table.Unacknowledged(state.acknowledged, include)
	if len(counts) == 0 {
		return nil
	}
	holder, token := s.Holder()
	sentAt := s.Clock.Now()
	reply, err := s.Call(ctx, r.Address, Message{Counts: counts, Holder: holder, Token: token})
	if err != nil {
		return err
	}
	s.Clock.Compare(r.Name, time.UnixMilli(reply.Now), sentAt, s.Clock.Now())
	s.SetHolder(reply.Holder, reply.Token)
	if reply.Process != state.process {
		// What the earlier process acknowledged is lost; this message was received by the new one.
		state.process = reply.Process
		clear(state.acknowledged)
	}
	for k, v := range versions {
		state.acknowledged[k] = v
	}
	return nil
}
