package filter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agategap/agategap/retry"
	"github.com/agategap/agategap/shard"
)

// RetrySettings are the bounds that the configuration in force sets.
type RetrySettings interface {
	// RetryShare returns retries and hedges as a share of requests.
	RetryShare() float64
}

// retryShards is the number of shards of the services' budgets.
const retryShards = 16

// Retries has the budget and the hedge time of each service.
type Retries struct {
	settings RetrySettings
	shards   [retryShards]retryShard
	seed     uint64
}

type retryShard struct {
	mu       sync.Mutex
	services map[string]*serviceRetries
	random   *rand.Rand
}

// serviceRetries are the budget and the hedge time of a service.
type serviceRetries struct {
	budget *retry.Budget
	hedge  *retry.Hedge
}

// NewRetries returns budgets that grow by the settings' share; nil settings mean that they do not grow. seed is for
// the delays before retries.
func NewRetries(s RetrySettings, seed uint64) *Retries {
	return &Retries{settings: s, seed: seed}
}

func (t *Retries) forService(name string) *serviceRetries {
	h := &t.shards[shard.Index(name, retryShards)]

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.services == nil {
		h.services = map[string]*serviceRetries{}
	}

	s, ok := h.services[name]
	if !ok {
		s = &serviceRetries{budget: retry.NewBudget(), hedge: retry.NewHedge()}
		h.services[name] = s
	}

	return s
}

// countRequest counts a request of a service.
func (t *Retries) countRequest(name string) *serviceRetries {
	s := t.forService(name)
	if t.settings != nil {
		s.budget.AddRequest(t.settings.RetryShare())
	}

	return s
}

// backoff returns the delay before retry n of a service.
func (t *Retries) backoff(name string, n int) time.Duration {
	i := shard.Index(name, retryShards)
	h := &t.shards[i]

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.random == nil {
		h.random = rand.New(rand.NewPCG(t.seed, uint64(i))) //nolint:gosec // spreads retries
	}

	return retry.Backoff(n, h.random)
}
