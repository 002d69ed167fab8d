package task

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEvict guards against a server that closes a connection in calm, gives up a request, or lets those that only wait keep others out.
func TestEvict(t *testing.T) {
	began := time.Unix(1_800_000_000, 0)
	idle := func(seconds int) OpenConnection {
		return OpenConnection{PhaseIdle, began.Add(time.Duration(seconds) * time.Second)}
	}
	head := func(seconds int) OpenConnection {
		return OpenConnection{PhaseHead, began.Add(time.Duration(seconds) * time.Second)}
	}
	body := func(seconds int) OpenConnection {
		return OpenConnection{PhaseBody, began.Add(time.Duration(seconds) * time.Second)}
	}
	serving := OpenConnection{PhaseServing, began}
	tests := []struct {
		name    string
		open    []OpenConnection
		changed int
		limits  ConnectionLimits
		want    int
	}{
		{"as many as allowed", []OpenConnection{idle(1), serving}, 0, ConnectionLimits{2, 1}, -1},
		{"no bound", []OpenConnection{idle(1), head(1), head(2), serving}, 0, ConnectionLimits{}, -1},
		{"one too many", []OpenConnection{idle(2), idle(1), serving, idle(3)}, 3, ConnectionLimits{3, 1}, 1},
		{"idle before heads, though a head is older", []OpenConnection{head(0), idle(2), idle(3)}, 2, ConnectionLimits{2, 1}, 1},
		{"slowest head", []OpenConnection{head(2), head(1), serving, idle(3)}, 3, ConnectionLimits{3, 2}, 1},
		{"heads before bodies, though a body is older", []OpenConnection{body(0), head(1), idle(3)}, 2, ConnectionLimits{2, 2}, 1},
		{"slowest body", []OpenConnection{body(2), serving, body(1), idle(3)}, 3, ConnectionLimits{3, 2}, 2},
		{"new one among served ones", []OpenConnection{serving, serving, idle(9)}, 2, ConnectionLimits{2, 1}, 2},
		{"all are served", []OpenConnection{serving, serving, serving}, 2, ConnectionLimits{2, 1}, -1},
		{"too many heads, though there is room", []OpenConnection{head(3), idle(0), head(2), head(1)}, 3, ConnectionLimits{10, 2}, 2},
		{"as many heads as allowed", []OpenConnection{head(3), idle(0), head(2)}, 2, ConnectionLimits{10, 2}, -1},
		{"heads without a bound", []OpenConnection{head(3), head(1), head(2)}, 2, ConnectionLimits{10, 0}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, evict(test.open, test.changed, test.limits), qt.Equals, test.want)
		})
	}
}
