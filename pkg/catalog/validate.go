package catalog

import (
	"errors"
	"fmt"
)

// Limits of a configuration.
const (
	MaxAccounts      = 20_000 // client accounts in a configuration
	MaxNameBytes     = 64     // length of an object's name, in bytes
	keyHashDigits    = 64     // hexadecimal digits of a SHA-256
	maxCascadeLevels = 8      // levels of a cascade
	maxRolloutSteps  = 32     // steps of a rollout
)

// Validate checks the configuration and returns all errors joined, or nil. Parse and Change.Apply call it.
func (c *Configuration) Validate() error {
	v := validator{cfg: c}
	v.checkAccounts()
	v.checkModels()
	v.checkCascades()
	v.checkServices()
	v.checkRollouts()
	v.checkWithdrawals()
	return errors.Join(v.errs...)
}

// validator collects the errors of a configuration. Validate calls each method for a type of objects once.
type validator struct {
	cfg  *Configuration
	errs []error
}

// check adds an error unless ok.
func (v *validator) check(ok bool, format string, args ...any) {
	if !ok {
		v.errs = append(v.errs, fmt.Errorf(format, args...))
	}
}

// checkNames checks that each name has a valid length and is unique.
func (v *validator) checkNames(kind string, names []string) {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		v.check(n != "" && len(n) <= MaxNameBytes, "%s %q: a name must have 1 to %d bytes", kind, n, MaxNameBytes)
		v.check(!seen[n], "%s %q: is listed twice", kind, n)
		seen[n] = true
	}
}

// checkAccounts checks the client accounts, and that what they may use exists.
func (v *validator) checkAccounts() {
	v.check(len(v.cfg.Accounts) <= MaxAccounts, "accounts: more than %d", MaxAccounts)
	v.checkNames("account", namesOf(v.cfg.Accounts, func(a ClientAccount) string { return a.Name }))
	v.checkNames("account key hash", namesOf(v.cfg.Accounts, func(a ClientAccount) string { return a.KeyHash }))
	for _, a := range v.cfg.Accounts {
		v.check(len(a.KeyHash) == keyHashDigits, "account %q: key_hash must have %d hexadecimal digits", a.Name, keyHashDigits)
		v.check(a.HomeRegion != "", "account %q: home_region is empty", a.Name)
		v.check(a.RequestsPerSecond >= 0 && a.Burst >= 0, "account %q: requests_per_second or burst is negative", a.Name)
		v.checkSource(a.Name, "request_id", a.RequestID)
		v.checkSource(a.Name, "session", a.Session)
		for _, g := range a.Grants {
			m, ok := v.cfg.FindModel(g.Model)
			v.check(ok, "account %q: grant of unknown model %q", a.Name, g.Model)
			for _, n := range g.Versions {
				_, known := m.FindVersion(n)
				v.check(known, "account %q: grant of unknown version %s/%s", a.Name, g.Model, n)
			}
		}
		for _, n := range a.Cascades {
			_, ok := v.cfg.FindCascade(n)
			v.check(ok, "account %q: unknown cascade %q", a.Name, n)
		}
		for _, n := range a.Services {
			_, ok := v.cfg.FindService(n)
			v.check(ok, "account %q: unknown service %q", a.Name, n)
		}
	}
}

// checkSource checks that a source with a place also has a name.
func (v *validator) checkSource(account, field string, s Source) {
	switch s.Place {
	case PlaceNone:
	case PlaceHeader, PlaceField, PlacePath:
		v.check(s.Name != "", "account %q: %s has a place but no name", account, field)
	default:
		v.check(false, "account %q: %s has unknown place %q", account, field, s.Place)
	}
}

// checkModels checks the models and their versions. Cascades share the namespace of models.
func (v *validator) checkModels() {
	v.checkNames("model", namesOf(v.cfg.Models, func(m Model) string { return m.Name }))
	for _, m := range v.cfg.Models {
		v.checkNames("version of "+m.Name, namesOf(m.Versions, func(n Version) string { return n.Name }))
		_, ok := m.FindVersion(m.Stable)
		v.check(ok, "model %q: stable version %q is not listed", m.Name, m.Stable)
		_, clash := v.cfg.FindCascade(m.Name)
		v.check(!clash, "model %q: a cascade has the same name", m.Name)
	}
}

// checkCascades checks the cascades, and that the models of their levels exist.
func (v *validator) checkCascades() {
	v.checkNames("cascade", namesOf(v.cfg.Cascades, func(c Cascade) string { return c.Name }))
	for _, c := range v.cfg.Cascades {
		v.check(len(c.Levels) > 0 && len(c.Levels) <= maxCascadeLevels, "cascade %q: needs 1 to %d levels", c.Name, maxCascadeLevels)
		v.check(c.QualityTarget >= 0 && c.QualityTarget <= 1, "cascade %q: quality_target must be between 0 and 1", c.Name)
		for _, l := range c.Levels {
			_, ok := v.cfg.FindModel(l.Model)
			v.check(ok, "cascade %q: unknown model %q", c.Name, l.Model)
		}
	}
}

// checkServices checks the services and their routes.
func (v *validator) checkServices() {
	v.checkNames("service", namesOf(v.cfg.Services, func(s Service) string { return s.Name }))
	for _, s := range v.cfg.Services {
		for _, r := range s.Routes {
			v.check(r.Method != "" && len(r.Path) > 0 && r.Path[0] == '/', "service %q: a route needs a method and a path that begins with /", s.Name)
		}
	}
}

// checkRollouts checks the rollouts, at most one for each model, that their versions exist, and that their steps increase.
func (v *validator) checkRollouts() {
	v.checkNames("roll-out", namesOf(v.cfg.RollOuts, func(r RollOut) string { return r.Model }))
	for _, r := range v.cfg.RollOuts {
		m, ok := v.cfg.FindModel(r.Model)
		_, known := m.FindVersion(r.Version)
		v.check(ok && known, "rollout %s/%s: unknown version", r.Model, r.Version)
		v.check(r.Share >= 0 && r.Share <= 1, "rollout %s/%s: share must be between 0 and 1", r.Model, r.Version)
		valid := r.State == RollOutRunning || r.State == RollOutHalted || r.State == RollOutDone
		v.check(valid, "rollout %s/%s: unknown state %q", r.Model, r.Version, r.State)
		last := 0.0
		for _, step := range r.Steps {
			v.check(step > last && step <= 1, "rollout %s/%s: steps must increase from above 0 to at most 1", r.Model, r.Version)
			last = step
		}
		v.check(len(r.Steps) <= maxRolloutSteps, "rollout %s/%s: more than %d steps", r.Model, r.Version, maxRolloutSteps)
		v.check(r.StepSeconds >= 0, "rollout %s/%s: step_seconds is negative", r.Model, r.Version)
	}
}

// checkWithdrawals checks that each withdrawal names a version. The version needn't exist any more.
func (v *validator) checkWithdrawals() {
	for _, w := range v.cfg.Withdrawals {
		v.check(w.Model != "" && w.Version != "", "withdrawal %s/%s: needs a model and a version", w.Model, w.Version)
	}
}

// namesOf returns the names of the elements of a list.
func namesOf[T any](list []T, name func(T) string) []string {
	names := make([]string, 0, len(list))
	for _, v := range list {
		names = append(names, name(v))
	}
	return names
}
