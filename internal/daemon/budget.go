package daemon

import (
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/retry"
)

// budget makes a retry budget safe for concurrent use. It implements relay.Budget.
type budget struct {
	mu     sync.Mutex
	budget retry.Budget
}

func (b *budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordAttempt()
}

func (b *budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(time.Now())
}
