package filter

import "context"

// Quarantines knows the requests that crashed endpoints.
type Quarantines interface {
	// Check refuses a quarantined request with result.RequestQuarantined.
	Check(ctx context.Context, fingerprint uint64) error
}

// Quarantine refuses a request that crashed endpoints before. It stands behind Deduplicate, so that a resend of a
// request that may have run is never told that it didn't.
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
