package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/task"
)

// network delivers datagrams within the process.
type network struct {
	mu      sync.Mutex
	deliver map[string]func([]byte) error
	cut     func(from, to string) bool
	kept    [][]byte
}

type line struct {
	net     *network
	address string
}

func (l *line) Run(ctx context.Context, deliver func([]byte) error) error {
	l.net.mu.Lock()
	l.net.deliver[l.address] = deliver
	l.net.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

func (l *line) Send(address string, packet []byte) error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.cut != nil && l.net.cut(l.address, address) {
		return nil
	}
	l.net.kept = append(l.net.kept, packet)
	if deliver, ok := l.net.deliver[address]; ok {
		return deliver(bytes.Clone(packet))
	}
	return nil
}

// notes is a Section that says a fixed state and keeps what it is told.
type notes struct {
	state State
	heard []State
}

func (n *notes) Collect(_ context.Context, s *State) error {
	s.Revision = n.state.Revision
	s.Halts = append(s.Halts, n.state.Halts...)
	s.Crashes = append(s.Crashes, n.state.Crashes...)
	return nil
}

func (n *notes) Receive(_ context.Context, s State) error {
	n.heard = append(n.heard, s)
	return nil
}

// list is a Registry that lives in the bubble; down makes it fail.
type list struct {
	mu   sync.Mutex
	rows map[string]consul.Registration
	down bool
}

func (l *list) Register(_ context.Context, r consul.Registration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows[r.ID] = r
	return nil
}

func (l *list) Deregister(_ context.Context, id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rows, id)
	return nil
}

func (l *list) Instances(ctx context.Context, _ string, after uint64, wait time.Duration) ([]consul.Instance, uint64, error) {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		return nil, 0, errors.New("platform is down")
	}
	if after > 0 {
		task.Sleep(ctx, wait)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []consul.Instance
	for _, r := range l.rows {
		out = append(out, consul.Instance{ID: r.ID, Service: r.Name, Address: r.Address, Port: r.Port, Meta: r.Meta})
	}
	return out, 1, ctx.Err()
}

// group is a small fleet in one synctest bubble.
type group struct {
	c      *qt.C
	ctx    context.Context
	net    *network
	list   *list
	vms    []*Controller
	notes  []*notes
	cancel context.CancelFunc
	ends   chan task.End
}

func newGroup(c *qt.C, n int) *group {
	ctx, cancel := context.WithCancel(context.Background())
	g := &group{
		c: c, ctx: ctx, cancel: cancel, ends: make(chan task.End, n),
		net: &network{deliver: map[string]func([]byte) error{}}, list: &list{rows: map[string]consul.Registration{}},
	}
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		g.notes = append(g.notes, &notes{})
		vm := New(Options{
			VM: fmt.Sprint("vm-", i), Incarnation: uint64(i + 1), Region: "vest", Zone: fmt.Sprint("vest-", i%2),
			ControlAddress: address, PeerAddress: address, Key: testKey,
		}, &line{g.net, address}, g.list, []Section{g.notes[i]}, logr.Discard())
		g.vms = append(g.vms, vm)
		task.Start(ctx, "vm", g.ends, vm.Run)
		synctest.Wait()
	}
	return g
}

func (g *group) stop() { g.c.Check(task.Stop(g.cancel, g.ends, len(g.vms)), qt.IsNil) }

// change alters the network or the list while no VM uses them.
func (g *group) change(f func()) {
	g.net.mu.Lock()
	defer g.net.mu.Unlock()
	g.list.mu.Lock()
	defer g.list.mu.Unlock()
	f()
}

// pass lets time go by and ends with every goroutine blocked.
func (g *group) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (g *group) health(of int) []Health {
	members, err := g.vms[of].Members(g.ctx)
	g.c.Assert(err, qt.IsNil)
	var out []Health
	for _, m := range members[1:] {
		out = append(out, m.Health)
	}
	return out
}

func (g *group) counts(of int) Counts {
	counts, err := g.vms[of].Counts(g.ctx)
	g.c.Assert(err, qt.IsNil)
	return counts
}

func inBubble(t *testing.T, n int, f func(*qt.C, *group)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGroup(c, n)
		defer g.stop()
		f(c, g)
	})
}

