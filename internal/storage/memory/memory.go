// Package memory implements the platform's services in memory, for a single host and
// for tests. Tests can inject faults into each service.
package memory

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/rattanscale/rattanscale/internal/storage"
)

// Fault is the way in which a service fails.
type Fault int

const (
	// FaultNone means that the service works.
	FaultNone Fault = iota
	// FaultDown makes every request return ErrUnavailable without effect.
	FaultDown
	// FaultLoseResponse makes writes take effect and return ErrOutcomeUnknown.
	FaultLoseResponse
	// FaultLoseRequest makes writes return ErrOutcomeUnknown without effect.
	FaultLoseRequest
)

// faultInjector holds the current fault of a service. It is safe for concurrent use.
type faultInjector struct {
	mu              sync.Mutex
	fault           Fault
	remainingWrites int // writes that still fail; 0 means unlimited
}

// SetFault sets the fault until the next call of SetFault. A count above 0 limits
// FaultLoseResponse and FaultLoseRequest to that many writes.
func (s *faultInjector) SetFault(fault Fault, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.remainingWrites = fault, count
}

// readError returns the error that a read must return.
func (s *faultInjector) readError(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == FaultDown || ctx.Err() != nil {
		return storage.ErrUnavailable
	}
	return nil
}

// writeOutcome returns whether a write must take effect, and the error that it must
// return.
func (s *faultInjector) writeOutcome(ctx context.Context) (applied bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == FaultDown || ctx.Err() != nil {
		return false, storage.ErrUnavailable
	}
	if s.fault == FaultNone {
		return true, nil
	}
	applied = s.fault == FaultLoseResponse
	if s.remainingWrites > 0 {
		if s.remainingWrites--; s.remainingWrites == 0 {
			s.fault = FaultNone
		}
	}
	return applied, storage.ErrOutcomeUnknown
}

// Table implements storage.Table. It is safe for concurrent use and needs no closing.
type Table struct {
	faultInjector
	mu    sync.Mutex
	items map[storage.Key]storage.Item
}

var _ storage.Table = (*Table)(nil)

func NewTable() *Table { return &Table{items: map[storage.Key]storage.Item{}} }

// Get returns a copy of the item, or ErrNotFound.
func (t *Table) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if err := t.readError(ctx); err != nil {
		return storage.Item{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	item, ok := t.items[key]
	if !ok {
		return storage.Item{}, storage.ErrNotFound
	}
	return cloneItem(item), nil
}

// Query returns copies of the items of the partition with Sort > after, in order.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	if err := t.readError(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []storage.Item
	for key, item := range t.items {
		if key.Partition == partition && key.Sort > after {
			found = append(found, cloneItem(item))
		}
	}
	slices.SortFunc(found, func(a, b storage.Item) int { return cmp.Compare(a.Key.Sort, b.Key.Sort) })
	return found[:min(len(found), max(limit, 0))], nil
}

// Commit applies all writes or none.
func (t *Table) Commit(ctx context.Context, writes ...storage.Write) error {
	if err := storage.CheckWrites(writes); err != nil {
		return err
	}
	applied, injectedErr := t.writeOutcome(ctx)
	if !applied {
		return injectedErr
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if t.items[w.Key].Version != w.ExpectedVersion {
			return cmp.Or(injectedErr, storage.ErrConflict) // if the response is lost, the caller does not see the conflict
		}
	}
	for _, w := range writes {
		switch w.Kind {
		case storage.Put:
			t.items[w.Key] = storage.Item{Key: w.Key, Version: w.ExpectedVersion + 1, Value: bytes.Clone(w.Value)}
		case storage.Delete:
			delete(t.items, w.Key)
		}
	}
	return injectedErr
}

func cloneItem(item storage.Item) storage.Item {
	item.Value = bytes.Clone(item.Value)
	return item
}

// Objects implements storage.ObjectStore. It is safe for concurrent use and needs no closing.
type Objects struct {
	faultInjector
	mu     sync.Mutex
	bodies map[string][]byte
}

var _ storage.ObjectStore = (*Objects)(nil)

func NewObjects() *Objects { return &Objects{bodies: map[string][]byte{}} }

// Put stores a copy of the body.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	applied, injectedErr := o.writeOutcome(ctx)
	if applied {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.bodies[name] = bytes.Clone(body)
	}
	return injectedErr
}

// Get returns a copy of the body, or ErrNotFound.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.readError(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.bodies[name]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return bytes.Clone(body), nil
}

// Hosts implements storage.HostList. It is safe for concurrent use and needs no closing.
type Hosts struct {
	faultInjector
	mu    sync.Mutex
	hosts []storage.ListedHost
}

var _ storage.HostList = (*Hosts)(nil)

func NewHosts(hosts ...storage.ListedHost) *Hosts { return &Hosts{hosts: hosts} }

func (h *Hosts) Set(hosts ...storage.ListedHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts = slices.Clone(hosts)
}

// Hosts returns a copy of the list.
func (h *Hosts) Hosts(ctx context.Context) ([]storage.ListedHost, error) {
	if err := h.readError(ctx); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.hosts), nil
}
