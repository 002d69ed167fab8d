package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/endpoint"
)

// Costs of a placement, as the time that they add to an answer.
const (
	// prefillTokensPerMs is how many prompt tokens per millisecond the most expensive model of an engine processes.
	prefillTokensPerMs = 27
	// runCost is the delay that a run of the most expensive model causes for the others on its engine.
	runCost = 16 * time.Millisecond
	// slotCost is the wait for a plain service whose slots are all taken.
	slotCost = 30 * time.Millisecond
	// rankCostFactor is the cost of each affinity rank, as a part of the time to process the shared prefix. It makes
	// requests that share a prefix meet at the endpoints that rank first.
	rankCostFactor = 0.25
	// otherZoneCost and otherRegionCost are for an endpoint outside the VM's availability zone or region.
	otherZoneCost   = 120 * time.Millisecond
	otherRegionCost = 260 * time.Millisecond
	// refusalCost is for an endpoint that refused a run within refusalTTL.
	refusalCost = 500 * time.Millisecond
	// failureCost is multiplied by the failure rate, 0 to 1.
	failureCost = 600 * time.Millisecond
	// slowCost is for each multiple of the typical time to first byte above the first, maxSlowCost the most. Both count
	// only above slowRatio.
	slowCost    = 60 * time.Millisecond
	maxSlowCost = 900 * time.Millisecond
	// maxRank is the affinity rank, from 0, from which the cost no longer grows.
	maxRank = 4
)

// Score returns the time that a run of q would add at the endpoint, by what this VM and its peers know. Lower is
// better. rank is the affinity rank, from 0. Table.best calls it for each endpoint that may get the run.
func (r *Record) Score(q *Query, location endpoint.Location, rank int, now time.Time) time.Duration {
	inFlight, engineLoad, failureRate := r.peerTotals(now)
	cost := distanceCost(location, &r.Entry) + r.latencyCost() + time.Duration(failureRate*float64(failureCost))
	if now.Before(r.refusedUntil) {
		cost += refusalCost
	}
	if q.Model == "" {
		return cost + time.Duration(slotUtilization(r.InFlight+inFlight, r.Slots)*float64(slotCost))
	}
	cost += prefillTime(r.uncachedTokens(q))
	cost += time.Duration((r.engineLoad + engineLoad) * float64(runCost))
	if q.Affinity != 0 {
		cost += time.Duration(float64(min(rank, maxRank)) * rankCostFactor * float64(prefillTime(q.sharedTokens)))
	}
	return cost
}

// prefillTime returns how long the most expensive model takes to process the tokens. It is used for every model,
// because tokens that have to be processed again cost the same for all of them.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMs * float64(time.Millisecond))
}

// latencyCost returns the cost of an endpoint whose answers begin later than those of the others.
func (r *Record) latencyCost() time.Duration {
	if r.latencyRatio <= slowRatio {
		return 0
	}
	return min(time.Duration((r.latencyRatio-1)*float64(slowCost)), maxSlowCost)
}

// distanceCost returns the cost of reaching the endpoint from the VM. Score calls it.
func distanceCost(location endpoint.Location, e *Entry) time.Duration {
	switch location.Distance(e.Region, e.Zone) {
	case endpoint.SameZone:
		return 0
	case endpoint.SameRegion:
		return otherZoneCost
	default:
		return otherRegionCost
	}
}

// rendezvousHash returns the hash by which an endpoint ranks for an affinity, the highest first.
func rendezvousHash(affinity, id uint64) uint64 { return endpoint.Mix(affinity ^ id) }

// hashString returns the hash of an endpoint ID.
func hashString(s string) uint64 { return xxhash.Sum64String(s) }
