package quarantine

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails beyond it.
	mailboxSize = 4096
	// sweepInterval is how often old crashes are removed.
	sweepInterval = time.Minute
	// announceTime is how long a crash seen by this VM is sent to peers, which pass it on.
	announceTime = 10 * time.Second
	// maxAnnouncements is the maximum number of crashes that are announced at the same time, maxReportsPerState that of
	// those in one gossiped state.
	maxAnnouncements   = 128
	maxReportsPerState = 8
	// holdBackRetryAfter is the Retry-After of a request that isn't sent again because it may crash endpoints.
	holdBackRetryAfter = time.Second
)

// Controller owns the records of crashes and what is known of prompt blocks. It tells its peers what it learned.
type Controller struct {
	mailbox chan message
	log     logr.Logger
	watch   *task.Stopwatch
	records Records
	blocks  *Blocks
	// announcements are told in turn.
	announcements []announcement
}

// announcement is a crash that is sent to peers until the given time.
type announcement struct {
	report peer.CrashReport
	until  time.Time
}

// New makes a Controller; Run starts it. A nil meter records nothing.
func New(meter task.Meter, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), log: log, watch: task.NewStopwatch("quarantine", meter, log), records: Records{}, blocks: NewBlocks(),
	}
}

// message is handled by the goroutine of Run, which owns the state.
type message interface{ handle(*Controller) }

type (
	checkMessage struct {
		query Query
		reply task.Reply[refusal]
	}
	crashMessage struct {
		fingerprints endpoint.Fingerprints
		endpoint     string
	}
	lostMessage struct {
		run      Run
		progress Progress
	}
	survivedMessage struct{ run Run }
	receiveMessage  struct{ state peer.State }
	collectMessage  struct{ reply task.Reply[peer.State] }
)

// Size implements task.Sized: the blocks of a prompt, or the reports of a state.
func (m checkMessage) Size() int { return len(m.query.Blocks) }

// Size implements task.Sized.
func (m lostMessage) Size() int { return len(m.run.Blocks) }

// Size implements task.Sized.
func (m survivedMessage) Size() int { return len(m.run.Blocks) }

// Size implements task.Sized.
func (m receiveMessage) Size() int {
	return len(m.state.Crashes) + len(m.state.LostRuns) + len(m.state.Clearances) + len(m.state.BlockQuarantines)
}

// Query describes a request that is about to be sent.
type Query struct {
	Fingerprints endpoint.Fingerprints
	// Blocks are the IDs of the prompt blocks that other requests may share.
	Blocks []uint64
	// Resend says that the request was sent before.
	Resend bool
}

// refusal says why a request isn't sent; empty if it may be.
type refusal struct {
	why       string
	remaining time.Duration
}

// Run handles messages and removes old crashes until ctx ends. The VM runs it as a task.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			started := time.Now()
			m.handle(c)
			c.watch.Handled(started, m)
		case now := <-ticker.C:
			started := time.Now()
			c.records.Sweep(now)
			c.blocks.Sweep(now)
			c.watch.Ticked(started)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Check implements filter.Quarantines. It returns an error, and the request isn't sent, if the request or a block of its
// prompt is in quarantine, or the Controller doesn't reply. Filter Quarantine calls it for each request, and filter Forward
// before each further send.
func (c *Controller) Check(ctx context.Context, q Query) error {
	r, err := task.AskOrLeave(ctx, nil, c.mailbox, func(reply task.Reply[refusal]) message { return checkMessage{q, reply} })
	if err != nil && ctx.Err() != nil {
		return result.Errorf(result.DeadlinePassed, "check quarantine: %v", err)
	}
	if err != nil {
		return result.Errorf(result.QueueFull, "check quarantine: %v", err).WithRetryAfter(time.Second)
	}
	if r.why != "" {
		return result.Errorf(result.RequestQuarantined, "%s", r.why).WithRetryAfter(r.remaining)
	}
	return nil
}

// Lost implements filter.Quarantines: it notes that a run of this VM was lost at the start of its answer. If the mailbox is full, it
// fails and the run isn't noted.
func (c *Controller) Lost(_ context.Context, r Run, p Progress) error {
	return task.Tell(c.mailbox, message(lostMessage{r, p}))
}

