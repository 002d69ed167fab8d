package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var (
	testSelf = Member{VM: "self", Incarnation: 1, Region: "vest", Zone: "vest-1"}
	testNow  = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
)

// TestAcceptOnlyNewer receives two states of one VM, the second directly or relayed, by incarnation and sequence.
func TestAcceptOnlyNewer(t *testing.T) {
	rows := []struct {
		name    string
		first   [2]uint64
		second  [2]uint64
		relayed bool
		want    bool
	}{
		{"next", [2]uint64{5, 1}, [2]uint64{5, 2}, false, true},
		{"the same again", [2]uint64{5, 1}, [2]uint64{5, 1}, false, false},
		{"reordered", [2]uint64{5, 9}, [2]uint64{5, 8}, false, false},
		{"restarted", [2]uint64{5, 9}, [2]uint64{6, 1}, false, true},
		{"from before a restart", [2]uint64{5, 1}, [2]uint64{4, 9}, false, false},
		{"relayed, newer", [2]uint64{5, 1}, [2]uint64{5, 2}, true, true},
		{"relayed, known", [2]uint64{5, 2}, [2]uint64{5, 2}, true, false},
		{"relayed, from before a restart", [2]uint64{5, 1}, [2]uint64{4, 9}, true, false},
	}
	c := qt.New(t)
	for _, row := range rows {
		c.Run(row.name, func(c *qt.C) {
			f := NewFleet(testSelf)
			c.Assert(f.AcceptDirect(State{VM: "a", Incarnation: row.first[0], Sequence: row.first[1]}, testNow), qt.IsTrue)
			s := State{VM: "a", Incarnation: row.second[0], Sequence: row.second[1]}
			if row.relayed {
				_, accepted := f.AcceptRelayed(s, testNow)
				c.Assert(accepted, qt.Equals, row.want)
			} else {
				c.Assert(f.AcceptDirect(s, testNow), qt.Equals, row.want)
			}
		})
	}
}

// TestAcceptsNothingTwice delivers states in any order and repeatedly, directly and relayed: none is accepted twice in
// the same way.
func TestAcceptsNothingTwice(t *testing.T) {
	type datagram struct {
		vm                    string
		incarnation, sequence uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		f := NewFleet(testSelf)
		accepted, relayed := map[datagram]bool{}, map[datagram]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			d := datagram{
				rapid.SampledFrom([]string{"a", "b", "self"}).Draw(t, "vm"),
				rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 5).Draw(t, "sequence"),
			}
			s := State{VM: d.vm, Incarnation: d.incarnation, Sequence: d.sequence}
			seen, isNew := accepted, false
			if rapid.Bool().Draw(t, "relayed") {
				seen = relayed
				_, isNew = f.AcceptRelayed(s, testNow)
			} else {
				isNew = f.AcceptDirect(s, testNow)
			}
			if !isNew {
				continue
			}
			if seen[d] || d.vm == "self" {
				t.Fatalf("%+v accepted twice", d)
			}
			seen[d] = true
		}
	})
}

// TestHealthBySilence checks the limits of silence for a member that is listed, leaving or neither.
func TestHealthBySilence(t *testing.T) {
	suspect := SuspectTimeout(2)
	rows := []struct {
		name    string
		silence time.Duration
		listed  bool
		leaving bool
		want    Health
	}{
		{"no silence", 0, false, false, Alive},
		{"at the suspect timeout", suspect, false, false, Alive},
		{"over the suspect timeout", suspect + 1, false, false, Suspect},
		{"over the dead timeout", deadFactor*suspect + 1, false, false, Dead},
		{"forgotten", forgetAfter + 1, false, false, 0},
		{"over the forget limit, but listed", forgetAfter + 1, true, false, Dead},
		{"left, over the dead timeout", deadFactor*suspect + 1, false, true, 0},
	}
	c := qt.New(t)
	for _, row := range rows {
		c.Run(row.name, func(c *qt.C) {
			f := NewFleet(testSelf)
			f.AcceptDirect(State{VM: "a", Incarnation: 1, Sequence: 1, Leaving: row.leaving}, testNow)
			if row.listed {
				f.ApplyList([]Member{{VM: "a", Incarnation: 1}}, testNow)
			}
			f.UpdateHealth(testNow.Add(row.silence))
			var got Health
			if r, ok := f.Members["a"]; ok {
				got = r.Health
			}
			c.Assert(got, qt.Equals, row.want)
		})
	}
}

