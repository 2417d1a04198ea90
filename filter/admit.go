package filter

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/shard"
)

// admitShardCount is the number of shards of the per-account counts. It exceeds the number of cores of an entry VM.
const admitShardCount = 32

// Admit limits the number of requests that each account has in flight at this daemon. It is safe for concurrent use.
type Admit struct {
	shards [admitShardCount]admitShard
}

type admitShard struct {
	mu       sync.Mutex
	inFlight map[string]int // by account
}

// NewAdmit returns an Admit filter without requests in flight.
func NewAdmit() *Admit { return &Admit{} }

// Name returns "admit".
func (f *Admit) Name() string { return "admit" }

// Apply rejects a request whose account is at its limit or whose deadline has passed.
func (f *Admit) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	if ctx.Err() != nil {
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "the deadline passed before the request was admitted")
	}

	h := &f.shards[shard.Index(r.Account().Name(), admitShardCount)]
	if !h.acquire(r.Account()) {
		return outcome.New(outcome.AccountLimited, outcome.NotRun,
			"account %q has %d requests in flight, which is its limit", r.Account().Name(), r.Account().Concurrency()).
			WithRetryAfter(time.Second)
	}
	defer h.release(r.Account())

	return next.Handle(ctx, r, s)
}

// InFlight returns the number of requests that an account has in flight at this daemon.
func (f *Admit) InFlight(account string) int {
	h := &f.shards[shard.Index(account, admitShardCount)]

	h.mu.Lock()
	defer h.mu.Unlock()

	return h.inFlight[account]
}

// acquire counts a request of an account. It returns false if the account is at its limit.
func (h *admitShard) acquire(a Account) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if a.Concurrency() > 0 && h.inFlight[a.Name()] >= a.Concurrency() {
		return false
	}

	if h.inFlight == nil {
		h.inFlight = map[string]int{}
	}

	h.inFlight[a.Name()]++

	return true
}

func (h *admitShard) release(a Account) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.inFlight[a.Name()]--
	if h.inFlight[a.Name()] == 0 {
		delete(h.inFlight, a.Name())
	}
}
