package quarantine

import (
	"slices"
	"time"
)

const (
	// maxLostRuns bounds the lost runs that are remembered, maxBlocksPerRun the blocks of each, maxQuarantines the blocks in
	// quarantine.
	maxLostRuns     = 256
	maxBlocksPerRun = 16
	maxQuarantines  = 256
	// decideInterval is the least time from a decision to the next one for a lost run, or for a check: a crash ends many runs at once.
	decideInterval = 50 * time.Millisecond
)

// Blocks holds what a VM knows of prompt blocks that crash endpoints. It takes the time as an argument.
type Blocks struct {
	runs []knownRun
	// lastLoss is the time of the newest lost run, by block and by endpoint.
	lastLoss   map[uint64]time.Time
	clearances ClearanceTable
	// requests holds the clearances of fingerprints, apart from those of blocks, since each request may have new ones.
	requests ClearanceTable
	// clearancesDue holds in how many more states the clearance of a key is named.
	clearancesDue map[uint64]int
	quarantines   map[uint64]*BlockQuarantine
	// culprits is the last result of Culprits, culpritEndpoints the endpoints that lost runs with one of them.
	culprits         []Evidence
	culpritEndpoints map[uint64]bool
	// incarnations holds those of the peers, to tell a peer that started what is in force.
	incarnations map[string]uint64
	// undecided says that the evidence changed since the last Decide.
	undecided bool
	// decidedAt is when Decide last weighed the evidence.
	decidedAt time.Time
	// lossWeighedAt is when AddLostRun last did so.
	lossWeighedAt time.Time
	// round counts the states.
	round int
	// explainsMore says that a quarantine began, or a lost run was added, since TakeExplainsMore.
	explainsMore bool
}

// knownRun is a lost run, and in how many more states it is named.
type knownRun struct {
	LostRun
	due int
}

// BlockQuarantine is the quarantine of one block. After its end the block is on probation for CrashWindow: one more lost run
// quarantines it again.
type BlockQuarantine struct {
	Block uint64
	// Companions are blocks that may be the cause as well as Block: requests are refused that hold all of them.
	Companions []uint64
	// Since is when the first of the lost runs was, on which the quarantine rests: a run that was sent later and survived its start
	// refutes it.
	Since time.Time
	Until time.Time
	// Requests and Endpoints count those that lost runs, over Span.
	Requests  int
	Endpoints int
	Span      time.Duration
	// due is in how many more states it is named at once. found says that this VM found the block by its own evidence.
	due   int
	found bool
}

// Change tells that a quarantine began, or ended before its time.
type Change struct {
	Block uint64
	Began bool
	// Why is the reason in words, Evidence what it rests on, if this VM has it.
	Why      string
	Evidence Evidence
}

// NewBlocks makes empty Blocks.
func NewBlocks() *Blocks {
	return &Blocks{lastLoss: map[uint64]time.Time{}, clearancesDue: map[uint64]int{}, quarantines: map[uint64]*BlockQuarantine{}, incarnations: map[string]uint64{}}
}

// Quarantined returns the first of the blocks that is in quarantine and for how long.
func (s *Blocks) Quarantined(blocks []uint64, now time.Time) (block uint64, remaining time.Duration) {
	for _, b := range blocks {
		if q := s.quarantines[b]; q != nil && now.Before(q.Until) && q.covers(blocks) {
			return b, q.Until.Sub(now)
		}
	}
	return 0, 0
}

// covers reports whether the prompt with the blocks, of which one is q.Block, holds the companions too.
func (q *BlockQuarantine) covers(blocks []uint64) bool {
	return !slices.ContainsFunc(q.Companions, func(b uint64) bool { return !slices.Contains(blocks, b) })
}

// refutedBy reports whether a run with the block that was sent at the time and survived its start ends the quarantine: one after the
// first lost run, or one so shortly before that the lost runs don't suffice against a sound block.
func (q *BlockQuarantine) refutedBy(clearedAt time.Time) bool {
	e := Evidence{
		Requests: q.Requests, Endpoints: q.Endpoints, Occasions: minOccasions, First: q.Since, Last: q.Since.Add(q.Span), ClearedAt: clearedAt,
	}
	return clearedAt.After(q.Since) || !e.conclusive()
}

// setCompanions replaces the companions, and reports whether they changed. The peers are then told.
func (q *BlockQuarantine) setCompanions(companions []uint64) bool {
	if slices.Equal(q.Companions, companions) {
		return false
	}
	q.Companions, q.due = companions, announceRounds
	return true
}