func TestHaltReachesEveryVM(t *testing.T) {
	inBubble(t, 6, func(c *qt.C, g *group) {
		g.pass(time.Minute)
		halt := Halt{Model: "composer", Version: "v2", Reason: "failures"}
		crash := CrashReport{Fingerprint: 5, Endpoint: "engine-1"}
		g.notes[0].state = State{Revision: 9, Halts: []Halt{halt}, Crashes: []CrashReport{crash}}
		// Only VM 2, of the same zone, hears VM 0, so that the others need its word.
		g.change(func() {
			g.net.cut = func(from, to string) bool { return from == "10.0.0.1:1" && to != "10.0.0.3:1" }
		})
		for range 30 {
			g.pass(time.Second)
			for i := range g.vms {
				c.Check(g.health(i), qt.Not(qt.Contains), Dead)
			}
		}
		for i := 1; i < 6; i++ {
			heard := g.notes[i].heard
			c.Check(slices.ContainsFunc(heard, func(s State) bool { return slices.Contains(s.Halts, halt) }), qt.IsTrue)
			c.Check(slices.ContainsFunc(heard, func(s State) bool { return slices.Contains(s.Crashes, crash) }), qt.IsTrue)
			c.Check(slices.ContainsFunc(heard, func(s State) bool { return s.VM == "vm-0" && s.Revision == 9 }), qt.IsTrue)
		}
	})
}

func TestCutHeals(t *testing.T) {
	rows := []struct {
		name     string
		platform bool
		last     time.Duration
	}{
		{"with the platform", true, time.Minute},
		{"without the platform", false, time.Minute},
		{"an hour without the platform", false, time.Hour},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inBubble(t, 4, func(c *qt.C, g *group) {
				g.pass(time.Minute)
				side := func(address string) bool { return address < "10.0.0.3" }
				g.change(func() {
					g.list.down = !row.platform
					g.net.cut = func(from, to string) bool { return side(from) != side(to) }
				})
				g.pass(row.last)
				c.Assert(g.health(0), qt.DeepEquals, []Health{Alive, Dead, Dead})
				c.Assert(g.health(3), qt.DeepEquals, []Health{Dead, Dead, Alive})
				g.change(func() { g.net.cut = nil })
				g.pass(30 * time.Second)
				for i := range g.vms {
					c.Assert(g.health(i), qt.DeepEquals, []Health{Alive, Alive, Alive})
				}
			})
		})
	}
}

func TestLeavingIsSaidAtOnce(t *testing.T) {
	inBubble(t, 6, func(c *qt.C, g *group) {
		g.pass(time.Minute)
		c.Assert(g.list.rows, qt.HasLen, 6)
		c.Assert(g.vms[2].Leave(g.ctx), qt.IsNil)
		g.pass(leaveRepeats * leaveInterval)
		c.Assert(g.list.rows, qt.HasLen, 5)
		for _, i := range []int{0, 1, 3, 4, 5} {
			members, err := g.vms[i].Members(g.ctx)
			c.Assert(err, qt.IsNil)
			at := slices.IndexFunc(members, func(m Member) bool { return m.VM == "vm-2" })
			c.Assert(members[at].Leaving, qt.IsTrue)
		}
	})
}

func TestReplayedAndForeignDatagramsChangeNothing(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, g *group) {
		g.pass(10 * time.Second)
		before, err := g.vms[0].Members(g.ctx)
		c.Assert(err, qt.IsNil)
		heard, counts := len(g.notes[0].heard), g.counts(0)
		deliver := g.net.deliver["10.0.0.1:1"]
		for _, packet := range g.net.kept {
			c.Assert(deliver(packet), qt.IsNil)
			foreign := bytes.Clone(packet)
			foreign[versionBytes] ^= 1
			c.Assert(deliver(foreign), qt.IsNil)
		}
		synctest.Wait()
		after, err := g.vms[0].Members(g.ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(after, qt.DeepEquals, before)
		c.Assert(g.notes[0].heard, qt.HasLen, heard)
		now, sent := g.counts(0), uint64(len(g.net.kept))
		c.Assert(now.Received, qt.Equals, counts.Received)
		c.Assert(now.BadMAC, qt.Equals, sent)
		c.Assert(now.Replayed+now.OwnName, qt.Equals, sent)
	})
}

func TestRegistersAgainWhenMissing(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, g *group) {
		g.pass(time.Second)
		g.change(func() { delete(g.list.rows, "vm-1") })
		g.pass(2 * listWait)
		c.Assert(g.list.rows, qt.HasLen, 2)
		c.Assert(g.list.rows["vm-1"].Meta[metaPeers], qt.Equals, "10.0.0.2:1")
	})
}
