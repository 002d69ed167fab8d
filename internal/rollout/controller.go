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
	// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails with ErrFull beyond
	// it.
	mailboxSize = 4096
	// proposalQueueSize is the maximum number of changes that wait to be submitted.
	proposalQueueSize = 64
	// checkInterval is the time between two calls of checkRollouts.
	checkInterval = 250 * time.Millisecond
	// reproposeInterval is the time between two proposals of the same change, until the configuration holds it.
	reproposeInterval = 10 * time.Second
	// maxStepDelay and maxHaltDelay bound the delay after which a VM proposes a step or a halt.
	maxStepDelay = 10 * time.Second
	maxHaltDelay = 2 * time.Second
	// proposalMaxAge is how long a change that is no longer proposed is remembered.
	proposalMaxAge = 10 * time.Minute
	// proposalTimeout bounds the submission of one change.
	proposalTimeout = 30 * time.Second
	// maxHalts is the maximum number of halts that are remembered and gossiped. Beyond it, no further run is halted on
	// this VM, nor its halt proposed, until the configuration holds one of these halts or a later run of its rollout.
	maxHalts = 64
	// proposalAuthor is the author of proposed changes in the audit trail.
	proposalAuthor = "cornelmux"
)

// Submitter submits a change to the configuration and returns the revision that holds it. submitProposals calls it.
type Submitter interface {
	Submit(ctx context.Context, s configuration.Submission) (uint64, error)
}

// Halter stops assigning new sessions to a version on this VM. startedAt, in Unix seconds, identifies the run of the
// rollout. The Controller calls it once for each halted run, and again if it failed.
type Halter interface {
	Halt(model, version string, startedAt int64) error
}

// Controller collects the evidence about versions under rollout, halts bad versions on this VM
// and proposes the next steps and halts to the configuration.
type Controller struct {
	mailbox   chan message
	proposals chan configuration.Submission
	snapshots <-chan configuration.Snapshot
	submitter Submitter
	halter    Halter
	vm        string
	log       logr.Logger
	snapshot  configuration.Snapshot
	evidence  *FleetEvidence
	detectors map[Run]Detector
	// halts maps each run halted on this VM to the reason, until the configuration holds the halt.
	halts map[Run]string
	// proposeAt maps the ID of a change to the time of its next proposal.
	proposeAt map[string]time.Time
}

// New creates a Controller that reads rollouts from snapshots; Run starts it.
func New(snapshots <-chan configuration.Snapshot, s Submitter, h Halter, vm string, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), proposals: make(chan configuration.Submission, proposalQueueSize),
		snapshots: snapshots, submitter: s, halter: h, vm: vm, log: log,
		evidence: NewFleetEvidence(), detectors: map[Run]Detector{}, halts: map[Run]string{}, proposeAt: map[string]time.Time{},
	}
}

// message is a message in the Controller's mailbox. Run calls handle for each.
type message interface{ handle(*Controller) }

type (
	evidenceMessage struct {
		model    string
		version  string
		evidence Evidence
	}
	stateMessage   struct{ state peer.State }
	collectMessage struct{ reply chan<- collectReply }
	statusMessage  struct{ reply chan<- []Status }
	collectReply   struct {
		evidence []peer.VersionEvidence
		halts    []peer.Halt
	}
)

// Status is what a VM knows about a rollout: the evidence and the detector's score.
type Status struct {
	RollOut catalog.RollOut `json:"roll_out"`
	Version Evidence        `json:"version"`
	Stable  Evidence        `json:"stable"`
	// LocalHaltReason is set while this VM has halted the rollout and the configuration doesn't hold the halt yet.
	LocalHaltReason string `json:"halted_here,omitempty"`
	// Score is the higher score of the two tests, in nats; the rollout is halted once it reaches HaltScore.
	Score     float64 `json:"score"`
	HaltScore float64 `json:"halt_score"`
}

// Run handles messages, snapshots and periodic checks until ctx ends. Only its goroutine touches the state.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 1)
	task.Start(ctx, "rollout proposals", ends, c.submitProposals)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case s := <-c.snapshots:
			c.applySnapshot(s)
		case now := <-ticker.C:
			c.checkRollouts(now)
		case <-ctx.Done():
			return task.Stop(cancel, ends, 1)
		}
	}
}

