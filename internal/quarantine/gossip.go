package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelmux/internal/peer"
)

const (
	// announceRounds is the number of states in which a VM passes on what it learned.
	announceRounds = 10
	// maxRunsPerState, maxClearancesPerState and maxQuarantinesPerState bound the lists of one state.
	maxRunsPerState        = 8
	maxClearancesPerState  = 24
	maxQuarantinesPerState = 8
	// maxPeers bounds the peers whose incarnations are remembered.
	maxPeers = 4096
	// repeatRounds is the number of states from one to the next that names a quarantine in force, for VMs that have just
	// started or were cut off.
	repeatRounds = 5
	// minRemaining is the remaining time below which a quarantine isn't passed on, so that it ends everywhere.
	minRemaining = 2 * time.Second
)

// Receive applies the lists of a peer's state. Their ages are those at the time at which it was due.
func (s *Blocks) Receive(st peer.State, now time.Time) []Change {
	s.greet(st)
	var changes []Change
	due := now.Add(-st.Delay)
	for _, c := range st.Clearances {
		changes = append(changes, s.clear(c.Key, clearance{due.Add(-c.Age), true}, "a peer's run with it survived its start")...)
	}
	for _, r := range st.LostRuns {
		changes = append(changes, s.addRun(LostRun{r.Request, r.Endpoint, r.Blocks, due.Add(-r.Age)}, now)...)
	}
	changes = append(changes, s.Decide(now)...)
	for _, q := range st.BlockQuarantines {
		q.Age, q.Remaining = q.Age+st.Delay, q.Remaining-st.Delay
		changes = append(changes, s.adopt(q, now)...)
	}
	return changes
}

// greet names the quarantines in force at once again if the peer has just started, since it may know none. Receive calls it.
func (s *Blocks) greet(st peer.State) {
	if s.incarnations[st.VM] == st.Incarnation || len(s.incarnations) >= maxPeers {
		return
	}
	s.incarnations[st.VM] = st.Incarnation
	for _, q := range s.quarantines {
		q.due = announceRounds
	}
}

// adopt begins a quarantine that a peer reports, unless it is known, ended, or refuted by a run that survived its start or by another
// block that explains its lost runs. The companions of one that this VM didn't find itself are the peer's. Receive calls it.
func (s *Blocks) adopt(r peer.BlockQuarantine, now time.Time) []Change {
	q := BlockQuarantine{
		Block: r.Block, Companions: r.Companions[:min(len(r.Companions), maxBlocksPerRun)], Since: now.Add(-r.Age),
		Until: now.Add(min(r.Remaining, Duration)), Requests: r.Requests, Endpoints: r.Endpoints, Span: r.Span,
	}
	known := s.quarantines[r.Block]
	if known != nil && now.Before(known.Until) && !known.found {
		known.Companions = q.Companions
	}
	if known != nil && !q.Since.After(known.Until) {
		return nil
	}
	if len(s.quarantines) >= maxQuarantines {
		s.dropEnded(now)
	}
	if r.Remaining < minRemaining || s.explained(r.Block, now) || q.refutedBy(s.clearances.ClearedAt(r.Block)) || len(s.quarantines) >= maxQuarantines {
		return nil
	}
	s.begin(q)
	return []Change{{Block: r.Block, Began: true, Why: "a peer quarantined it"}}
}

// Collect adds to a state what this VM learned lately, and now and then the quarantines in force.
func (s *Blocks) Collect(st *peer.State, now time.Time) {
	s.round++
	for _, k := range s.dueRuns() {
		k.due--
		st.LostRuns = append(st.LostRuns, peer.LostRun{Request: k.Request, Endpoint: k.Endpoint, Blocks: k.Blocks, Age: now.Sub(k.At)})
	}
	for _, key := range s.dueClearances() {
		st.Clearances = append(st.Clearances, peer.Clearance{Key: key, Age: now.Sub(s.newestClearance(key))})
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
		st.BlockQuarantines = append(st.BlockQuarantines, peer.BlockQuarantine{
			Block: q.Block, Companions: q.Companions, Age: now.Sub(q.Since), Remaining: remaining,
			Requests: q.Requests, Endpoints: q.Endpoints, Span: q.Span,
		})
	}
}

// newestClearance returns when the newest run with a block or a fingerprint was sent that survived its start.
func (s *Blocks) newestClearance(key uint64) time.Time {
	block, request := s.clearances.find(key).at, s.requests.find(key).at
	if request.After(block) {
		return request
	}
	return block
}

// dueClearances returns the keys whose clearances to name in the next state: first those with which most runs were lost.
// Collect calls it.
func (s *Blocks) dueClearances() []uint64 {
	losses := map[uint64]int{}
	for _, k := range s.runs {
		for _, b := range k.Blocks {
			losses[b]++
		}
		losses[k.Endpoint]++
	}
	keys := slices.Collect(maps.Keys(s.clearancesDue))
	slices.SortFunc(keys, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(losses[b], losses[a]), cmp.Compare(a, b))
	})
	return keys[:min(len(keys), maxClearancesPerState)]
}

// dueRuns returns the lost runs to name in the next state: first those whose blocks lost runs on most occasions, then the newest.
// Collect calls it.
func (s *Blocks) dueRuns() []*knownRun {
	var list []*knownRun
	for i := range s.runs {
		if k := &s.runs[i]; k.due > 0 && s.open(k.LostRun) {
			list = append(list, k)
		}
	}
	occasions := s.occasions()
	strength := func(k *knownRun) (n int) {
		for _, b := range k.Blocks {
			n = max(n, occasions[b])
		}
		return n
	}
	slices.SortFunc(list, func(a, b *knownRun) int {
		return cmp.Or(cmp.Compare(strength(b), strength(a)), b.At.Compare(a.At))
	})
	return list[:min(len(list), maxRunsPerState)]
}

// occasions returns on how many occasions each block lost runs that count against it. Many runs that endpoints lost at the same
// moment are one occasion. dueRuns calls it.
func (s *Blocks) occasions() map[uint64]int {
	type occasion struct {
		block  uint64
		number int64
	}
	seen := map[occasion]bool{}
	counts := map[uint64]int{}
	for _, k := range s.runs {
		for _, b := range k.Blocks {
			o := occasion{b, k.At.UnixNano() / int64(occasionGap)}
			if !seen[o] && s.open(k.LostRun) && k.At.After(s.clearances.ClearedAt(b)) {
				seen[o] = true
				counts[b]++
			}
		}
	}
	return counts
}
