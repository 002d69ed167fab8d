package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHoldsBack draws lost runs and answers, and compares HoldsBack with its rule, which looks for each block of the request in each run.
func TestHoldsBack(tt *testing.T) {
	plain := func(s *Blocks, request uint64, blocks []uint64) bool {
		endpoints, shared := map[uint64]bool{}, false
		for _, k := range s.runs {
			if s.open(k.LostRun) && k.Request == request {
				endpoints[k.Endpoint] = true
			}
		}
		for _, k := range s.runs {
			if !s.open(k.LostRun) || endpoints[k.Endpoint] {
				continue
			}
			for _, b := range blocks {
				cleared := s.clearances.ClearedAt(b)
				shared = shared || (slices.Contains(k.Blocks, b) && (cleared.IsZero() || k.At.Sub(cleared) >= soundPeriod))
			}
		}
		return len(endpoints) > 1 || (len(endpoints) == 1 && shared)
	}
	rapid.Check(tt, func(t *rapid.T) {
		s, now := NewBlocks(), start
		few, blocks := rapid.Uint64Range(1, 4), rapid.SliceOfN(rapid.Uint64Range(1, 8), 0, 5)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			b, endpoint := blocks.Draw(t, "blocks"), 100+few.Draw(t, "endpoint")
			if rapid.Bool().Draw(t, "lost") {
				s.AddLostRun(LostRun{few.Draw(t, "request"), endpoint, b, now}, now)
			} else {
				s.AddSurvival(b, endpoint, now)
			}
			request, asked := few.Draw(t, "asked"), blocks.Draw(t, "its blocks")
			if got, want := s.HoldsBack(request, asked), plain(s, request, asked); got != want {
				t.Fatalf("HoldsBack says %t, want %t", got, want)
			}
		}
	})
}
