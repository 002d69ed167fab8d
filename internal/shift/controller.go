package shift

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
)

const (
	// mailboxSize is the maximum number of messages that wait for the Controller, and of calls that wait for runJobs;
	// task.Tell fails with ErrFull beyond it.
	mailboxSize = 4096
	// tickInterval is the time between two calls of tick.
	tickInterval = 200 * time.Millisecond
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * time.Millisecond
	// writeRetryPause is the mean pause after a failed write of a record.
	writeRetryPause = 300 * time.Millisecond
	// The scores are log-likelihood ratios in nats; see rollout.SequentialTest.

	// haltThreshold is the failure score that halts the new version: about five failures close together.
	haltThreshold = 7
	// slowHaltThreshold is the slowness score that halts the new version. It is higher, as slow answers come in clusters.
	slowHaltThreshold = 8
	// rampSlowHaltThreshold replaces slowHaltThreshold while the share grows beyond probeShare, because moving load
	// makes some answers of a good version slow.
	rampSlowHaltThreshold = 25
	// slowRateFactor is the least ratio of the share of slow answers of a bad version to that of a good one.
	slowRateFactor = 3
	// maxPinnedSessions is the maximum number of sessions that a VM publishes for a service.
	maxPinnedSessions = 2000
	// minBadEndpoints is the number of endpoints with bad answers needed to halt a version, so that one broken
	// endpoint isn't taken for a bad version.
	minBadEndpoints = 2
)

// ErrOutdated reports that another VM changed the record first.
var ErrOutdated = errors.New("record was changed by another VM")

// RecordStore stores the records of traffic shifts and the sessions pinned to the old version. runJobs calls it.
type RecordStore interface {
	// Write replaces the record that has the revision, 0 for none. It fails with ErrOutdated if the revision differs.
	Write(ctx context.Context, r Record, revision uint64) error
	// PublishPinned stores the hashes of this VM's sessions on the old version for the other VMs to read.
	PublishPinned(ctx context.Context, service, vm string, sessions []uint64) error
}

// Versions counts the endpoints of a service by version. runJobs calls it before the first record of an order is written.
type Versions interface {
	Versions(ctx context.Context, service string) (map[string]int, error)
}

// Options configure a Controller.
type Options struct {
	// VM is this VM's name, under which it publishes its pinned sessions.
	VM string
	// SessionIdle is how long a session stays active after its last request.
	SessionIdle time.Duration
}

// Controller owns the traffic shifts, the evidence about versions and the versions of active sessions.
// It picks versions for requests, halts bad versions on this VM and writes the records of traffic shifts.
type Controller struct {
	mailbox  chan message
	records  RecordStore
	versions Versions
	opts     Options
	log      logr.Logger
	services map[string]*service
	sessions map[sessionKey]*session
	// tally sums the evidence of this VM and its peers.
	tally *rollout.Tally
	// jobs holds the calls that wait for the network; runJobs makes them one at a time.
	jobs chan func(context.Context)
	// lastExpiry is when ended sessions were last removed.
	lastExpiry time.Time
	// fleetRank is the VM's rank among all VMs, from 0; it determines how soon the VM proposes a change.
	fleetRank int
	// writing has the services whose record is being written.
	writing map[string]bool
}

// service is what the VM knows about a service and its traffic shift.
type service struct {
	// order is the newest order seen.
	order Order
	// record is the record in force, or this VM's own proposal until one is stored.
	record Record
	// revision is the store's revision of the newest record seen; 0 is none.
	revision uint64
	// recordedOrder is the revision of the order in that record; 0 is none.
	recordedOrder uint64
	// startedAt is the start of the traffic shift by this VM's clock.
	startedAt time.Time
	// completableSince is when the traffic shift could first be completed, or zero.
	completableSince time.Time
	detector         rollout.Detector
	// stable is this VM's evidence about the old version.
	stable rollout.Evidence
	// badEndpoints has one bit per endpoint, by hash of its ID, set if an answer of the new version there was bad,
	// on this VM or another.
	badEndpoints uint64
	// baselines has the old version's latency for each kind of request.
	baselines map[string]*Baseline
	// pinned has the hashes of sessions that were active on the old version on another VM when the traffic shift began.
	pinned        map[uint64]bool
	pinsPublished bool
	// halted says that this VM sends nothing to the new version, even before the record says so.
	halted bool
	// reason says why the version was halted.
	reason string
}

// sessionKey identifies a session of a service by the hash of its ID.
type sessionKey struct {
	service string
	hash    uint64
}

// session is a session that was active on this VM.
type session struct {
	version string
	// inFlight is the number of attempts in flight.
	inFlight int
	// endedAt is when the last attempt ended.
	endedAt time.Time
}

// message is a message in the Controller's mailbox. Run calls handle for each.
type message interface {
	handle(ctx context.Context, c *Controller)
}

