package rollout

import (
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"cornelmux/internal/configuration"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
)

const (
	mailboxSize     = 4096
	proposalsSize   = 64
	checkInterval   = 250 * time.Millisecond
	proposeAgain    = 10 * time.Second
	stepSpread      = 10 * time.Second
	haltSpread      = 2 * time.Second
	forgetProposal  = 10 * time.Minute
	proposalTimeout = 30 * time.Second
	maxHalts        = 64
	proposer        = "cornelmux"
)

// Submitter submits a change of the configuration.
type Submitter interface {
	Submit(ctx context.Context, s configuration.Submission) (uint64, error)
}

// Halter keeps new sessions away from a version at this VM.
type Halter interface {
	Halt(model, version string, startedAt int64) error
}

// Controller owns the evidence about versions under roll-out, takes steps and halts.
type Controller struct {
	mailbox   chan message
	proposals chan configuration.Submission
	snapshots <-chan configuration.Snapshot
	submitter Submitter
	halter    Halter
	vm        string
	log       logr.Logger
	now       configuration.Snapshot
	tally     *Tally
	detectors map[Run]Detector
	halts     map[Run]string
	due       map[string]time.Time
}

// New makes a Controller that learns roll-outs from snapshots; Run starts it.
func New(snapshots <-chan configuration.Snapshot, s Submitter, h Halter, vm string, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), proposals: make(chan configuration.Submission, proposalsSize),
		snapshots: snapshots, submitter: s, halter: h, vm: vm, log: log,
		tally: NewTally(), detectors: map[Run]Detector{}, halts: map[Run]string{}, due: map[string]time.Time{},
	}
}

type message interface{ handle(*Controller) }

type (
	countMessage struct {
		model   string
		version string
		count   Evidence
	}
	stateMessage   struct{ state peer.State }
	collectMessage struct{ reply chan<- collected }
	statusMessage  struct{ reply chan<- []Status }
	collected      struct {
		evidence []peer.VersionEvidence
		halts    []peer.Halt
	}
)

// Status is what a VM knows of a running or halted roll-out.
type Status struct {
	RollOut catalog.RollOut `json:"roll_out"`
	Version Evidence        `json:"version"`
	Stable  Evidence        `json:"stable"`
	// HaltedHere is the reason of a halt that may not be recorded yet.
	HaltedHere string  `json:"halted_here,omitempty"`
	Score      float64 `json:"score"`
	HaltScore  float64 `json:"halt_score"`
}

// Run owns the state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 1)
	task.Start(ctx, "roll-out proposals", ends, c.propose)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case s := <-c.snapshots:
			c.learn(s)
		case now := <-ticker.C:
			c.check(now)
		case <-ctx.Done():
			return task.Stop(cancel, ends, 1)
		}
	}
}

// CountAnswer implements filter.Evidence: an attempt on a version ended.
func (c *Controller) CountAnswer(model, version string, failed bool) {
	n := Evidence{Answers: 1}
	if failed {
		n.Failures = 1
	}
	_ = task.Tell(c.mailbox, message(countMessage{model, version, n})) // a lost count only delays a halt
}

// CountRating implements cascade.Evidence: an answer of a version was rated.
func (c *Controller) CountRating(model, version string, passed bool) {
	n := Evidence{Rated: 1}
	if !passed {
		n.RatedBad = 1
	}
	_ = task.Tell(c.mailbox, message(countMessage{model, version, n})) // a lost count only delays a halt
}

// Collect implements peer.Section.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- collected) message { return collectMessage{reply} })
	s.Evidence = append(s.Evidence, r.evidence...)
	s.Halts = append(s.Halts, r.halts...)
	return err
}

// Receive implements peer.Section.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if len(s.Evidence) == 0 && len(s.Halts) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(stateMessage{s}))
}

// Status returns what is known of each roll-out.
func (c *Controller) Status(ctx context.Context) ([]Status, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- []Status) message { return statusMessage{reply} })
}

func (m countMessage) handle(c *Controller) {
	for _, r := range c.now.Catalog.RollOuts {
		if r.Model == m.model && (r.Version == m.version || c.stable(r) == m.version) {
			c.tally.Add(Run{m.model, m.version, r.StartedAt}, m.count)
		}
	}
}

func (m stateMessage) handle(c *Controller) {
	for _, e := range m.state.Evidence {
		run := Run{e.Model, e.Version, e.StartedAt}
		if c.current(run) {
			c.tally.Receive(m.state.VM, m.state.Incarnation, run, Evidence{e.Answers, e.Failures, e.Rated, e.RatedBad})
		}
	}
	for _, h := range m.state.Halts {
		c.halt(Run{h.Model, h.Version, h.StartedAt}, h.Reason)
	}
}

func (m collectMessage) handle(c *Controller) {
	var r collected
	for run, n := range c.tally.Local() {
		r.evidence = append(r.evidence, peer.VersionEvidence{
			Model: run.Model, Version: run.Version, StartedAt: run.StartedAt,
			Answers: n.Answers, Failures: n.Failures, Rated: n.Rated, RatedBad: n.RatedBad,
		})
	}
	for run, reason := range c.halts {
		r.halts = append(r.halts, peer.Halt{Model: run.Model, Version: run.Version, StartedAt: run.StartedAt, Reason: reason})
	}
	m.reply <- r
}

