package admission

import "time"

// Parameters of the retry budget. Retries are limited to a share of the requests, so
// that they cannot amplify a failure, with a small minimum rate for instances with
// little traffic.
const (
	retryShare     = 0.2 // retries per request
	minRetryRate   = 1.0 // per second
	maxRetryTokens = 50.0
)

// RetryBudget is a token bucket that fills with requests and drains with
// retries.
type RetryBudget struct {
	tokens    float64
	updatedAt time.Duration
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxRetryTokens} }

// RecordRequest adds the share of one arriving request to the budget.
func (b *RetryBudget) RecordRequest() { b.tokens = min(maxRetryTokens, b.tokens+retryShare) }

// Take consumes the budget for one retry and reports whether there was enough.
func (b *RetryBudget) Take(now time.Duration) bool {
	b.tokens = min(maxRetryTokens, b.tokens+minRetryRate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