type (
	rankMessage   struct{ rank int }
	orderMessage  struct{ order Order }
	recordMessage struct {
		record   Record
		revision uint64
	}
	pinnedMessage struct {
		service  string
		sessions []uint64
	}
	bindMessage struct {
		service string
		session string
		reply   chan<- Binding
	}
	startMessage struct {
		service string
		session string
		version string
	}
	outcomeMessage  struct{ outcome Outcome }
	versionsMessage struct {
		service  string
		versions map[string]int
	}
	writtenMessage struct {
		service string
		err     error
	}
)

// New creates a Controller; Run starts it.
func New(records RecordStore, versions Versions, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), records: records, versions: versions, opts: o, log: log,
		services: map[string]*service{}, sessions: map[sessionKey]*session{}, tally: rollout.NewTally(),
		jobs: make(chan func(context.Context), mailboxSize), writing: map[string]bool{},
	}
}

// Run handles messages and ticks until ctx ends. Only its goroutine touches the state.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 1)
	task.Start(ctx, "writer", ends, c.runJobs)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(ctx, c)
		case now := <-ticker.C:
			c.tick(now)
		case <-ctx.Done():
			return task.Stop(cancel, ends, 1)
		}
	}
}

// runJobs makes the queued calls one at a time until ctx ends. It runs as a task of its own,
// since they wait for the network.
func (c *Controller) runJobs(ctx context.Context) error {
	for {
		select {
		case f := <-c.jobs:
			f(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ApplyOrder starts the traffic shift of an operator's order, unless a newer order is known. It is called when the VM
// learns the order from the store.
func (c *Controller) ApplyOrder(_ context.Context, o Order) error {
	return task.Tell(c.mailbox, message(orderMessage{o}))
}

// ApplyRecord adopts the record that the store holds at the revision. It is called when the VM learns the record from the
// store, also after a write of its own.
func (c *Controller) ApplyRecord(_ context.Context, r Record, revision uint64) error {
	return task.Tell(c.mailbox, message(recordMessage{r, revision}))
}

// PinSessions pins sessions that were active on the old version on another VM, given by hash. It is called when the VM
// learns that VM's list from the store.
func (c *Controller) PinSessions(_ context.Context, service string, sessions []uint64) error {
	return task.Tell(c.mailbox, message(pinnedMessage{service, sessions}))
}

// Bind returns the versions that the next attempt of a session may go to. An empty session stands for a request without one.
// The filter that forwards requests calls it before each attempt.
func (c *Controller) Bind(ctx context.Context, service, session string) (Binding, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Binding) message { return bindMessage{service, session, reply} })
}

// AttemptStarted records that an attempt of the session was sent to an endpoint of the version.
func (c *Controller) AttemptStarted(_ context.Context, service, session, version string) error {
	return task.Tell(c.mailbox, message(startMessage{service, session, version}))
}

// AttemptEnded records the outcome of an attempt reported to AttemptStarted.
func (c *Controller) AttemptEnded(_ context.Context, o Outcome) error {
	return task.Tell(c.mailbox, message(outcomeMessage{o}))
}

// service returns the state of the named service and creates it on first use.
func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{baselines: map[string]*Baseline{}}
		c.services[name] = s
	}
	return s
}

// handle starts the traffic shift here, before any VM has written its record. ApplyOrder sends the message. An order that
// isn't newer than the known one is ignored.
func (m orderMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.order.Service)
	if m.order.Revision <= s.order.Revision {
		return
	}
	s.order = m.order
	if s.record.Order.Revision >= m.order.Revision {
		return
	}
	c.log.Info("shift ordered", "service", m.order.Service, "target", m.order.Target, "seconds", m.order.Duration.Seconds(), "revision", m.order.Revision)
	s.resetEvidence()
	s.record = Record{Order: m.order, State: StateRunning, StartedAt: time.Now()}
	s.startedAt = time.Now()
}

// resetEvidence resets the detector, the bad endpoints, the halt and the pinned sessions. Evidence about the old version
// stays; the tally keeps that about the new version by order. It is called when another order comes into force.
func (s *service) resetEvidence() {
	s.detector = rollout.Detector{HaltThreshold: haltThreshold}
	s.badEndpoints = 0
	s.pinned, s.pinsPublished, s.halted, s.reason, s.completableSince = map[uint64]bool{}, false, false, "", time.Time{}
}

// queryVersions queues a query for the versions that serve now; its answer leads to the first proposal of the record.
// tick calls it on each tick until a record of the order is stored, so a failed query is repeated.
func (c *Controller) queryVersions(name string) {
	c.enqueue(func(ctx context.Context) {
		versions, err := c.versions.Versions(ctx, name)
		if err != nil {
			c.log.Info("versions of a service not listed", "service", name, "error", err.Error())
			return
		}
		_ = c.send(ctx, versionsMessage{name, versions}) // fails only when ctx ends
	})
}

// enqueue queues a call for runJobs, or logs and drops it if the queue is full.
func (c *Controller) enqueue(f func(context.Context)) {
	if task.Tell(c.jobs, f) != nil {
		c.log.Info("traffic shift job dropped", "why", "the job queue is full")
	}
}

// send delivers the result of a job to the controller's own mailbox and waits for room.
func (c *Controller) send(ctx context.Context, m message) error {
	return task.TellUntil(ctx, c.mailbox, m)
}

// handle proposes the record of an order with the versions that serve now, unless another VM has recorded the order.
// The job of queryVersions sends the message.
func (m versionsMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.service)
	if s.recordedOrder == s.record.Order.Revision {
		return
	}
	s.record.OldVersions = nil
	for v := range m.versions {
		if v != s.record.Target {
			s.record.OldVersions = append(s.record.OldVersions, v)
		}
	}
	slices.Sort(s.record.OldVersions)
	c.propose(m.service, s, StateRunning, "ordered")
}

// propose queues a write of the record with a new state, unless a write is under way. tick proposes again
// until a record is stored; a failed write pauses first, so that racing VMs don't collide again.
// It is called when a first record, a rollback or a completion is due.
func (c *Controller) propose(name string, s *service, state State, reason string) {
	if c.writing[name] {
		return
	}
	r, revision := s.record, s.revision
	r.State, r.Reason = state, reason
	c.writing[name] = true
	c.enqueue(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, writeTimeout)
		err := c.records.Write(limited, r, revision)
		cancel()
		if err != nil {
			task.Sleep(ctx, writeRetryPause/2+rand.N(writeRetryPause))
		}
		_ = c.send(ctx, writtenMessage{name, err}) // fails only when ctx ends
	})
}

// handle allows the next write of the record. The job of propose sends the message; after a failure tick proposes again.
func (m writtenMessage) handle(_ context.Context, c *Controller) {
	c.writing[m.service] = false
	if m.err != nil {
		c.log.Info("record of a shift not written", "service", m.service, "error", m.err.Error())
	}
}

// handle adopts a record that is newer than the one known, unless it belongs to an older order. ApplyRecord sends the
// message.
func (m recordMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.record.Service)
	if m.revision <= s.revision {
		return
	}
	s.revision, s.recordedOrder = m.revision, m.record.Order.Revision
	if m.record.Order.Revision < s.order.Revision {
		return
	}
	if m.record.Order.Revision > s.record.Order.Revision || s.record.Target == "" {
		s.resetEvidence()
	}
	if m.record.State != s.record.State || m.record.Order.Revision != s.record.Order.Revision {
		c.log.Info("shift", "service", m.record.Service, "target", m.record.Target, "state", m.record.State.String(),
			"reason", m.record.Reason, "revision", m.revision)
	}
	s.record = m.record
	if m.record.State == StateCompleted {
		// Nothing may be sent to the old version any more, so a halt here would leave no version to send to.
		s.halted = false
	}
	// StartedAt is by another VM's clock. If it lies in the future, the traffic shift starts now.
	now := time.Now()
	s.startedAt = now.Add(-max(now.Sub(m.record.StartedAt), 0))
}

// handle pins the sessions that another VM published.
func (m pinnedMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.service)
	if s.pinned == nil {
		s.pinned = map[uint64]bool{}
	}
	for _, h := range m.sessions {
		s.pinned[h] = true
	}
}

// tick proposes the records that are due, publishes pinned sessions and removes ended sessions.
// Run calls it every tickInterval.
func (c *Controller) tick(now time.Time) {
	for name, s := range c.services {
		if s.record.State != StateRunning || s.record.Target == "" {
			continue
		}
		elapsed := now.Sub(s.startedAt)
		if s.completableSince.IsZero() && c.isCompletable(name, s, elapsed) {
			s.completableSince = now
		}
		switch {
		case s.recordedOrder != s.record.Order.Revision:
			if !c.writing[name] && c.mayPropose(s.startedAt, now) {
				c.queryVersions(name)
			}
		case s.halted:
			c.propose(name, s, StateRolledBack, s.reason)
		case !s.completableSince.IsZero() && c.mayPropose(s.completableSince, now):
			c.propose(name, s, StateCompleted, "the version proved good")
		}
		if !s.pinsPublished && elapsed > pinExchangeTime-2*tickInterval && !pinningOver(elapsed, s.record.Duration) {
			s.pinsPublished = true
			c.publishPinned(name, s, now)
		}
	}
	if now.Sub(c.lastExpiry) > c.opts.SessionIdle {
		c.lastExpiry = now
		for k, s := range c.sessions {
			if !c.isActive(s, now) {
				delete(c.sessions, k)
			}
		}
	}
}
