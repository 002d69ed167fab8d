// Package rollout moves the sessions of a model to another version in operator-defined steps. It decides which version
// a new session runs on, when a rollout takes its next step, and when the evidence about the version halts it.
package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// bucketCount is the number of values that Bucket distinguishes.
const bucketCount = 1 << 20

// Rule determines the version of new sessions of a model: its stable version and its rollout, if it has one.
type Rule struct {
	Model string
	// Stable is the stable version of the rule in force, which may lag behind the newest configuration.
	Stable string
	// Version is the version under rollout, or "" if there is no rollout.
	Version string
	// Share is the fraction of sessions, 0 to 1, that run on Version.
	Share float64
	State catalog.RollOutState
	// StepAt and StartedAt are the times of the current step and of the run's start, in Unix seconds.
	StepAt    int64
	StartedAt int64
}

// RuleOf returns the model's rule in the configuration. The session Controller calls it for each model of a new
// configuration.
func RuleOf(c *catalog.Configuration, m catalog.Model) Rule {
	r, _ := c.FindRollOut(m.Name)
	return Rule{
		Model: m.Name, Stable: m.Stable, Version: r.Version, Share: r.Share,
		State: r.State, StepAt: r.StepAt, StartedAt: r.StartedAt,
	}
}

// Halted returns the rule with its rollout halted.
func (r Rule) Halted() Rule {
	r.State = catalog.RollOutHalted
	return r
}

// Bucket maps a session of a model to [0, 1) by hash. A rollout moves the sessions whose bucket is below its share.
func Bucket(model, session string) float64 {
	return float64(xxhash.Sum64String(model+"\x00"+session)%bucketCount) / bucketCount
}

// PickVersion returns the version for a session that isn't bound to one. fresh says whether the configuration was
// recently confirmed as the newest. The result depends on the arguments alone, so that all VMs agree.
// The error is a *result.Error with VersionWithdrawn or VersionNotAllowed. session.Decide calls it.
func PickVersion(c *catalog.Configuration, a catalog.ClientAccount, m catalog.Model, r Rule, session string, fresh bool) (string, error) {
	if r.moves(session, fresh) && Usable(c, a, m.Name, r.Version) {
		return r.Version, nil
	}
	if Usable(c, a, m.Name, r.Stable) {
		return r.Stable, nil
	}
	return fallback(c, a, m, r)
}

// moves reports whether the rollout moves the session. PickVersion calls it.
// A running rollout moves none on a VM whose configuration may be stale.
func (r Rule) moves(session string, fresh bool) bool {
	switch r.State {
	case catalog.RollOutRunning:
		return fresh && Bucket(r.Model, session) < r.Share
	case catalog.RollOutDone:
		return true
	default:
		return false
	}
}

// fallback returns the first version in the model's list that is usable and isn't under rollout.
// PickVersion calls it when the stable version isn't usable. The error names m.Stable, the newest stable version,
// which may differ from r.Stable until a change of it applies.
func fallback(c *catalog.Configuration, a catalog.ClientAccount, m catalog.Model, r Rule) (string, error) {
	for _, v := range m.Versions {
		if v.Name != r.Version && Usable(c, a, m.Name, v.Name) {
			return v.Name, nil
		}
	}
	if c.Withdrawn(m.Name, m.Stable) {
		return "", result.Errorf(result.VersionWithdrawn, "version %s/%s", m.Name, m.Stable)
	}
	return "", result.Errorf(result.VersionNotAllowed, "model %s", m.Name)
}

// Usable reports whether the version isn't withdrawn and the client account may use it.
func Usable(c *catalog.Configuration, a catalog.ClientAccount, model, version string) bool {
	return version != "" && a.Allows(model, version) && !c.Withdrawn(model, version)
}

// AdvanceIfDue returns the rollout after its next step and true if that step is due. The Controller calls it on each
// check.
func AdvanceIfDue(r catalog.RollOut, now time.Time) (catalog.RollOut, bool) {
	if r.StepSeconds == 0 || now.Unix() < r.StepAt+int64(r.StepSeconds) {
		return r, false
	}
	return Advance(r, now)
}

// Advance returns the rollout after its next step and true, or false if it isn't running or has no further step.
// After the last step, a rollout with share 1 becomes done. Operators' commands call it to take a step early.
func Advance(r catalog.RollOut, now time.Time) (catalog.RollOut, bool) {
	if r.State != catalog.RollOutRunning {
		return r, false
	}
	i := slices.IndexFunc(r.Steps, func(share float64) bool { return share > r.Share })
	switch {
	case i >= 0:
		r.Share = r.Steps[i]
	case r.Share >= 1:
		r.State = catalog.RollOutDone
	default:
		return r, false
	}
	r.StepAt = now.Unix()
	return r, true
}

// StepID returns the ID of the change that leads to r. All VMs that propose the same step use the same ID.
func StepID(r catalog.RollOut) string {
	return fmt.Sprintf("rollout-%s-%s-%d-%s-%g", r.Model, r.Version, r.StartedAt, r.State, r.Share)
}
