package shift

import (
	"context"
	"errors"
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
	// The scores are log-likelihood ratios in nats; see rollout.SequentialTest.

	// haltThreshold is the failure score that halts the new version: about five failures close together.
	haltThreshold = 7
	// slowHaltThreshold is the score of late answers that halts the new version. It is higher, as late answers come in
	// clusters.
	slowHaltThreshold = 8
	// paceHaltThreshold is the score of slow streams that halts the new version: about four close together.
	paceHaltThreshold = 8
	// rampSlowHaltThreshold and rampPaceHaltThreshold replace them while the share grows beyond probeShare, because moving
	// load makes some answers of a good version late or slow.
	rampSlowHaltThreshold = 25
	rampPaceHaltThreshold = 25
	// slowRateFactor is the least ratio of the share of late answers of a bad version to that of a good one.
	slowRateFactor = 3
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
	// Meter records the time of the Controller's messages; it may be nil.
	Meter task.Meter
}

// Controller owns the traffic shifts, the evidence about versions and the versions of active sessions.
// It picks versions for requests, halts bad versions on this VM and writes the records of traffic shifts.
type Controller struct {
	mailbox  chan message
	records  RecordStore
	versions Versions
	opts     Options
	log      logr.Logger
	watch    *task.Stopwatch
	services map[string]*service
	sessions map[sessionKey]*session
	// trials holds the attempts in flight at the targets of running traffic shifts.
	trials map[AttemptID]*trial
	// evidence sums the evidence of this VM and its peers.
	evidence *rollout.FleetEvidence
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
	// stored is the newest record seen in the store, recordEra the store's era of it, and revision its revision; 0 is none. missingSince
	// is when it first lacked the outcome of a traffic shift that ended; zero if it doesn't.
	stored       Record
	recordEra    uint64
	revision     uint64
	missingSince time.Time
	// startedAt is the start of the traffic shift by this VM's clock.
	startedAt time.Time
	// share is the share of sessions that get the new version.
	share float64
	// due is the latest decision, dueSince when it was made first.
	due      Decision
	dueSince time.Time
	detector rollout.Detector
	// stable is this VM's evidence about the old version, before that when the order came.
	stable rollout.Evidence
	before rollout.Evidence
	// history holds the evidence about the new version at the latest ticks at the present share.
	history history
	// badEndpoints has one bit per endpoint, by hash of its ID, set if an answer of the new version there was bad,
	// on this VM or another.
	badEndpoints uint64
	// baselines has the old version's latencies.
	baselines *Baselines
	// pinned has the hashes of sessions that were active on the old version on another VM when the traffic shift began.
	pinned map[uint64]bool
	// pins says whether this VM has published its own; it does so at nextPins at the earliest.
	pins     pinsState
	nextPins time.Time
	// halted says that this VM sends nothing to the new version, even before the record says so.
	halted bool
	// reason says why the version was halted.
	reason string
}

// message is a message in the Controller's mailbox. Run calls handle for each.
type message interface {
	handle(ctx context.Context, c *Controller)
}

// New creates a Controller; Run starts it.
func New(records RecordStore, versions Versions, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), records: records, versions: versions, opts: o, log: log,
		watch: task.NewStopwatch("shift", o.Meter, log), services: map[string]*service{}, sessions: map[sessionKey]*session{}, trials: map[AttemptID]*trial{}, evidence: rollout.NewFleetEvidence(),
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
			started := time.Now()
			m.handle(ctx, c)
			c.watch.Handled(started, m)
		case now := <-ticker.C:
			started := time.Now()
			c.tick(now)
			c.watch.Ticked(started)
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

// enqueue queues a call for runJobs. If the queue is full, it logs and drops the call and returns false.
func (c *Controller) enqueue(f func(context.Context)) bool {
	if task.Tell(c.jobs, f) != nil {
		c.log.Info("traffic shift job dropped", "why", "the job queue is full")
		return false
	}
	return true
}

// send delivers the result of a job to the controller's own mailbox and waits for room.
func (c *Controller) send(ctx context.Context, m message) error {
	return task.TellUntil(ctx, c.mailbox, m)
}

// service returns the state of the named service and creates it on first use.
func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{baselines: NewBaselines()}
		c.services[name] = s
	}
	return s
}

// tick counts overdue attempts, raises the shares, proposes the records that are due, publishes pinned sessions and removes
// ended sessions. Run calls it every tickInterval.
func (c *Controller) tick(now time.Time) {
	c.countOverdue(now)
	for name, s := range c.services {
		c.restoreOutcome(name, s, now)
		if s.record.State != StateRunning || s.record.Target == "" {
			continue
		}
		standing := c.standing(name, s, now)
		s.raise(standing.Allowed(), standing.Total)
		c.proposeDue(name, s, standing, now)
		if s.pinsDue(standing.Elapsed, now) {
			c.publishPinned(name, s, now)
		}
	}
	if now.Sub(c.lastExpiry) > c.opts.SessionIdle {
		c.lastExpiry = now
		c.expire(now)
	}
}

// raise sets the share and notes the evidence of this tick. At the full share, evidence of a smaller one doesn't count as
// recent. tick calls it.
func (s *service) raise(share float64, total rollout.Evidence) {
	if share == 1 && s.share < 1 {
		s.history = nil
	}
	s.share = share
	s.history = s.history.add(total)
}

// expire removes the sessions that ended and the evidence about traffic shifts that did. tick calls it.
func (c *Controller) expire(now time.Time) {
	for k, s := range c.sessions {
		if !c.isActive(s, now) {
			delete(c.sessions, k)
		}
	}
	c.evidence.Retain(func(r rollout.Run) bool {
		s, ok := c.services[r.Model]
		return ok && s.record.State == StateRunning && s.run().StartedAt == r.StartedAt
	})
}
