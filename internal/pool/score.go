package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/endpoint"
)

// Weights of a placement, each as the time that it adds to an answer.
const (
	// prefillTokensPerMs is how fast the strongest model of an engine reads a prompt that it doesn't hold.
	prefillTokensPerMs = 27
	// runCost is what each further run of the strongest model at an engine costs the others.
	runCost = 16 * time.Millisecond
	// slotCost is what a run at a plain service waits for where every slot is taken.
	slotCost = 30 * time.Millisecond
	// rankShare is the part of the time to read the shared parts of a prompt that each rank costs: requests that share
	// them meet at the endpoints that rank first.
	rankShare   = 0.25
	otherZone   = 120 * time.Millisecond
	otherRegion = 260 * time.Millisecond
	refusedCost = 500 * time.Millisecond
	failureCost = 600 * time.Millisecond
	slowCost    = 60 * time.Millisecond
	maxSlowCost = 900 * time.Millisecond
	mostRanked  = 4
)

// Score is the time that a run of q would add at the endpoint, by what this VM and its peers know; less is better.
func (r *Record) Score(q *Query, at endpoint.Location, rank int, now time.Time) time.Duration {
	inFlight, work, failed := r.peers(now)
	cost := distanceCost(at, &r.Entry) + r.slowness() + time.Duration(failed*float64(failureCost))
	if now.Before(r.refusedUntil) {
		cost += refusedCost
	}
	if q.Model == "" {
		return cost + time.Duration(loadOf(r.InFlight+inFlight, r.Slots)*float64(slotCost))
	}
	cost += reading(r.unread(q))
	cost += time.Duration((r.work + work) * float64(runCost))
	if q.Affinity != 0 {
		cost += time.Duration(float64(min(rank, mostRanked)) * rankShare * float64(reading(q.Prompt.SharedPrefixTokens())))
	}
	return cost
}

// reading is how long the strongest model takes to read the tokens. It counts for every model, since what is read again
// has the same price for all of them.
func reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMs * float64(time.Millisecond))
}

// slowness is the cost of an endpoint whose answers begin later than those of the others.
func (r *Record) slowness() time.Duration {
	if r.pace <= slowFrom {
		return 0
	}
	return min(time.Duration((r.pace-1)*float64(slowCost)), maxSlowCost)
}

// distanceCost is what it costs to reach the endpoint from the VM.
func distanceCost(at endpoint.Location, e *Entry) time.Duration {
	switch at.Distance(e.Region, e.Zone) {
	case endpoint.SameZone:
		return 0
	case endpoint.SameRegion:
		return otherZone
	default:
		return otherRegion
	}
}

// rank is the endpoint's place by rendezvous hashing for an affinity.
func rank(affinity, id uint64) uint64 { return endpoint.Mix(affinity ^ id) }

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }
