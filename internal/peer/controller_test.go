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

// network delivers datagrams within the process. cut reports which get lost; sent holds the others.
type network struct {
	mu      sync.Mutex
	deliver map[string]func([]byte) error
	cut     func(from, to string) bool
	sent    [][]byte
}

// networkPort is the Transport of one VM.
type networkPort struct {
	net     *network
	address string
}

func (p *networkPort) Run(ctx context.Context, deliver func([]byte) error) error {
	p.net.mu.Lock()
	p.net.deliver[p.address] = deliver
	p.net.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// Send implements Transport.
func (p *networkPort) Send(address string, packet []byte) error {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.cut != nil && p.net.cut(p.address, address) {
		return nil
	}
	p.net.sent = append(p.net.sent, packet)
	if deliver, ok := p.net.deliver[address]; ok {
		return deliver(bytes.Clone(packet))
	}
	return nil
}

// recordingSection is a Section with a fixed state that records what it receives.
type recordingSection struct {
	mu       sync.Mutex
	state    State
	received []State
}

// set replaces the state that the section contributes.
func (r *recordingSection) set(s State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
}

// list returns what was received so far.
func (r *recordingSection) list() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.received)
}

func (r *recordingSection) Collect(_ context.Context, s *State) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Revision = r.state.Revision
	s.Halts = append(s.Halts, r.state.Halts...)
	s.Crashes = append(s.Crashes, r.state.Crashes...)
	return nil
}

func (r *recordingSection) Receive(_ context.Context, s State) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, s)
	return nil
}

// fakeRegistry is a Registry in memory; down makes it fail.
type fakeRegistry struct {
	mu   sync.Mutex
	rows map[string]consul.Registration
	down bool
}

func (f *fakeRegistry) Register(_ context.Context, r consul.Registration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows[r.ID] = r
	return nil
}

func (f *fakeRegistry) Deregister(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.rows, id)
	return nil
}

// Instances implements Registry. A call with an index waits for the whole time, as if the list didn't change.
func (f *fakeRegistry) Instances(ctx context.Context, _ string, after uint64, wait time.Duration) ([]consul.Instance, uint64, error) {
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	if down {
		return nil, 0, errors.New("platform is down")
	}
	if after > 0 {
		task.Sleep(ctx, wait)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []consul.Instance
	for _, r := range f.rows {
		out = append(out, consul.Instance{ID: r.ID, Service: r.Name, Address: r.Address, Port: r.Port, Meta: r.Meta})
	}
	return out, 1, ctx.Err()
}

// testFleet is a small fleet in one synctest bubble. sections holds the section of each VM.
type testFleet struct {
	c        *qt.C
	ctx      context.Context
	net      *network
	registry *fakeRegistry
	vms      []*Controller
	sections []*recordingSection
	cancel   context.CancelFunc
	ends     chan task.End
}

// newTestFleet starts n VMs in two zones of one region.
func newTestFleet(c *qt.C, n int) *testFleet {
	ctx, cancel := context.WithCancel(context.Background())
	tf := &testFleet{
		c: c, ctx: ctx, cancel: cancel, ends: make(chan task.End, n),
		net: &network{deliver: map[string]func([]byte) error{}}, registry: &fakeRegistry{rows: map[string]consul.Registration{}},
	}
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		tf.sections = append(tf.sections, &recordingSection{})
		vm := New(Options{
			VM: fmt.Sprint("vm-", i), Incarnation: uint64(i + 1), Region: "vest", Zone: fmt.Sprint("vest-", i%2),
			ControlAddress: address, PeerAddress: address, Key: testKey,
		}, &networkPort{tf.net, address}, tf.registry, []Section{tf.sections[i]}, logr.Discard())
		tf.vms = append(tf.vms, vm)
		task.Start(ctx, "vm", tf.ends, vm.Run)
		synctest.Wait()
	}
	return tf
}

func (tf *testFleet) stop() { tf.c.Check(task.Stop(tf.cancel, tf.ends, len(tf.vms)), qt.IsNil) }

// update changes the network or the registry while no VM uses them.
func (tf *testFleet) update(f func()) {
	tf.net.mu.Lock()
	defer tf.net.mu.Unlock()
	tf.registry.mu.Lock()
	defer tf.registry.mu.Unlock()
	f()
}

// sleep waits for d, and then until every goroutine is blocked.
func (tf *testFleet) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// health returns how one VM sees the health of the others, in the order of their names.
func (tf *testFleet) health(of int) []Health {
	members, err := tf.vms[of].Members(tf.ctx)
	tf.c.Assert(err, qt.IsNil)
	var out []Health
	for _, m := range members[1:] {
		out = append(out, m.Health)
	}
	return out
}

// counts returns the counters of one VM.
func (tf *testFleet) counts(of int) Counts {
	counts, err := tf.vms[of].Counts(tf.ctx)
	tf.c.Assert(err, qt.IsNil)
	return counts
}

// withFleet runs f with a fleet of n VMs in a synctest bubble.
func withFleet(t *testing.T, n int, f func(*qt.C, *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tf := newTestFleet(c, n)
		defer tf.stop()
		f(c, tf)
	})
}

// TestHaltReachesEveryVM checks that a halt and a crash reach VMs that get no datagram from the VM that tells them, and
// that no VM counts as dead meanwhile.
func TestHaltReachesEveryVM(t *testing.T) {
	withFleet(t, 6, func(c *qt.C, tf *testFleet) {
		tf.sleep(time.Minute)
		halt := Halt{Model: "composer", Version: "v2", Reason: "failures"}
		crash := CrashReport{Fingerprint: 5, Endpoint: "engine-1"}
		tf.sections[0].set(State{Revision: 9, Halts: []Halt{halt}, Crashes: []CrashReport{crash}})
		// Only VM 2, of the same zone, receives datagrams of VM 0; it has to relay them to the others.
		tf.update(func() {
			tf.net.cut = func(from, to string) bool { return from == "10.0.0.1:1" && to != "10.0.0.3:1" }
		})
		for range 30 {
			tf.sleep(time.Second)
			for i := range tf.vms {
				c.Check(tf.health(i), qt.Not(qt.Contains), Dead)
			}
		}
		for i := 1; i < 6; i++ {
			received := tf.sections[i].list()
			c.Check(slices.ContainsFunc(received, func(s State) bool { return slices.Contains(s.Halts, halt) }), qt.IsTrue)
			c.Check(slices.ContainsFunc(received, func(s State) bool { return slices.Contains(s.Crashes, crash) }), qt.IsTrue)
			c.Check(slices.ContainsFunc(received, func(s State) bool { return s.VM == "vm-0" && s.Revision == 9 }), qt.IsTrue)
		}
	})
}

// TestPartitionHeals cuts the network in two and checks that the VMs of each half count those of the other as dead, and
// as alive again after the cut.
func TestPartitionHeals(t *testing.T) {
	rows := []struct {
		name     string
		platform bool
		duration time.Duration
	}{
		{"with the platform", true, time.Minute},
		{"without the platform", false, time.Minute},
		{"an hour without the platform", false, time.Hour},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			withFleet(t, 4, func(c *qt.C, tf *testFleet) {
				tf.sleep(time.Minute)
				side := func(address string) bool { return address < "10.0.0.3" }
				tf.update(func() {
					tf.registry.down = !row.platform
					tf.net.cut = func(from, to string) bool { return side(from) != side(to) }
				})
				tf.sleep(row.duration)
				c.Assert(tf.health(0), qt.DeepEquals, []Health{Alive, Dead, Dead})
				c.Assert(tf.health(3), qt.DeepEquals, []Health{Dead, Dead, Alive})
				tf.update(func() { tf.net.cut = nil })
				tf.sleep(30 * time.Second)
				for i := range tf.vms {
					c.Assert(tf.health(i), qt.DeepEquals, []Health{Alive, Alive, Alive})
				}
			})
		})
	}
}

// TestLeaveReachesEveryVM checks that a VM that leaves is gone from the platform's list and known as leaving to every
// VM after its announcements.
func TestLeaveReachesEveryVM(t *testing.T) {
	withFleet(t, 6, func(c *qt.C, tf *testFleet) {
		tf.sleep(time.Minute)
		c.Assert(tf.registry.rows, qt.HasLen, 6)
		c.Assert(tf.vms[2].Leave(tf.ctx), qt.IsNil)
		tf.sleep(leaveSends * leaveInterval)
		c.Assert(tf.registry.rows, qt.HasLen, 5)
		for _, i := range []int{0, 1, 3, 4, 5} {
			members, err := tf.vms[i].Members(tf.ctx)
			c.Assert(err, qt.IsNil)
			at := slices.IndexFunc(members, func(m Member) bool { return m.VM == "vm-2" })
			c.Assert(members[at].Leaving, qt.IsTrue)
		}
	})
}

// TestReplayedAndForeignDatagramsChangeNothing delivers every datagram again, as it was and with a wrong MAC.
func TestReplayedAndForeignDatagramsChangeNothing(t *testing.T) {
	withFleet(t, 2, func(c *qt.C, tf *testFleet) {
		tf.sleep(10 * time.Second)
		before, err := tf.vms[0].Members(tf.ctx)
		c.Assert(err, qt.IsNil)
		received, counts := len(tf.sections[0].list()), tf.counts(0)
		deliver := tf.net.deliver["10.0.0.1:1"]
		for _, packet := range tf.net.sent {
			c.Assert(deliver(packet), qt.IsNil)
			foreign := bytes.Clone(packet)
			foreign[versionBytes] ^= 1
			c.Assert(deliver(foreign), qt.IsNil)
		}
		synctest.Wait()
		after, err := tf.vms[0].Members(tf.ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(after, qt.DeepEquals, before)
		c.Assert(tf.sections[0].list(), qt.HasLen, received)
		now, sent := tf.counts(0), uint64(len(tf.net.sent))
		c.Assert(now.Received, qt.Equals, counts.Received)
		c.Assert(now.BadMAC, qt.Equals, sent)
		c.Assert(now.Replayed+now.OwnName, qt.Equals, sent)
	})
}

// TestRegistersAgainWhenMissing removes a VM from the platform's list and waits until it is listed again.
func TestRegistersAgainWhenMissing(t *testing.T) {
	withFleet(t, 2, func(c *qt.C, tf *testFleet) {
		tf.sleep(time.Second)
		tf.update(func() { delete(tf.registry.rows, "vm-1") })
		tf.sleep(2 * listWait)
		c.Assert(tf.registry.rows, qt.HasLen, 2)
		c.Assert(tf.registry.rows["vm-1"].Meta[metaPeers], qt.Equals, "10.0.0.2:1")
	})
}
