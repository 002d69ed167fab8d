package memory

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRefusedBodiesThatAreDroppedAreBounded guards against sockets of refused bodies that hold more than their share.
func TestRefusedBodiesThatAreDroppedAreBounded(t *testing.T) {
	tests := []struct {
		name    string
		sockets int64
		// lingering is how many bodies are dropped already; released says that one of them has ended.
		lingering int
		released  bool
		want      bool
	}{
		{"first", 4 * SocketBytes, 0, false, true},
		{"last that fits", 4 * SocketBytes, 1, false, true},
		{"one too many", 4 * SocketBytes, 2, false, false},
		{"after one has ended", 4 * SocketBytes, 2, true, true},
		{"no bound", 0, 100, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, stop := startController(Limits{Sockets: test.sockets})
			defer stop()
			var claims []*Claim
			for range test.lingering {
				claim := c.BodyClaim("before", 0)
				qt.Assert(t, claim.Linger(t.Context()), qt.IsTrue)
				claims = append(claims, claim)
			}
			if test.released {
				claims[0].Release()
			}
			qt.Check(t, c.BodyClaim("last", 0).Linger(t.Context()), qt.Equals, test.want)
		})
	}
}

// TestWaitingBodiesFitTheSockets checks how many claims on one pool may wait.
func TestWaitingBodiesFitTheSockets(t *testing.T) {
	tests := []struct {
		sockets int64
		want    int
	}{
		{0, maxWaiting},
		{4 * SocketBytes, 1},
		{40 * SocketBytes, 10},
		{1 << 40, maxWaiting},
	}
	for _, test := range tests {
		qt.Check(t, Limits{Sockets: test.sockets}.waiting(), qt.Equals, test.want)
	}
}
