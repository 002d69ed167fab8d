// Package session keeps each session on the version of a model that it began with, on whichever VM its requests arrive,
// while rollouts change the version of new sessions.
package session

import (
	"context"
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
	// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails with ErrFull beyond
	// it.
	mailboxSize = 4096
	// expireInterval is the time between two removals of expired sessions and sets.
	expireInterval = 10 * time.Second
	// startupPeriod is the time after the start in which each VM that is first heard of causes a pull.
	startupPeriod = 10 * time.Second
	// syncTimeout is how long after its start a VM waits for another VM's sessions before it counts as synced.
	syncTimeout = 5 * time.Second
	// memberMaxAge is the silence after which a VM is no longer asked for its sessions.
	memberMaxAge = 2 * time.Minute
	// pullsPerIdleTimeout is the number of pulls of other VMs' sessions within the idle timeout.
	pullsPerIdleTimeout = 3
	// rolloutPullInterval bounds the time between pulls while a rollout is running, as sessions that only a failed VM
	// knew of may then change their version.
	rolloutPullInterval = 2 * time.Minute
)

// Options configure a Controller.
type Options struct {
	VM string
	// Incarnation is the start of this process, in Unix nanoseconds.
	Incarnation uint64
	Region      string
	// FreshnessLimit is the age of the configuration's confirmation up to which a running rollout moves new sessions.
	FreshnessLimit time.Duration
	// IdleTimeout is how long an unused session keeps its version.
	IdleTimeout time.Duration
	// ActivationDelay is the time from the acceptance of a step until it applies to new sessions.
	ActivationDelay time.Duration
	// MaxSessions is the maximum number of sessions that are remembered.
	MaxSessions int
}

// Controller owns the bindings of the sessions that were active on this VM, and the sets of sessions that were active
// on others. A change of a rule takes effect after the sets of the other VMs have been pulled, so that a session
// that runs elsewhere on the old rule's version keeps it here.
type Controller struct {
	mailbox chan message
	// pulls takes the addresses of the VMs to pull from.
	pulls     chan []string
	snapshots <-chan configuration.Snapshot
	peers     Peers
	options   Options
	log       logr.Logger
	table     *table
	remote    *remoteSets
	// rules and halts are by model.
	rules     map[string]ruleState
	halts     map[string]halt
	withdrawn map[binding]bool
	// members has the VMs of the region by name.
	members map[string]member
	// ownSets caches the sets of this VM's sessions until ownChanged.
	ownSets    []Set
	ownChanged bool
	// pulledAt is when the last pull ended, startedAt when Run was called.
	pulledAt  time.Time
	startedAt time.Time
	// synced says that another VM's sets were read since the start.
	synced bool
	// pulling says that a pull is under way, pullAgain that another has to follow.
	pulling   bool
	pullAgain bool
	// activationTimer requests the pull that activates a pending rule.
	activationTimer *time.Timer
}

// member is another VM as its last datagram described it.
type member struct {
	address string
	leaving bool
	heardAt time.Time
}

// New creates a Controller that reads rules from snapshots; Run starts it.
func New(snapshots <-chan configuration.Snapshot, peers Peers, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), pulls: make(chan []string, 1),
		snapshots: snapshots, peers: peers, options: o, log: log,
		table: newTable(o.MaxSessions, o.IdleTimeout), remote: newRemoteSets(o.IdleTimeout),
		rules: map[string]ruleState{}, halts: map[string]halt{}, members: map[string]member{},
	}
}

// message is a message in the Controller's mailbox. Run calls handle for each.
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
	memberMessage struct{ state peer.State }
	pulledMessage struct {
		startedAt time.Time
		sets      []Set
		// answered counts the VMs that returned their sets.
		answered int
	}
	syncedMessage struct{ reply chan<- bool }
)

// Run handles messages, snapshots and timers until ctx ends. Only its goroutine touches the state.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 1)
	task.Start(ctx, "session pulls", ends, c.pull)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	c.startedAt = time.Now()
	c.activationTimer = time.NewTimer(expireInterval)
	defer c.activationTimer.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case s := <-c.snapshots:
			c.applySnapshot(s, time.Now())
		case <-c.activationTimer.C:
			c.requestPull() // by now no VM applies the old rule to new sessions
		case now := <-ticker.C:
			c.table.expire(now)
			c.remote.expire(now)
			if now.Sub(c.pulledAt) >= c.pullInterval() {
				c.requestPull()
			}
		case <-ctx.Done():
			return task.Stop(cancel, ends, 1)
		}
	}
}

// Version implements filter.Sessions. It returns the version that the session's request runs on and binds the session to it.
// The error is a *result.Error: QueueFull if the mailbox is full or ctx ends first, else that of Decide.
func (c *Controller) Version(ctx context.Context, q Query) (string, error) {
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- versionReply) message { return versionMessage{q, reply} })
	if err != nil {
		return "", result.Errorf(result.QueueFull, "sessions: %v", err)
	}
	return r.version, r.err
}

