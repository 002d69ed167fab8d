// Package session keeps each caller's session on the version that it began with.
package session

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/configuration"
	"cornelmux/internal/peer"
	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	mailboxSize = 4096
	ageInterval = 10 * time.Second
	startTime   = 10 * time.Second
	// syncLimit is how long a VM that hears of no other waits for their sessions before it counts as ready.
	syncLimit    = 5 * time.Second
	memberMaxAge = 2 * time.Minute
	// pullsPerIdle is how often within the idle time the sets of other VMs are read again,
	// and rollingInterval while a roll-out is running, when a VM that fails takes more knowledge along.
	pullsPerIdle    = 3
	rollingInterval = 2 * time.Minute
)

// Options say who the VM is and how long sessions are kept.
type Options struct {
	VM          string
	Incarnation uint64
	Region      string
	// FreshnessLimit is the age of the configuration's proof up to which versions under roll-out take new sessions.
	FreshnessLimit time.Duration
	// IdleTimeout is how long an unused session keeps its version.
	IdleTimeout time.Duration
	// ActivationDelay is the time from the acceptance of a step until it decides on new sessions.
	ActivationDelay time.Duration
	// MaxSessions bounds the sessions that are remembered.
	MaxSessions int
}

// Controller owns the bindings of the sessions that were active here, and the sets of those that were active elsewhere.
type Controller struct {
	mailbox   chan message
	pulls     chan []string
	snapshots <-chan configuration.Snapshot
	peers     Peers
	options   Options
	log       logr.Logger
	table     *table
	foreign   *foreign
	rules     map[string]ruleState
	halts     map[string]halt
	withdrawn map[binding]bool
	members   map[string]member
	active    []Set
	changed   bool
	pulledAt  time.Time
	startedAt time.Time
	synced    bool
	pulling   bool
	again     bool
	due       *time.Timer
}

// ruleState is the rule in force for a model, and the one that follows it.
type ruleState struct {
	current  rollout.Rule
	next     rollout.Rule
	effectAt time.Time
}

type halt struct {
	version   string
	startedAt int64
}

type member struct {
	address string
	leaving bool
	heardAt time.Time
}

// New makes a Controller that learns rules from snapshots; Run starts it.
func New(snapshots <-chan configuration.Snapshot, peers Peers, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), pulls: make(chan []string, 1),
		snapshots: snapshots, peers: peers, options: o, log: log,
		table: newTable(o.MaxSessions, o.IdleTimeout), foreign: newForeign(o.IdleTimeout),
		rules: map[string]ruleState{}, halts: map[string]halt{}, members: map[string]member{},
	}
}

type message interface{ handle(*Controller) }

type (
	versionMessage struct {
		query Query
		reply chan<- versionReply
	}
	versionReply struct {
		version string
		err     error
	}
	setsMessage struct{ reply chan<- setsReply }
	setsReply   struct {
		sets []Set
		err  error
	}
	haltMessage struct {
		model string
		halt  halt
	}
	memberMessage struct{ state peer.State }
	pulledMessage struct {
		startedAt time.Time
		sets      []Set
		// answered counts the VMs that gave their sets.
		answered int
	}
	syncedMessage struct{ reply chan<- bool }
)

// Run owns the state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 1)
	task.Start(ctx, "sessions of other VMs", ends, c.pull)
	ticker := time.NewTicker(ageInterval)
	defer ticker.Stop()
	c.startedAt = time.Now()
	c.due = time.NewTimer(ageInterval)
	defer c.due.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case s := <-c.snapshots:
			c.learn(s, time.Now())
		case <-c.due.C:
			c.requestPull() // every VM has stopped giving new sessions the old rule
		case now := <-ticker.C:
			c.table.age(now)
			c.foreign.age(now)
			if now.Sub(c.pulledAt) >= c.pullInterval() {
				c.requestPull()
			}
		case <-ctx.Done():
			return task.Stop(cancel, ends, 1)
		}
	}
}

// Version implements filter.Sessions.
func (c *Controller) Version(ctx context.Context, q Query) (string, error) {
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- versionReply) message { return versionMessage{q, reply} })
	if err != nil {
		return "", result.Errorf(result.QueueFull, "sessions: %v", err)
	}
	return r.version, r.err
}

// Synced reports whether the VM has read the sessions of another VM since its start, or has waited long enough for one.
// A balancer that sends requests before may move sessions whose version a roll-out has changed.
func (c *Controller) Synced(ctx context.Context) (bool, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- bool) message { return syncedMessage{reply} })
}

func (m syncedMessage) handle(c *Controller) {
	m.reply <- c.synced || time.Since(c.startedAt) >= syncLimit
}

// Sets returns the sets of active sessions here and, as far as known, elsewhere.
func (c *Controller) Sets(ctx context.Context) ([]Set, error) {
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- setsReply) message { return setsMessage{reply} })
	if err != nil {
		return nil, err
	}
	return r.sets, r.err
}

// Halt implements rollout.Halter: new sessions stay away from the version from now on.
func (c *Controller) Halt(model, version string, startedAt int64) error {
	return task.Tell(c.mailbox, message(haltMessage{model, halt{version, startedAt}}))
}

// Collect implements peer.Section; sets of sessions are too large for datagrams and are asked for.
func (c *Controller) Collect(context.Context, *peer.State) error { return nil }

// Receive implements peer.Section.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if s.Region != c.options.Region || s.ControlAddress == "" {
		return nil
	}
	return task.Tell(c.mailbox, message(memberMessage{s}))
}

func (m versionMessage) handle(c *Controller) {
	version, err := c.version(m.query, time.Now())
	m.reply <- versionReply{version, err}
}

