package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
)

// TestDelaysAreLearned guards against costs of distance of another deployment: 3.9 ms between zones, 20 ms between regions, one way. One
// run in five hangs, which is a part of what it costs to go where little is known.
func TestDelaysAreLearned(t *testing.T) {
	tests := []struct {
		name     string
		distance int
		late     time.Duration
		runs     int
		want     time.Duration
	}{
		{"none seen", endpoint.SameRegion, 0, 0, otherZoneDelay},
		{"a few seen", endpoint.SameRegion, 8 * time.Millisecond, 5, 17 * time.Millisecond},
		{"other zones", endpoint.SameRegion, 8 * time.Millisecond, 200, 106 * time.Millisecond},
		{"other regions", endpoint.OtherRegion, 40 * time.Millisecond, 200, 132 * time.Millisecond},
		{"farther than taken", endpoint.OtherRegion, 400 * time.Millisecond, 200, 420 * time.Millisecond},
		{"sooner than in the own zone", endpoint.SameRegion, -time.Second, 200, 0},
		{"the own zone", endpoint.SameZone, time.Second, 200, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDelays()
			for i := range test.runs {
				late := test.late
				if test.runs > 10 && i%5 == 0 && test.late > 0 {
					late = 5 * time.Second
				}
				d.learn(test.distance, late)
			}
			got := d.of(test.distance)
			qt.Check(t, (got-test.want).Abs() <= 30*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}
