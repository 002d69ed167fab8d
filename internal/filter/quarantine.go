package filter

import "context"

// Quarantines tracks the requests that crashed endpoints.
type Quarantines interface {
	// Check fails with result.RequestQuarantined if requests with the fingerprint are quarantined.
	Check(ctx context.Context, fingerprint uint64) error
}

// Quarantine refuses requests that crashed endpoints before. In a chain with Deduplicate it comes later, so that a
// resend of a request that may have run is never told that it did not run.
type Quarantine struct {
	Quarantines Quarantines
}

// Handle implements Filter.
func (f Quarantine) Handle(ctx context.Context, x *Exchange, next Next) error {
	if err := f.Quarantines.Check(ctx, Fingerprint(x)); err != nil {
		return err
	}
	return next(ctx, x)
}
