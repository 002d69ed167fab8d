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
	mailboxSize  = 4096
	tickInterval = 200 * time.Millisecond
	writeTimeout = 1500 * time.Millisecond
	writePause   = 300 * time.Millisecond
	// haltScore ends a shift at some five failures of a VM's own in short order.
	haltScore = 7
	// slowScore ends a shift for slow answers, which come in clusters; rampSlowScore does while the share grows, as the
	// load that moves makes some answers slow.
	slowScore     = 8
	rampSlowScore = 25
	// slowRise is how many times as often the answers of a bad version are slow at least.
	slowRise = 3
	// maxPinned bounds the sessions that a VM tells the others of.
	maxPinned = 2000
	// leastBadEndpoints keeps one bad endpoint from condemning its version.
	leastBadEndpoints = 2
)

// ErrOutdated reports that another VM changed the record first.
var ErrOutdated = errors.New("record changed meanwhile")

// RecordStore keeps the records of shifts and the sessions that were active when a shift began.
type RecordStore interface {
	// Write replaces the record that has the revision, 0 for none, or fails with ErrOutdated.
	Write(ctx context.Context, r Record, revision uint64) error
	// PublishPinned tells the other VMs the sessions of this VM that are on the old version.
	PublishPinned(ctx context.Context, service, vm string, sessions []uint64) error
}

// Versions counts the endpoints of a service by version.
type Versions interface {
	Versions(ctx context.Context, service string) (map[string]int, error)
}

// Options say which VM this is and how long a session lasts after a request.
type Options struct {
	VM          string
	SessionIdle time.Duration
}

// Controller owns the shifts, the evidence about versions and the versions of active sessions.
type Controller struct {
	mailbox  chan message
	ledger   RecordStore
	versions Versions
	opts     Options
	log      logr.Logger
	services map[string]*service
	sessions map[sessionKey]*session
	// tally sums the evidence of this VM and its peers.
	tally *rollout.Tally
	// work is what the writer does next, one at a time.
	work  chan func(context.Context)
	swept time.Time
	// turn is the VM's place among those that propose changes, from 0.
	turn    int
	writing map[string]bool
}

type service struct {
	order    Order
	record   Record
	revision uint64
	// recorded is the order that the ledger's record is about; 0 is none.
	recorded uint64
	begun    time.Time
	// dueAt is when the shift could first be completed.
	dueAt    time.Time
	detector rollout.Detector
	stable   rollout.Evidence
	// badAt has a bit, by the hash of its name, for each endpoint whose answers of the new version were bad, here or at a peer.
	badAt  uint64
	paces  map[string]*Pace
	pinned map[uint64]bool
	told   bool
	// halted stops the version here before the record says so.
	halted bool
	reason string
}

type sessionKey struct {
	service string
	hash    uint64
}

type session struct {
	version string
	running int
	endedAt time.Time
}

type message interface {
	handle(ctx context.Context, c *Controller)
}

type (
	turnMessage   struct{ turn int }
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
	beganMessage struct {
		service string
		session string
		version string
	}
	answerMessage   struct{ answer Outcome }
	versionsMessage struct {
		service  string
		versions map[string]int
	}
	writtenMessage struct {
		service string
		err     error
	}
)

// New makes a Controller; Run starts it.
func New(ledger RecordStore, versions Versions, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), ledger: ledger, versions: versions, opts: o, log: log,
		services: map[string]*service{}, sessions: map[sessionKey]*session{}, tally: rollout.NewTally(),
		work: make(chan func(context.Context), mailboxSize), writing: map[string]bool{},
	}
}

// Run owns the state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 1)
	task.Start(ctx, "writer", ends, c.write)
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

// write does the work that waits for the network.
func (c *Controller) write(ctx context.Context) error {
	for {
		select {
		case f := <-c.work:
			f(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ApplyOrder takes in an operator's order.
func (c *Controller) ApplyOrder(_ context.Context, o Order) error {
	return task.Tell(c.mailbox, message(orderMessage{o}))
}

// ApplyRecord takes in a record under its revision.
func (c *Controller) ApplyRecord(_ context.Context, r Record, revision uint64) error {
	return task.Tell(c.mailbox, message(recordMessage{r, revision}))
}

// PinSessions takes in sessions that were active on the old version at another VM.
func (c *Controller) PinSessions(_ context.Context, service string, sessions []uint64) error {
	return task.Tell(c.mailbox, message(pinnedMessage{service, sessions}))
}

// Bind decides which version the next run of a session may go to.
func (c *Controller) Bind(ctx context.Context, service, session string) (Binding, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Binding) message { return bindMessage{service, session, reply} })
}

// AttemptStarted notes that a run of the session goes to a version.
func (c *Controller) AttemptStarted(_ context.Context, service, session, version string) error {
	return task.Tell(c.mailbox, message(beganMessage{service, session, version}))
}

// AttemptEnded takes in how a run that Began ended.
func (c *Controller) AttemptEnded(_ context.Context, a Outcome) error {
	return task.Tell(c.mailbox, message(answerMessage{a}))
}

func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{paces: map[string]*Pace{}}
		c.services[name] = s
	}
	return s
}

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
	s.restart()
	s.record = Record{Order: m.order, State: StateRunning, StartedAt: time.Now()}
	s.begun = time.Now()
}

