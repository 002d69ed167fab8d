package session

import (
	"context"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cornelmux/internal/configuration"
	"cornelmux/internal/peer"
	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	vms    = 3
	settle = 3 * time.Second
)

// fleet is a few VMs of a region, each with its own knowledge of the configuration.
type fleet struct {
	cfg       catalog.Configuration
	revision  uint64
	startedAt int64
	nodes     [vms]*node
	// last is the version that each session had.
	last map[string]string
}

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
	return nil, errors.New("gone")
}

func (f *fleet) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{snapshots: make(chan configuration.Snapshot, 1), cancel: cancel, ends: make(chan task.End, 1)}
	n.c = New(n.snapshots, f, Options{
		VM: fmt.Sprint(i), Incarnation: uint64(time.Now().UnixNano()), Region: "r",
		FreshnessLimit: time.Hour, IdleTimeout: time.Hour, ActivationDelay: settle, MaxSessions: 1000,
	}, logr.Discard())
	f.nodes[i] = n
	task.Start(ctx, "sessions", n.ends, n.c.Run)
	f.tell(i)
	for j := range f.nodes {
		f.hear(i, j, false)
		f.hear(j, i, false)
	}
	synctest.Wait()
}

// tell gives a VM the newest configuration.
func (f *fleet) tell(i int) {
	n := f.nodes[i]
	n.now = configuration.NewSnapshot(f.revision, f.cfg, time.Now())
	n.snapshots <- n.now
}

func (f *fleet) hear(to, from int, leaving bool) {
	if to == from || f.nodes[to] == nil {
		return
	}
	s := peer.State{VM: fmt.Sprint(from), Region: "r", ControlAddress: fmt.Sprint(from), Leaving: leaving}
	_ = f.nodes[to].c.Receive(context.Background(), s)
}

func (f *fleet) heartbeat() {
	for i := range f.nodes {
		for j := range f.nodes {
			f.hear(i, j, false)
		}
	}
	synctest.Wait()
}

func (f *fleet) stop(i int) {
	_ = task.Stop(f.nodes[i].cancel, f.nodes[i].ends, 1)
	f.nodes[i] = nil
}

// restart is a planned one: the others hear that the VM leaves while it still answers.
func (f *fleet) restart(i int) {
	for j := range f.nodes {
		f.hear(j, i, true)
	}
	synctest.Wait()
	f.stop(i)
	f.start(i)
}

func (f *fleet) publish(change func(*catalog.Configuration)) {
	change(&f.cfg)
	f.revision++
	for i := range f.nodes {
		f.tell(i)
	}
	synctest.Wait()
}

// rollOut replaces the roll-out; lists that a snapshot holds are never written.
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
		t.Fatalf("session %s went from %s to %s at VM %d", session, last, version, i)
	case err == nil:
		f.last[session] = version
	}
}

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

// TestSessionKeepsItsVersion moves sessions between VMs through steps, halts, resumes, withdrawals, changes of the
// stable version and of grants, and planned restarts.
func TestSessionKeepsItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, sessionsOnce) // a bubble has no deadline that rapid could ask for
	})
}

func sessionsOnce(t *rapid.T) {
	f := newFleet()
	defer f.stopAll()
	pick := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
	request := func(t *rapid.T) { f.request(t, pick("vm", vms), fmt.Sprint("s", pick("session", 12))) }
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
			time.Sleep(2 * settle) // a VM that starts within the settle time can't know the rule before
			f.restart(pick("vm", vms))
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
	table.age(at.Add(time.Hour))
	table.age(at.Add(2 * time.Hour))
	c.Assert(table.get(1), qt.Equals, "")
}

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
		{"fits", header(64, 20, 64), true},
		{"empty", nil, false},
		{"more bits than bytes", header(1<<40, 20, 1<<40), false},
		{"bits and length differ", header(1<<40, 20, 64), false},
		{"no bits", header(0, 20, 0), false},
		{"endless hashing", header(64, 1<<60, 64), false},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			_, err := parseFilter(row.data)
			c.Assert(err == nil, qt.Equals, row.ok)
		})
	}
}

func TestEffectAt(t *testing.T) {
	now := time.Unix(1000, 0)
	rows := []struct {
		name string
		rule rollout.Rule
		wait time.Duration
	}{
		{"step just taken", rollout.Rule{State: catalog.RollOutRunning, StepAt: 1000}, settle},
		{"step learnt late", rollout.Rule{State: catalog.RollOutRunning, StepAt: 998}, time.Second},
		{"step learnt after the others switched", rollout.Rule{State: catalog.RollOutRunning, StepAt: 900}, 0},
		{"clock of the proposer is ahead", rollout.Rule{State: catalog.RollOutRunning, StepAt: 2000}, settle},
		{"new stable version", rollout.Rule{}, settle},
		{"halt", rollout.Rule{State: catalog.RollOutHalted, StepAt: 1000}, 0},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			c.Assert(effectAt(row.rule, now, settle).Sub(now), qt.Equals, row.wait)
		})
	}
}

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
		known Known
		want  string
	}{
		{"new session under roll-out", rule, Known{Fresh: true}, "v2"},
		{"new session, configuration not proven", rule, Known{}, "v1"},
		{"new session after a halt", rule.Halted(), Known{Fresh: true}, "v1"},
		{"bound session after a halt", rule.Halted(), Known{Bound: "v2", Fresh: true}, "v2"},
		{"session of another VM", rule, Known{Seen: []string{"v1"}, Fresh: true}, "v1"},
		{"session that may have had either", rule, Known{Seen: []string{"v1", "v2"}, Fresh: true}, "v2"},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			got, err := Decide(q, row.rule, row.known)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, row.want)
		})
	}
}
