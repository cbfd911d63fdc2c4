package admission

import (
	"math/rand/v2"
	"time"
)

// Bounds of the wait in Retry-After, before jitter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
)

// RetryAfter returns the delay to suggest to a refused caller: the predicted wait plus
// a random jitter of up to half of it, so that callers do not all retry at the same
// time.
func RetryAfter(wait time.Duration, rng *rand.Rand) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(rng.Int64N(int64(wait)/2+1))
}
