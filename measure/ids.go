package main

import (
	"crypto/rand"
	"encoding/hex"
	"math"
	mathrand "math/rand/v2"
	"time"
)

// Fields of a leased ID: 41 bits of milliseconds, 10 of node, 12 of sequence.
const (
	idNodeBits     = 10
	idSequenceBits = 12
	// idVMs is the number of VMs, idsPerSecond the number of requests that they get together.
	idVMs        = 460
	idsPerSecond = 17_000
	// idSimulatedSeconds is how long leased IDs are simulated.
	idSimulatedSeconds = 60
	// idSeed is the seed of the random numbers.
	idSeed = 6
	// idRandomBits is the length of a random ID.
	idRandomBits = 128
	// idEstimateYears is the time for which collisions of random IDs are estimated.
	idEstimateYears = 10
	// yearSeconds is the number of seconds in a year.
	yearSeconds = 365 * 86_400
	// idCostCalls is the number of calls over which the time of one is averaged.
	idCostCalls = 200_000
	// idLeaseLostSeconds is how long a VM goes on with a node number that is no longer its own.
	idLeaseLostSeconds = 20
)

// leasedIDs makes IDs as the related paper's package does, the alternative to random IDs: milliseconds, a leased node number
// and a sequence number.
type leasedIDs struct {
	node     uint64
	lastMs   uint64
	sequence uint64
}

// next returns the next ID. Beyond 4096 calls in a millisecond the sequence number overflows into the node number.
func (l *leasedIDs) next(ms uint64) uint64 {
	if ms != l.lastMs {
		l.lastMs, l.sequence = ms, 0
	}
	id := ms<<(idNodeBits+idSequenceBits) | l.node<<idSequenceBits | l.sequence
	l.sequence++
	return id
}

// leasedCollisions simulates leased IDs in a fleet and counts those that were made twice. With lost, one VM starts with a
// node number that is leased to another VM by now, and uses it for idLeaseLostSeconds, as after a pause in which its lease
// expired. measureIDs calls it.
func leasedCollisions(lost bool) int {
	random := mathrand.New(mathrand.NewPCG(idSeed, idSeed))
	vms := make([]leasedIDs, idVMs)
	for i := range vms {
		vms[i].node = uint64(i)
	}
	seen := make(map[uint64]struct{}, idsPerSecond*idSimulatedSeconds)
	collisions := 0
	for ms := range uint64(idSimulatedSeconds * 1000) {
		vms[1].node = 1
		if lost && ms < idLeaseLostSeconds*1000 {
			vms[1].node = vms[0].node
		}
		for range idsPerSecond / 1000 {
			id := vms[random.IntN(idVMs)].next(ms)
			if _, ok := seen[id]; ok {
				collisions++
			}
			seen[id] = struct{}{}
		}
	}
	return collisions
}

// randomCollisions returns the expected number of pairs of equal random IDs in idEstimateYears (birthday approximation).
func randomCollisions() float64 {
	n := float64(idsPerSecond) * yearSeconds * idEstimateYears
	return n * n / 2 / math.Pow(2, idRandomBits)
}

// randomID makes an ID of idRandomBits from the system's random source.
func randomID() string {
	b := make([]byte, idRandomBits/8)
	_, _ = rand.Read(b) // never fails, as crypto/rand documents
	return hex.EncodeToString(b)
}

// idCostNs returns the mean time of a call in nanoseconds.
func idCostNs(f func()) float64 {
	start := time.Now()
	for range idCostCalls {
		f()
	}
	return float64(time.Since(start).Nanoseconds()) / idCostCalls
}

// measureIDs compares random request IDs with leased ones: collisions and cost.
func measureIDs() ([]Line, error) {
	l := leasedIDs{node: 1}
	return []Line{
		{"ids_random_collisions_10_years", randomCollisions(), "expected", "< 1e-6"},
		{"ids_leased_collisions_60s", float64(leasedCollisions(false)), "IDs", "none"},
		{"ids_leased_collisions_60s_lease_lost", float64(leasedCollisions(true)), "IDs", "none"},
		{"ids_leased_nodes_left_at_460", 1<<idNodeBits - idVMs, "nodes", "none"},
		{"ids_random_cost", idCostNs(func() { _ = randomID() }), "ns", "< 1000"},
		{"ids_leased_cost", idCostNs(func() { _ = l.next(uint64(time.Now().UnixMilli())) }), "ns", "none"},
	}, nil
}
