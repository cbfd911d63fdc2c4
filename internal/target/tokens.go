package target

// defaultBytesPerToken is used for a model before any engine has reported a count.
const defaultBytesPerToken = 4

// TokenEstimator estimates the number of prompt tokens from the number of bytes. For
// each model it keeps a moving average of the tokens per byte that engines counted,
// and assumes defaultBytesPerToken until the first count.
type TokenEstimator struct {
	tokensPerByte map[string]float64
}

// Estimate returns the expected number of prompt tokens for a prompt of so many
// bytes, at least 1.
func (e *TokenEstimator) Estimate(model string, bytes int) int {
	ratio := e.tokensPerByte[model]
	if ratio == 0 {
		ratio = 1.0 / defaultBytesPerToken
	}
	return max(1, int(float64(bytes)*ratio+0.5))
}

// AddSample adds an engine's count of the tokens in a prompt. Counts of zero are
// ignored.
func (e *TokenEstimator) AddSample(model string, bytes, tokens int) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	if e.tokensPerByte == nil {
		e.tokensPerByte = make(map[string]float64)
	}
	e.tokensPerByte[model] = movingAverage(e.tokensPerByte[model], float64(tokens)/float64(bytes))
}
