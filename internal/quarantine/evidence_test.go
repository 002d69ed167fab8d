package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// start is when the tests of this package begin.
var start = time.Unix(1_000_000, 0)

// at returns the time that many milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// clearedAt implements Clearances by the milliseconds after start.
type clearedAt map[uint64]int

func (c clearedAt) ClearedAt(key uint64) time.Time {
	if ms, ok := c[key]; ok {
		return at(ms)
	}
	return time.Time{}
}

// lostRun returns the run of a request that an endpoint lost after that many milliseconds.
func lostRun(ms int, request, endpoint uint64, blocks ...uint64) LostRun {
	return LostRun{Request: request, Endpoint: endpoint, Blocks: blocks, At: at(ms)}
}

// TestCulprits checks which block of the prompts is found to crash endpoints. Blocks 90 to 99 do in these rows, endpoints have
// numbers from 1001 on.
func TestCulprits(t *testing.T) {
	tests := []struct {
		name    string
		runs    []LostRun
		cleared clearedAt
		want    []uint64
	}{
		{"none", nil, nil, nil},
		{"three requests", []LostRun{lostRun(0, 1, 1001, 1, 90), lostRun(500, 2, 1002, 2, 90), lostRun(900, 3, 1003, 3, 90)}, nil, []uint64{90}},
		{"two requests", []LostRun{lostRun(0, 1, 1001, 1, 90), lostRun(500, 2, 1002, 2, 90), lostRun(900, 2, 1003, 2, 90)}, nil, nil},
		{"one request over and over", []LostRun{lostRun(0, 1, 1001, 1), lostRun(500, 1, 1002, 1), lostRun(900, 1, 1003, 1), lostRun(1300, 1, 1004, 1)}, nil, nil},
		{"one endpoint", []LostRun{lostRun(0, 1, 1001, 1), lostRun(500, 2, 1001, 1), lostRun(900, 3, 1001, 1)}, nil, nil},
		{"loss of power", []LostRun{lostRun(0, 1, 1001, 1), lostRun(10, 2, 1002, 1), lostRun(200, 3, 1003, 1), lostRun(240, 4, 1004, 1)}, nil, nil},
		{"two losses of power", []LostRun{lostRun(0, 1, 1001, 1), lostRun(10, 2, 1002, 1), lostRun(2000, 3, 1003, 1), lostRun(2040, 4, 1004, 1)}, nil, nil},
		{
			"a block with answers in between",
			[]LostRun{lostRun(0, 1, 1001, 1), lostRun(500, 2, 1002, 1), lostRun(900, 3, 1003, 1)},
			clearedAt{1: 600},
			nil,
		},
		{
			"answers before the losses",
			[]LostRun{lostRun(30_000, 1, 1001, 90), lostRun(30_500, 2, 1002, 90), lostRun(30_900, 3, 1003, 90)},
			clearedAt{90: 0},
			[]uint64{90},
		},
		{
			"sound until a moment ago",
			[]LostRun{lostRun(1000, 1, 1001, 90), lostRun(1500, 2, 1002, 90), lostRun(1900, 3, 1003, 90)},
			clearedAt{90: 900},
			nil,
		},
		{
			"sound until some time ago",
			[]LostRun{lostRun(1000, 1, 1001, 90), lostRun(1500, 2, 1002, 90), lostRun(1600, 3, 1003, 90), lostRun(1900, 4, 1004, 90), lostRun(2000, 5, 1005, 90)},
			clearedAt{90: 900},
			[]uint64{90},
		},
		{
			"sound until a moment ago, five requests at once",
			[]LostRun{lostRun(1000, 1, 1001, 90), lostRun(1500, 2, 1002, 90), lostRun(1600, 3, 1003, 90), lostRun(1800, 4, 1004, 90), lostRun(1900, 5, 1005, 90)},
			clearedAt{90: 900},
			nil,
		},
		{
			"a request that was merely there when another crashed the endpoint",
			[]LostRun{lostRun(0, 1, 1001, 90, 7), lostRun(500, 2, 1002, 90, 7), lostRun(500, 9, 1002, 7, 8), lostRun(900, 3, 1003, 90, 7), lostRun(1300, 4, 1004, 90, 6)},
			nil,
			[]uint64{90},
		},
		{
			"endpoints that answered later runs",
			[]LostRun{lostRun(0, 1, 1001, 1), lostRun(500, 2, 1002, 1), lostRun(900, 3, 1003, 1)},
			clearedAt{1002: 800},
			nil,
		},
		{
			"beside one other block, which was sound",
			[]LostRun{lostRun(0, 1, 1001, 90, 1), lostRun(500, 2, 1002, 90, 1), lostRun(900, 3, 1003, 90, 1)},
			clearedAt{1: -500},
			[]uint64{90},
		},
		{
			"beside one other block, of which nothing is known",
			[]LostRun{lostRun(0, 1, 1001, 1, 90), lostRun(500, 2, 1002, 1, 90), lostRun(900, 3, 1003, 1, 90)},
			nil,
			[]uint64{90},
		},
		{
			"first block, seen beside two others",
			[]LostRun{lostRun(0, 1, 1001, 90, 1), lostRun(500, 2, 1002, 90, 1), lostRun(900, 3, 1003, 90, 1), lostRun(1300, 4, 1004, 90, 2)},
			nil,
			[]uint64{90},
		},
		{
			"two at once in the prompts of one first block",
			[]LostRun{
				lostRun(0, 1, 1001, 1, 90), lostRun(300, 2, 1002, 1, 91), lostRun(600, 3, 1003, 2, 90),
				lostRun(900, 4, 1004, 2, 91), lostRun(1200, 5, 1005, 1, 90), lostRun(1500, 6, 1006, 1, 91),
			},
			clearedAt{1: -100, 2: -100},
			[]uint64{91, 90},
		},
		{
			"sound block in all of the prompts, and in one that an endpoint lost by itself",
			[]LostRun{
				lostRun(0, 1, 1001, 90, 7), lostRun(1100, 2, 1002, 90, 7), lostRun(1280, 3, 1003, 90, 7), lostRun(1340, 4, 1004, 90, 7),
				lostRun(2160, 5, 1005, 7),
			},
			clearedAt{7: -2640},
			[]uint64{90},
		},
		{
			"named twice in a prompt",
			[]LostRun{lostRun(0, 1, 1001, 90, 90), lostRun(500, 2, 1002, 90), lostRun(900, 2, 1003, 90)},
			nil, nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []uint64
			for _, e := range Culprits(test.runs, test.cleared) {
				got = append(got, e.Block)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
