// Package storage defines the interfaces of the platform's services: a transactional
// table service, an object store and a host list. Subpackages implement them, one for
// each protocol and one in memory.
//
// Every method respects its context's cancellation and is safe for concurrent use.
package storage

import (
	"context"
	"errors"
)

var (
	// ErrConflict reports that the expected version of a write did not match; nothing
	// was written.
	ErrConflict = errors.New("table condition failed")
	// ErrUnavailable reports that the service cannot be reached or refused the request;
	// nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrOutcomeUnknown reports that a write may or may not have taken effect. The
	// caller must read the item to find out.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrNotFound reports that the item or object does not exist.
	ErrNotFound = errors.New("not found")
)

// Key identifies an item. Items of the same Partition are ordered by Sort.
type Key struct {
	Partition string
	Sort      string
}

// Item is one row of the table service. Version starts at 1 and increases by one with
// each write of the item.
type Item struct {
	Key     Key
	Version uint64
	Value   []byte
}

type WriteKind int

// The kinds of writes. Check changes nothing; the transaction fails if its condition
// does not hold.
const (
	Put WriteKind = iota
	Delete
	Check
)

// Write is one operation of a transaction. Its condition is that the item's version
// equals ExpectedVersion; 0 means that the item must not exist.
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
	// Query returns up to limit items of the partition with Sort > after, ordered by Sort.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Commit applies all writes (at most MaxWrites) or none. It returns ErrConflict,
	// ErrUnavailable, ErrOutcomeUnknown or ErrInvalidWrite.
	Commit(ctx context.Context, writes ...Write) error
}

// ObjectStore stores large immutable objects.
type ObjectStore interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// ListedHost is an entry of the host list.
type ListedHost struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// HostList is the platform's list of live and leaving hosts. It may be out of date.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
