package daemon

import (
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/retry"
)

// retryBudget guards a retry.Budget for concurrent use. It implements relay.Budget.
type retryBudget struct {
	mu     sync.Mutex
	budget retry.Budget
}

func (b *retryBudget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordAttempt()
}

func (b *retryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(time.Now())
}
