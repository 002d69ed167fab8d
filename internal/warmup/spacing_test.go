package warmup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSpacing guards against sends before a Window has passed since the endpoint became cold here, against more than the share in a
// Window, and against a share that is lost with a send that never began.
func TestSpacing(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		name  string
		share int
		apply func(s *Spacing)
		now   time.Duration
		left  int
		wait  time.Duration
	}{
		{"at the beginning", 2, func(*Spacing) {}, 0, 0, Window},
		{"just before the first", 2, func(*Spacing) {}, Window - 1, 0, 1},
		{"the first", 2, func(*Spacing) {}, Window, 2, 0},
		{"no share", 0, func(*Spacing) {}, Window, 0, 0},
		{"one taken", 2, func(s *Spacing) { s.Take(at(Window)) }, Window + 1, 1, 0},
		{"all taken", 2, func(s *Spacing) { s.Take(at(Window)); s.Take(at(Window + 5)) }, Window + 7, 0, Window - 7},
		{"the oldest is over", 2, func(s *Spacing) { s.Take(at(Window)); s.Take(at(Window + 5)) }, 2 * Window, 1, 0},
		{"one given back", 1, func(s *Spacing) { s.Take(at(Window)); s.Return(at(Window)) }, Window + 1, 1, 0},
		{"another one given back", 1, func(s *Spacing) { s.Take(at(Window)); s.Return(at(Window - 1)) }, Window + 1, 0, Window - 1},
		{"the share has fallen", 1, func(s *Spacing) { s.Take(at(Window)); s.Take(at(Window + 5)) }, Window + 7, 0, Window - 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSpacing(start)
			test.apply(s)
			qt.Check(t, s.Wait(test.share, at(test.now)), qt.Equals, test.wait)
			qt.Check(t, s.Left(test.share, at(test.now)), qt.Equals, test.left)
		})
	}
}
