package storage

import (
	"errors"
	"fmt"
)

const (
	// MaxWrites is the maximum number of writes in one transaction.
	MaxWrites = 100
	// MaxValueBytes is the maximum size of an item's value. The DynamoDB protocol
	// allows 400 KB for a whole item, including its keys and version.
	MaxValueBytes = 390 << 10
)

// ErrInvalidWrite reports an invalid transaction; nothing was written.
var ErrInvalidWrite = errors.New("invalid table write")

// CheckWrites returns ErrInvalidWrite unless the writes form a valid
// transaction: 1 to MaxWrites writes on different keys, with non-empty keys and
// values of at most MaxValueBytes.
func CheckWrites(writes []Write) error {
	if len(writes) == 0 || len(writes) > MaxWrites {
		return fmt.Errorf("%w: transaction has %d writes, must have 1 to %d", ErrInvalidWrite, len(writes), MaxWrites)
	}
	seen := make(map[Key]bool, len(writes))
	for _, w := range writes {
		switch {
		case w.Key.Partition == "" || w.Key.Sort == "":
			return fmt.Errorf("%w: empty key", ErrInvalidWrite)
		case seen[w.Key]:
			return fmt.Errorf("%w: two writes of %s/%s", ErrInvalidWrite, w.Key.Partition, w.Key.Sort)
		case len(w.Value) > MaxValueBytes:
			return fmt.Errorf("%w: value of %d bytes, limit %d", ErrInvalidWrite, len(w.Value), MaxValueBytes)
		case w.Kind != Put && w.Kind != Delete && w.Kind != Check:
			return fmt.Errorf("%w: kind %d", ErrInvalidWrite, w.Kind)
		}
		seen[w.Key] = true
	}
	return nil
}
