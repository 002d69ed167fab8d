package peer

// Fill chooses which items of several lists go into room bytes: one of each list in turn, from each list's start on and
// around its end, until nothing more fits. It returns how many items each list gives.
func Fill(room int, sizes [][]int, start []int) []int {
	taken := make([]int, len(sizes))
	full := make([]bool, len(sizes))
	for progress := true; progress; {
		progress = false
		for i, list := range sizes {
			if full[i] || taken[i] == len(list) {
				continue
			}
			size := list[(start[i]+taken[i])%len(list)]
			if size > room {
				full[i] = true
				continue
			}
			room -= size
			taken[i]++
			progress = true
		}
	}
	return taken
}

// rotate returns n items of list from start on and around its end.
func rotate[T any](list []T, start, n int) []T {
	out := make([]T, 0, n)
	for i := range n {
		out = append(out, list[(start+i)%len(list)])
	}
	return out
}
