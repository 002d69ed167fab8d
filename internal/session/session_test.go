package session

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cornelmux/internal/configuration"
	"cornelmux/internal/peer"
	"cornelmux/internal/rapidtest"
	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
)

// TestMain fixes rapid's seed, so that each run checks the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Settings{Seed: 20261204, Checks: 300}) }

const (
	vmCount         = 3
	activationDelay = 3 * time.Second
)

// fleet is the VMs of a region, each with its own snapshot of the configuration.
type fleet struct {
	cfg       catalog.Configuration
	revision  uint64
	startedAt int64
	nodes     [vmCount]*node
	// last is the version that each session had last.
	last map[string]string
}

// node is a VM of the fleet.
type node struct {
	c         *Controller
	snapshots chan configuration.Snapshot
	now       configuration.Snapshot
	cancel    context.CancelFunc
	ends      chan task.End
}

// Sets implements Peers.
func (f *fleet) Sets(ctx context.Context, address string) ([]Set, error) {
	for i, n := range f.nodes {
		if n != nil && address == fmt.Sprint(i) {
			return n.c.Sets(ctx)
		}
	}
	return nil, errors.New("VM has stopped")
}

// start starts VM i with the newest configuration and lets it and the others hear of each other.
func (f *fleet) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{snapshots: make(chan configuration.Snapshot, 1), cancel: cancel, ends: make(chan task.End, 1)}
	n.c = New(n.snapshots, f, Options{
		VM: fmt.Sprint(i), Incarnation: uint64(time.Now().UnixNano()), Region: "r",
		FreshnessLimit: time.Hour, IdleTimeout: time.Hour, ActivationDelay: activationDelay, MaxSessions: 1000,
	}, logr.Discard())
	f.nodes[i] = n
	task.Start(ctx, "sessions", n.ends, n.c.Run)
	f.publishTo(i)
	for j := range f.nodes {
		f.gossip(i, j, false)
		f.gossip(j, i, false)
	}
	synctest.Wait()
}

// publishTo gives a VM the newest configuration.
func (f *fleet) publishTo(i int) {
	n := f.nodes[i]
	n.now = configuration.NewSnapshot(f.revision, f.cfg, time.Now())
	n.snapshots <- n.now
}

// gossip delivers the state of one VM to another, unless the receiver is stopped.
func (f *fleet) gossip(to, from int, leaving bool) {
	if to == from || f.nodes[to] == nil {
		return
	}
	s := peer.State{VM: fmt.Sprint(from), Region: "r", ControlAddress: fmt.Sprint(from), Leaving: leaving}
	_ = f.nodes[to].c.Receive(context.Background(), s)
}

// heartbeat lets all VMs hear of each other.
func (f *fleet) heartbeat() {
	for i := range f.nodes {
		for j := range f.nodes {
			f.gossip(i, j, false)
		}
	}
	synctest.Wait()
}

// stop stops VM i.
func (f *fleet) stop(i int) {
	_ = task.Stop(f.nodes[i].cancel, f.nodes[i].ends, 1)
	f.nodes[i] = nil
}

// restart restarts VM i after a graceful shutdown: the others hear that it leaves while it still answers.
func (f *fleet) restart(i int) {
	for j := range f.nodes {
		f.gossip(j, i, true)
	}
	synctest.Wait()
	f.stop(i)
	f.start(i)
}

// publish changes the configuration and gives it to all VMs.
func (f *fleet) publish(change func(*catalog.Configuration)) {
	change(&f.cfg)
	f.revision++
	for i := range f.nodes {
		f.publishTo(i)
	}
	synctest.Wait()
}

// rollOut publishes a new state of the rollout. It replaces the list, since snapshots hold the old one.
func (f *fleet) rollOut(state catalog.RollOutState, share float64, newRun bool) {
	if newRun {
		f.startedAt++
	}
	f.publish(func(c *catalog.Configuration) {
		c.RollOuts = []catalog.RollOut{{
			Model: "m", Version: "v2", State: state, Share: share, StartedAt: f.startedAt, StepAt: time.Now().Unix(),
		}}
	})
}