// AddLostRun adds a lost run that this VM saw, and returns the quarantines that begin or end with it. Of the runs that a crash ends
// together, the first is weighed at once and the others with DecideSoon.
func (s *Blocks) AddLostRun(r LostRun, now time.Time) []Change {
	changes := s.addRun(r, now)
	if now.Sub(s.lossWeighedAt) < decideInterval {
		return changes
	}
	s.lossWeighedAt = now
	return append(changes, s.Decide(now)...)
}

// addRun adds a lost run that this VM or a peer saw, and returns the quarantines that it renews. A run that is known, or too
// old, is ignored.
func (s *Blocks) addRun(r LostRun, now time.Time) []Change {
	if len(r.Blocks) == 0 || now.Sub(r.At) >= CrashWindow || s.knows(r) {
		return nil
	}
	r.Blocks = r.Blocks[:min(len(r.Blocks), maxBlocksPerRun)]
	s.makeRoom(now)
	s.runs = append(s.runs, knownRun{r, announceRounds})
	for _, key := range append(slices.Clone(r.Blocks), r.Endpoint) {
		if s.lastLoss[key].Before(r.At) {
			s.lastLoss[key] = r.At
		}
		if c := s.clearances.ClearedAt(key); !c.IsZero() && (key != r.Endpoint || c.After(r.At)) {
			s.clearancesDue[key] = announceRounds
		}
	}
	s.explainsMore, s.undecided = true, true
	return s.renew(r, now)
}

// knows reports whether the run is known. addRun calls it.
func (s *Blocks) knows(r LostRun) bool {
	return slices.ContainsFunc(s.runs, func(k knownRun) bool { return k.Request == r.Request && k.Endpoint == r.Endpoint })
}

// makeRoom forgets the runs that are too old and, if there are too many, first those that count against no block, then the
// oldest ones. addRun calls it.
func (s *Blocks) makeRoom(now time.Time) {
	if len(s.runs) < maxLostRuns {
		return
	}
	s.runs = slices.DeleteFunc(s.runs, func(k knownRun) bool { return now.Sub(k.At) >= CrashWindow || !s.open(k.LostRun) })
	slices.SortFunc(s.runs, func(a, b knownRun) int { return a.At.Compare(b.At) })
	if n := len(s.runs) - maxLostRuns*3/4; n > 0 {
		s.runs = slices.Delete(s.runs, 0, n)
	}
	s.lastLoss = map[uint64]time.Time{}
	for _, k := range s.runs {
		for _, key := range append(slices.Clone(k.Blocks), k.Endpoint) {
			if s.lastLoss[key].Before(k.At) {
				s.lastLoss[key] = k.At
			}
		}
	}
}

// open reports whether the run counts against one of its blocks at least.
func (s *Blocks) open(r LostRun) bool {
	return r.At.After(s.clearances.ClearedAt(r.Endpoint)) &&
		slices.ContainsFunc(r.Blocks, func(b uint64) bool { return r.At.After(s.clearances.ClearedAt(b)) })
}

// renew quarantines the blocks of the run that are on probation. addRun calls it.
func (s *Blocks) renew(r LostRun, now time.Time) []Change {
	var changes []Change
	for _, b := range r.Blocks {
		q := s.quarantines[b]
		if q == nil || now.Before(q.Until) || r.At.Before(q.Until) || now.Sub(q.Until) >= CrashWindow || !q.covers(r.Blocks) {
			continue
		}
		s.begin(BlockQuarantine{
			Block: b, Companions: q.Companions, Since: r.At, Until: now.Add(Duration), Requests: q.Requests, Endpoints: q.Endpoints, Span: q.Span,
		})
		changes = append(changes, Change{Block: b, Began: true, Why: "a run was lost after an earlier quarantine"})
	}
	return changes
}

// begin puts a block in quarantine and has the peers told. renew, Decide and adopt call it.
func (s *Blocks) begin(q BlockQuarantine) {
	q.due = announceRounds
	s.quarantines[q.Block] = &q
	s.explainsMore, s.undecided = true, true
}

// DecideSoon decides unless the last time was less than decideInterval ago. The Controller calls it for each check of a request.
func (s *Blocks) DecideSoon(now time.Time) []Change {
	if now.Sub(s.decidedAt) < decideInterval {
		return nil
	}
	return s.Decide(now)
}