// restart begins the evidence about a version anew; what is known of the old one stays.
func (s *service) restart() {
	s.detector = rollout.Detector{HaltThreshold: haltScore}
	s.badAt = 0
	s.pinned, s.told, s.halted, s.reason, s.dueAt = map[uint64]bool{}, false, false, "", time.Time{}
}

// askVersions learns which versions serve now, and proposes the record.
func (c *Controller) askVersions(name string) {
	c.do(func(ctx context.Context) {
		versions, err := c.versions.Versions(ctx, name)
		if err != nil {
			c.log.Info("versions unknown", "service", name, "error", err.Error())
			return
		}
		_ = c.tell(ctx, versionsMessage{name, versions}) // ends only with ctx
	})
}

func (c *Controller) do(f func(context.Context)) {
	if task.Tell(c.work, f) != nil {
		c.log.Info("work of a shift dropped", "why", "the writer is behind")
	}
}

func (c *Controller) tell(ctx context.Context, m message) error {
	return task.TellUntil(ctx, c.mailbox, m)
}

func (m versionsMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.service)
	if s.recorded == s.record.Order.Revision {
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

// propose writes the record in a new state, unless a write is under way.
func (c *Controller) propose(name string, s *service, state State, reason string) {
	if c.writing[name] {
		return
	}
	r, revision := s.record, s.revision
	r.State, r.Reason = state, reason
	c.writing[name] = true
	c.do(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, writeTimeout)
		err := c.ledger.Write(limited, r, revision)
		cancel()
		if err != nil {
			task.Sleep(ctx, writePause/2+rand.N(writePause))
		}
		_ = c.tell(ctx, writtenMessage{name, err}) // ends only with ctx
	})
}

func (m writtenMessage) handle(_ context.Context, c *Controller) {
	c.writing[m.service] = false
	if m.err != nil {
		c.log.Info("record of a shift not written", "service", m.service, "error", m.err.Error())
	}
}

func (m recordMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.record.Service)
	if m.revision <= s.revision {
		return
	}
	s.revision, s.recorded = m.revision, m.record.Order.Revision
	if m.record.Order.Revision < s.order.Revision {
		return
	}
	if m.record.Order.Revision > s.record.Order.Revision || s.record.Target == "" {
		s.restart()
	}
	if m.record.State != s.record.State || m.record.Order.Revision != s.record.Order.Revision {
		c.log.Info("shift", "service", m.record.Service, "target", m.record.Target, "state", m.record.State.String(),
			"reason", m.record.Reason, "revision", m.revision)
	}
	s.record = m.record
	if m.record.State == StateCompleted {
		// The old version is gone, so a doubt of this VM's own has nowhere else to send to.
		s.halted = false
	}
	// The start of the shift is another VM's clock; a start that lies ahead counts from now.
	now := time.Now()
	s.begun = now.Add(-max(now.Sub(m.record.StartedAt), 0))
}

func (m pinnedMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.service)
	if s.pinned == nil {
		s.pinned = map[uint64]bool{}
	}
	for _, h := range m.sessions {
		s.pinned[h] = true
	}
}

// tick proposes what is due, and forgets sessions that ended.
func (c *Controller) tick(now time.Time) {
	for name, s := range c.services {
		if s.record.State != StateRunning || s.record.Target == "" {
			continue
		}
		elapsed := now.Sub(s.begun)
		if s.dueAt.IsZero() && c.due(name, s, elapsed) {
			s.dueAt = now
		}
		switch {
		case s.recorded != s.record.Order.Revision:
			if !c.writing[name] && c.myTurn(s.begun, now) {
				c.askVersions(name)
			}
		case s.halted:
			c.propose(name, s, StateRolledBack, s.reason)
		case !s.dueAt.IsZero() && c.myTurn(s.dueAt, now):
			c.propose(name, s, StateCompleted, "the version proved good")
		}
		if !s.told && elapsed > settleFor-2*tickInterval && !late(elapsed, s.record.Duration) {
			s.told = true
			c.tellPinned(name, s, now)
		}
	}
	if now.Sub(c.swept) > c.opts.SessionIdle {
		c.swept = now
		for k, s := range c.sessions {
			if !c.active(s, now) {
				delete(c.sessions, k)
			}
		}
	}
}
