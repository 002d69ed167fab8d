package journal

import (
	"cmp"
	"context"
	"time"

	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	maxRequestIDBytes = 512
	maxWaiters        = 64
	maxOpenAttempts   = 4
	leaveTimeout      = 5 * time.Second
)

// request is one that runs here or whose answer is kept.
type request struct {
	fingerprint uint64
	running     bool
	billed      bool
	answer      *Answer
	// runner is the reply channel of the caller that runs the request, waiters those of the callers that joined.
	runner  chan<- openReply
	waiters []chan<- openReply
}

type keptAnswer struct {
	key    Key
	answer *Answer
	at     time.Time
}

type (
	openMessage struct {
		key         Key
		fingerprint uint64
		// join forbids to run the request: the caller only wants what is here.
		join  bool
		reply chan<- openReply
	}
	openReply struct {
		answer *Answer
		run    bool
		// joined says that the caller had waited for another one.
		joined  bool
		started Entry
		err     error
	}
	finishMessage struct {
		key    Key
		answer *Answer
		err    error
	}
	leaveMessage struct {
		key   Key
		reply chan<- openReply
	}
)

func (m openMessage) handle(_ context.Context, c *Controller) {
	r, ok := c.live[m.key]
	switch {
	case ok && r.fingerprint != m.fingerprint:
		m.reply <- openReply{err: result.Errorf(result.RequestIDReused, "request ID %q", m.key.Request)}
	case ok && r.running && len(r.waiters) >= maxWaiters:
		m.reply <- openReply{err: stillRuns(m.key)}
	case ok && r.running:
		r.waiters = append(r.waiters, m.reply)
	case ok:
		m.reply <- openReply{answer: r.answer}
	case m.join:
		m.reply <- openReply{}
	case c.outstanding >= c.opts.MaxBills:
		m.reply <- openReply{err: result.Errorf(result.BillsFull, "%d requests run or wait for their bill", c.outstanding).WithRetryAfter(outageRetry)}
	default:
		c.outstanding++
		c.live[m.key] = &request{fingerprint: m.fingerprint, running: true, runner: m.reply}
		started := c.entry(EntryStarted, m.key)
		started.Address, started.Fingerprint = c.opts.Address, m.fingerprint
		m.reply <- openReply{run: true, started: started}
	}
}

func stillRuns(k Key) error {
	return result.Errorf(result.OutcomeUnknown, "request %q still runs", k.Request)
}

func (m finishMessage) handle(_ context.Context, c *Controller) { c.finish(m.key, m.answer, m.err) }

