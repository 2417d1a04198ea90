package retry

import (
	"math/rand/v2"
	"time"
)

const (
	baseRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Backoff returns the delay before retry n, from 0: a random time up to a bound that doubles with n, so that the
// retries of many daemons do not arrive together.
func Backoff(n int, r *rand.Rand) time.Duration {
	most := maxRetryDelay
	if n < 8 { //nolint:mnd // 10 ms doubled eight times is above the bound
		most = min(maxRetryDelay, baseRetryDelay<<max(0, n))
	}

	return baseRetryDelay/2 + time.Duration(r.Int64N(int64(most)))
}

// StartsBeforeDeadline reports whether an attempt that starts after a delay still starts before the deadline.
func StartsBeforeDeadline(now time.Time, delay time.Duration, deadline time.Time) bool {
	return deadline.IsZero() || now.Add(delay).Before(deadline)
}
