// Package rollout decides which version of a model a session runs on while versions are rolled out and withdrawn,
// when a roll-out takes its next step, and when the evidence halts it.
package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const bucketCount = 1 << 20

// Rule is what decides on new sessions of a model: its stable version and its roll-out, if it has one.
type Rule struct {
	Model   string
	Stable  string
	Version string
	Share   float64
	State   catalog.RollOutState
	// StepAt and StartedAt are in Unix seconds.
	StepAt    int64
	StartedAt int64
}

// RuleOf returns the model's rule in a configuration.
func RuleOf(c *catalog.Configuration, m catalog.Model) Rule {
	r, _ := c.FindRollOut(m.Name)
	return Rule{
		Model: m.Name, Stable: m.Stable, Version: r.Version, Share: r.Share,
		State: r.State, StepAt: r.StepAt, StartedAt: r.StartedAt,
	}
}

// Halted returns the rule with its roll-out halted.
func (r Rule) Halted() Rule {
	r.State = catalog.RollOutHalted
	return r
}

// Bucket places a session of a model in [0, 1); a roll-out takes the buckets below its share.
func Bucket(model, session string) float64 {
	return float64(xxhash.Sum64String(model+"\x00"+session)%bucketCount) / bucketCount
}

// Pick returns the version that a session with no binding runs on.
// It is a pure function of its arguments, so that every VM gives the same answer.
// The error is a *result.Error: VersionWithdrawn or VersionNotAllowed.
func Pick(c *catalog.Configuration, a catalog.ClientAccount, m catalog.Model, r Rule, session string, fresh bool) (string, error) {
	if r.takes(session, fresh) && Usable(c, a, m.Name, r.Version) {
		return r.Version, nil
	}
	if Usable(c, a, m.Name, r.Stable) {
		return r.Stable, nil
	}
	return fallback(c, a, m, r)
}

// takes reports whether the roll-out moves the session; a VM whose configuration may be stale moves none.
func (r Rule) takes(session string, fresh bool) bool {
	switch r.State {
	case catalog.RollOutRunning:
		return fresh && Bucket(r.Model, session) < r.Share
	case catalog.RollOutDone:
		return true
	default:
		return false
	}
}

// fallback returns the first version in the model's order that is still usable and not under roll-out.
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

// Usable reports whether the version is in service, and the client account may use it.
func Usable(c *catalog.Configuration, a catalog.ClientAccount, model, version string) bool {
	return version != "" && a.Allows(model, version) && !c.Withdrawn(model, version)
}

// Next returns the roll-out after its next step, if that is due.
func Next(r catalog.RollOut, now time.Time) (catalog.RollOut, bool) {
	if r.StepSeconds == 0 || now.Unix() < r.StepAt+int64(r.StepSeconds) {
		return r, false
	}
	return Advance(r, now)
}

// Advance returns the roll-out after its next step; behind the last it is done once its share is 1.
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

// StepID is the ID of the change that leads to r; VMs that propose the same step agree on it.
func StepID(r catalog.RollOut) string {
	return fmt.Sprintf("rollout-%s-%s-%d-%s-%g", r.Model, r.Version, r.StartedAt, r.State, r.Share)
}