func (m statusMessage) handle(c *Controller) {
	list := make([]Status, 0, len(c.now.Catalog.RollOuts))
	for _, r := range c.now.Catalog.RollOuts {
		run := runOf(r)
		d := c.detectors[run]
		list = append(list, Status{
			RollOut: r, Version: c.tally.Sum(run), Stable: c.tally.Sum(c.stableRun(r)), HaltedHere: c.halts[run],
			Score: max(d.Failures.Score, d.Ratings.Score), HaltScore: haltScore,
		})
	}
	m.reply <- list
}

func runOf(r catalog.RollOut) Run { return Run{r.Model, r.Version, r.StartedAt} }

func (c *Controller) stableRun(r catalog.RollOut) Run {
	return Run{r.Model, c.stable(r), r.StartedAt}
}

func (c *Controller) stable(r catalog.RollOut) string {
	m, _ := c.now.Model(r.Model)
	return m.Stable
}

// learn takes a newer configuration, and drops what belongs to runs that ended.
func (c *Controller) learn(s configuration.Snapshot) {
	c.now = s
	c.tally.Keep(c.current)
	for run := range c.detectors {
		if !c.current(run) {
			delete(c.detectors, run)
		}
	}
	for run := range c.halts {
		if c.settled(run) {
			delete(c.halts, run)
		}
	}
}

// current reports whether evidence of the run still matters.
func (c *Controller) current(run Run) bool {
	for _, r := range c.now.Catalog.RollOuts {
		if r.Model == run.Model && r.StartedAt == run.StartedAt && (r.Version == run.Version || run == c.stableRun(r)) {
			return true
		}
	}
	return false
}

// settled reports whether the configuration already holds the halt of the run, or a later run.
func (c *Controller) settled(run Run) bool {
	for _, r := range c.now.Catalog.RollOuts {
		if r.Model != run.Model {
			continue
		}
		return r.StartedAt > run.StartedAt || (runOf(r) == run && r.State == catalog.RollOutHalted)
	}
	return false
}

// halt stops the run at this VM at once; a halt is never taken back here.
func (c *Controller) halt(run Run, reason string) {
	if _, known := c.halts[run]; known || c.settled(run) || len(c.halts) >= maxHalts {
		return
	}
	if err := c.halter.Halt(run.Model, run.Version, run.StartedAt); err != nil {
		c.log.Error(err, "halt waits for the next check", "model", run.Model, "version", run.Version)
		return
	}
	c.halts[run] = reason
	c.log.Info("roll-out halted", "model", run.Model, "version", run.Version, "reason", reason)
}

// check tests the evidence of each running roll-out, and proposes the steps and halts that are due.
func (c *Controller) check(now time.Time) {
	maps.DeleteFunc(c.due, func(_ string, due time.Time) bool { return now.Sub(due) > forgetProposal })
	for _, r := range c.now.Catalog.RollOuts {
		run := runOf(r)
		if r.State == catalog.RollOutHalted || r.Version == c.stable(r) {
			continue
		}
		d, reason := c.detectors[run].Update(c.tally.Sum(run), c.tally.Sum(c.stableRun(r)))
		c.detectors[run] = d
		if reason != "" {
			c.halt(run, reason)
		}
		if reason, halted := c.halts[run]; halted {
			r.State, r.Reason = catalog.RollOutHalted, reason
			c.offer(r, now, haltSpread)
			continue
		}
		if next, ok := Next(r, now); ok {
			c.offer(next, now, stepSpread)
		}
	}
}

// offer proposes a change after a delay of its own for each VM, so that mostly one VM does so.
func (c *Controller) offer(r catalog.RollOut, now time.Time, spread time.Duration) {
	id := StepID(r)
	due, known := c.due[id]
	if !known {
		c.due[id] = now.Add(delay(c.vm, id, spread))
		return
	}
	if now.Before(due) {
		return
	}
	c.due[id] = now.Add(proposeAgain)
	change := catalog.Change{Set: catalog.Configuration{RollOuts: []catalog.RollOut{r}}}
	p := configuration.Submission{ChangeID: id, Author: proposer, BaseRevision: c.now.Revision, Change: change}
	_ = task.Tell(c.proposals, p) // proposed again later if there is no room
}

func delay(vm, id string, spread time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(vm+"\x00"+id) % uint64(spread))
}

// propose submits what the controller proposes, one after another.
func (c *Controller) propose(ctx context.Context) error {
	for {
		select {
		case p := <-c.proposals:
			limited, cancel := context.WithTimeout(ctx, proposalTimeout)
			if _, err := c.submitter.Submit(limited, p); err != nil {
				c.log.Info("proposal was not accepted", "change_id", p.ChangeID, "error", err.Error())
			}
			cancel()
		case <-ctx.Done():
			return nil
		}
	}
}