// Survived implements filter.Quarantines: it notes that the endpoint outlived the start of a run of this VM. If the mailbox is full,
// it fails and the run isn't noted.
func (c *Controller) Survived(_ context.Context, r Run) error {
	return task.Tell(c.mailbox, message(survivedMessage{r}))
}

// Crashed implements endpoint.Crashes and pool.Crashes: it counts a crash that this VM saw. If the mailbox is full, it
// fails and the crash isn't counted.
func (c *Controller) Crashed(_ context.Context, f endpoint.Fingerprints, endpoint string) error {
	return task.Tell(c.mailbox, message(crashMessage{f, endpoint}))
}

// Collect implements peer.Section. It adds what is announced to the state.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	part, err := task.AskOrLeave(ctx, nil, c.mailbox, func(reply task.Reply[peer.State]) message { return collectMessage{reply} })
	s.Crashes = append(s.Crashes, part.Crashes...)
	s.LostRuns = append(s.LostRuns, part.LostRuns...)
	s.Clearances = append(s.Clearances, part.Clearances...)
	s.BlockQuarantines = append(s.BlockQuarantines, part.BlockQuarantines...)
	return err
}

// Receive implements peer.Section. It applies what a peer's state says of crashes and of prompt blocks, and notes whether the
// peer has just started.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	return task.Tell(c.mailbox, message(receiveMessage{s}))
}

// handle answers whether the request may be sent.
func (m checkMessage) handle(c *Controller) {
	if m.reply.Wanted() {
		m.reply.Send(m.refusal(c))
	}
}

// refusal returns why the request may not be sent, if it may not.
func (m checkMessage) refusal(c *Controller) refusal {
	now := time.Now()
	c.applyChanges(c.blocks.DecideSoon(now), now)
	block, remaining := c.blocks.Quarantined(m.query.Blocks, now)
	requestRemaining := c.records.Remaining(m.query.Fingerprints, now)
	switch {
	case remaining > 0:
		return refusal{"prompt block " + blockName(block) + " crashed endpoints", remaining}
	case requestRemaining > 0:
		return refusal{"request crashed endpoints while they ran it", requestRemaining}
	case m.query.Resend && c.blocks.HoldsBack(m.query.Fingerprints.Path, m.query.Blocks):
		return refusal{"request was lost at the start of its answer, and may have crashed the endpoint", holdBackRetryAfter}
	default:
		return refusal{}
	}
}

// handle logs the run, since such runs are what quarantines of blocks rest on.
func (m lostMessage) handle(c *Controller) {
	now := time.Now()
	c.log.Info("run lost at the start of its answer", "fingerprint", m.run.Fingerprints.Whole(), "endpoint", m.run.Endpoint, "blocks", BlockNames(m.run.Blocks),
		"answer", m.progress.String())
	c.applyChanges(c.blocks.AddLostRun(LostRun{m.run.Fingerprints.Path, m.run.endpointHash(), m.run.Blocks, now}, now), now)
}

func (m survivedMessage) handle(c *Controller) {
	for _, key := range m.run.Fingerprints.All() {
		c.blocks.AddRequestSurvival(key, m.run.SentAt)
	}
	if c.records.Refute(m.run.Fingerprints, m.run.SentAt, time.Now()) {
		c.log.Info("request released", "fingerprint", m.run.Fingerprints.Target, "why", "a run of it survived its start")
	}
	c.applyChanges(c.blocks.AddSurvival(m.run.Blocks, m.run.endpointHash(), m.run.SentAt), time.Now())
}

