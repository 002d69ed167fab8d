package session

import (
	"maps"
	"time"
)

// binding is the version that a session of a model keeps.
type binding struct {
	model   string
	version string
}

// table remembers active sessions in two generations, so that its size is bounded and forgetting costs nothing.
type table struct {
	limit     int
	idle      time.Duration
	rotatedAt time.Time
	young     map[uint64]binding
	old       map[uint64]binding
}

func newTable(limit int, idle time.Duration) *table {
	return &table{limit: limit, idle: idle, young: map[uint64]binding{}, old: map[uint64]binding{}}
}

// get returns the version of a session that was used within the idle time, unless the table was full.
func (t *table) get(key uint64) string {
	if b, ok := t.young[key]; ok {
		return b.version
	}
	return t.old[key].version
}

// put remembers a session that is in use.
func (t *table) put(key uint64, b binding, now time.Time) {
	if t.rotatedAt.IsZero() {
		t.rotatedAt = now
	}
	if _, known := t.young[key]; !known && len(t.young) >= t.limit/2 {
		t.rotate(now)
	}
	t.young[key] = b
}

// age forgets the sessions that were not used for the idle time or longer.
func (t *table) age(now time.Time) {
	if now.Sub(t.rotatedAt) >= t.idle {
		t.rotate(now)
	}
}

func (t *table) rotate(now time.Time) {
	t.old, t.young, t.rotatedAt = t.young, map[uint64]binding{}, now
}

// drop forgets the sessions that have the binding.
func (t *table) drop(b binding) {
	same := func(_ uint64, other binding) bool { return other == b }
	maps.DeleteFunc(t.young, same)
	maps.DeleteFunc(t.old, same)
}

// each calls f with every session once.
func (t *table) each(f func(uint64, binding)) {
	for k, b := range t.young {
		f(k, b)
	}
	for k, b := range t.old {
		if _, again := t.young[k]; !again {
			f(k, b)
		}
	}
}