// request sends a request of the session to VM i and checks that its version is usable and, if the last one still is,
// unchanged.
func (f *fleet) request(t *rapid.T, i int, session string) {
	time.Sleep(time.Millisecond)
	n := f.nodes[i]
	m, _ := n.now.Model("m")
	a := n.now.Catalog.Accounts[0]
	q := Query{Snapshot: n.now, Account: a, Model: m, Session: session}
	version, err := n.c.Version(context.Background(), q)
	last, known := f.last[session]
	usable := func(v string) bool { return v != "" && !f.cfg.Withdrawn("m", v) && a.Allows("m", v) }
	switch {
	case err != nil && (usable("v1") || usable("v3")):
		t.Fatalf("session %s was refused: %v", session, err)
	case err == nil && !usable(version):
		t.Fatalf("session %s got version %s, which is withdrawn or not allowed", session, version)
	case err == nil && known && usable(last) && version != last:
		t.Fatalf("session %s changed from %s to %s on VM %d", session, last, version, i)
	case err == nil:
		f.last[session] = version
	}
}

// newFleet starts a fleet with a model m whose stable version is v1.
func newFleet() *fleet {
	f := &fleet{last: map[string]string{}, revision: 1, startedAt: 1, cfg: catalog.Configuration{
		Accounts: []catalog.ClientAccount{{Name: "a", Grants: []catalog.Grant{{Model: "m"}}}},
		Models:   []catalog.Model{{Name: "m", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}, {Name: "v2"}, {Name: "v3"}}}},
	}}
	for i := range f.nodes {
		f.start(i)
	}
	return f
}

func (f *fleet) stopAll() {
	for i := range f.nodes {
		f.stop(i)
	}
}

// TestSessionKeepsItsVersion guards against a session changing its version as its requests move between VMs during
// steps, halts, resumes, withdrawals, changes of the stable version and of grants, and graceful restarts.
func TestSessionKeepsItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, checkSessions) // a T in a synctest bubble has no Deadline, which rapid would call
	})
}

// checkSessions runs a random sequence of requests and events on a new fleet.
func checkSessions(t *rapid.T) {
	f := newFleet()
	defer f.stopAll()
	pick := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
	request := func(t *rapid.T) { f.request(t, pick("vm", vmCount), fmt.Sprint("s", pick("session", 12))) }
	t.Repeat(map[string]func(*rapid.T){
		"":             func(*rapid.T) { f.heartbeat() },
		"request":      request,
		"request more": request,
		"request last": request,
		"wait":         func(*rapid.T) { time.Sleep(time.Duration(1+pick("seconds", 4)) * time.Second) },
		"step": func(*rapid.T) {
			f.rollOut(catalog.RollOutRunning, []float64{0.1, 0.5, 1}[pick("share", 3)], pick("new run", 2) == 0)
		},
		"halt": func(*rapid.T) { f.rollOut(catalog.RollOutHalted, 0.5, false) },
		"done": func(*rapid.T) { f.rollOut(catalog.RollOutDone, 1, false) },
		"restart": func(*rapid.T) {
			time.Sleep(2 * activationDelay) // a VM that starts within the activation delay can't know the old rule
			f.restart(pick("vm", vmCount))
		},
		"withdraw": func(*rapid.T) {
			version := fmt.Sprint("v", 1+pick("version", 3))
			f.publish(func(c *catalog.Configuration) {
				c.Withdrawals = []catalog.Withdrawal{{Model: "m", Version: version}}
			})
			maps.DeleteFunc(f.last, func(_, v string) bool { return v == version }) // a withdrawal ends the binding
		},
		"reinstate": func(*rapid.T) { f.publish(func(c *catalog.Configuration) { c.Withdrawals = nil }) },
		"stable": func(*rapid.T) {
			f.publish(func(c *catalog.Configuration) {
				c.Models = []catalog.Model{{Name: "m", Stable: []string{"v1", "v3"}[pick("stable", 2)], Versions: c.Models[0].Versions}}
			})
		},
		"grant": func(*rapid.T) {
			f.publish(func(c *catalog.Configuration) {
				grant := catalog.Grant{Model: "m", Versions: []string{"v1", "v3"}} // grants only shrink: see Decide
				c.Accounts = []catalog.ClientAccount{{Name: "a", Grants: []catalog.Grant{grant}}}
			})
		},
	})
}

