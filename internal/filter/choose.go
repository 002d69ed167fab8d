package filter

import (
	"context"

	"cornelmux/internal/configuration"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// Sessions chooses the version that a session runs on, and remembers it.
type Sessions interface {
	Version(ctx context.Context, s configuration.Snapshot, a catalog.ClientAccount, model, session string) (string, error)
}

// Choose binds the attempt to the version of its session.
type Choose struct {
	Sessions Sessions
}

// Handle implements Filter.
func (f Choose) Handle(ctx context.Context, x *Exchange, next Next) error {
	if x.Request.Kind == KindService {
		return next(ctx, x)
	}
	version, err := f.Sessions.Version(ctx, x.Snapshot, x.Account, x.Attempt.Model, x.Request.Session)
	if err != nil {
		return err
	}
	x.Attempt.Version = version
	return next(ctx, x)
}

// Usable returns an error unless the account may use the version now: it may be withdrawn or no longer allowed.
func Usable(s configuration.Snapshot, account string, a Attempt, r Request) error {
	now, ok := s.Catalog.FindAccount(account)
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
