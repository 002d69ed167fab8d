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
	for fingerprint, rec := range rs {
		n := len(rec.Crashes)
		maps.DeleteFunc(rec.Crashes, func(endpoint string, _ time.Time) bool { return explained(fingerprint, endpoint) })
		if len(rec.Crashes) == n || len(rec.Crashes) >= CrashThreshold {
			continue
		}
		if !rec.QuarantinedUntil.IsZero() {
			rec.QuarantinedUntil = time.Time{}
			released = append(released, fingerprint)
		}
		if len(rec.Crashes) == 0 {
			delete(rs, fingerprint)
		}
	}
	return released
}