// TestChooseTargets checks the numbers of targets of each kind, and that all members but a leaving one are chosen in
// time.
func TestChooseTargets(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(testSelf)
	for i := range 40 {
		s := State{VM: fmt.Sprint("vm-", i), Incarnation: 1, Sequence: 1, PeerAddress: fmt.Sprint(i), Region: "vest", Zone: "vest-1"}
		switch {
		case i >= 30:
			s.Region, s.Zone = "ost", "ost-1"
		case i >= 20:
			s.Zone = "vest-2"
		}
		s.Leaving = i == 0
		f.AcceptDirect(s, testNow)
	}
	f.Members["vm-39"].Health = Dead
	seen := map[string]bool{}
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		targets := f.ChooseTargets(r)
		c.Assert(targets.Near, qt.HasLen, zoneFanout+regionFanout)
		c.Assert(targets.Far, qt.HasLen, farFanout+probeFanout)
		for _, address := range append(targets.Near, targets.Far...) {
			seen[address] = true
		}
	}
	c.Assert(seen, qt.HasLen, 39, qt.Commentf("all but the leaving one"))
}

// TestDeadMembersAreNotRelayed checks the order of the relayed states, and that members which aren't alive are left
// out.
func TestDeadMembersAreNotRelayed(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(testSelf)
	for i, vm := range []string{"a", "b", "c"} {
		f.AcceptDirect(State{VM: vm, Incarnation: 1, Sequence: 1}, testNow.Add(time.Duration(i)*time.Second))
	}
	f.MarkRelayed(f.SelectRelayed(1, testNow, rand.New(rand.NewPCG(1, 1))))
	names := func() (out []string) {
		for _, s := range f.SelectRelayed(5, testNow, rand.New(rand.NewPCG(1, 1))) {
			out = append(out, s.VM)
		}
		return out
	}
	c.Assert(names(), qt.DeepEquals, []string{"b", "a", "c"})
	f.UpdateHealth(testNow.Add(SuspectTimeout(4) + 1500*time.Millisecond))
	c.Assert(names(), qt.DeepEquals, []string{"c"})
}

// TestRelayedStateKeepsLocation checks that a relayed state without zone and addresses keeps the known ones, and that
// about one in locationEvery states holds them.
func TestRelayedStateKeepsLocation(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(testSelf)
	f.AcceptDirect(State{VM: "a", Incarnation: 1, Sequence: 1, Region: "ost", Zone: "ost-1", PeerAddress: "10.0.0.1:1"}, testNow)
	s, ok := f.AcceptRelayed(State{VM: "a", Incarnation: 1, Sequence: 2, Revision: 4}, testNow)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Zone, qt.Equals, "ost-1")
	c.Assert(f.Members["a"].PeerAddress, qt.Equals, "10.0.0.1:1")
	c.Assert(f.Members["a"].Revision, qt.Equals, uint64(4))
	random, withLocation := rand.New(rand.NewPCG(1, 1)), 0
	for range 100 * locationEvery {
		if f.SelectRelayed(1, testNow.Add(2*newMemberPeriod), random)[0].Zone != "" {
			withLocation++
		}
	}
	c.Assert(withLocation > 50 && withLocation < 150, qt.IsTrue, qt.Commentf("%d of %d", withLocation, 100*locationEvery))
}
