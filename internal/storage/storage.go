// Package storage defines what rattanscale needs of table and object services:
// a transactional table service, an object store and a host list. Each
// interface has one adapter per protocol in a subpackage.
//
// Every method honours its context and is safe for concurrent use.
package storage

import (
	"context"
	"errors"
)

var (
	// ErrConflict reports that a condition of a write did not hold; nothing was written.
	ErrConflict = errors.New("table condition failed")
	// ErrUnavailable reports that the request did not reach the service; nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrOutcomeUnknown reports that a write may or may not have taken effect. The
	// caller must read the item back.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrNotFound reports that the item or object does not exist.
	ErrNotFound = errors.New("not found")
)

// Key identifies an item: items with one Partition are ordered by Sort.
type Key struct {
	Partition string
	Sort      string
}

// Item is one row of the table service. Version starts at 1 and grows by one
// with each write of the item.
type Item struct {
	Key     Key
	Version uint64
	Value   []byte
}

// WriteKind tells what a Write does.
type WriteKind int

// The kinds of writes.
const (
	Put WriteKind = iota
	Delete
	Check
)

// Write is one operation of a transaction. It applies only if the item's
// version equals Expect; Expect 0 means that the item must not exist.
type Write struct {
	Kind            WriteKind
	Key             Key
	ExpectedVersion uint64
	Value           []byte
}

// Table is the transactional table service.
type Table interface {
	// Get returns the item with a strongly consistent read, or ErrNotFound.
	Get(ctx context.Context, key Key) (Item, error)
	// Query returns up to limit items of the partition with Sort > after, in order.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Commit applies all writes or none (at most 100). It returns ErrConflict,
	// ErrUnavailable or ErrOutcomeUnknown.
	Commit(ctx context.Context, writes ...Write) error
}

// ObjectStore keeps large immutable bodies.
type ObjectStore interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// ListedHost is an entry of the host list, which may be out of date.
type ListedHost struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