// CountAnswer implements filter.Evidence. It is called when an attempt on a version has ended.
func (c *Controller) CountAnswer(model, version string, failed bool) {
	n := Evidence{Answers: 1}
	if failed {
		n.Failures = 1
	}
	_ = task.Tell(c.mailbox, message(evidenceMessage{model, version, n})) // a lost count only delays a halt
}

// CountRating implements cascade.Evidence. It is called when an answer of a version has been rated.
func (c *Controller) CountRating(model, version string, passed bool) {
	n := Evidence{Rated: 1}
	if !passed {
		n.RatedBad = 1
	}
	_ = task.Tell(c.mailbox, message(evidenceMessage{model, version, n})) // a lost count only delays a halt
}

// Collect implements peer.Section. It adds this VM's evidence and halts to the gossiped state.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- collectReply) message { return collectMessage{reply} })
	s.Evidence = append(s.Evidence, r.evidence...)
	s.Halts = append(s.Halts, r.halts...)
	return err
}

// Receive implements peer.Section. It takes the evidence and halts of another VM.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if len(s.Evidence) == 0 && len(s.Halts) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(stateMessage{s}))
}

// Status returns the status of each rollout in the configuration. The control service calls it for operators.
func (c *Controller) Status(ctx context.Context) ([]Status, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- []Status) message { return statusMessage{reply} })
}

// handle counts evidence for the rollout's version and for the stable version it is compared with. CountAnswer and
// CountRating send the message.
func (m evidenceMessage) handle(c *Controller) {
	for _, r := range c.snapshot.Catalog.RollOuts {
		if r.Model == m.model && (r.Version == m.version || c.stableVersion(r) == m.version) {
			c.evidence.Add(Run{m.model, m.version, r.StartedAt}, m.evidence)
		}
	}
}

// handle merges the evidence of another VM and adopts its halts. Receive sends the message.
func (m stateMessage) handle(c *Controller) {
	for _, e := range m.state.Evidence {
		run := Run{e.Model, e.Version, e.StartedAt}
		if c.isCurrent(run) {
			c.evidence.Receive(m.state.VM, m.state.Incarnation, run, Evidence{Answers: e.Answers, Failures: e.Failures, Rated: e.Rated, RatedBad: e.RatedBad})
		}
	}
	for _, h := range m.state.Halts {
		c.halt(Run{h.Model, h.Version, h.StartedAt}, h.Reason)
	}
}

