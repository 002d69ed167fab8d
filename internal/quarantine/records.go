// Package quarantine refuses requests that crashed endpoints, and requests whose prompts hold a block that crashes endpoints,
// for a limited time. Crashes and lost runs are counted over all entry VMs.
package quarantine

import (
	"maps"
	"time"

	"cornelmux/internal/peer"
)

// Limits of a quarantine.
const (
	// CrashThreshold is how many crashes within CrashWindow quarantine a request for Duration.
	CrashThreshold = 2
	CrashWindow    = 10 * time.Minute
	Duration       = 5 * time.Minute
	// maxRecords is the maximum number of requests whose crashes are remembered, maxCrashes that of crashes of one
	// request.
	maxRecords = 4096
	maxCrashes = 8
	// proofTime is the longest time from the loss of a run to the report that its endpoint crashed. A run that was sent so long before the
	// report, or later, and survived its start refutes it.
	proofTime = 10 * time.Second
)

// Record holds the crashes that one request caused.
type Record struct {
	// Crashes holds when this VM learned of each crash, by the Endpoint of its report.
	Crashes map[string]time.Time
	// QuarantinedUntil is when the quarantine ends; zero if there was none.
	QuarantinedUntil time.Time
}

// Records holds the requests that crashed endpoints, by fingerprint.
type Records map[uint64]*Record

// AddCrash adds a crash and quarantines the request if it has caused enough. It returns false if the crash was known or
// there is no room for it. The Controller calls it for each crash that this VM or a peer saw.
func (rs Records) AddCrash(r peer.CrashReport, now time.Time) bool {
	rec, ok := rs[r.Fingerprint]
	if !ok {
		if len(rs) >= maxRecords {
			return false
		}
		rec = &Record{Crashes: map[string]time.Time{}}
		rs[r.Fingerprint] = rec
	}
	if _, ok := rec.Crashes[r.Endpoint]; ok || len(rec.Crashes) >= maxCrashes {
		return false
	}
	rec.Crashes[r.Endpoint] = now
	if rec.recentCrashes(now) >= CrashThreshold {
		rec.QuarantinedUntil = now.Add(Duration)
	}
	return true
}

// recentCrashes returns the number of crashes within CrashWindow.
func (r *Record) recentCrashes(now time.Time) int {
	n := 0
	for _, at := range r.Crashes {
		if now.Sub(at) < CrashWindow {
			n++
		}
	}
	return n
}

// Remaining returns how long the request with the fingerprint stays in quarantine, or 0.
func (rs Records) Remaining(fingerprint uint64, now time.Time) time.Duration {
	rec, ok := rs[fingerprint]
	if !ok {
		return 0
	}
	return max(0, rec.QuarantinedUntil.Sub(now))
}

// Refute removes the crashes of a request that were learned no later than proofTime after one of its runs was sent, which survived its
// start, and reports whether that ended its quarantine. The Controller calls it for each such run that this VM or a peer saw.
func (rs Records) Refute(fingerprint uint64, sentAt time.Time) (released bool) {
	return rs.removeCrashes(fingerprint, func(_ string, at time.Time) bool { return at.Sub(sentAt) < proofTime })
}

// removeCrashes removes crashes of a request, and ends its quarantine if too few are left; it reports whether there was one. Refute and
// Forgive call it.
func (rs Records) removeCrashes(fingerprint uint64, remove func(endpoint string, at time.Time) bool) (released bool) {
	rec, ok := rs[fingerprint]
	if !ok {
		return false
	}
	n := len(rec.Crashes)
	maps.DeleteFunc(rec.Crashes, remove)
	if len(rec.Crashes) == n || len(rec.Crashes) >= CrashThreshold {
		return false
	}
	released = !rec.QuarantinedUntil.IsZero()
	rec.QuarantinedUntil = time.Time{}
	if len(rec.Crashes) == 0 {
		delete(rs, fingerprint)
	}
	return released
}

// Sweep removes crashes older than CrashWindow, and requests without crashes that are not in quarantine. The
// Controller calls it every sweepInterval.
func (rs Records) Sweep(now time.Time) {
	for fingerprint, rec := range rs {
		for endpoint, at := range rec.Crashes {
			if now.Sub(at) >= CrashWindow {
				delete(rec.Crashes, endpoint)
			}
		}
		if len(rec.Crashes) == 0 && !now.Before(rec.QuarantinedUntil) {
			delete(rs, fingerprint)
		}
	}
}

// Forgive removes the crashes of requests at endpoints for which explained returns true, and ends the quarantines that no longer have
// enough crashes. It returns the fingerprints of the requests that it released. The Controller calls it after each change of
// what it knows of prompt blocks.
func (rs Records) Forgive(explained func(fingerprint uint64, endpoint string) bool) []uint64 {
	var released []uint64
	for fingerprint := range rs {
		if rs.removeCrashes(fingerprint, func(endpoint string, _ time.Time) bool { return explained(fingerprint, endpoint) }) {
			released = append(released, fingerprint)
		}
	}
	return released
}
