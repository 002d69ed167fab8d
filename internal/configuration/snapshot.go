// Package configuration keeps the operators' configuration current on a VM: it follows the platform's head key and
// its peers, never moves back, and merges submitted changes.
package configuration

import (
	"crypto/subtle"
	"slices"
	"time"

	"cornelmux/pkg/catalog"
)

// Snapshot is one revision of the configuration. It is never written after it was made.
type Snapshot struct {
	Revision uint64
	Catalog  catalog.Configuration
	// ConfirmedAt is when the platform was last asked, directly or by a peer, and answered that Revision is the newest.
	ConfirmedAt time.Time
	keys        map[string]int
	names       map[string]int
	models      map[string]int
}

// NewSnapshot indexes a configuration.
func NewSnapshot(revision uint64, c catalog.Configuration, provenAt time.Time) Snapshot {
	s := Snapshot{
		Revision: revision, Catalog: c, ConfirmedAt: provenAt,
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

// AccountByKey returns the client account whose bearer key this is.
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

// Rolling reports whether a roll-out is running.
func (s Snapshot) Rolling() bool {
	return slices.ContainsFunc(s.Catalog.RollOuts, func(r catalog.RollOut) bool { return r.State == catalog.RollOutRunning })
}
