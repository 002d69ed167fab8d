package warmup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUntil guards against an endpoint that is taken for warm while it may be cold, and against one that stays cold for ever.
func TestUntil(t *testing.T) {
	const coldTime = 3 * time.Second
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		name     string
		known    Knowledge
		update   func(k *Knowledge)
		returned time.Time
		now      time.Duration
		until    time.Duration
		why      Reason
	}{
		{"new", NewIncarnation(0, start), nil, time.Time{}, 0, coldTime, ReasonStart},
		{"new, the entry says longer", NewIncarnation(2*coldTime, start), nil, time.Time{}, 0, 2 * coldTime, ReasonEntry},
		{"new, long ago", NewIncarnation(0, start), nil, time.Time{}, coldTime, 0, 0},
		{"new, a later entry says warm", NewIncarnation(0, start), func(k *Knowledge) { k.Update(0, at(1)) }, time.Time{}, 1, 0, 0},
		{"new, a later entry says shorter", NewIncarnation(coldTime, start), func(k *Knowledge) { k.Update(1, at(1)) }, time.Time{}, 1, coldTime, ReasonStart},
		{"listed as warm", Listed(0, start), nil, time.Time{}, 0, 0, 0},
		{"listed as cold", Listed(time.Second, start), nil, time.Time{}, 0, time.Second, ReasonEntry},
		{"cold again", Listed(0, start), func(k *Knowledge) { k.Update(time.Second, at(time.Minute)) }, time.Time{}, time.Minute, time.Minute + time.Second, ReasonEntry},
		{"after an evacuation", Listed(0, start), nil, at(time.Minute), time.Minute, time.Minute + coldTime, ReasonReturn},
		{"after an evacuation, the entry says warm", Listed(0, start), func(k *Knowledge) { k.Update(0, at(time.Minute+1)) }, at(time.Minute), time.Minute + 1, time.Minute + coldTime, ReasonReturn},
		{"not reached", Listed(0, start), func(k *Knowledge) { k.NoteUnreached(start) }, time.Time{}, 0, maxDoubt, ReasonDoubt},
		{"not reached, an entry from before", Listed(0, start), func(k *Knowledge) { k.NoteUnreached(start); k.Update(0, at(entryDelay-1)) }, time.Time{}, entryDelay, maxDoubt, ReasonDoubt},
		{"not reached, an entry from after", Listed(0, start), func(k *Knowledge) { k.NoteUnreached(start); k.Update(0, at(entryDelay)) }, time.Time{}, entryDelay, 0, 0},
		{"not reached, long ago", Listed(0, start), func(k *Knowledge) { k.NoteUnreached(start) }, time.Time{}, maxDoubt, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k := test.known
			if test.update != nil {
				test.update(&k)
			}
			until, why := k.Until(coldTime, test.returned, at(test.now))
			qt.Check(t, why, qt.Equals, test.why)
			if why != 0 {
				qt.Check(t, until, qt.Equals, at(test.until))
			}
		})
	}
}
