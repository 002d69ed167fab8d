package rollout

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cornelmux/internal/configuration"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestNext(t *testing.T) {
	steps := []float64{0.01, 0.25, 1}
	at := func(share float64, state catalog.RollOutState, stepAt int64) catalog.RollOut {
		return catalog.RollOut{Steps: steps, StepSeconds: 60, Share: share, State: state, StepAt: stepAt}
	}
	rows := []struct {
		name string
		have catalog.RollOut
		want catalog.RollOut
		due  bool
	}{
		{"first step", at(0.01, catalog.RollOutRunning, 0), at(0.25, catalog.RollOutRunning, 100), true},
		{"share between steps", at(0.1, catalog.RollOutRunning, 0), at(0.25, catalog.RollOutRunning, 100), true},
		{"not due", at(0.01, catalog.RollOutRunning, 41), at(0.01, catalog.RollOutRunning, 41), false},
		{"interrupted long ago", at(0.25, catalog.RollOutRunning, -9999), at(1, catalog.RollOutRunning, 100), true},
		{"done", at(1, catalog.RollOutRunning, 0), at(1, catalog.RollOutDone, 100), true},
		{"halted", at(0.01, catalog.RollOutHalted, 0), at(0.01, catalog.RollOutHalted, 0), false},
		{"already done", at(1, catalog.RollOutDone, 0), at(1, catalog.RollOutDone, 0), false},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			got, due := AdvanceIfDue(row.have, time.Unix(100, 0))
			c.Assert(due, qt.Equals, row.due)
			c.Assert(got, qt.DeepEquals, row.want)
		})
	}
}

// TestTallyCountsOnce guards against evidence being counted twice or lost when VMs restart and datagrams with
// their counts are lost, repeated or reordered.
func TestTallyCountsOnce(t *testing.T) {
	run := Run{"m", "v2", 1}
	rapid.Check(t, func(t *rapid.T) {
		tally := NewFleetEvidence()
		type sent struct {
			vm          string
			incarnation uint64
			answers     uint64
		}
		var all []sent
		var last [3]uint64 // counts restart at 0 with each incarnation
		received := map[string]map[uint64]uint64{}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			vm := rapid.IntRange(0, 2).Draw(t, "vm")
			incarnation := uint64(1 + len(all)/10)
			if len(all)%10 == 0 {
				last = [3]uint64{}
			}
			last[vm] += uint64(rapid.IntRange(0, 5).Draw(t, "answers"))
			all = append(all, sent{fmt.Sprint(vm), incarnation, last[vm]})
			s := all[rapid.IntRange(0, len(all)-1).Draw(t, "arrives")]
			tally.Receive(s.vm, s.incarnation, run, Evidence{Answers: s.answers})
			known := received[s.vm]
			if known == nil {
				known = map[uint64]uint64{}
				received[s.vm] = known
			}
			late := false
			for i := range known {
				late = late || i > s.incarnation
			}
			if !late {
				known[s.incarnation] = max(known[s.incarnation], s.answers)
			}
		}
		want := uint64(0)
		for _, known := range received {
			for _, n := range known {
				want += n
			}
		}
		if got := tally.Sum(run).Answers; got != want {
			t.Fatalf("sum of answers is %d, want %d", got, want)
		}
	})
}

// recorder implements Submitter and Halter. It accepts every proposal and records proposals and halts.
type recorder struct {
	accepted chan configuration.Submission
	halted   chan Run
}

// Submit implements Submitter.
func (r recorder) Submit(_ context.Context, s configuration.Submission) (uint64, error) {
	r.accepted <- s
	return 0, nil
}

// Halt implements Halter.
func (r recorder) Halt(model, version string, startedAt int64) error {
	r.halted <- Run{model, version, startedAt}
	return nil
}

// testSnapshot returns a configuration with one rollout of model m from v1 to v2.
func testSnapshot(state catalog.RollOutState, startedAt int64) configuration.Snapshot {
	return configuration.NewSnapshot(3, catalog.Configuration{
		Models: []catalog.Model{{Name: "m", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}, {Name: "v2"}}}},
		RollOuts: []catalog.RollOut{{
			Model: "m", Version: "v2", Share: 0.1, Steps: []float64{0.1, 1}, StepSeconds: 60, State: state,
			StartedAt: startedAt, StepAt: time.Now().Unix(),
		}},
	}, time.Now())
}

// TestController checks that evidence and halts of other VMs halt a rollout here and propose the halt, that a rollout
// without bad evidence proposes its next step, and that a new run drops the old halt.
func TestController(t *testing.T) {
	failures := func(vm string, startedAt int64) peer.State {
		return peer.State{VM: vm, Incarnation: 1, Evidence: []peer.VersionEvidence{
			{Model: "m", Version: "v2", StartedAt: startedAt, Answers: 40, Failures: 20},
		}}
	}
	halt := peer.State{VM: "b", Halts: []peer.Halt{{Model: "m", Version: "v2", StartedAt: 7, Reason: "elsewhere"}}}
	rows := []struct {
		name     string
		have     catalog.RollOutState
		received []peer.State
		halted   bool
		// proposed is contained in the ID of each submitted change; "" means that none is submitted.
		proposed string
	}{
		{"no evidence against the version", catalog.RollOutRunning, nil, false, "running-1"},
		{"failures counted by another VM", catalog.RollOutRunning, []peer.State{failures("b", 7)}, true, "halted"},
		{"failures of an earlier run", catalog.RollOutRunning, []peer.State{failures("b", 6)}, false, "running-1"},
		{"halt of another VM", catalog.RollOutRunning, []peer.State{halt}, true, "halted"},
		{"failures after the last step", catalog.RollOutDone, []peer.State{failures("b", 7)}, true, "halted"},
		{"already halted", catalog.RollOutHalted, []peer.State{failures("b", 7), halt}, false, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := recorder{make(chan configuration.Submission, 100), make(chan Run, 100)}
				snapshots := make(chan configuration.Snapshot, 1)
				controller := New(snapshots, r, r, "a", logr.Discard())
				ctx, cancel := context.WithCancel(context.Background())
				ends := make(chan task.End, 1)
				task.Start(ctx, "roll-outs", ends, controller.Run)
				snapshots <- testSnapshot(row.have, 7)
				synctest.Wait()
				for _, s := range row.received {
					c.Assert(controller.Receive(ctx, s), qt.IsNil)
				}
				time.Sleep(5 * time.Minute)
				c.Assert(len(r.halted), qt.Equals, map[bool]int{true: 1}[row.halted])
				c.Assert(len(r.accepted) > 0, qt.Equals, row.proposed != "")
				for len(r.accepted) > 0 {
					s := <-r.accepted
					c.Assert(strings.Contains(s.ChangeID, row.proposed), qt.IsTrue, qt.Commentf("%s", s.ChangeID))
					c.Assert(s.BaseRevision, qt.Equals, uint64(3))
				}
				var sent peer.State
				c.Assert(controller.Collect(ctx, &sent), qt.IsNil)
				c.Assert(len(sent.Halts) > 0, qt.Equals, row.halted)
				snapshots <- testSnapshot(catalog.RollOutRunning, 8)
				synctest.Wait()
				sent = peer.State{}
				c.Assert(controller.Collect(ctx, &sent), qt.IsNil)
				c.Assert(sent.Halts, qt.HasLen, 0)
				c.Assert(task.Stop(cancel, ends, 1), qt.IsNil)
			})
		})
	}
}
