// Package rollout decides which version of a model a session runs on while versions are rolled out and withdrawn.
package rollout

import (
	"github.com/cespare/xxhash/v2"

	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const bucketCount = 1 << 20

// Bucket places a session of a model in [0, 1); a roll-out takes the buckets below its share.
func Bucket(model, session string) float64 {
	return float64(xxhash.Sum64String(model+"\x00"+session)%bucketCount) / bucketCount
}

// Pick returns the version that a session with no binding runs on.
// It is a pure function of its arguments, so that every VM gives the same answer.
// The error is a *result.Error: VersionWithdrawn, VersionNotAllowed or ModelNotAllowed.
func Pick(c *catalog.Configuration, a catalog.ClientAccount, m catalog.Model, session string, fresh bool) (string, error) {
	r, rolling := c.FindRollOut(m.Name)
	if rolling && takes(r, m, session, fresh) && usable(c, a, m.Name, r.Version) {
		return r.Version, nil
	}
	if usable(c, a, m.Name, m.Stable) {
		return m.Stable, nil
	}
	return fallback(c, a, m, r)
}

// takes reports whether the roll-out moves the session; a VM whose configuration may be stale moves none.
func takes(r catalog.RollOut, m catalog.Model, session string, fresh bool) bool {
	switch r.State {
	case catalog.RollOutRunning:
		return fresh && Bucket(m.Name, session) < r.Share
	case catalog.RollOutDone:
		return true
	default:
		return false
	}
}

// fallback returns the first version in the model's order that is still usable and not under roll-out.
func fallback(c *catalog.Configuration, a catalog.ClientAccount, m catalog.Model, r catalog.RollOut) (string, error) {
	withdrawn := c.Withdrawn(m.Name, m.Stable)
	for _, v := range m.Versions {
		if v.Name != r.Version && usable(c, a, m.Name, v.Name) {
			return v.Name, nil
		}
	}
	if withdrawn {
		return "", result.Errorf(result.VersionWithdrawn, "version %s/%s", m.Name, m.Stable)
	}
	return "", result.Errorf(result.VersionNotAllowed, "model %s", m.Name)
}

func usable(c *catalog.Configuration, a catalog.ClientAccount, model, version string) bool {
	return a.Allows(model, version) && !c.Withdrawn(model, version)
}