// Decide quarantines the blocks that crash endpoints, and ends the quarantines of those whose lost runs another block
// explains. AddLostRun and Receive call it, and the Controller for each state, since clearances change the evidence too.
func (s *Blocks) Decide(now time.Time) []Change {
	if !s.undecided || len(s.runs) < minRequests {
		return nil
	}
	s.undecided, s.decidedAt = false, now
	runs := make([]LostRun, len(s.runs))
	for i, k := range s.runs {
		runs[i] = k.LostRun
	}
	s.culprits = Culprits(runs, &s.clearances)
	s.culpritEndpoints = map[uint64]bool{}
	for _, r := range runs {
		if slices.ContainsFunc(s.culprits, func(e Evidence) bool { return slices.Contains(r.Blocks, e.Block) }) {
			s.culpritEndpoints[r.Endpoint] = true
		}
	}
	var changes []Change
	for _, e := range s.culprits {
		since := e.First
		if q := s.quarantines[e.Block]; q != nil {
			q.Requests, q.Endpoints, q.Span = max(q.Requests, e.Requests), max(q.Endpoints, e.Endpoints), max(q.Span, e.Last.Sub(e.First))
			if now.Before(q.Until) && q.found && q.setCompanions(e.Companions) {
				changes = append(changes, Change{Block: e.Block, Began: true, Why: "other blocks may be the cause as well", Evidence: e})
			}
			if now.Before(q.Until) || !e.Last.After(q.Until) {
				continue
			}
			since = q.Until
		}
		if len(s.quarantines) >= maxQuarantines {
			s.dropEnded(now)
		}
		if len(s.quarantines) >= maxQuarantines {
			break
		}
		s.begin(BlockQuarantine{
			Block: e.Block, Companions: e.Companions, Since: since, Until: now.Add(Duration), Requests: e.Requests, Endpoints: e.Endpoints,
			Span: e.Last.Sub(e.First), found: true,
		})
		changes = append(changes, Change{Block: e.Block, Began: true, Why: "requests with it lost their runs", Evidence: e})
	}
	return append(changes, s.dropExplained(now)...)
}

// dropEnded forgets the quarantines whose probation is over. Decide and adopt call it if there are too many.
func (s *Blocks) dropEnded(now time.Time) {
	for b, q := range s.quarantines {
		if now.Sub(q.Until) >= CrashWindow {
			delete(s.quarantines, b)
		}
	}
}

// dropExplained ends the quarantines of blocks that were merely there when culprits crashed the endpoints. Decide calls it.
func (s *Blocks) dropExplained(now time.Time) []Change {
	var changes []Change
	for b, q := range s.quarantines {
		if now.Before(q.Until) && s.explained(b, now) {
			delete(s.quarantines, b)
			changes = append(changes, Change{Block: b, Why: "another block explains its lost runs"})
		}
	}
	return changes
}

// explained reports whether all the endpoints that lost runs with the block lost one with a culprit too, and the block is none.
// For a block with which runs survived, quarantined ones with which none did count as culprits.
func (s *Blocks) explained(block uint64, now time.Time) bool {
	if slices.ContainsFunc(s.culprits, func(e Evidence) bool { return e.Block == block }) {
		return false
	}
	held := 0
	for _, k := range s.runs {
		if !slices.Contains(k.Blocks, block) {
			continue
		}
		if held++; !s.culpritEndpoints[k.Endpoint] && !s.explainedByWorse(block, k.Endpoint, now) {
			return false
		}
	}
	return held >= minRequests
}

// explainedByWorse reports whether runs with the block survived, and the endpoint lost a run with a quarantined one with which none
// did. explained calls it.
func (s *Blocks) explainedByWorse(block, endpoint uint64, now time.Time) bool {
	if s.clearances.ClearedAt(block).IsZero() {
		return false
	}
	return slices.ContainsFunc(s.runs, func(k knownRun) bool {
		return k.Endpoint == endpoint && slices.ContainsFunc(k.Blocks, func(b uint64) bool {
			q := s.quarantines[b]
			return q != nil && now.Before(q.Until) && s.clearances.ClearedAt(b).IsZero()
		})
	})
}

// Explanation tells of the runs that an endpoint lost at their start.
type Explanation struct {
	// ByBlock says that one of their prompts held a quarantined block.
	ByBlock bool
	// Requests are the fingerprints of their requests.
	Requests []uint64
}

// Explains reports whether the endpoint's crash has another cause than the request, which lost a run there too.
func (e Explanation) Explains(request uint64) bool {
	return e.ByBlock || (len(e.Requests) > 0 && !slices.Contains(e.Requests, request))
}

// Explanations returns what is known of each endpoint that lost runs at their start.
func (s *Blocks) Explanations(now time.Time) map[uint64]Explanation {
	out := map[uint64]Explanation{}
	for _, k := range s.runs {
		_, remaining := s.Quarantined(k.Blocks, now)
		e := out[k.Endpoint]
		out[k.Endpoint] = Explanation{e.ByBlock || remaining > 0, append(e.Requests, k.Request)}
	}
	return out
}

// TakeExplainsMore reports whether Explanations may explain more than at the last call.
func (s *Blocks) TakeExplainsMore() bool {
	more := s.explainsMore
	s.explainsMore = false
	return more
}