// TestTableIsBounded checks that the table keeps a session in use, forgets others beyond its limit, and expires.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := newTable(100, time.Hour)
	at := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for key := range uint64(10_000) {
		table.put(key, binding{"m", "v1"}, at)
		table.put(1, binding{"m", "v2"}, at)
		c.Assert(len(table.young)+len(table.old) <= 100, qt.IsTrue)
	}
	c.Assert(table.get(1), qt.Equals, "v2")
	c.Assert(table.get(2), qt.Equals, "")
	table.expire(at.Add(time.Hour))
	table.expire(at.Add(2 * time.Hour))
	c.Assert(table.get(1), qt.Equals, "")
}

// TestSetsThatDoNotFitAreRefused guards against filters from the network whose header makes the library allocate
// or hash without bound.
func TestSetsThatDoNotFitAreRefused(t *testing.T) {
	header := func(bits, hashes, length uint64) []byte {
		data := binary.BigEndian.AppendUint64(nil, bits)
		data = binary.BigEndian.AppendUint64(data, hashes)
		return append(binary.BigEndian.AppendUint64(data, length), make([]byte, 8)...)
	}
	rows := []struct {
		name string
		data []byte
		ok   bool
	}{
		{"header matches", header(64, 20, 64), true},
		{"empty", nil, false},
		{"more bits than bytes", header(1<<40, 20, 1<<40), false},
		{"bits and length differ", header(1<<40, 20, 64), false},
		{"no bits", header(0, 20, 0), false},
		{"too many hash functions", header(64, 1<<60, 64), false},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			_, err := parseFilter(row.data)
			c.Assert(err == nil, qt.Equals, row.ok)
		})
	}
}

// TestActivationTime checks that a rule applies ActivationDelay after its step, within bounds if clocks differ.
func TestActivationTime(t *testing.T) {
	now := time.Unix(1000, 0)
	rows := []struct {
		name string
		rule rollout.Rule
		wait time.Duration
	}{
		{"step just taken", rollout.Rule{State: catalog.RollOutRunning, StepAt: 1000}, activationDelay},
		{"step received late", rollout.Rule{State: catalog.RollOutRunning, StepAt: 998}, time.Second},
		{"step received after the other VMs switched", rollout.Rule{State: catalog.RollOutRunning, StepAt: 900}, 0},
		{"clock of the proposing VM is ahead", rollout.Rule{State: catalog.RollOutRunning, StepAt: 2000}, activationDelay},
		{"new stable version", rollout.Rule{}, activationDelay},
		{"halt", rollout.Rule{State: catalog.RollOutHalted, StepAt: 1000}, 0},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			c.Assert(activationTime(row.rule, now, activationDelay).Sub(now), qt.Equals, row.wait)
		})
	}
}

// TestDecide checks which version wins: the bound one, one from another VM, or the rule's.
func TestDecide(t *testing.T) {
	cfg := catalog.Configuration{Models: []catalog.Model{{Name: "m", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}, {Name: "v2"}}}}}
	q := Query{
		Snapshot: configuration.NewSnapshot(1, cfg, time.Time{}), Model: cfg.Models[0], Session: "s",
		Account: catalog.ClientAccount{Grants: []catalog.Grant{{Model: "m"}}},
	}
	rule := rollout.Rule{Model: "m", Stable: "v1", Version: "v2", Share: 1, State: catalog.RollOutRunning}
	rows := []struct {
		name  string
		rule  rollout.Rule
		known DecideInput
		want  string
	}{
		{"new session under rollout", rule, DecideInput{ConfirmedRecently: true}, "v2"},
		{"new session, configuration not confirmed", rule, DecideInput{}, "v1"},
		{"new session after a halt", rule.Halted(), DecideInput{ConfirmedRecently: true}, "v1"},
		{"bound session after a halt", rule.Halted(), DecideInput{BoundVersion: "v2", ConfirmedRecently: true}, "v2"},
		{"session known from another VM", rule, DecideInput{RemoteVersions: []string{"v1"}, ConfirmedRecently: true}, "v1"},
		{"session that may have had either version", rule, DecideInput{RemoteVersions: []string{"v1", "v2"}, ConfirmedRecently: true}, "v2"},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			got, err := Decide(q, row.rule, row.known)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, row.want)
		})
	}
}
