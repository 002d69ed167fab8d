package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/peer"
)

// vms are the Blocks of several VMs, which exchange states in datagrams.
type vms struct {
	c      *qt.C
	blocks []*Blocks
	// incarnations are those of the VMs.
	incarnations []uint64
	now          time.Time
}

// newVMs returns n VMs that know nothing.
func newVMs(c *qt.C, n int) *vms {
	f := &vms{c: c, now: start}
	for range n {
		f.blocks = append(f.blocks, NewBlocks())
		f.incarnations = append(f.incarnations, 1)
	}
	return f
}

// collect returns the state of a VM as the others get it.
func (f *vms) collect(vm int) peer.State {
	s := peer.State{VM: fmt.Sprint("vm-", vm), Incarnation: f.incarnations[vm], Sequence: 1}
	f.blocks[vm].Collect(&s, f.now)
	key := []byte("key")
	var cursor peer.Cursor
	data, _, err := cursor.Encode(key, peer.Packet{State: s})
	f.c.Assert(err, qt.IsNil)
	p, err := peer.Decode(key, data)
	f.c.Assert(err, qt.IsNil)
	return p.State
}

// exchange lets the VMs tell each other their states a number of times, 200 ms apart. Those for which lost returns true don't
// arrive.
func (f *vms) exchange(rounds int, lost func(from, to int) bool) {
	for range rounds {
		f.now = f.now.Add(200 * time.Millisecond)
		for from := range f.blocks {
			f.blocks[from].Decide(f.now)
			s := f.collect(from)
			for to, b := range f.blocks {
				if to != from && !lost(from, to) {
					b.Receive(s, f.now)
				}
			}
		}
	}
}

// quarantined returns the VMs that refuse requests with the blocks.
func (f *vms) quarantined(blocks ...uint64) (list []int) {
	for i, b := range f.blocks {
		if _, remaining := b.Quarantined(blocks, f.now); remaining > 0 {
			list = append(list, i)
		}
	}
	return list
}

func none(int, int) bool { return false }

// loss is a run that a VM lost, answer one that came whole there.
type (
	loss struct {
		vm       int
		request  uint64
		endpoint uint64
		blocks   []uint64
	}
	answer struct {
		vm       int
		endpoint uint64
		blocks   []uint64
	}
)

