package task

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"
)

// recordedMeter is a Meter that notes what it is told.
type recordedMeter struct{ records *[]string }

func (m recordedMeter) MessageRecorder(owner, kind string) func(time.Duration) {
	return func(took time.Duration) { *m.records = append(*m.records, fmt.Sprint(owner, " ", kind, " ", took)) }
}

type listMessage struct{ list []int }

func (m listMessage) Size() int { return len(m.list) }

// TestSlowMessageIsLogged handles messages one after another and checks which of them are logged, and that all are recorded.
func TestSlowMessageIsLogged(t *testing.T) {
	list := listMessage{make([]int, 7)}
	tests := []struct {
		name string
		// took is how long each message takes, pause the time between two.
		took    []time.Duration
		pause   time.Duration
		message any
		want    []string
	}{
		{"fast", []time.Duration{slowMessageTime - 1}, 0, list, nil},
		{"slow", []time.Duration{slowMessageTime}, 0, list, []string{`"kind"="list" "size"=7 "milliseconds"=50 "unlogged"=0`}},
		{"slow without a size", []time.Duration{time.Second}, 0, question{}, []string{`"kind"="question" "size"=0 "milliseconds"=1000 "unlogged"=0`}},
		{
			"many slow ones",
			[]time.Duration{time.Second / 10, time.Second / 10, time.Second / 10, time.Second},
			0, list,
			[]string{`"kind"="list" "size"=7 "milliseconds"=100 "unlogged"=0`, `"kind"="list" "size"=7 "milliseconds"=1000 "unlogged"=2`},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lines, records, want []string
				log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
				s := NewStopwatch("o", recordedMeter{&records}, log)
				for _, took := range test.took {
					started := time.Now()
					time.Sleep(took)
					s.Handled(started, test.message)
					want = append(want, fmt.Sprint("o ", messageKind(test.message), " ", took))
					time.Sleep(test.pause)
				}
				qt.Check(t, records, qt.DeepEquals, want)
				qt.Assert(t, lines, qt.HasLen, len(test.want))
				for i, line := range lines {
					qt.Check(t, line, qt.Contains, test.want[i])
				}
			})
		})
	}
}

// TestStall checks which lateness of a check counts as a stall of the process.
func TestStall(t *testing.T) {
	started := time.Unix(1_800_000_000, 0)
	tests := []struct {
		took, want time.Duration
	}{
		{stallCheckInterval, 0},
		{stallCheckInterval + minStall - 1, 0},
		{stallCheckInterval + minStall, minStall},
		{time.Minute, time.Minute - stallCheckInterval},
	}
	for _, test := range tests {
		qt.Check(t, stall(started, started.Add(test.took)), qt.Equals, test.want, qt.Commentf("%v", test.took))
	}
}
