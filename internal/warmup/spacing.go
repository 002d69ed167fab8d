package warmup

import (
	"slices"
	"time"
)

// Spacing counts the sends of this VM to one cold endpoint. It begins without a share, since an earlier process of this VM may have
// sent just before, or this VM itself before it knew that the endpoint is cold.
type Spacing struct {
	// beganAt is when this VM began to count, placed the times of the sends in the last Window, oldest first.
	beganAt time.Time
	placed  []time.Time
}

// NewSpacing makes a Spacing that begins now.
func NewSpacing(now time.Time) *Spacing { return &Spacing{beganAt: now} }

// Left returns how many sends of the share may be placed now.
func (s *Spacing) Left(share int, now time.Time) int {
	if now.Sub(s.beganAt) < Window {
		return 0
	}
	s.placed = slices.DeleteFunc(s.placed, func(at time.Time) bool { return now.Sub(at) >= Window })
	return max(share-len(s.placed), 0)
}

// Wait returns the time until one of the share may be placed; 0 if one may be placed now or the share is 0.
func (s *Spacing) Wait(share int, now time.Time) time.Duration {
	if share == 0 || s.Left(share, now) > 0 {
		return 0
	}
	next := s.beganAt
	if len(s.placed) >= share {
		next = s.placed[len(s.placed)-share]
	}
	return max(Window-now.Sub(next), 0)
}

// Take counts a send that is placed now.
func (s *Spacing) Take(now time.Time) { s.placed = append(s.placed, now) }

// Return takes back the send that was placed at a time and of which nothing was sent.
func (s *Spacing) Return(at time.Time) {
	if i := slices.IndexFunc(s.placed, at.Equal); i >= 0 {
		s.placed = slices.Delete(s.placed, i, i+1)
	}
}
