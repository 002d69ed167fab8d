package quarantine

import (
	"fmt"
	"testing"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
)

// fullBlocks returns Blocks that know as many lost runs, answers and quarantines as they hold.
func fullBlocks() *Blocks {
	s := NewBlocks()
	for i := range maxLostRuns - 1 {
		blocks := make([]uint64, maxBlocksPerRun)
		for k := range blocks {
			blocks[k] = uint64(i%7*maxBlocksPerRun + k + 1)
		}
		s.AddLostRun(LostRun{uint64(i + 1), uint64(i%50 + 1000), blocks, start.Add(time.Duration(i) * time.Second)}, start.Add(time.Duration(i)*time.Second))
	}
	for i := range maxQuarantines - len(s.quarantines) {
		s.begin(BlockQuarantine{Block: uint64(10_000 + i), Since: start, Until: start.Add(time.Hour)})
	}
	return s
}

// BenchmarkBlocks measures the messages about prompt blocks while much is known of them.
func BenchmarkBlocks(b *testing.B) {
	now := start.Add(maxLostRuns * time.Second)
	blocks := func(n, first int) (list []uint64) {
		for i := range n {
			list = append(list, uint64(first+i))
		}
		return list
	}
	tests := []struct {
		name string
		run  func(s *Blocks, n int)
	}{
		{"check, 2 blocks", func(s *Blocks, _ int) { s.Quarantined(blocks(2, 1<<40), now) }},
		{"check, 1150 blocks", func(s *Blocks, _ int) { s.Quarantined(blocks(1150, 1<<40), now) }},
		{"check of a resend, 2 blocks", func(s *Blocks, _ int) { s.HoldsBack(1, blocks(2, 1<<40)) }},
		{"check of a resend, 1150 blocks", func(s *Blocks, _ int) { s.HoldsBack(1, blocks(1150, 1<<40)) }},
		{"answer, 16 blocks", func(s *Blocks, n int) { s.AddSurvival(blocks(16, 1<<40), uint64(n), now.Add(time.Duration(n))) }},
		{"lost run, 16 blocks", func(s *Blocks, n int) {
			s.AddLostRun(LostRun{uint64(n) << 20, uint64(n), blocks(16, 1), now}, now)
		}},
		{"state of a peer", func(s *Blocks, n int) {
			st := peer.State{VM: fmt.Sprint("vm-", n%460), Incarnation: 1}
			for i := range maxRunsPerState {
				st.LostRuns = append(st.LostRuns, peer.LostRun{Request: uint64(n*8+i) << 20, Endpoint: uint64(n), Blocks: blocks(16, 1), Age: time.Second})
			}
			for i := range maxClearancesPerState {
				st.Clearances = append(st.Clearances, peer.Clearance{Key: uint64(n*24 + i), Age: time.Second})
			}
			s.Receive(st, now)
		}},
		{"own state", func(s *Blocks, _ int) { s.Collect(&peer.State{}, now) }},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			s := fullBlocks()
			for n := 0; b.Loop(); n++ {
				test.run(s, n)
			}
		})
	}
}

// BenchmarkRecords measures what a request and a peer's state take while many crashes are known.
func BenchmarkRecords(b *testing.B) {
	records := Records{}
	for n := range uint64(maxRecords * 4) {
		f := endpoint.Fingerprints{Path: n % maxRecords, Target: n, Parameters: peer.Parameters{n, 1}}
		records.AddCrash(crashOf(f, fmt.Sprint("e", n)), &ClearanceTable{}, start)
	}
	full := endpoint.Fingerprints{Path: 1 << 40, Target: 7}
	for n := range uint64(maxCrashes) {
		records.AddCrash(crashOf(endpoint.Fingerprints{Path: full.Path, Target: n}, fmt.Sprint("e", n)), &ClearanceTable{}, start)
	}
	tests := []struct {
		name string
		run  func(n int)
	}{
		{"check, no crash on the path", func(int) { records.Remaining(endpoint.Fingerprints{Path: 1 << 41}, start) }},
		{"check, 32 crashes on the path", func(int) { records.Remaining(full, start) }},
		{"survived, 32 crashes on the path", func(int) {
			records.Refute(endpoint.Fingerprints{Path: full.Path, Target: 1 << 42}, start.Add(-time.Hour), start)
		}},
		{"clearance of a peer", func(n int) { records.RefuteKey(1<<43+uint64(n), start) }},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			for n := range b.N {
				test.run(n)
			}
		})
	}
}
