package retry

import (
	"math/rand/v2"
	"time"
)

// baseRetryDelay and maxRetryDelay are the lowest and the highest bound on the random part of the delay.
const (
	baseRetryDelay = 10 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
)

// Backoff returns the delay before retry n, counted from 0: half of baseRetryDelay plus a random time. The bound on the
// random time is baseRetryDelay for n = 0, and doubles with n up to maxRetryDelay. The randomness keeps the retries of
// many daemons from arriving together.
func Backoff(n int, r *rand.Rand) time.Duration {
	bound := maxRetryDelay
	if n < 8 { //nolint:mnd // 10 ms doubled eight times is above the bound
		bound = min(maxRetryDelay, baseRetryDelay<<max(0, n))
	}

	return baseRetryDelay/2 + time.Duration(r.Int64N(int64(bound)))
}

// StartsBeforeDeadline reports whether an attempt after a delay starts before the deadline. A zero deadline means that
// there is none.
func StartsBeforeDeadline(now time.Time, delay time.Duration, deadline time.Time) bool {
	return deadline.IsZero() || now.Add(delay).Before(deadline)
}
