package endpoint

// RetryBudget is a token bucket that bounds retries to a ratio of the requests, so that retries cannot multiply an
// overload. The Controller counts every placement in it.
type RetryBudget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Capacity is the highest number of retries that can be saved up.
	Capacity float64
	// Tokens is the number of retries allowed now.
	Tokens float64
}

// CountRequest adds the retries that a first attempt allows.
func (b *RetryBudget) CountRequest() { b.Tokens = min(b.Capacity, b.Tokens+b.Ratio) }

// TakeRetry reports whether a retry is allowed, and if so takes it from the budget.
func (b *RetryBudget) TakeRetry() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
