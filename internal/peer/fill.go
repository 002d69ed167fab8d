package peer

// Fill selects items of several lists for the available bytes: one of each list in turn, starting at the list's start
// index and wrapping around, until nothing more fits. sizes holds the size of each item in bytes, by list. It returns
// the number of items taken from each list. allocate calls it.
func Fill(available int, sizes [][]int, start []int) []int {
	taken := make([]int, len(sizes))
	exhausted := make([]bool, len(sizes))
	for progress := true; progress; {
		progress = false
		for i, list := range sizes {
			if exhausted[i] || taken[i] == len(list) {
				continue
			}
			size := list[(start[i]+taken[i])%len(list)]
			if size > available {
				exhausted[i] = true
				continue
			}
			available -= size
			taken[i]++
			progress = true
		}
	}
	return taken
}

// rotate returns n items of list from index start on, wrapping around. Encode calls it.
func rotate[T any](list []T, start, n int) []T {
	out := make([]T, 0, n)
	for i := range n {
		out = append(out, list[(start+i)%len(list)])
	}
	return out
}