// Synced reports whether the VM has pulled the sessions of another VM since its start, or syncTimeout has passed.
// It is part of the readiness check: a load balancer that sends requests earlier may move sessions to another version.
func (c *Controller) Synced(ctx context.Context) (bool, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- bool) message { return syncedMessage{reply} })
}

func (m syncedMessage) handle(c *Controller) {
	m.reply <- c.synced || time.Since(c.startedAt) >= syncTimeout
}

// Sets returns the sets of active sessions on this VM and those known from others. Other VMs call it to pull them.
func (c *Controller) Sets(ctx context.Context) ([]Set, error) {
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- setsReply) message { return setsMessage{reply} })
	if err != nil {
		return nil, err
	}
	return r.sets, r.err
}

// Halt implements rollout.Halter. From now on the rollout's run moves no new sessions on this VM.
func (c *Controller) Halt(model, version string, startedAt int64) error {
	return task.Tell(c.mailbox, message(haltMessage{model, halt{version, startedAt}}))
}

// Collect implements peer.Section. It adds nothing, since session sets are too large for datagrams and are pulled instead.
func (c *Controller) Collect(context.Context, *peer.State) error { return nil }

// Receive implements peer.Section. It records the VMs of the region as members to pull sessions from.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if s.Region != c.options.Region || s.ControlAddress == "" {
		return nil
	}
	return task.Tell(c.mailbox, message(memberMessage{s}))
}

func (m versionMessage) handle(c *Controller) {
	version, err := c.resolveVersion(m.query, time.Now())
	m.reply <- versionReply{version, err}
}

// resolveVersion decides on the version for a request, binds the session to it and renews the binding's idle timeout.
// Sets of other VMs are consulted only if the session has no usable version here.
// It is called for each message of Version.
func (c *Controller) resolveVersion(q Query, now time.Time) (string, error) {
	key := hashKey(q.Account.Name, q.Model.Name, q.Session)
	in := DecideInput{ConfirmedRecently: now.Sub(q.Snapshot.ConfirmedAt) < c.options.FreshnessLimit}
	if !q.Transient {
		in.BoundVersion = c.table.get(key)
	}
	if !q.Transient && !rollout.Usable(&q.Snapshot.Catalog, q.Account, q.Model.Name, in.BoundVersion) {
		in.BoundVersion = ""
		in.RemoteVersions = c.remote.possibleVersions(q.Model.Name, key)
	}
	version, err := Decide(q, c.effectiveRule(q), in)
	if err == nil && !q.Transient {
		c.table.put(key, binding{q.Model.Name, version}, now)
		c.ownChanged = c.ownChanged || version != in.BoundVersion
	}
	return version, err
}

// handle replies with the known sets and rebuilds those of this VM if a binding changed.
func (m setsMessage) handle(c *Controller) {
	now := time.Now()
	if c.ownSets == nil || c.ownChanged {
		sets, err := activeSets(c.table, c.options.VM, c.options.Incarnation)
		if err != nil {
			m.reply <- setsReply{nil, err}
			return
		}
		c.ownSets, c.ownChanged = sets, false
	}
	m.reply <- setsReply{append(c.remote.withAge(now), c.ownSets...), nil}
}

// handle records a VM's state. It requests a pull if the VM's sessions aren't known yet after the start of this VM,
// or will be lost as it leaves.
func (m memberMessage) handle(c *Controller) {
	now := time.Now()
	old, known := c.members[m.state.VM]
	c.members[m.state.VM] = member{m.state.ControlAddress, m.state.Leaving, now}
	starting := !known && now.Sub(c.startedAt) < startupPeriod
	if starting || (m.state.Leaving && !old.leaving) {
		c.requestPull()
	}
}

// pullInterval returns the time between periodic pulls, which is at most rolloutPullInterval while a rollout is running.
// Run calls it every expireInterval.
func (c *Controller) pullInterval() time.Duration {
	for _, s := range c.rules {
		if s.current.State == catalog.RollOutRunning {
			return min(rolloutPullInterval, c.options.IdleTimeout/pullsPerIdleTimeout)
		}
	}
	return c.options.IdleTimeout / pullsPerIdleTimeout
}

// requestPull starts a pull of sessions from the VMs of the region. If one is under way, another follows it. It is
// called periodically and when versions or members change.
func (c *Controller) requestPull() {
	if c.pulling {
		c.pullAgain = true
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
	c.pulls <- addresses // has room, as only one pull is under way
}

// handle adds the pulled sets and activates the rules that were due when the pull began. pull sends the message after each
// pull, also if no VM answered; the rules are activated then too.
func (m pulledMessage) handle(c *Controller) {
	now := time.Now()
	c.pulling, c.pulledAt = false, now
	c.synced = c.synced || m.answered > 0
	sets := slices.DeleteFunc(m.sets, func(s Set) bool { return c.withdrawn[binding{s.Model, s.Version}] })
	if err := c.remote.add(sets, now); err != nil {
		c.log.Info("session set refused", "error", err.Error())
	}
	c.activateRules(m.startedAt)
	if c.pullAgain {
		c.pullAgain = false
		c.requestPull()
		return
	}
	c.scheduleActivation(now)
}
