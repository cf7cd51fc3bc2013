package api

import "sync"

// Retry budget of a client. The first retry of a request is free, so that every
// job can find its answer through another entry when one dies. Further ones are
// paid from a budget that each first sending adds a part of a retry to, so that
// they stay a small share of the traffic when everything fails.
const (
	freeRetries     = 1
	maxRetryTokens  = 100.0
	earnedPerFirst  = 0.2
	costOfEachRetry = 1.0
)

// retryBudget is shared by all submissions of one client.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// earn is called for each first sending.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+earnedPerFirst, maxRetryTokens)
}

// spend takes one retry out of the budget and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < costOfEachRetry {
		return false
	}
	b.tokens -= costOfEachRetry
	return true
}
