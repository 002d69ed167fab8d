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
	idVMs          = 460
	idRate         = 17_000
	idSeconds      = 60
	idSeed         = 6
	idRandomBits   = 128
	// idYears is how long request IDs are counted for in the estimate of collisions.
	idYears     = 10
	yearSeconds = 365 * 86_400
	idCostCalls = 200_000
	// idPause is how long a VM stays frozen beyond its lease, and idUnaware how long it goes on before it knows.
	idUnaware = 20
)

// leased makes IDs as the related paper's package does: a leased node number in the middle bits.
type leased struct {
	node     uint64
	lastMs   uint64
	sequence uint64
}

func (l *leased) next(ms uint64) uint64 {
	if ms != l.lastMs {
		l.lastMs, l.sequence = ms, 0
	}
	id := ms<<(idNodeBits+idSequenceBits) | l.node<<idSequenceBits | l.sequence
	l.sequence++
	return id
}

// leasedCollisions simulates a minute of the fleet. With lost, one VM goes on for idUnaware seconds with a node number
// that was leased to another meanwhile, as after a pause that its keep-alive has not noticed.
func leasedCollisions(lost bool) int {
	random := mathrand.New(mathrand.NewPCG(idSeed, idSeed))
	vms := make([]leased, idVMs)
	for i := range vms {
		vms[i].node = uint64(i)
	}
	seen := make(map[uint64]struct{}, idRate*idSeconds)
	collisions := 0
	for ms := range uint64(idSeconds * 1000) {
		vms[1].node = 1
		if lost && ms < idUnaware*1000 {
			vms[1].node = vms[0].node
		}
		for range idRate / 1000 {
			id := vms[random.IntN(idVMs)].next(ms)
			if _, ok := seen[id]; ok {
				collisions++
			}
			seen[id] = struct{}{}
		}
	}
	return collisions
}

// randomCollisions is the expected number of equal pairs among every request of the years.
func randomCollisions() float64 {
	n := float64(idRate) * yearSeconds * idYears
	return n * n / 2 / math.Pow(2, idRandomBits)
}

func randomID() string {
	b := make([]byte, idRandomBits/8)
	_, _ = rand.Read(b) // never fails, as crypto/rand documents
	return hex.EncodeToString(b)
}

// perCall returns the mean time of a call in nanoseconds.
func perCall(f func()) float64 {
	start := time.Now()
	for range idCostCalls {
		f()
	}
	return float64(time.Since(start).Nanoseconds()) / idCostCalls
}

func measureIDs() ([]Line, error) {
	l := leased{node: 1}
	return []Line{
		{"ids_random_collisions_10_years", randomCollisions(), "expected", "< 1e-6"},
		{"ids_leased_collisions_60s", float64(leasedCollisions(false)), "IDs", "none"},
		{"ids_leased_collisions_60s_lease_lost", float64(leasedCollisions(true)), "IDs", "none"},
		{"ids_leased_nodes_left_at_460", 1<<idNodeBits - idVMs, "nodes", "none"},
		{"ids_random_cost", perCall(func() { _ = randomID() }), "ns", "< 1000"},
		{"ids_leased_cost", perCall(func() { _ = l.next(uint64(time.Now().UnixMilli())) }), "ns", "none"},
	}, nil
}
