// Package quarantine refuses for a while the requests that crashed endpoints, counted over all entry VMs.
package quarantine

import (
	"time"

	"cornelmux/internal/peer"
)

// Bounds of a quarantine.
const (
	// Threshold is how many crashes within Window put a request into quarantine for Term.
	Threshold = 2
	Window    = 10 * time.Minute
	Term      = 5 * time.Minute
	maxCases  = 4096
	// maxCrashes bounds the crashes that are remembered of one request.
	maxCrashes = 8
)

// Case is what is known of one request.
type Case struct {
	// Crashes holds when each crash was heard of.
	Crashes map[string]time.Time
	Until   time.Time
}

// Cases holds the requests that crashed endpoints, by fingerprint.
type Cases map[uint64]*Case

// Hear takes in a crash and reports whether it is news.
func (c Cases) Hear(r peer.CrashReport, now time.Time) bool {
	k, ok := c[r.Fingerprint]
	if !ok {
		if len(c) >= maxCases {
			return false
		}
		k = &Case{Crashes: map[string]time.Time{}}
		c[r.Fingerprint] = k
	}
	if _, ok := k.Crashes[r.Endpoint]; ok || len(k.Crashes) >= maxCrashes {
		return false
	}
	k.Crashes[r.Endpoint] = now
	if k.recent(now) >= Threshold {
		k.Until = now.Add(Term)
	}
	return true
}

func (k *Case) recent(now time.Time) int {
	n := 0
	for _, at := range k.Crashes {
		if now.Sub(at) < Window {
			n++
		}
	}
	return n
}

// Left returns how long the request stays in quarantine, or 0.
func (c Cases) Left(fingerprint uint64, now time.Time) time.Duration {
	k, ok := c[fingerprint]
	if !ok {
		return 0
	}
	return max(0, k.Until.Sub(now))
}

// Sweep forgets crashes that are no longer counted.
func (c Cases) Sweep(now time.Time) {
	for fingerprint, k := range c {
		for endpoint, at := range k.Crashes {
			if now.Sub(at) >= Window {
				delete(k.Crashes, endpoint)
			}
		}
		if len(k.Crashes) == 0 && !now.Before(k.Until) {
			delete(c, fingerprint)
		}
	}
}
