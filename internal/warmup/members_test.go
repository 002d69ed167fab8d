package warmup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// listing is a change of the members at a time.
type listing struct {
	at  time.Duration
	vms []string
}

// TestMembers guards against a VM that takes a share before the others know it or after it left their view, and against shares that
// grow because a VM that may still send has left the list.
func TestMembers(t *testing.T) {
	tests := []struct {
		name     string
		listings []listing
		now      time.Duration
		joined   bool
		all      []string
	}{
		{"nothing known", nil, time.Hour, false, nil},
		{"not listed", []listing{{0, []string{"b"}}}, time.Hour, false, []string{"b"}},
		{"just listed", []listing{{0, []string{"a", "b"}}}, joinDelay - 1, false, []string{"a", "b"}},
		{"listed for long", []listing{{0, []string{"a", "b"}}}, joinDelay, true, []string{"a", "b"}},
		{"others change", []listing{{0, []string{"a"}}, {joinDelay, []string{"a", "b"}}}, joinDelay, true, []string{"a", "b"}},
		{"another one is gone", []listing{{0, []string{"a", "b"}}, {joinDelay, []string{"a"}}}, joinDelay, true, []string{"a", "b"}},
		{"another one is gone for long", []listing{{0, []string{"a", "b"}}, {1, []string{"a"}}, {keepGone + 1, []string{"a"}}}, keepGone + 1, true, []string{"a"}},
		{"another one is back", []listing{{0, []string{"a", "b"}}, {1, []string{"a"}}, {2, []string{"a", "b"}}}, joinDelay, true, []string{"a", "b"}},
		{"dropped", []listing{{0, []string{"a"}}, {joinDelay, []string{"b"}}}, joinDelay, false, []string{"a", "b"}},
		{"listed again", []listing{{0, []string{"a"}}, {joinDelay, []string{"b"}}, {joinDelay + 1, []string{"a", "b"}}}, joinDelay + 2, false, []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var m Members
			for _, l := range test.listings {
				m.Set("a", l.vms, start.Add(l.at))
			}
			qt.Check(t, m.Joined(start.Add(test.now)), qt.Equals, test.joined)
			qt.Check(t, m.All(), qt.DeepEquals, test.all)
		})
	}
}
