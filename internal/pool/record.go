package pool

import (
	"slices"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/engine"
	"cornelmux/internal/warmup"
)

const (
	// firstBackoff is how long an endpoint that failed gets no run. It doubles with each further failure, up to
	// maxBackoff.
	firstBackoff = 400 * time.Millisecond
	maxBackoff   = 6 * time.Second
	// moveInterval is the time in which at most maxMoveShare of an endpoint's runs are moved away because they are silent, but
	// minMoves in any case: an endpoint that pauses with all its runs mostly goes on soon.
	moveInterval = 500 * time.Millisecond
	maxMoveShare = 0.5
	minMoves     = 2
	// refusalTTL is how long refusalCost counts for an endpoint that refused a run.
	refusalTTL = 150 * time.Millisecond
	// failureUpdateShare and latencyUpdateShare are the parts of one outcome, 0 to 1, in the moving means failureRate
	// and latencyRatio.
	failureUpdateShare = 0.15
	latencyUpdateShare = 0.15
	// slowRatio is the latency ratio above which an endpoint counts as slow.
	slowRatio = 1.6
	// maxLostRuns is the maximum number of lost runs remembered per endpoint.
	maxLostRuns = 64
	// lostRunTTL bounds the wait for a sign that the endpoint crashed.
	lostRunTTL = 30 * time.Second
	// dropProofTime is the longest time between the loss of runs and the removal of the endpoint's entry for which the
	// removal shows that the endpoint crashed.
	dropProofTime = 10 * time.Second
	// maxCrashEvents is the number of events that a run may have delivered that crashes its endpoint: a request crashes it
	// when its run begins, and the event of that moment may still arrive.
	maxCrashEvents = 1
)

// Record is the state of one endpoint on this VM.
type Record struct {
	Entry
	// hash is the hash of the ID.
	hash uint64
	// InFlight counts the runs of this VM at the endpoint.
	InFlight int
	// engineLoad is the sum of their weights, in runs of the most expensive model.
	engineLoad float64
	// missing says that the entry disappeared while the directory was unreliable, at missingAt.
	missing   bool
	missingAt time.Time
	// saidLeavingAt is when the endpoint first said, here or to a peer, that it is leaving; zero if it didn't.
	saidLeavingAt time.Time
	// withdrawn says that the directory has no usable entry of the endpoint now.
	withdrawn bool
	// evacuated says that its availability zone is evacuated.
	evacuated bool
	// replaced says that another endpoint answers on the address.
	replaced bool

	// backoffs counts the backoffs since the last answer; the endpoint gets no run before backoffUntil.
	backoffs     int
	backoffUntil time.Time
	// unreachable says that the last backoff began because the endpoint was unreachable or timed out.
	unreachable bool
	// suspectedUntil is how long the suspicion of a peer counts.
	suspectedUntil time.Time
	// peerViews holds the latest report of each peer, by VM, and peerSums their sum.
	peerViews map[string]peerView
	peerSums  peerSums
	// refusedUntil is how long the last refusal counts.
	refusedUntil time.Time
	// pausedUntil is until when the endpoint wants no runs; pauseLoggedAt is when that was last logged.
	pausedUntil   time.Time
	pauseLoggedAt time.Time
	// failureRate is the moving share of runs that failed, 0 to 1.
	failureRate float64
	// latencyRatio is the moving mean of the time to first byte, divided by the typical one.
	latencyRatio float64
	// slowness is how much longer its runs take than expected.
	slowness engine.Slowness
	// warmth is what is known of whether the endpoint is cold, and cold the runs of this VM there while it is; nil if it isn't.
	warmth warmup.Knowledge
	cold   *coldRecord
	// prefixBlocks holds the blocks that the endpoint has probably cached.
	prefixBlocks *prefixCache
	// movesLeft is how many silent runs may still be moved away in the moveInterval that began at movesSince.
	movesLeft  int
	movesSince time.Time
	// waiting holds this VM's runs whose answers haven't begun, by number, and waitingWork the sum of their work.
	waiting     map[uint64]waitingRun
	waitingWork time.Duration
	// lostRuns are the runs whose connection broke and that may have crashed the endpoint.
	lostRuns []lostRun
}

