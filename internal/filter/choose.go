package filter

import (
	"context"

	"cornelmux/internal/configuration"
	"cornelmux/internal/session"
	"cornelmux/pkg/result"
)

// Sessions chooses the version that a session runs on, and remembers it.
type Sessions interface {
	Version(ctx context.Context, q session.Query) (string, error)
}

// Evidence counts how attempts on a version ended. It must not wait.
type Evidence interface {
	CountAnswer(model, version string, failed bool)
}

// SelectVersion binds the attempt to the version of its session.
type SelectVersion struct {
	Sessions Sessions
	Evidence Evidence
}

// Handle implements Filter.
func (f SelectVersion) Handle(ctx context.Context, x *Exchange, next Next) error {
	if x.Request.Kind == KindService {
		return next(ctx, x)
	}
	m, ok := x.Snapshot.Model(x.Attempt.Model)
	if !ok {
		return result.Errorf(result.ModelNotAllowed, "model %q", x.Attempt.Model)
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
	if counted, failed := judge(err); counted {
		f.Evidence.CountAnswer(m.Name, version, failed)
	}
	return err
}

// judge reports whether an end says something of the version, and whether it speaks against it.
func judge(err error) (counted, failed bool) {
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

// Usable returns an error unless the account may use the version now: it may be withdrawn or no longer allowed.
func Usable(s configuration.Snapshot, account string, a Attempt, r Request) error {
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
		return result.Errorf(result.VersionWithdrawn, "version %s/%s", a.Model, a.Version)
	}
	if !now.Allows(a.Model, a.Version) {
		return result.Errorf(result.VersionNotAllowed, "version %s/%s", a.Model, a.Version)
	}
	return nil
}
