package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRequests, minEndpoints and minOccasions are how many different requests with a block must have been lost at their
	// beginning, at how many endpoints and on how many occasions, to quarantine the block.
	minRequests  = 3
	minEndpoints = 3
	minOccasions = 3
	// occasionGap is the least time between two occasions, minSpan that between the first and the last. Endpoints that fail
	// at the same moment have another cause, such as a loss of power.
	occasionGap = 100 * time.Millisecond
	minSpan     = 400 * time.Millisecond
	// soundPeriod is how long a block counts as sound after a run with it survived. Its losses are likely to have another cause,
	// so soundEndpoints are needed for it, and either as many requests over soundSpan or longSpan without such an answer.
	soundPeriod    = 10 * time.Second
	soundEndpoints = 5
	soundSpan      = time.Second
	longSpan       = 4 * time.Second
)

// LostRun is a run whose connection ended at the start of its answer.
type LostRun struct {
	// Request is the fingerprint of the request, Endpoint the hash of the endpoint and its incarnation.
	Request  uint64
	Endpoint uint64
	// Blocks are the IDs of the prompt blocks that other requests may share, from the beginning.
	Blocks []uint64
	At     time.Time
}

// Clearances tells when the newest run was sent that survived its start with a block, or at an endpoint; zero if there was none.
type Clearances interface {
	ClearedAt(key uint64) time.Time
}

// Evidence sums up the lost runs with a block since the newest run with it that survived its start.
type Evidence struct {
	Block uint64
	// Requests and Endpoints count the different ones, Occasions the moments occasionGap apart.
	Requests  int
	Endpoints int
	Occasions int
	First     time.Time
	Last      time.Time
	// ClearedAt is when the newest run was sent that survived its start; zero if there was none.
	ClearedAt time.Time
	// Position is the greatest index of the block in a prompt.
	Position int
	// Companions are the other blocks with which all of these endpoints lost runs, and with which no more runs survived. The lost runs
	// speak against them as much.
	Companions []uint64
}

// Culprits returns the blocks that crash endpoints, the strongest evidence first. A crash has one cause: the other blocks of
// the runs that were lost with it were merely there. Blocks.Decide calls it.
func Culprits(runs []LostRun, c Clearances) []Evidence {
	open := openRuns(runs, c)
	var out []Evidence
	explained := map[uint64]bool{}
	for _, s := range dropCovered(suspectBlocks(open, c)) {
		unexplained := slices.DeleteFunc(slices.Clone(s.runs), func(r LostRun) bool { return explained[r.Endpoint] })
		if len(unexplained) < minRequests {
			continue
		}
		if e := weigh(s.Block, unexplained, s.ClearedAt); !e.conclusive() {
			continue
		}
		s.Companions = companions(s, open, c)
		out = append(out, s.Evidence)
		for endpoint := range s.endpoints {
			explained[endpoint] = true
		}
	}
	return out
}

// openRuns returns the lost runs that count against each block. Culprits calls it.
func openRuns(runs []LostRun, c Clearances) map[uint64][]LostRun {
	open := map[uint64][]LostRun{}
	for _, r := range runs {
		if !r.At.After(c.ClearedAt(r.Endpoint)) {
			continue
		}
		for i, b := range r.Blocks {
			if r.At.After(c.ClearedAt(b)) && !slices.Contains(r.Blocks[:i], b) {
				open[b] = append(open[b], r)
			}
		}
	}
	return open
}

// suspect is a block with conclusive evidence, the lost runs with it, and their endpoints.
type suspect struct {
	Evidence
	runs      []LostRun
	endpoints map[uint64]bool
}

// suspectBlocks returns the blocks with conclusive evidence, the strongest first. Culprits calls it.
func suspectBlocks(open map[uint64][]LostRun, c Clearances) []suspect {
	var out []suspect
	for b, runs := range open {
		if len(runs) < minRequests {
			continue
		}
		if e := weigh(b, runs, c.ClearedAt(b)); e.conclusive() {
			out = append(out, suspect{e, runs, endpointsOf(runs)})
		}
	}
	slices.SortFunc(out, func(a, b suspect) int { return b.compare(&a.Evidence) })
	return out
}

