package filter

import (
	"context"

	"cornelmux/internal/configuration"
	"cornelmux/internal/session"
	"cornelmux/pkg/result"
)

// Sessions chooses the version for a session and remembers it.
type Sessions interface {
	Version(ctx context.Context, q session.Query) (string, error)
}

// Evidence counts the answers and failures of versions. It must not block.
type Evidence interface {
	CountAnswer(model, version string, failed bool)
}

// SelectVersion sets the version of the attempt to the one that its session is bound to.
type SelectVersion struct {
	Sessions Sessions
	Evidence Evidence
}

// Handle implements Filter. Plain services have no versions, so their requests pass unchanged.
func (f SelectVersion) Handle(ctx context.Context, x *Exchange, next Next) error {
	if x.Request.Kind == KindService {
		return next(ctx, x)
	}
	m, ok := x.Snapshot.Model(x.Attempt.Model)
	if !ok {
		return result.Errorf(result.ModelNotAllowed, "model %q is not configured", x.Attempt.Model)
	}
	version, err := f.Sessions.Version(ctx, session.Query{
		Snapshot: x.Snapshot, Account: x.Account, Model: m,
		Session: x.Request.Session, Transient: x.Request.Transient,
	})
	if err != nil {
		return err
	}
	x.Attempt.Version = version
	err = next(ctx, x)
	if counted, failed := classifyForVersion(err); counted {
		f.Evidence.CountAnswer(m.Name, version, failed)
	}
	return err
}

// classifyForVersion reports whether the end of an attempt counts as evidence on the version, and whether as a failure.
// Refusals and deadlines do not count. Handle calls it once the rest of the chain has returned.
func classifyForVersion(err error) (counted, failed bool) {
	if err == nil {
		return true, false
	}
	switch result.From(err).Code {
	case result.EndpointFailed, result.AnswerBroken, result.OutcomeUnknown:
		return true, true
	default:
		return false, false
	}
}

// CheckAllowed returns an error unless the account may make the request with the version of the attempt now: since the
// version was selected, it may have been withdrawn or the account changed. Send calls it before each send that doesn't
// resume a stream.
func CheckAllowed(s configuration.Snapshot, account string, a Attempt, r Request) error {
	now, ok := s.Account(account)
	if !ok {
		return result.Errorf(result.BadKey, "the client account was removed")
	}
	if _, err := Permit(s, now, r); err != nil {
		return err
	}
	if r.Kind == KindService {
		return nil
	}
	if s.Catalog.Withdrawn(a.Model, a.Version) {
		return result.Errorf(result.VersionWithdrawn, "version %s/%s is withdrawn", a.Model, a.Version)
	}
	if !now.Allows(a.Model, a.Version) {
		return result.Errorf(result.VersionNotAllowed, "the client account may not use version %s/%s", a.Model, a.Version)
	}
	return nil
}
