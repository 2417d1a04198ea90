// Package retry decides whether and when a request is sent again. It has the budget for retries and hedges, the delay
// before a retry, and the delay after which a slow attempt is hedged by a second one. Packages filter and balance use
// it.
package retry

import "sync"

const (
	// initialTokens allows extra attempts for the first requests after a start.
	initialTokens = 10
	// maxTokens bounds the extra attempts that can accumulate for a later burst.
	maxTokens = 100
)

// Budget is a token bucket that limits extra attempts, that is, retries and hedges, to a share of the requests. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that allows initialTokens extra attempts.
func NewBudget() *Budget { return &Budget{tokens: initialTokens} }

// AddRequest adds share, the number of extra attempts per request, to the budget.
func (b *Budget) AddRequest(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tokens = min(maxTokens, b.tokens+share)
}

// TryAcquire reports whether the budget allows an extra attempt, and if so, takes it from the budget.
func (b *Budget) TryAcquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}
