package pool

import (
	"time"
)

const (
	// firstPause is how long an endpoint that failed gets no run; it doubles with each further failure.
	firstPause = 400 * time.Millisecond
	maxPause   = 6 * time.Second
	// refusedFor is how long an endpoint that refused a run is avoided.
	refusedFor = 150 * time.Millisecond
	// failureWeight and paceWeight are the weights of one outcome in the moving averages.
	failureWeight = 0.15
	paceWeight    = 0.15
	// slowFrom is the pace from which an endpoint counts as slow.
	slowFrom = 1.6
	// maxParts bounds the parts of prompts that are remembered of one endpoint.
	maxParts   = 4096
	maxLost    = 64
	lostRunFor = 30 * time.Second
)

// Record is what a VM knows of one endpoint.
type Record struct {
	Entry
	hash uint64
	// InFlight counts the runs of this VM.
	InFlight int
	// work is the weight of these runs.
	work float64
	// missing says that the directory dropped the entry at a time when its word was doubtful; it counts from missingAt.
	missing   bool
	missingAt time.Time
	// replaced says that another endpoint answers at the address.
	replaced bool

	pauses      int
	pausedUntil time.Time
	// unreached says that the last pause began since the endpoint couldn't be reached or was silent.
	unreached bool
	// doubtedUntil is until when a peer's doubt holds, views what peers told of the endpoint.
	doubtedUntil time.Time
	views        map[string]view
	refusedUntil time.Time
	// failures is the moving share of runs that failed by the endpoint's own word.
	failures float64
	// pace is the moving ratio of the time to the first byte by the usual one.
	pace  float64
	parts map[partKey]time.Time
	lost  []lostRun
}

type partKey struct {
	model string
	part  uint64
}

type lostRun struct {
	fingerprint uint64
	until       time.Time
}

func newRecord(e Entry) *Record {
	return &Record{Entry: e, hash: hashOf(e.ID), pace: 1, parts: map[partKey]time.Time{}, views: map[string]view{}}
}

// update takes in what the directory says, and starts anew for another incarnation.
func (r *Record) update(e Entry) (restarted bool) {
	restarted = e.Incarnation != r.Incarnation && r.Incarnation != 0 && e.Incarnation != 0
	leaving := r.Leaving && !restarted
	r.Entry = e
	r.Leaving = r.Leaving || leaving
	r.missing = false
	if restarted {
		r.replaced, r.pauses, r.pausedUntil, r.failures, r.pace = false, 0, time.Time{}, 0, 1
		r.parts, r.views, r.doubtedUntil, r.unreached = map[partKey]time.Time{}, map[string]view{}, time.Time{}, false
	}
	return restarted
}

func (r *Record) allowed(q *Query) bool {
	if r.Leaving || r.replaced || (q.Version != "" && r.Version != q.Version) {
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

// trusted reports whether the endpoint may get a run; after a pause it gets one at a time until one is answered.
func (r *Record) trusted(now time.Time) bool {
	if r.pauses == 0 {
		return !now.Before(r.doubtedUntil)
	}
	return !now.Before(r.pausedUntil) && r.InFlight == 0
}

func (r *Record) pause(now time.Time) {
	r.pausedUntil = now.Add(min(firstPause<<min(r.pauses, 10), maxPause))
	r.pauses++
}

// unread counts the tokens of the prompt that the endpoint has to read anew: a part is held only if all before it are.
func (r *Record) unread(q *Query) int {
	total := q.Prompt.TokensIn
	for _, p := range q.Prompt.Blocks {
		if _, ok := r.parts[partKey{q.Model, p.ID}]; !ok {
			break
		}
		total -= p.Tokens
	}
	return max(total, 0)
}

// hold notes that the endpoint has read the shared parts of a prompt.
func (r *Record) hold(o *Outcome, now time.Time) {
	for i, p := range o.Prompt.Blocks {
		if i == len(o.Prompt.Blocks)-1 && i > 0 {
			break
		}
		if len(r.parts) >= maxParts {
			r.dropOldest()
		}
		r.parts[partKey{o.Model, p.ID}] = now
	}
}

func (r *Record) dropOldest() {
	var oldest partKey
	var at time.Time
	for k, t := range r.parts {
		if at.IsZero() || t.Before(at) {
			oldest, at = k, t
		}
	}
	delete(r.parts, oldest)
}

// learn moves the averages by one outcome.
func (r *Record) learn(o *Outcome, usual time.Duration, now time.Time) {
	switch o.End {
	case EndAnswered:
		r.pauses, r.doubtedUntil = 0, time.Time{}
		r.failures -= r.failures * failureWeight
	case EndFailed:
		r.pauses = 0
		r.failures += (1 - r.failures) * failureWeight
	case EndRefused:
		r.refusedUntil = now.Add(refusedFor)
	case EndReplaced:
		r.replaced = true
	case EndLost, EndTimeout, EndUnreachable:
		r.failures += (1 - r.failures) * failureWeight
		r.unreached = o.End != EndLost
		r.pause(now)
	}
	if o.TTFB > 0 && usual > 0 {
		r.pace += (float64(o.TTFB)/float64(usual) - r.pace) * paceWeight
	}
	if o.End == EndAnswered && o.Model != "" {
		r.hold(o, now)
	}
}

// crashes returns the fingerprints of the runs that were lost before the endpoint was found down or started anew.
func (r *Record) crashes(now time.Time) []uint64 {
	var list []uint64
	for _, l := range r.lost {
		if now.Before(l.until) {
			list = append(list, l.fingerprint)
		}
	}
	r.lost = nil
	return list
}
