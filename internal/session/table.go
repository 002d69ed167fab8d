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

// table holds the bindings of active sessions in two generations. Dropping the old generation expires sessions
// in constant time and bounds the size. The keys are those of hashKey.
type table struct {
	// limit is the maximum number of sessions of both generations together.
	limit       int
	idleTimeout time.Duration
	// rotatedAt is when the young generation was begun; zero if none was yet.
	rotatedAt time.Time
	young     map[uint64]binding
	old       map[uint64]binding
}

func newTable(limit int, idleTimeout time.Duration) *table {
	return &table{limit: limit, idleTimeout: idleTimeout, young: map[uint64]binding{}, old: map[uint64]binding{}}
}

// get returns the version of a session, or "". A session used within the idle timeout is found unless the table was full.
func (t *table) get(key uint64) string {
	if b, ok := t.young[key]; ok {
		return b.version
	}
	return t.old[key].version
}

// put binds a session and renews its idle timeout. The Controller calls it for each request of a session, except
// transient ones.
func (t *table) put(key uint64, b binding, now time.Time) {
	if t.rotatedAt.IsZero() {
		t.rotatedAt = now
	}
	if _, known := t.young[key]; !known && len(t.young) >= t.limit/2 {
		t.rotate(now)
	}
	t.young[key] = b
}

// expire rotates the generations once per idle timeout. A session is dropped after one to two idle timeouts without use.
func (t *table) expire(now time.Time) {
	if now.Sub(t.rotatedAt) >= t.idleTimeout {
		t.rotate(now)
	}
}

// rotate drops the old generation and starts a new young one.
func (t *table) rotate(now time.Time) {
	t.old, t.young, t.rotatedAt = t.young, map[uint64]binding{}, now
}

// drop removes the sessions with the binding. The Controller calls it when the version is withdrawn.
func (t *table) drop(b binding) {
	same := func(_ uint64, other binding) bool { return other == b }
	maps.DeleteFunc(t.young, same)
	maps.DeleteFunc(t.old, same)
}

// each calls f once for every session with its latest binding. activeSets calls it.
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