func (c *Controller) version(q Query, now time.Time) (string, error) {
	key := hashKey(q.Account.Name, q.Model.Name, q.Session)
	known := Known{Fresh: now.Sub(q.Snapshot.ConfirmedAt) < c.options.FreshnessLimit}
	if !q.Transient {
		known.Bound = c.table.get(key)
	}
	if !q.Transient && !rollout.Usable(&q.Snapshot.Catalog, q.Account, q.Model.Name, known.Bound) {
		known.Bound = ""
		known.Seen = c.foreign.seen(q.Model.Name, key)
	}
	version, err := Decide(q, c.rule(q), known)
	if err == nil && !q.Transient {
		c.table.put(key, binding{q.Model.Name, version}, now)
		c.changed = c.changed || version != known.Bound
	}
	return version, err
}

// rule returns the rule in force, with a halt that this VM knows of.
func (c *Controller) rule(q Query) rollout.Rule {
	s, ok := c.rules[q.Model.Name]
	if !ok {
		s.current = rollout.RuleOf(&q.Snapshot.Catalog, q.Model)
	}
	if h, halted := c.halts[q.Model.Name]; halted && h == (halt{s.current.Version, s.current.StartedAt}) {
		return s.current.Halted()
	}
	return s.current
}

func (m setsMessage) handle(c *Controller) {
	now := time.Now()
	if c.active == nil || c.changed {
		sets, err := activeSets(c.table, c.options.VM, c.options.Incarnation)
		if err != nil {
			m.reply <- setsReply{nil, err}
			return
		}
		c.active, c.changed = sets, false
	}
	m.reply <- setsReply{append(c.foreign.list(now), c.active...), nil}
}

func (m haltMessage) handle(c *Controller) { c.halts[m.model] = m.halt }

func (m memberMessage) handle(c *Controller) {
	now := time.Now()
	old, known := c.members[m.state.VM]
	c.members[m.state.VM] = member{m.state.ControlAddress, m.state.Leaving, now}
	starting := !known && now.Sub(c.startedAt) < startTime
	if starting || (m.state.Leaving && !old.leaving) {
		c.requestPull() // what this VM can't know yet, or will soon be gone
	}
}

// learn takes the rules of a new configuration; those that change take effect after a pull.
func (c *Controller) learn(s configuration.Snapshot, now time.Time) {
	for _, m := range s.Catalog.Models {
		r := rollout.RuleOf(&s.Catalog, m)
		old, known := c.rules[m.Name]
		switch {
		case !known:
			c.rules[m.Name] = ruleState{current: r, next: r}
		case r == old.next:
		case r.State == catalog.RollOutHalted:
			c.rules[m.Name] = ruleState{current: r, next: r}
			c.requestPull()
		default:
			old.next, old.effectAt = r, effectAt(r, now, c.options.ActivationDelay)
			c.rules[m.Name] = old
		}
	}
	c.forget(s.Catalog.Withdrawals)
	c.schedule(now)
}

// forget ends the bindings to versions that were withdrawn since, so that a reinstatement doesn't bring back old ones.
func (c *Controller) forget(withdrawn []catalog.Withdrawal) {
	gone := map[binding]bool{}
	for _, w := range withdrawn {
		b := binding{w.Model, w.Version}
		gone[b] = true
		if !c.withdrawn[b] {
			c.table.drop(b)
			c.foreign.drop(b, time.Now())
			c.changed = true
		}
	}
	if !maps.Equal(gone, c.withdrawn) {
		c.requestPull() // new sessions go elsewhere now, so that those of other VMs have to be known
	}
	c.withdrawn = gone
}

func (c *Controller) pullInterval() time.Duration {
	for _, s := range c.rules {
		if s.current.State == catalog.RollOutRunning {
			return min(rollingInterval, c.options.IdleTimeout/pullsPerIdle)
		}
	}
	return c.options.IdleTimeout / pullsPerIdle
}

// schedule sets the timer to the next rule that takes effect.
func (c *Controller) schedule(now time.Time) {
	first := ageInterval
	pending := false
	for _, s := range c.rules {
		if s.current != s.next {
			pending = true
			first = min(first, max(s.effectAt.Sub(now), 0))
		}
	}
	if pending {
		c.due.Reset(first)
	}
}

// requestPull asks the VMs of the region for their sessions; one pull is under way at a time.
func (c *Controller) requestPull() {
	if c.pulling {
		c.again = true
		return
	}
	addresses := make([]string, 0, len(c.members))
	for vm, m := range c.members {
		if time.Since(m.heardAt) > memberMaxAge {
			delete(c.members, vm)
			continue
		}
		addresses = append(addresses, m.address)
	}
	c.pulling = true
	c.pulls <- addresses // has room: only one pull is under way
}

// handle puts the rules into force that were due when the pull began.
func (m pulledMessage) handle(c *Controller) {
	now := time.Now()
	c.pulling, c.pulledAt = false, now
	c.synced = c.synced || m.answered > 0
	sets := slices.DeleteFunc(m.sets, func(s Set) bool { return c.withdrawn[binding{s.Model, s.Version}] })
	if err := c.foreign.add(sets, now); err != nil {
		c.log.Info("a set of sessions was refused", "error", err.Error())
	}
	for name, s := range c.rules {
		if s.current != s.next && !s.effectAt.After(m.startedAt) {
			s.current = s.next
			c.rules[name] = s
			c.log.Info("roll-out step in force", "model", name, "version", s.current.Version, "share", s.current.Share, "state", s.current.State)
		}
	}
	if c.again {
		c.again = false
		c.requestPull()
		return
	}
	c.schedule(now)
}
