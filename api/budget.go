package api

import "sync"

// Retry budget of a client. The first retry of a request is free, so that every
// request can get its answer through another entry when one fails. Further
// retries take tokens from a budget to which each new request adds a part of a
// token, so that retries stay a small share of the traffic when everything fails.
const (
	freeRetries      = 1
	maxRetryTokens   = 100.0
	tokensPerRequest = 0.2
	tokensPerRetry   = 1.0
)

// retryBudget is the token bucket shared by all requests of one client.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// earn adds the tokens of one new request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerRequest, maxRetryTokens)
}

// spend takes the tokens of one retry. It returns false if there are too few.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}
