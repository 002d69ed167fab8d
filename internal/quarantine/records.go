// Package quarantine refuses requests that crashed endpoints, and requests whose prompts hold a block that crashes endpoints,
// for a limited time. Crashes and lost runs are counted over all entry VMs.
package quarantine

import (
	"maps"
	"slices"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
)

// Limits of a quarantine.
const (
	// CrashThreshold is how many crashes within CrashWindow quarantine a request for Duration, or all requests on its path.
	// ParameterThreshold is how many quarantine the requests with some parameters.
	CrashThreshold     = 2
	ParameterThreshold = 3
	CrashWindow        = 10 * time.Minute
	Duration           = 5 * time.Minute
	// maxRecords is the maximum number of paths whose crashes are remembered, maxCrashes that of crashes of requests on one path.
	maxRecords = 4096
	maxCrashes = 32
	// proofTime is the longest time from the loss of a run to the report that its endpoint crashed. A run that was sent so long before the
	// report, or later, and survived its start refutes it.
	proofTime = 10 * time.Second
)

// Crash is a crash of an endpoint while it ran a request.
type Crash struct {
	Endpoint string
	// Target and Parameters are of the request, as in endpoint.Fingerprints. Target is 0 if it isn't known.
	Target     uint64
	Parameters peer.Parameters
	// At is when this VM learned of it.
	At time.Time
}

// Record holds the crashes that requests on one path may have caused, the oldest first.
type Record struct {
	Crashes []Crash
	// Cleared holds when the newest run was sent that survived its start, by the path's fingerprint and by parameter.
	Cleared map[uint64]time.Time
	// explained says that culprits and several are the result of explain for Crashes.
	explained bool
	culprits  []Crash
	several   bool
}

// Records holds the requests that crashed endpoints, by the fingerprint of their path.
type Records map[uint64]*Record

// AddCrash adds a crash, and returns false if it was known. What is known of earlier runs that survived their start comes from c. The
// Controller calls it for each crash that this VM or a peer saw.
func (rs Records) AddCrash(r peer.CrashReport, c Clearances, now time.Time) bool {
	rec, ok := rs[r.Fingerprint]
	if !ok {
		if len(rs) >= maxRecords {
			rs.makeRoom()
		}
		rec = &Record{Cleared: map[uint64]time.Time{}}
		rs[r.Fingerprint] = rec
	}
	if slices.ContainsFunc(rec.Crashes, func(k Crash) bool { return k.Endpoint == r.Endpoint && k.Target == r.Target }) {
		return false
	}
	if len(rec.Crashes) >= maxCrashes {
		rec.makeRoom()
	}
	rec.Crashes = append(rec.Crashes, Crash{r.Endpoint, r.Target, r.Parameters, now})
	rec.explained = false
	for _, key := range append(r.Parameters.List(), r.Fingerprint) {
		if at := c.ClearedAt(key); at.After(rec.Cleared[key]) {
			rec.Cleared[key] = at
		}
	}
	return true
}

// makeRoom removes the quarter of the records whose newest crashes are oldest. AddCrash calls it.
func (rs Records) makeRoom() {
	fingerprints := slices.Collect(maps.Keys(rs))
	slices.SortFunc(fingerprints, func(a, b uint64) int { return rs[a].newest().Compare(rs[b].newest()) })
	for _, f := range fingerprints[:len(fingerprints)/4] {
		delete(rs, f)
	}
}

// newest returns when the newest crash was learned; zero if there is none.
func (r *Record) newest() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

// makeRoom removes the oldest crash of a request that caused no other, or else the oldest one: a request that was merely there when others
// crashed its endpoint is lost once.
func (r *Record) makeRoom() {
	count := map[uint64]int{}
	for _, k := range r.Crashes {
		count[k.Target]++
	}
	i := max(slices.IndexFunc(r.Crashes, func(k Crash) bool { return count[k.Target] == 1 }), 0)
	r.Crashes, r.explained = slices.Delete(r.Crashes, i, i+1), false
}

// Remaining returns how long the request stays in quarantine, or 0.
func (rs Records) Remaining(f endpoint.Fingerprints, now time.Time) time.Duration {
	rec, ok := rs[f.Path]
	if !ok {
		return 0
	}
	rec.remove(func(k Crash) bool { return now.Sub(k.At) >= CrashWindow })
	return max(0, rec.accused(f).Add(Duration).Sub(now))
}

// remove removes crashes, and reports whether there were any.
func (r *Record) remove(matches func(Crash) bool) bool {
	n := len(r.Crashes)
	r.Crashes = slices.DeleteFunc(r.Crashes, matches)
	r.explained = r.explained && len(r.Crashes) == n
	return len(r.Crashes) < n
}

// Refute removes the crashes that a run refutes, which was sent at a time and survived its start: those of its request that were learned no
// later than proofTime afterwards. It speaks for the path and the parameters as well. It reports whether that ends a quarantine. The
// Controller calls it for each such run that this VM saw.
func (rs Records) Refute(f endpoint.Fingerprints, sentAt, now time.Time) (released bool) {
	rec, ok := rs[f.Path]
	if !ok {
		return false
	}
	before := rs.Remaining(f, now)
	changed := false
	for _, key := range f.All() {
		changed = rec.refute(key, f.Path, sentAt) || changed
	}
	rs.removeEmpty(f.Path)
	return changed && before > 0 && rs.Remaining(f, now) == 0
}

// RefuteKey is Refute for a run of which a peer tells one fingerprint.
func (rs Records) RefuteKey(key uint64, sentAt time.Time) {
	for path, rec := range rs {
		rec.refute(key, path, sentAt)
		rs.removeEmpty(path)
	}
}

// refute notes that a run with the fingerprint survived its start, and reports whether that changes anything. A crash of which the target
// isn't known counts as one of any.
func (r *Record) refute(key, path uint64, sentAt time.Time) bool {
	removed := r.remove(func(k Crash) bool {
		same := k.Target == key || (k.Target == 0 && key == path)
		return same && k.At.Sub(sentAt) < proofTime
	})
	known := key == path || slices.ContainsFunc(r.Crashes, func(k Crash) bool { return slices.Contains(k.Parameters[:], key) })
	if !known || !sentAt.After(r.Cleared[key]) {
		return removed
	}
	r.Cleared[key] = sentAt
	return true
}

// removeEmpty removes the record of a path that has no crashes.
func (rs Records) removeEmpty(path uint64) {
	if len(rs[path].Crashes) == 0 {
		delete(rs, path)
	}
}

// Sweep removes crashes older than CrashWindow. The Controller calls it every sweepInterval.
func (rs Records) Sweep(now time.Time) {
	for path, rec := range rs {
		rec.remove(func(k Crash) bool { return now.Sub(k.At) >= CrashWindow })
		maps.DeleteFunc(rec.Cleared, func(_ uint64, at time.Time) bool { return now.Sub(at) >= CrashWindow })
		rs.removeEmpty(path)
	}
}

// Forgive removes the crashes at endpoints for which explained returns true, and returns the fingerprints of the paths on which that ends
// a quarantine. The Controller calls it after each change of what it knows of prompt blocks.
func (rs Records) Forgive(explained func(path uint64, endpoint string) bool) []uint64 {
	var released []uint64
	for path, rec := range rs {
		before := rec.accusesAny(path)
		rec.remove(func(k Crash) bool { return explained(path, k.Endpoint) })
		if before && !rec.accusesAny(path) {
			released = append(released, path)
		}
		rs.removeEmpty(path)
	}
	return released
}