// applyChanges logs the changes. It removes the crashes of requests of which another cause is known now. It is called after
// each change of c.blocks.
func (c *Controller) applyChanges(changes []Change, now time.Time) {
	for _, ch := range changes {
		if !ch.Began {
			c.log.Info("prompt block released", "block", blockName(ch.Block), "why", ch.Why)
			continue
		}
		e := ch.Evidence
		c.log.Info("prompt block quarantined", "block", blockName(ch.Block), "companions", BlockNames(e.Companions), "why", ch.Why, "requests", e.Requests, "endpoints", e.Endpoints,
			"occasions", e.Occasions, "first_ms", sinceMillis(e.First, now), "last_ms", sinceMillis(e.Last, now),
			"cleared_ms", sinceMillis(e.ClearedAt, now), "seconds", Duration.Seconds())
	}
	if !c.blocks.TakeExplainsMore() {
		return
	}
	explanations := c.blocks.Explanations(now)
	released := c.records.Forgive(func(fingerprint uint64, endpoint string) bool {
		return explanations[hashEndpoint(endpoint)].Explains(fingerprint)
	})
	for _, fingerprint := range released {
		c.log.Info("request released", "fingerprint", fingerprint, "why", "its crashes have another cause")
	}
}

// sinceMillis returns the time since at, in milliseconds; -1 if at is zero.
func sinceMillis(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// blockName returns the ID of a prompt block as callers write it.
func blockName(block uint64) string { return strconv.FormatUint(block, 16) }

// BlockNames returns the IDs of prompt blocks as callers write them, for logs.
func BlockNames(blocks []uint64) []string {
	out := make([]string, len(blocks))
	for i, b := range blocks {
		out[i] = blockName(b)
	}
	return out
}

func (m crashMessage) handle(c *Controller) {
	now := time.Now()
	r := peer.CrashReport{Fingerprint: m.fingerprints.Path, Target: m.fingerprints.Target, Parameters: m.fingerprints.Parameters, Endpoint: m.endpoint}
	c.addCrashes([]peer.CrashReport{r}, now)
	if len(c.announcements) < maxAnnouncements {
		c.announcements = append(c.announcements, announcement{r, now.Add(announceTime)})
	}
}

func (m receiveMessage) handle(c *Controller) {
	now := time.Now()
	c.applyChanges(c.blocks.Receive(m.state, now), now)
	for _, cl := range m.state.Clearances {
		c.records.RefuteKey(cl.Key, now.Add(-m.state.Delay-cl.Age))
	}
	c.addCrashes(m.state.Crashes, now)
}

// addCrashes adds crashes that this VM or a peer saw, except those of which another cause is known or that a run refutes, and logs the
// requests that they quarantine.
func (c *Controller) addCrashes(list []peer.CrashReport, now time.Time) {
	if len(list) == 0 {
		return
	}
	explanations := c.blocks.Explanations(now)
	for _, r := range list {
		f := endpoint.Fingerprints{Path: r.Fingerprint, Target: r.Target, Parameters: r.Parameters}
		if explanations[hashEndpoint(r.Endpoint)].Explains(f.Path) || c.blocks.RequestSurvivedSince(f.Whole(), now.Add(-proofTime)) {
			continue
		}
		for _, key := range f.All() {
			c.blocks.NoteCrash(key, now)
		}
		before := c.records.Remaining(f, now)
		if c.records.AddCrash(r, c.blocks, now) && before == 0 && c.records.Remaining(f, now) > 0 {
			c.log.Info("request quarantined", "fingerprint", f.Target, "path", f.Path, "endpoint", r.Endpoint, "seconds", Duration.Seconds())
		}
	}
}

// handle drops the expired announcements and answers with the next of the others and what is known of blocks. Collect sends
// the message for each gossiped state. What it tells counts as told, so that a state that isn't sent any more must not take it.
func (m collectMessage) handle(c *Controller) {
	if !m.reply.Wanted() {
		return
	}
	now := time.Now()
	c.applyChanges(c.blocks.Decide(now), now)
	c.announcements = slices.DeleteFunc(c.announcements, func(a announcement) bool { return !now.Before(a.until) })
	n := min(len(c.announcements), maxReportsPerState)
	var s peer.State
	for _, a := range c.announcements[:n] {
		s.Crashes = append(s.Crashes, a.report)
	}
	c.announcements = append(slices.Clone(c.announcements[n:]), c.announcements[:n]...)
	c.blocks.Collect(&s, now)
	m.reply.Send(s)
}
