package filter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agategap/agategap/retry"
	"github.com/agategap/agategap/shard"
)

// RetrySettings has the limits of the configuration in force.
type RetrySettings interface {
	// RetryShare returns the allowed retries and hedges as a share of requests.
	RetryShare() float64
}

// retryShardCount is the number of shards of the per-service budgets.
const retryShardCount = 16

// Retries has the retry budget and the hedge delay of each service. It is safe for concurrent use.
type Retries struct {
	settings RetrySettings
	shards   [retryShardCount]retryShard
	seed     uint64
}

type retryShard struct {
	mu       sync.Mutex
	services map[string]*serviceRetries
	random   *rand.Rand // for the delays before retries; set at the first use
}

// serviceRetries has the retry budget and the hedge delay of one service.
type serviceRetries struct {
	budget *retry.Budget
	hedge  *retry.Hedge
}

// NewRetries returns budgets that grow with each request by the share in the settings; with nil settings they do not
// grow. seed initializes the random delays before retries.
func NewRetries(s RetrySettings, seed uint64) *Retries {
	return &Retries{settings: s, seed: seed}
}

// forService returns the budget and the hedge delay of a service, and creates them at the first call.
func (t *Retries) forService(name string) *serviceRetries {
	h := &t.shards[shard.Index(name, retryShardCount)]

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

// countRequest adds the share of one request to the budget of a service, and returns the service's budget and hedge
// delay.
func (t *Retries) countRequest(name string) *serviceRetries {
	s := t.forService(name)
	if t.settings != nil {
		s.budget.AddRequest(t.settings.RetryShare())
	}

	return s
}

// backoff returns the delay before retry n of a service.
func (t *Retries) backoff(name string, n int) time.Duration {
	i := shard.Index(name, retryShardCount)
	h := &t.shards[i]

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.random == nil {
		h.random = rand.New(rand.NewPCG(t.seed, uint64(i))) //nolint:gosec // spreads retries
	}

	return retry.Backoff(n, h.random)
}
