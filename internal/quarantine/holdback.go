package quarantine

import "slices"

// HoldsBack reports whether the request must not be sent again: it lost runs at two endpoints, or at one, and another request lost one
// elsewhere with a block of it that isn't known to be sound.
func (s *Blocks) HoldsBack(request uint64, blocks []uint64) bool {
	endpoints := map[uint64]bool{}
	for _, k := range s.runs {
		if k.Request == request && s.open(k.LostRun) {
			endpoints[k.Endpoint] = true
		}
	}
	if len(endpoints) != 1 {
		return len(endpoints) > 1
	}
	held := make(map[uint64]bool, len(blocks))
	for _, b := range blocks {
		held[b] = true
	}
	return slices.ContainsFunc(s.runs, func(k knownRun) bool {
		return k.Request != request && !endpoints[k.Endpoint] && s.open(k.LostRun) && slices.ContainsFunc(k.Blocks, func(b uint64) bool {
			if !held[b] {
				return false
			}
			cleared := s.clearances.ClearedAt(b)
			return cleared.IsZero() || k.At.Sub(cleared) >= soundPeriod
		})
	})
}
