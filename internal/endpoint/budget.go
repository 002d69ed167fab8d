package endpoint

// Budget bounds retries to a share of the requests, so that retries can't multiply an overload.
type Budget struct {
	// Share is how many retries each request allows.
	Share float64
	// Limit is how many retries may be saved up.
	Limit  float64
	Tokens float64
}

// Request counts a request.
func (b *Budget) Request() { b.Tokens = min(b.Limit, b.Tokens+b.Share) }

// Retry reports whether a retry is allowed, and counts it.
func (b *Budget) Retry() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
