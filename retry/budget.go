// Package retry decides when work is sent again: a budget for retries and hedges, the delay before a retry, and the
// time after which a slow attempt gets a second one.
package retry

import "sync"

const (
	// initialTokens lets the first requests after a start be retried.
	initialTokens = 10
	// maxTokens bounds the retries that a quiet time can save up for a burst.
	maxTokens = 100
)

// Budget bounds extra attempts to a share of requests. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget for a few extra attempts.
func NewBudget() *Budget { return &Budget{tokens: initialTokens} }

// AddRequest counts a request, which adds a share of an extra attempt.
func (b *Budget) AddRequest(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tokens = min(maxTokens, b.tokens+share)
}

// TryAcquire reports whether an extra attempt is within the budget, and counts it.
func (b *Budget) TryAcquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}
