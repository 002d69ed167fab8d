package session

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/configuration"
	"cornelmux/internal/rollout"
	"cornelmux/pkg/catalog"
)

// Query asks for the version that a request of a session runs on.
type Query struct {
	Snapshot configuration.Snapshot
	Account  catalog.ClientAccount
	Model    catalog.Model
	Session  string
	// Transient says that the session exists for this request only and needn't be remembered.
	Transient bool
}

// DecideInput is what a VM knows about a session besides the configuration.
type DecideInput struct {
	// BoundVersion is the version that the session has on this VM, or "".
	BoundVersion string
	// RemoteVersions lists the versions that the session may have had on other VMs, the latest first.
	RemoteVersions []string
	// ConfirmedRecently says that the configuration was confirmed as the newest within the freshness limit.
	ConfirmedRecently bool
}

// Decide returns the version for a request of a session: the one that it is bound to, else one that it may have had on
// another VM, else the one that the rule gives to new sessions. A halt doesn't end a binding; a withdrawal or a removed
// grant does. If the session may have had the rule's version elsewhere, that wins over other remote versions.
// The error is that of rollout.PickVersion. resolveVersion calls it.
func Decide(q Query, r rollout.Rule, in DecideInput) (string, error) {
	c, model := &q.Snapshot.Catalog, q.Model.Name
	if rollout.Usable(c, q.Account, model, in.BoundVersion) {
		return in.BoundVersion, nil
	}
	pick, err := rollout.PickVersion(c, q.Account, q.Model, r, q.Session, in.ConfirmedRecently)
	other := ""
	for _, v := range in.RemoteVersions {
		if v == pick {
			return pick, err
		}
		if other == "" && rollout.Usable(c, q.Account, model, v) {
			other = v
		}
	}
	if other != "" {
		return other, nil
	}
	return pick, err
}

// activationTime returns when a rule received at now applies to new sessions: maxDelay after the step was taken, so that
// all VMs switch together, but neither in the past nor later than maxDelay from now. Without a rollout or the time
// of its step it is maxDelay from now. A halt applies at once. applySnapshot calls it for each changed rule.
func activationTime(r rollout.Rule, now time.Time, maxDelay time.Duration) time.Time {
	if r.State == catalog.RollOutHalted {
		return now
	}
	wait := time.Unix(r.StepAt, 0).Add(maxDelay).Sub(now)
	if r.State == "" || r.StepAt == 0 {
		wait = maxDelay
	}
	return now.Add(min(max(wait, 0), maxDelay))
}

// hashKey returns the key of a client account's session with a model.
func hashKey(account, model, session string) uint64 {
	return xxhash.Sum64String(account + "\x00" + model + "\x00" + session)
}