// lostRun holds the fingerprints of a request and when its run was lost.
type lostRun struct {
	fingerprints endpoint.Fingerprints
	lostAt       time.Time
}

// newRecord makes the Record of an endpoint that is not known yet.
func newRecord(e Entry) *Record {
	return &Record{Entry: e, hash: hashString(e.ID), latencyRatio: 1, prefixBlocks: newPrefixCache(maxPrefixBlocks), peerViews: map[string]peerView{}, waiting: map[uint64]waitingRun{}}
}

// update applies an entry of the directory. A new incarnation resets what was learned of the former one. An incarnation
// that is leaving stays so, whatever the entry says. Table.Put calls it for an endpoint that is known.
func (r *Record) update(e Entry) (restarted bool) {
	restarted = e.Incarnation != r.Incarnation && r.Incarnation != 0 && e.Incarnation != 0
	r.replaced = r.replaced && e.Address == r.Address
	leaving := r.Leaving && !restarted
	r.Entry = e
	r.Leaving = r.Leaving || leaving
	r.missing, r.withdrawn = false, false
	if restarted {
		r.replaced, r.backoffs, r.backoffUntil, r.failureRate, r.latencyRatio, r.slowness = false, 0, time.Time{}, 0, 1, engine.Slowness{}
		r.saidLeavingAt, r.pausedUntil = time.Time{}, time.Time{}
		r.waiting, r.waitingWork = map[uint64]waitingRun{}, 0
		r.peerSums = peerSums{}
		r.prefixBlocks, r.peerViews, r.suspectedUntil, r.unreachable = newPrefixCache(maxPrefixBlocks), map[string]peerView{}, time.Time{}, false
	}
	return restarted
}

// acceptsRuns reports whether the endpoint gets new runs at all. One in an evacuated zone gets them again later.
func (r *Record) acceptsRuns() bool { return !r.Leaving && !r.withdrawn && !r.replaced }

// eligible reports whether the query may run on the endpoint at all, whatever its backoff and load. Table.best and
// affinityRanks call it.
func (r *Record) eligible(q *Query) bool { return !r.evacuated && r.mayServe(q) }

// mayServe reports whether the query might run on the endpoint if its zone weren't evacuated.
func (r *Record) mayServe(q *Query) bool {
	if !r.acceptsRuns() || !r.inHomes(q) || (q.Version != "" && r.Version != q.Version) {
		return false
	}
	for _, v := range q.ExcludedVersions {
		if r.Version == v {
			return false
		}
	}
	for _, id := range q.Exclude {
		if r.ID == id {
			return false
		}
	}
	return true
}

// available reports whether the endpoint is expected to answer. After a backoff it gets one run at a time until one is
// answered.
func (r *Record) available(now time.Time) bool {
	if r.backoffs == 0 {
		return !now.Before(r.suspectedUntil)
	}
	return !now.Before(r.backoffUntil) && r.InFlight == 0
}

// backOff stops new runs for a time that doubles with each call until an answer arrives. applyOutcome calls it.
func (r *Record) backOff(now time.Time) {
	r.backoffUntil = now.Add(min(firstBackoff<<min(r.backoffs, 10), maxBackoff))
	r.backoffs++
}

// uncachedTokens returns how many tokens of the prompt the endpoint has to process. A block is cached only if all
// blocks before it are. Score calls it.
func (r *Record) uncachedTokens(q *Query) int {
	total := q.Prompt.TokensIn
	for _, b := range q.blocks {
		if !r.prefixBlocks.has(blockKey{q.Model, b.ID}) {
			break
		}
		total -= b.Tokens
	}
	return max(total, 0)
}

