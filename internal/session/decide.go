package session

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/configuration"
	"cornelmux/internal/rollout"
	"cornelmux/pkg/catalog"
)

// Query asks for the version that a session runs on.
type Query struct {
	Snapshot configuration.Snapshot
	Account  catalog.ClientAccount
	Model    catalog.Model
	Session  string
	// Transient says that the session was made for one request, so that nothing has to be remembered.
	Transient bool
}

// Known is what a VM knows of a session besides the configuration.
type Known struct {
	// Bound is the version that the session has here, or "".
	Bound string
	// Seen lists the versions that the session may have had at other VMs.
	Seen []string
	// Fresh says that the configuration was proven lately.
	Fresh bool
}

// Decide keeps the version of a session while that is in service and allowed, and otherwise picks one.
// A halt leaves bound sessions where they are; a withdrawal or a removed grant ends the binding.
func Decide(q Query, r rollout.Rule, k Known) (string, error) {
	c, model := &q.Snapshot.Catalog, q.Model.Name
	if rollout.Usable(c, q.Account, model, k.Bound) {
		return k.Bound, nil
	}
	pick, err := rollout.PickVersion(c, q.Account, q.Model, r, q.Session, k.Fresh)
	other := ""
	for _, v := range k.Seen {
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

// effectAt returns when a rule that was learnt at now decides on new sessions: settle after the step was taken,
// so that VMs switch together, but neither in the past nor later than settle from now. A halt is in force at once.
func effectAt(r rollout.Rule, now time.Time, settle time.Duration) time.Time {
	if r.State == catalog.RollOutHalted {
		return now
	}
	wait := time.Unix(r.StepAt, 0).Add(settle).Sub(now)
	if r.State == "" || r.StepAt == 0 {
		wait = settle
	}
	return now.Add(min(max(wait, 0), settle))
}

// hashKey identifies a session of a model and client account.
func hashKey(account, model, session string) uint64 {
	return xxhash.Sum64String(account + "\x00" + model + "\x00" + session)
}