// endpointsOf returns the endpoints that lost the runs.
func endpointsOf(runs []LostRun) map[uint64]bool {
	endpoints := map[uint64]bool{}
	for _, r := range runs {
		endpoints[r.Endpoint] = true
	}
	return endpoints
}

// dropCovered removes the suspects all of whose endpoints lost runs with other suspects too, the weakest first. Sound blocks
// don't cover others. Culprits calls it.
func dropCovered(suspects []suspect) []suspect {
	for i := len(suspects) - 1; i >= 0; i-- {
		others := slices.Delete(slices.Clone(suspects), i, i+1)
		covering := slices.DeleteFunc(slices.Clone(others), func(s suspect) bool { return s.recentlyCleared() && !suspects[i].recentlyCleared() })
		covered := true
		for endpoint := range suspects[i].endpoints {
			covered = covered && slices.ContainsFunc(covering, func(s suspect) bool { return s.endpoints[endpoint] })
		}
		if covered {
			suspects = others
		}
	}
	return suspects
}

// companions returns the other blocks that all endpoints of the suspect lost runs with. If no run with the suspect survived, those are
// left out with which one did. Culprits calls it.
func companions(s suspect, open map[uint64][]LostRun, c Clearances) []uint64 {
	var out []uint64
	for b, runs := range open {
		if b == s.Block || len(runs) < len(s.endpoints) || (s.ClearedAt.IsZero() && !c.ClearedAt(b).IsZero()) {
			continue
		}
		endpoints := endpointsOf(runs)
		missing := false
		for endpoint := range s.endpoints {
			missing = missing || !endpoints[endpoint]
		}
		if !missing {
			out = append(out, b)
		}
	}
	slices.Sort(out)
	return out
}

// weigh sums up the lost runs with a block. runs isn't empty; it is sorted by time.
func weigh(block uint64, runs []LostRun, clearedAt time.Time) Evidence {
	slices.SortFunc(runs, func(a, b LostRun) int { return a.At.Compare(b.At) })
	e := Evidence{Block: block, First: runs[0].At, Last: runs[len(runs)-1].At, ClearedAt: clearedAt}
	requests, endpoints := map[uint64]bool{}, map[uint64]bool{}
	var occasion time.Time
	for _, r := range runs {
		requests[r.Request], endpoints[r.Endpoint] = true, true
		if occasion.IsZero() || r.At.Sub(occasion) >= occasionGap {
			e.Occasions++
			occasion = r.At
		}
		e.Position = max(e.Position, slices.Index(r.Blocks, block))
	}
	e.Requests, e.Endpoints = len(requests), len(endpoints)
	return e
}

// recentlyCleared reports whether a run with the block survived its start shortly before the first lost run.
func (e *Evidence) recentlyCleared() bool {
	return !e.ClearedAt.IsZero() && e.First.Sub(e.ClearedAt) < soundPeriod
}

// conclusive reports whether the evidence is enough to quarantine the block.
func (e *Evidence) conclusive() bool {
	if e.Requests < minRequests || e.Endpoints < minEndpoints || e.Occasions < minOccasions || e.Last.Sub(e.First) < minSpan {
		return false
	}
	span := e.Last.Sub(e.First)
	return !e.recentlyCleared() || (e.Endpoints >= soundEndpoints && (span >= longSpan || (e.Requests >= soundEndpoints && span >= soundSpan)))
}

// compare returns a positive number if the evidence is stronger than the other, and a negative one if it is weaker. Where
// nothing else decides, the later block of a prompt is the likelier cause, because fewer requests share it.
func (e *Evidence) compare(other *Evidence) int {
	if e.recentlyCleared() != other.recentlyCleared() {
		if e.recentlyCleared() {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(e.Endpoints, other.Endpoints),
		other.ClearedAt.Compare(e.ClearedAt),
		cmp.Compare(e.Position, other.Position),
		cmp.Compare(e.Block, other.Block),
	)
}
