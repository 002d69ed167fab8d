package catalog

import (
	"errors"
	"fmt"
)

// Limits of a configuration.
const (
	MaxAccounts     = 20_000
	MaxNameBytes    = 64
	keyHashLength   = 64
	maxCascadeLevel = 8
	maxSteps        = 32
)

// Validate returns every error of the configuration, joined.
func (c *Configuration) Validate() error {
	v := validator{cfg: c}
	v.accounts()
	v.models()
	v.cascades()
	v.services()
	v.rollOuts()
	v.withdrawals()
	return errors.Join(v.errs...)
}

type validator struct {
	cfg  *Configuration
	errs []error
}

func (v *validator) check(ok bool, format string, args ...any) {
	if !ok {
		v.errs = append(v.errs, fmt.Errorf(format, args...))
	}
}

func (v *validator) names(kind string, names []string) {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		v.check(n != "" && len(n) <= MaxNameBytes, "%s %q: a name has 1 to %d bytes", kind, n, MaxNameBytes)
		v.check(!seen[n], "%s %q: stands twice", kind, n)
		seen[n] = true
	}
}

func (v *validator) accounts() {
	v.check(len(v.cfg.Accounts) <= MaxAccounts, "accounts: over %d", MaxAccounts)
	v.names("account", namesOf(v.cfg.Accounts, func(a ClientAccount) string { return a.Name }))
	v.names("account key hash", namesOf(v.cfg.Accounts, func(a ClientAccount) string { return a.KeyHash }))
	for _, a := range v.cfg.Accounts {
		v.check(len(a.KeyHash) == keyHashLength, "account %q: key_hash has %d hexadecimal digits", a.Name, keyHashLength)
		v.check(a.HomeRegion != "", "account %q: home_region is empty", a.Name)
		v.check(a.RequestsPerSecond >= 0 && a.Burst >= 0, "account %q: a limit is negative", a.Name)
		v.source(a.Name, "request_id", a.RequestID)
		v.source(a.Name, "session", a.Session)
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

func (v *validator) source(account, field string, s Source) {
	switch s.Place {
	case PlaceNone:
	case PlaceHeader, PlaceField, PlacePath:
		v.check(s.Name != "", "account %q: %s has a place but no name", account, field)
	default:
		v.check(false, "account %q: %s has unknown place %q", account, field, s.Place)
	}
}

func (v *validator) models() {
	v.names("model", namesOf(v.cfg.Models, func(m Model) string { return m.Name }))
	for _, m := range v.cfg.Models {
		v.names("version of "+m.Name, namesOf(m.Versions, func(n Version) string { return n.Name }))
		_, ok := m.FindVersion(m.Stable)
		v.check(ok, "model %q: stable version %q is not listed", m.Name, m.Stable)
		_, clash := v.cfg.FindCascade(m.Name)
		v.check(!clash, "model %q: a cascade has the same name", m.Name)
	}
}

func (v *validator) cascades() {
	v.names("cascade", namesOf(v.cfg.Cascades, func(c Cascade) string { return c.Name }))
	for _, c := range v.cfg.Cascades {
		v.check(len(c.Levels) > 0 && len(c.Levels) <= maxCascadeLevel, "cascade %q: needs 1 to %d levels", c.Name, maxCascadeLevel)
		v.check(c.QualityTarget >= 0 && c.QualityTarget <= 1, "cascade %q: quality_target is 0 to 1", c.Name)
		for _, l := range c.Levels {
			_, ok := v.cfg.FindModel(l.Model)
			v.check(ok, "cascade %q: unknown model %q", c.Name, l.Model)
		}
	}
}

func (v *validator) services() {
	v.names("service", namesOf(v.cfg.Services, func(s Service) string { return s.Name }))
	for _, s := range v.cfg.Services {
		for _, r := range s.Routes {
			v.check(r.Method != "" && len(r.Path) > 0 && r.Path[0] == '/', "service %q: a route needs a method and a path that begins with /", s.Name)
		}
	}
}

func (v *validator) rollOuts() {
	v.names("roll-out", namesOf(v.cfg.RollOuts, func(r RollOut) string { return r.Model }))
	for _, r := range v.cfg.RollOuts {
		m, ok := v.cfg.FindModel(r.Model)
		_, known := m.FindVersion(r.Version)
		v.check(ok && known, "roll-out %s/%s: unknown version", r.Model, r.Version)
		v.check(r.Share >= 0 && r.Share <= 1, "roll-out %s/%s: share is 0 to 1", r.Model, r.Version)
		valid := r.State == RollOutRunning || r.State == RollOutHalted || r.State == RollOutDone
		v.check(valid, "roll-out %s/%s: unknown state %q", r.Model, r.Version, r.State)
		last := 0.0
		for _, step := range r.Steps {
			v.check(step > last && step <= 1, "roll-out %s/%s: steps grow from above 0 up to 1", r.Model, r.Version)
			last = step
		}
		v.check(len(r.Steps) <= maxSteps, "roll-out %s/%s: over %d steps", r.Model, r.Version, maxSteps)
		v.check(r.StepSeconds >= 0, "roll-out %s/%s: step_seconds is negative", r.Model, r.Version)
	}
}

func (v *validator) withdrawals() {
	for _, w := range v.cfg.Withdrawals {
		v.check(w.Model != "" && w.Version != "", "withdrawal %s/%s: needs a model and a version", w.Model, w.Version)
	}
}

func namesOf[T any](list []T, name func(T) string) []string {
	names := make([]string, 0, len(list))
	for _, v := range list {
		names = append(names, name(v))
	}
	return names
}