// leaveMessage takes back a caller that no longer waits, and what it may have been given meanwhile.
func (m leaveMessage) handle(_ context.Context, c *Controller) {
	r, ok := c.live[m.key]
	if !ok || !r.running {
		return
	}
	if r.runner == m.reply {
		c.finish(m.key, nil, result.Errorf(result.DeadlinePassed, "the first caller left before the send"))
		return
	}
	for i, w := range r.waiters {
		if w == m.reply {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// finish tells those who joined how the request ended and keeps the answer.
func (c *Controller) finish(k Key, a *Answer, err error) {
	r, ok := c.live[k]
	if !ok || !r.running {
		return
	}
	for _, w := range r.waiters {
		w <- openReply{answer: a, joined: true, err: err}
	}
	if !r.billed {
		c.outstanding--
	}
	if a == nil {
		delete(c.live, k)
		return
	}
	r.running, r.answer, r.runner, r.waiters = false, a, nil, nil
	c.kept = append(c.kept, keptAnswer{k, a, time.Now()})
	c.keptBytes += a.bytes()
	c.evict(time.Now())
}

// evict drops the oldest answers beyond the bound or the resend window. Running requests are not among them.
func (c *Controller) evict(now time.Time) {
	for len(c.kept) > 0 && (c.keptBytes > c.opts.KeptBytes || now.Sub(c.kept[0].at) > c.opts.ResendWindow) {
		old := c.kept[0]
		c.kept = c.kept[1:]
		c.keptBytes -= old.answer.bytes()
		delete(c.live, old.key)
	}
}

// Open implements filter.Journal.
func (c *Controller) Open(ctx context.Context, k Key, idempotent bool, fingerprint uint64) (OpenResult, error) {
	if len(k.Request) > maxRequestIDBytes {
		return OpenResult{}, result.Errorf(result.BadRequest, "request ID is longer than %d bytes", maxRequestIDBytes)
	}
	for range maxOpenAttempts {
		until := time.Now().Add(c.opts.ClaimFor)
		r, err := c.ask(ctx, openMessage{key: k, fingerprint: fingerprint})
		if err != nil || r.err != nil || r.answer != nil {
			return OpenResult{Answer: r.answer}, cmp.Or(err, r.err)
		}
		if idempotent {
			return OpenResult{Claim: Claim{Key: k, Until: until}}, nil
		}
		o, again, err := c.claim(ctx, r.started)
		if again {
			continue
		}
		o.Claim.Until = until
		return o, err
	}
	return OpenResult{}, stillRuns(k)
}

// ask opens the request in the controller. A caller whose context ends takes itself back.
func (c *Controller) ask(ctx context.Context, m openMessage) (openReply, error) {
	reply := make(chan openReply, 1)
	m.reply = reply
	if err := task.Tell(c.mailbox, message(m)); err != nil {
		return openReply{}, result.Errorf(result.QueueFull, "journal: %v", err)
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
	}
	cleanup, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	_ = c.send(cleanup, leaveMessage{m.key, reply}) // fails only once the controller has ended
	e := result.Errorf(result.DeadlinePassed, "request %q still runs or waits", m.key.Request)
	e.Run = result.Unknown
	return openReply{}, e
}

// claim records the request in the log, or finds out who did so before. Again asks to open the request anew.
func (c *Controller) claim(ctx context.Context, started Entry) (o OpenResult, again bool, err error) {
	k := started.Key
	outcome, err := c.record(ctx, started)
	if err == nil && outcome.Appended {
		return OpenResult{Claim: Claim{Key: k, ID: started.ID}}, false, nil
	}
	if err == nil && outcome.Holder.ID != "" {
		return c.resolve(ctx, started, outcome)
	}
	err = cmp.Or(err, outcome.err())
	return OpenResult{}, false, cmp.Or(c.Finish(ctx, Claim{Key: k}, nil, err), err)
}

// record appends the started entry. If the caller leaves before it is settled, the claim is taken back.
func (c *Controller) record(ctx context.Context, started Entry) (Outcome, error) {
	in, err := c.inbox(ctx, partitionOf(started.Key))
	if err != nil {
		return Outcome{}, result.Errorf(result.JournalUnavailable, "%v", err)
	}
	o, err := task.Ask(ctx, in.appends, func(reply chan<- Outcome) appendMessage {
		return appendMessage{entry: started, reply: reply}
	})
	if err == nil {
		return o, nil
	}
	_ = task.Tell(in.appends, appendMessage{entry: release(started)}) // otherwise resends are told that the outcome is unknown
	return Outcome{}, result.Errorf(result.JournalUnavailable, "not recorded: %v", err)
}

// resolve asks the VM that holds the claim for the answer.
func (c *Controller) resolve(ctx context.Context, started Entry, o Outcome) (OpenResult, bool, error) {
	k := started.Key
	found := FindResult{}
	if o.Holder.VM != c.opts.VM && o.Holder.Address != "" {
		found, _ = c.peers.FetchAnswer(ctx, o.Holder.Address, k, started.Fingerprint) // unknown if the VM can't be reached
	}
	err := error(result.Errorf(o.Code, "%s", o.Detail))
	if o.Billed {
		err = result.Errorf(result.AnswerGone, "request %q was answered by VM %s", k.Request, o.Holder.VM)
	}
	if found.Answer != nil {
		err = nil
	}
	if finishErr := c.Finish(ctx, Claim{Key: k}, found.Answer, err); finishErr != nil {
		c.log.Error(finishErr, "request stays open", "request_id", k.Request)
	}
	return OpenResult{Answer: found.Answer}, found.NotRun, err
}

// Find waits for the request if it runs here, and returns what is known of it. It is what another VM asks.
// It fails with the context's error if the request still runs when the context ends.
func (c *Controller) Find(ctx context.Context, k Key, fingerprint uint64) (FindResult, error) {
	r, err := c.ask(ctx, openMessage{key: k, fingerprint: fingerprint, join: true})
	if err != nil {
		return FindResult{}, cmp.Or(ctx.Err(), err)
	}
	notRun := r.joined && r.err != nil && result.From(r.err).Run == result.NotRun
	return FindResult{Answer: r.answer, NotRun: notRun}, nil
}

// Finish implements filter.Journal.
func (c *Controller) Finish(ctx context.Context, claim Claim, a *Answer, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	return c.send(ctx, finishMessage{claim.Key, a, err})
}

// Release implements filter.Journal. The release is written later if it can't be now; until then a resend is told
// that the outcome is unknown.
func (c *Controller) Release(ctx context.Context, claim Claim) error {
	if claim.ID == "" {
		return nil
	}
	in, err := c.inbox(ctx, partitionOf(claim.Key))
	if err != nil {
		return err
	}
	e := release(Entry{ID: claim.ID, Key: claim.Key, VM: c.opts.VM, UnixMs: time.Now().UnixMilli()})
	o, err := task.Ask(ctx, in.appends, func(reply chan<- Outcome) appendMessage { return appendMessage{entry: e, reply: reply} })
	return cmp.Or(err, o.err())
}