// TestBlocksOverVMs lets six VMs see runs that were lost, and answers, 400 ms apart, and exchange what they learned. Requests
// crashed one endpoint after the other that had only a block of their prompts in common, and no VM saw more than one of them.
func TestBlocksOverVMs(t *testing.T) {
	const n = 6
	all := []int{0, 1, 2, 3, 4, 5}
	lossesOf := func(blocks ...[]uint64) (events []any) {
		for i, b := range blocks {
			events = append(events, loss{i % n, uint64(i + 1), uint64(1001 + i), b})
		}
		return events
	}
	// cut keeps the VMs 3 to 5 apart from the others.
	cut := func(from, to int) bool { return (from < 3) != (to < 3) }
	tests := []struct {
		name   string
		events []any
		lost   func(from, to int) bool
		// bad is the prompt to ask for, and want the VMs that refuse it; the prompt sound isn't refused by any.
		bad   []uint64
		want  []int
		sound []uint64
	}{
		{"nothing", nil, none, []uint64{90}, nil, nil},
		{"three VMs, one lost run each", lossesOf([]uint64{1, 90}, []uint64{2, 90}, []uint64{1, 90}), none, []uint64{3, 90}, all, []uint64{1, 2}},
		{"two lost runs", lossesOf([]uint64{1, 90}, []uint64{2, 90}), none, []uint64{1, 90}, nil, nil},
		{
			"every second datagram lost", lossesOf([]uint64{1, 90}, []uint64{2, 90}, []uint64{1, 90}),
			func() func(int, int) bool {
				i := 0
				return func(int, int) bool { i++; return i%2 == 0 }
			}(),
			[]uint64{3, 90},
			all,
			[]uint64{1, 2},
		},
		{
			"a ring of VMs", lossesOf([]uint64{1, 90}, []uint64{2, 90}, []uint64{1, 90}),
			func(from, to int) bool { return (from+1)%n != to },
			[]uint64{3, 90},
			all,
			[]uint64{1, 2},
		},
		{"part of the VMs cut off", lossesOf([]uint64{1, 90}, []uint64{2, 90}, []uint64{1, 90}), cut, []uint64{3, 90}, []int{0, 1, 2}, []uint64{1, 2}},
		{
			"a block that is answered in between",
			[]any{loss{0, 1, 1001, []uint64{1}}, loss{1, 2, 1002, []uint64{1}}, answer{3, 1009, []uint64{1}}, loss{2, 3, 1003, []uint64{1}}},
			none,
			[]uint64{1},
			nil,
			[]uint64{1},
		},
		{
			"lost answers of endpoints that live",
			[]any{
				loss{0, 1, 1001, []uint64{1}},
				answer{3, 1001, []uint64{2}},
				loss{1, 2, 1002, []uint64{1}},
				answer{4, 1002, []uint64{2}},
				loss{2, 3, 1003, []uint64{1}},
			},
			none,
			[]uint64{1},
			nil,
			[]uint64{1},
		},
		{
			"always the same companion, which nobody knows",
			lossesOf([]uint64{7, 90}, []uint64{7, 90}, []uint64{7, 90}), none,
			[]uint64{7, 90},
			all,
			[]uint64{7},
		},
		{
			"always the same companion behind it",
			lossesOf([]uint64{90, 7}, []uint64{90, 7}, []uint64{90, 7}), none,
			[]uint64{90, 7},
			all,
			[]uint64{7, 8},
		},
		{
			"first with one companion, then with another",
			lossesOf([]uint64{90, 7}, []uint64{90, 7}, []uint64{90, 7}, []uint64{90, 8}), none,
			[]uint64{90, 9},
			all,
			[]uint64{7, 8},
		},
		{
			"companion is answered later",
			append(lossesOf([]uint64{90, 7}, []uint64{90, 7}, []uint64{90, 7}), answer{4, 1009, []uint64{7}}),
			none,
			[]uint64{90, 9},
			all,
			[]uint64{7},
		},
		{
			"companion was answered before",
			append([]any{answer{5, 1009, []uint64{7}}}, lossesOf([]uint64{90, 7}, []uint64{90, 7}, []uint64{90, 7})...),
			none,
			[]uint64{90, 9},
			all,
			[]uint64{7},
		},
		{
			"deadly only since a moment ago",
			slices.Concat(
				[]any{answer{5, 1009, []uint64{90, 7}}}, lossesOf([]uint64{90, 7}, []uint64{90, 8}, []uint64{90, 9}, []uint64{90, 7}, []uint64{90, 8}, []uint64{90, 9}),
				[]any{answer{4, 1009, []uint64{7}}},
			),
			none,
			[]uint64{90, 9},
			all,
			[]uint64{7, 8},
		},
		{
			"two at once",
			lossesOf([]uint64{1, 90}, []uint64{1, 91}, []uint64{2, 90}, []uint64{2, 91}, []uint64{1, 90}, []uint64{1, 91}),
			none,
			[]uint64{3, 91},
			all,
			[]uint64{1, 2},
		},
	}
	for _, test := range tests {
		qt.New(t).Run(test.name, func(c *qt.C) {
			f := newVMs(c, n)
			for _, e := range test.events {
				switch e := e.(type) {
				case loss:
					f.blocks[e.vm].AddLostRun(LostRun{e.request, e.endpoint, e.blocks, f.now}, f.now)
				case answer:
					f.blocks[e.vm].AddSurvival(e.blocks, e.endpoint, f.now.Add(-100*time.Millisecond))
				}
				f.exchange(2, test.lost)
			}
			f.exchange(6, test.lost)
			c.Check(f.quarantined(test.bad...), qt.DeepEquals, test.want)
			c.Check(f.quarantined(test.sound...), qt.HasLen, 0)
		})
	}
}

// quarantineBlock lets the first VM of f find that block 90 crashes endpoints.
func quarantineBlock(f *vms) {
	for i := range 3 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.blocks[0].AddLostRun(LostRun{uint64(i + 1), uint64(1001 + i), []uint64{uint64(i), 90}, f.now}, f.now)
	}
	f.c.Assert(slices.Contains(f.quarantined(90), 0), qt.IsTrue)
}

// TestQuarantineReachesNewVMs starts a VM long after the lost runs. It must not send on what the others know to crash endpoints:
// VMs that had just restarted crashed ten of them before they heard of it, a second later.
func TestQuarantineReachesNewVMs(t *testing.T) {
	for _, wait := range []time.Duration{0, 5 * time.Second, Duration - 5*time.Second} {
		c := qt.New(t)
		f := newVMs(c, 3)
		quarantineBlock(f)
		f.exchange(announceRounds+1, none)
		f.now = f.now.Add(wait)
		f.blocks[2] = NewBlocks()
		f.incarnations[2]++
		f.exchange(2, none)
		c.Check(f.quarantined(90), qt.DeepEquals, []int{0, 1, 2}, qt.Commentf("after %v", wait))
	}
}

