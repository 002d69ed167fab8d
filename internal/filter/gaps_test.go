package filter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGaps checks mean and pace of streams with and without pauses.
func TestGaps(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name       string
		gaps       []time.Duration
		mean, pace time.Duration
	}{
		{"none", nil, 0, 0},
		{"too few", []time.Duration{5 * ms}, 0, 0},
		{"even", []time.Duration{16 * ms, 16 * ms, 16 * ms}, 16 * ms, 16 * ms},
		{"a pause doesn't change the pace", []time.Duration{16 * ms, 300 * ms, 16 * ms, 16 * ms}, 87 * ms, 16 * ms},
		{"slow throughout", []time.Duration{80 * ms, 90 * ms, 100 * ms}, 90 * ms, 80 * ms},
	}
	for _, test := range tests {
		var g gaps
		for _, d := range test.gaps {
			g.add(d)
		}
		qt.Check(t, g.mean(), qt.Equals, test.mean, qt.Commentf(test.name))
		qt.Check(t, g.pace(), qt.Equals, test.pace, qt.Commentf(test.name))
	}
}
