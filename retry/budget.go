// Package retry decides when work is sent again: a budget for retries and hedges, the delay before a retry, and the
// time after which a slow attempt gets a second one.
package retry

import "sync"

const (
	// startTokens lets the first requests after a start be retried.
	startTokens = 10
	// mostTokens bounds the retries that a quiet time can save up for a burst.
	mostTokens = 100
)

// Budget bounds extra attempts to a share of requests. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget for a few extra attempts.
func NewBudget() *Budget { return &Budget{tokens: startTokens} }

// Request counts a request, which adds a share of an extra attempt.
func (b *Budget) Request(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tokens = min(mostTokens, b.tokens+share)
}

// Take reports whether an extra attempt is within the budget, and counts it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}