// addPrefixBlocks records the blocks of a prompt that the endpoint has processed, except the last one, which other
// requests do not share. The beginning counts as used last, since nothing after it is cached without it. applyOutcome calls it for each
// answered run of a model.
func (r *Record) addPrefixBlocks(o *Outcome) {
	blocks := joinBlocks(o.Prompt.Blocks)
	if len(blocks) > 1 {
		blocks = blocks[:len(blocks)-1]
	}
	for _, b := range slices.Backward(blocks) {
		r.prefixBlocks.use(blockKey{o.Model, b.ID})
	}
}

// applyOutcome updates the moving means, the backoff and the cached blocks by the outcome of one run. Table.Done calls
// it unless the endpoint has restarted since.
func (r *Record) applyOutcome(o *Outcome, typicalTTFB time.Duration, now time.Time) {
	switch o.End {
	case EndAnswered:
		r.backoffs, r.suspectedUntil = 0, time.Time{}
		r.failureRate -= r.failureRate * failureUpdateShare
	case EndFailed:
		r.backoffs = 0
		r.failureRate += (1 - r.failureRate) * failureUpdateShare
	case EndRefused:
		r.refusedUntil = now.Add(refusalTTL)
	case EndReplaced:
		r.replaced = true
	case EndMisdirected:
		// A run of a kind that the service never answered says nothing of the endpoint: the caller may have named a model that none has.
		if typicalTTFB > 0 && !now.Before(r.backoffUntil) {
			r.unreachable = false
			r.backOff(now)
		}
	case EndLost, EndTimeout, EndUnreachable:
		if o.End == EndUnreachable {
			r.warmth.NoteUnreached(now)
		}
		if o.End == EndTimeout && now.Before(r.backoffUntil) {
			break // runs that fell silent together are one failure
		}
		r.failureRate += (1 - r.failureRate) * failureUpdateShare
		r.unreachable = o.End != EndLost
		r.backOff(now)
	}
	if o.TTFB > 0 && typicalTTFB > 0 {
		r.latencyRatio += (float64(o.TTFB)/float64(typicalTTFB) - r.latencyRatio) * latencyUpdateShare
	}
	if o.End == EndAnswered && o.Model != "" {
		r.addPrefixBlocks(o)
	}
}

// takeMove reports whether a silent run may be moved away now, and counts it. Table.TakeMove calls it.
func (r *Record) takeMove(now time.Time) bool {
	if now.Sub(r.movesSince) >= moveInterval {
		r.movesSince, r.movesLeft = now, max(int(maxMoveShare*float64(r.InFlight)), minMoves)
	}
	if r.movesLeft == 0 {
		return false
	}
	r.movesLeft--
	return true
}

// takeCrashes returns the fingerprints of the lost runs that still count and forgets them. It is called when the
// endpoint is known to be down or restarted.
func (r *Record) takeCrashes(now time.Time) []endpoint.Fingerprints {
	var list []endpoint.Fingerprints
	for _, l := range r.lostRuns {
		if now.Sub(l.lostAt) < lostRunTTL {
			list = append(list, l.fingerprints)
		}
	}
	r.lostRuns = nil
	return list
}

// noteLoss remembers a run that was lost at its beginning, and forgets those that the endpoint survived: it answered a
// run that was sent later. Table.Done calls it unless the endpoint has restarted since.
func (r *Record) noteLoss(o *Outcome, now time.Time) {
	switch {
	case o.End == EndAnswered:
		r.lostRuns = slices.DeleteFunc(r.lostRuns, func(l lostRun) bool { return l.lostAt.Before(o.SentAt) })
	case o.End == EndLost && o.Events <= maxCrashEvents && len(r.lostRuns) < maxLostRuns:
		r.lostRuns = append(r.lostRuns, lostRun{o.Fingerprints, now})
	}
}