// TestQuarantineEndsEverywhere checks that the VMs don't keep a quarantine alive by telling each other of it, and that one lost
// run renews it, but not after an answer that came whole.
func TestQuarantineEndsEverywhere(t *testing.T) {
	tests := []struct {
		name     string
		answered bool
		want     []int
	}{
		{"lost run", false, []int{0, 1, 2}},
		{"answer, then a lost run", true, nil},
	}
	for _, test := range tests {
		qt.New(t).Run(test.name, func(c *qt.C) {
			f := newVMs(c, 3)
			quarantineBlock(f)
			f.exchange(4, none)
			c.Assert(f.quarantined(90), qt.HasLen, 3)
			f.now = f.now.Add(Duration - 3*time.Second)
			f.exchange(50, none)
			c.Assert(f.quarantined(90), qt.HasLen, 0)
			if test.answered {
				f.blocks[1].AddSurvival([]uint64{90}, 1009, f.now)
				f.exchange(4, none)
			}
			f.blocks[0].AddLostRun(LostRun{9, 1010, []uint64{5, 90}, f.now}, f.now)
			f.exchange(3, none)
			c.Check(f.quarantined(90), qt.DeepEquals, test.want)
		})
	}
}

// TestWholeAnswerEndsQuarantine checks that a block is released on every VM if one of them, which hadn't heard of the quarantine
// yet, got an answer with it that came whole, and that a late report of the quarantine doesn't bring it back.
func TestWholeAnswerEndsQuarantine(t *testing.T) {
	c := qt.New(t)
	f := newVMs(c, 4)
	quarantineBlock(f)
	late := f.collect(0)
	f.now = f.now.Add(500 * time.Millisecond)
	f.blocks[3].AddSurvival([]uint64{5, 90}, 1009, f.now)
	f.exchange(4, none)
	c.Check(f.quarantined(90), qt.HasLen, 0)
	for _, b := range f.blocks {
		for i := range late.BlockQuarantines {
			late.BlockQuarantines[i].Age += 1300 * time.Millisecond
		}
		b.Receive(late, f.now)
	}
	c.Check(f.quarantined(90), qt.HasLen, 0)
}

// TestMemoryIsBounded adds far more lost runs and answers than are remembered.
func TestMemoryIsBounded(t *testing.T) {
	b := NewBlocks()
	now := start
	for i := range uint64(4 * maxLostRuns) {
		now = now.Add(time.Millisecond)
		b.AddLostRun(LostRun{i, i + 1_000_000, []uint64{i + 2_000_000}, now}, now)
	}
	for i := range uint64(5 * clearancesPerGeneration) {
		b.AddSurvival([]uint64{i}, 7, now)
	}
	qt.Check(t, len(b.runs) <= maxLostRuns, qt.IsTrue)
	qt.Check(t, len(b.lastLoss) <= 2*maxLostRuns, qt.IsTrue)
	qt.Check(t, len(b.clearances.young)+len(b.clearances.old) <= 2*clearancesPerGeneration, qt.IsTrue)
	var s peer.State
	b.Collect(&s, now)
	qt.Check(t, len(s.LostRuns), qt.Equals, maxRunsPerState)
}

// TestLateStatesDontRefuteAQuarantine guards against a VM that was paused, reads the states of that time late, takes old answers
// for new ones and tells all the others so.
func TestLateStatesDontRefuteAQuarantine(t *testing.T) {
	c := qt.New(t)
	f := newVMs(c, 4)
	f.blocks[0].AddSurvival([]uint64{90, 1}, 1009, f.now)
	paused := func(from, to int) bool { return from == 3 || to == 3 }
	type datagram struct {
		state  peer.State
		sentAt time.Time
	}
	var late []datagram
	for i := range 6 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.blocks[i%3].AddLostRun(LostRun{uint64(i + 1), uint64(1001 + i), []uint64{90, uint64(10 + i)}, f.now}, f.now)
		late = append(late, datagram{f.collect(i % 3), f.now})
		f.exchange(1, paused)
	}
	f.exchange(4, paused)
	c.Assert(f.quarantined(90), qt.DeepEquals, []int{0, 1, 2})
	for _, d := range late {
		d.state.Delay = f.now.Sub(d.sentAt)
		f.blocks[3].Receive(d.state, f.now)
	}
	f.exchange(6, none)
	c.Check(f.quarantined(90), qt.DeepEquals, []int{0, 1, 2, 3})
}

// TestQuarantinesAreAdoptedAfterManyEndedOnes guards against a VM that takes over no quarantine any more because it remembers
// ones that ended long ago.
func TestQuarantinesAreAdoptedAfterManyEndedOnes(t *testing.T) {
	c := qt.New(t)
	b := NewBlocks()
	adopt := func(block uint64, now time.Time) {
		b.Receive(peer.State{BlockQuarantines: []peer.BlockQuarantine{{
			Block: block, Age: time.Second, Remaining: Duration, Requests: 3, Endpoints: 3, Span: time.Second,
		}}}, now)
	}
	for i := range uint64(maxQuarantines) {
		adopt(1000+i, start)
	}
	now := start.Add(Duration + CrashWindow + time.Second)
	adopt(90, now)
	_, remaining := b.Quarantined([]uint64{90}, now)
	c.Check(remaining > 0, qt.IsTrue)
}
