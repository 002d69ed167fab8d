// Package configuration keeps the operators' configuration up to date on a VM: it follows the platform's head key and
// other VMs, never moves to an older revision, and merges submitted changes.
package configuration

import (
	"crypto/subtle"
	"slices"
	"time"

	"cornelmux/pkg/catalog"
)

// Snapshot is an indexed revision of the configuration. It must not be modified.
type Snapshot struct {
	Revision uint64
	Catalog  catalog.Configuration
	// ConfirmedAt is the time of the last request to the platform, from this VM or a peer, that found Revision to be
	// the newest; zero if there was none.
	ConfirmedAt time.Time
	// keys and names map key hashes and names of client accounts to indices of Catalog.Accounts, models those of models.
	keys   map[string]int
	names  map[string]int
	models map[string]int
}

// NewSnapshot creates a Snapshot of a configuration. assemble calls it for each new revision.
func NewSnapshot(revision uint64, c catalog.Configuration, confirmedAt time.Time) Snapshot {
	s := Snapshot{
		Revision: revision, Catalog: c, ConfirmedAt: confirmedAt,
		keys:   make(map[string]int, len(c.Accounts)),
		names:  make(map[string]int, len(c.Accounts)),
		models: make(map[string]int, len(c.Models)),
	}
	for i, a := range c.Accounts {
		s.keys[a.KeyHash] = i
		s.names[a.Name] = i
	}
	for i, m := range c.Models {
		s.models[m.Name] = i
	}
	return s
}

// AccountByKey returns the client account with the bearer key. It is called to authenticate each request.
func (s Snapshot) AccountByKey(key string) (catalog.ClientAccount, bool) {
	hash := catalog.HashKey(key)
	i, ok := s.keys[hash]
	if !ok {
		return catalog.ClientAccount{}, false
	}
	a := s.Catalog.Accounts[i]
	return a, subtle.ConstantTimeCompare([]byte(hash), []byte(a.KeyHash)) == 1
}

// Account returns the named client account.
func (s Snapshot) Account(name string) (catalog.ClientAccount, bool) {
	i, ok := s.names[name]
	if !ok {
		return catalog.ClientAccount{}, false
	}
	return s.Catalog.Accounts[i], true
}

// Model returns the named model.
func (s Snapshot) Model(name string) (catalog.Model, bool) {
	i, ok := s.models[name]
	if !ok {
		return catalog.Model{}, false
	}
	return s.Catalog.Models[i], true
}

// RolloutRunning reports whether a rollout is running.
func (s Snapshot) RolloutRunning() bool {
	return slices.ContainsFunc(s.Catalog.RollOuts, func(r catalog.RollOut) bool { return r.State == catalog.RollOutRunning })
}
