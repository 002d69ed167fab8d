package quarantine

import (
	"maps"
	"slices"
	"time"
)

// AddSurvival notes that a run with the blocks, sent at a time to an endpoint, survived its start. The Controller calls it for the runs
// of this VM.
func (s *Blocks) AddSurvival(blocks []uint64, endpoint uint64, sentAt time.Time) []Change {
	var changes []Change
	for _, key := range append(slices.Clone(blocks[:min(len(blocks), maxBlocksPerRun)]), endpoint) {
		changes = append(changes, s.clear(key, clearance{at: sentAt}, "a run with it survived its start")...)
	}
	return changes
}

// AddRequestSurvival notes that a run of a request, sent at a time, survived its start. The Controller calls it for each fingerprint of
// the runs of this VM.
func (s *Blocks) AddRequestSurvival(fingerprint uint64, sentAt time.Time) {
	before := s.requests.ClearedAt(fingerprint)
	if !s.requests.add(fingerprint, clearance{at: sentAt}) {
		return
	}
	if loss, ok := s.lastLoss[fingerprint]; ok && before.Before(loss) {
		s.clearancesDue[fingerprint] = announceRounds
	}
}

// ClearedAt implements Clearances for fingerprints. Peers tell of them as of blocks.
func (s *Blocks) ClearedAt(fingerprint uint64) time.Time {
	own, peers := s.requests.ClearedAt(fingerprint), s.clearances.ClearedAt(fingerprint)
	if own.After(peers) {
		return own
	}
	return peers
}

// Sweep forgets the losses that no longer count. The Controller calls it every sweepInterval.
func (s *Blocks) Sweep(now time.Time) {
	maps.DeleteFunc(s.lastLoss, func(_ uint64, at time.Time) bool { return now.Sub(at) >= CrashWindow })
}

// NoteCrash notes that a request was at an endpoint that crashed, so that the peers are told if a run of it survives. The Controller calls
// it for each crash that counts.
func (s *Blocks) NoteCrash(fingerprint uint64, now time.Time) { s.lastLoss[fingerprint] = now }

// RequestSurvivedSince reports whether a run of the request was sent later and survived its start. The peers are told of it, since they
// may have heard of the same crash.
func (s *Blocks) RequestSurvivedSince(fingerprint uint64, at time.Time) bool {
	survived := s.ClearedAt(fingerprint).After(at)
	if survived {
		s.clearancesDue[fingerprint] = announceRounds
	}
	return survived
}

// clear notes a clearance, tells the peers if it matters to them, and ends the quarantine of the block if that began before.
func (s *Blocks) clear(key uint64, c clearance, why string) []Change {
	before := s.clearances.ClearedAt(key)
	if !s.clearances.add(key, c) {
		return nil
	}
	if loss, ok := s.lastLoss[key]; ok && before.Before(loss) {
		s.clearancesDue[key] = announceRounds
		s.undecided = true
	}
	for _, q := range s.quarantines {
		q.setCompanions(slices.DeleteFunc(slices.Clone(q.Companions), func(b uint64) bool { return b == key }))
	}
	q := s.quarantines[key]
	if q == nil || !q.refutedBy(s.clearances.ClearedAt(key)) {
		return nil
	}
	delete(s.quarantines, key)
	s.clearancesDue[key] = announceRounds
	return []Change{{Block: key, Why: why}}
}