// handle replies with the evidence and halts of this VM for the next datagram. Collect sends the message.
func (m collectMessage) handle(c *Controller) {
	var r collectReply
	for run, n := range c.evidence.Local() {
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

// handle replies with the status of each rollout in the configuration.
func (m statusMessage) handle(c *Controller) {
	list := make([]Status, 0, len(c.snapshot.Catalog.RollOuts))
	for _, r := range c.snapshot.Catalog.RollOuts {
		run := runOf(r)
		d := c.detectors[run]
		list = append(list, Status{
			RollOut: r, Version: c.evidence.Sum(run), Stable: c.evidence.Sum(c.stableRun(r)), LocalHaltReason: c.halts[run],
			Score: max(d.Failures.Score, d.Ratings.Score), HaltScore: haltScore,
		})
	}
	m.reply <- list
}

func runOf(r catalog.RollOut) Run { return Run{r.Model, r.Version, r.StartedAt} }

// stableRun returns the key under which the stable version's evidence is kept during the rollout.
func (c *Controller) stableRun(r catalog.RollOut) Run {
	return Run{r.Model, c.stableVersion(r), r.StartedAt}
}

func (c *Controller) stableVersion(r catalog.RollOut) string {
	m, _ := c.snapshot.Model(r.Model)
	return m.Stable
}

// applySnapshot switches to a newer configuration and drops evidence, detectors and halts of runs that ended.
// Run calls it for each snapshot.
func (c *Controller) applySnapshot(s configuration.Snapshot) {
	c.snapshot = s
	c.evidence.Retain(c.isCurrent)
	for run := range c.detectors {
		if !c.isCurrent(run) {
			delete(c.detectors, run)
		}
	}
	for run := range c.halts {
		if c.haltSettled(run) {
			delete(c.halts, run)
		}
	}
}

// isCurrent reports whether the run belongs to a rollout in the configuration, as its version or its stable version.
// Evidence of other runs is dropped.
func (c *Controller) isCurrent(run Run) bool {
	for _, r := range c.snapshot.Catalog.RollOuts {
		if r.Model == run.Model && r.StartedAt == run.StartedAt && (r.Version == run.Version || run == c.stableRun(r)) {
			return true
		}
	}
	return false
}

// haltSettled reports whether the configuration already holds the halt of the run or a later run of the rollout.
func (c *Controller) haltSettled(run Run) bool {
	for _, r := range c.snapshot.Catalog.RollOuts {
		if r.Model != run.Model {
			continue
		}
		return r.StartedAt > run.StartedAt || (runOf(r) == run && r.State == catalog.RollOutHalted)
	}
	return false
}

// halt halts the run on this VM at once, without waiting for the configuration. Only the configuration lifts a halt.
// It is called when the local detector or another VM reports a bad version. If it fails, the next check or the other
// VM's next datagram calls it again.
func (c *Controller) halt(run Run, reason string) {
	if _, known := c.halts[run]; known || c.haltSettled(run) || len(c.halts) >= maxHalts {
		return
	}
	if err := c.halter.Halt(run.Model, run.Version, run.StartedAt); err != nil {
		c.log.Error(err, "rollout not halted, next check retries", "model", run.Model, "version", run.Version)
		return
	}
	c.halts[run] = reason
	c.log.Info("rollout halted", "model", run.Model, "version", run.Version, "reason", reason)
}

// checkRollouts runs the detector on each rollout that isn't halted and whose version isn't the stable one yet. It
// schedules proposals for due steps and for halts. Run calls it every checkInterval.
func (c *Controller) checkRollouts(now time.Time) {
	maps.DeleteFunc(c.proposeAt, func(_ string, due time.Time) bool { return now.Sub(due) > proposalMaxAge })
	for _, r := range c.snapshot.Catalog.RollOuts {
		run := runOf(r)
		if r.State == catalog.RollOutHalted || r.Version == c.stableVersion(r) {
			continue
		}
		d, reason := c.detectors[run].Update(c.evidence.Sum(run), c.evidence.Sum(c.stableRun(r)))
		c.detectors[run] = d
		if reason != "" {
			c.halt(run, reason)
		}
		if reason, halted := c.halts[run]; halted {
			r.State, r.Reason = catalog.RollOutHalted, reason
			c.scheduleProposal(r, now, maxHaltDelay)
			continue
		}
		if next, ok := AdvanceIfDue(r, now); ok {
			c.scheduleProposal(next, now, maxStepDelay)
		}
	}
}

// scheduleProposal proposes the rollout's new state once this VM's delay has passed, and again every reproposeInterval.
// The delay differs between VMs, so that usually only one of them writes. It is called on every check while r is due.
func (c *Controller) scheduleProposal(r catalog.RollOut, now time.Time, maxDelay time.Duration) {
	id := StepID(r)
	proposeAt, known := c.proposeAt[id]
	if !known {
		c.proposeAt[id] = now.Add(proposalDelay(c.vm, id, maxDelay))
		return
	}
	if now.Before(proposeAt) {
		return
	}
	c.proposeAt[id] = now.Add(reproposeInterval)
	change := catalog.Change{Set: catalog.Configuration{RollOuts: []catalog.RollOut{r}}}
	p := configuration.Submission{ChangeID: id, Author: proposalAuthor, BaseRevision: c.snapshot.Revision, Change: change}
	_ = task.Tell(c.proposals, p) // a full queue: proposed again after reproposeInterval
}

// proposalDelay returns the VM's delay for the change, from 0 up to limit, by hash.
func proposalDelay(vm, id string, limit time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(vm+"\x00"+id) % uint64(limit))
}

// submitProposals submits the queued proposals one by one. It runs as a task of its own,
// since submitting waits for the platform. A refused proposal is only logged; checkRollouts schedules it again while it
// is due.
func (c *Controller) submitProposals(ctx context.Context) error {
	for {
		select {
		case p := <-c.proposals:
			limited, cancel := context.WithTimeout(ctx, proposalTimeout)
			if _, err := c.submitter.Submit(limited, p); err != nil {
				c.log.Info("rollout proposal not accepted", "change_id", p.ChangeID, "error", err.Error())
			}
			cancel()
		case <-ctx.Done():
			return nil
		}
	}
}
