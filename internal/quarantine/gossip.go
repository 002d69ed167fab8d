package quarantine

import (
	"cmp"
	"slices"
	"time"

	"cornelmux/internal/peer"
)

const (
	// announceRounds is the number of states in which a VM passes on what it learned.
	announceRounds = 10
	// maxRunsPerState, maxClearancesPerState and maxQuarantinesPerState bound the lists of one state.
	maxRunsPerState        = 8
	maxClearancesPerState  = 12
	maxQuarantinesPerState = 8
	// repeatRounds is the number of states from one to the next that names a quarantine in force, for VMs that have just
	// started or were cut off.
	repeatRounds = 5
	// minRemaining is the remaining time below which a quarantine isn't passed on, so that it ends everywhere.
	minRemaining = 2 * time.Second
)

// Receive applies the lists of a peer's state.
func (s *Blocks) Receive(st peer.State, now time.Time) []Change {
	var changes []Change
	for _, c := range st.Clearances {
		changes = append(changes, s.clear(c.Key, clearance{now.Add(-c.Age), true}, "a peer's answer with it came whole")...)
	}
	for _, r := range st.LostRuns {
		changes = append(changes, s.AddLostRun(LostRun{r.Request, r.Endpoint, r.Blocks, now.Add(-r.Age)}, now)...)
	}
	for _, q := range st.BlockQuarantines {
		changes = append(changes, s.adopt(q, now)...)
	}
	return changes
}

// adopt begins a quarantine that a peer reports, unless it is known, ended, or refuted by an answer that
// came whole or by another block that explains its lost runs. The
// companions of one that this VM didn't find itself are the peer's. Receive calls it.
func (s *Blocks) adopt(r peer.BlockQuarantine, now time.Time) []Change {
	since, remaining := now.Add(-r.Age), min(r.Remaining, Duration)
	known := s.quarantines[r.Block]
	companions := r.Companions[:min(len(r.Companions), maxBlocksPerRun)]
	if known != nil && now.Before(known.Until) && !known.found {
		known.Companions = companions
	}
	ended := known != nil && !since.After(known.Until)
	if ended || remaining < minRemaining || s.explained(r.Block) || s.clearances.find(r.Block).at.After(since) || len(s.quarantines) >= maxQuarantines {
		return nil
	}
	s.begin(BlockQuarantine{Block: r.Block, Companions: companions, Since: since, Until: now.Add(remaining)})
	return []Change{{Block: r.Block, Began: true, Why: "a peer quarantined it"}}
}

// Collect adds to a state what this VM learned lately, and now and then the quarantines in force.
func (s *Blocks) Collect(st *peer.State, now time.Time) {
	s.round++
	for _, k := range s.dueRuns() {
		k.due--
		st.LostRuns = append(st.LostRuns, peer.LostRun{Request: k.Request, Endpoint: k.Endpoint, Blocks: k.Blocks, Age: now.Sub(k.At)})
	}
	for key := range s.clearancesDue {
		if len(st.Clearances) >= maxClearancesPerState {
			break
		}
		st.Clearances = append(st.Clearances, peer.Clearance{Key: key, Age: now.Sub(s.clearances.find(key).at)})
		if s.clearancesDue[key]--; s.clearancesDue[key] <= 0 {
			delete(s.clearancesDue, key)
		}
	}
	for _, q := range s.quarantines {
		remaining := q.Until.Sub(now)
		if remaining < minRemaining || (q.due <= 0 && s.round%repeatRounds != 0) || len(st.BlockQuarantines) >= maxQuarantinesPerState {
			continue
		}
		q.due--
		st.BlockQuarantines = append(st.BlockQuarantines, peer.BlockQuarantine{Block: q.Block, Companions: q.Companions, Age: now.Sub(q.Since), Remaining: remaining})
	}
}

// dueRuns returns the lost runs to name in the next state: first those whose blocks have most lost runs, then the newest.
// Collect calls it.
func (s *Blocks) dueRuns() []*knownRun {
	var list []*knownRun
	suspicion := map[uint64]int{}
	for i := range s.runs {
		k := &s.runs[i]
		if !s.open(k.LostRun) {
			continue
		}
		for _, b := range k.Blocks {
			if k.At.After(s.clearances.ClearedAt(b)) {
				suspicion[b]++
			}
		}
		if k.due > 0 {
			list = append(list, k)
		}
	}
	strength := func(k *knownRun) (n int) {
		for _, b := range k.Blocks {
			n = max(n, suspicion[b])
		}
		return n
	}
	slices.SortFunc(list, func(a, b *knownRun) int {
		return cmp.Or(cmp.Compare(strength(b), strength(a)), b.At.Compare(a.At))
	})
	return list[:min(len(list), maxRunsPerState)]
}
