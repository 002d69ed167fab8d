package journal

import (
	"cmp"
	"context"
	"time"

	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	// maxRequestIDBytes is the maximum length of a request ID.
	maxRequestIDBytes = 512
	// maxWaiters bounds the callers that wait for one running request.
	maxWaiters = 64
	// maxOpenAttempts is how often one Open asks for the request, at first and each time that it ended at another VM without
	// being sent.
	maxOpenAttempts = 4
	// cleanupTimeout bounds Finish and cancel messages, which are sent even if the caller's context has ended.
	cleanupTimeout = 5 * time.Second
)

// request is a request that runs here or whose answer is kept.
type request struct {
	fingerprint Fingerprint
	running     bool
	// billed reports that the bill was passed on, which then counts in outstanding in the request's place.
	billed bool
	// answer is the kept answer, or nil while the request runs.
	answer *Answer
	// runner is the reply channel of the caller that runs the request, waiters are those of the callers that joined. Both are
	// nil once the request has ended.
	runner  chan<- openReply
	waiters []chan<- openReply
}

// keptAnswer is an answer in the order of eviction.
type keptAnswer struct {
	key    Key
	answer *Answer
	keptAt time.Time
}

type (
	// openMessage asks for the kept answer of a request, joins it if it runs here, or else starts it.
	openMessage struct {
		key         Key
		fingerprint Fingerprint
		// joinOnly prevents that the request is started if it is unknown.
		joinOnly bool
		reply    chan<- openReply
	}
	// openReply answers openMessage with an answer, an error, or the permission to run the request.
	openReply struct {
		answer *Answer
		// mayRun reports that the caller has to run the request; started is the entry that records its claim.
		mayRun bool
		// joined reports that the caller waited for another caller's run.
		joined  bool
		started Entry
		err     error
	}
	// finishMessage reports how a request that ran here ended.
	finishMessage struct {
		key    Key
		answer *Answer
		err    error
	}
	// cancelMessage takes back an openMessage whose caller no longer waits. Reply identifies the caller.
	cancelMessage struct {
		key   Key
		reply chan<- openReply
	}
)

// handle replies at once, unless the request runs here: then the caller joins and finish replies. openLocal sends the
// message.
func (m openMessage) handle(_ context.Context, c *Controller) {
	r, ok := c.requests[m.key]
	switch {
	case ok && !r.fingerprint.matches(m.fingerprint):
		m.reply <- openReply{err: result.Errorf(result.RequestIDReused, "request ID %q", m.key.Request)}
	case ok && r.running && len(r.waiters) >= maxWaiters:
		m.reply <- openReply{err: stillRunningError(m.key)}
	case ok && r.running:
		r.waiters = append(r.waiters, m.reply)
	case ok:
		m.reply <- openReply{answer: r.answer}
	case m.joinOnly:
		m.reply <- openReply{}
	case c.outstanding >= c.opts.MaxBills:
		m.reply <- openReply{err: result.Errorf(result.BillsFull, "%d requests run or wait for their bill", c.outstanding).WithRetryAfter(outageRetry)}
	default:
		c.outstanding++
		c.requests[m.key] = &request{fingerprint: m.fingerprint, running: true, runner: m.reply}
		started := c.newEntry(EntryStarted, m.key)
		started.Address, started.Fingerprint = c.opts.Address, m.fingerprint
		m.reply <- openReply{mayRun: true, started: started}
	}
}

func stillRunningError(k Key) error {
	return result.Errorf(result.OutcomeUnknown, "request %q still runs", k.Request)
}

func (m finishMessage) handle(_ context.Context, c *Controller) { c.finish(m.key, m.answer, m.err) }

// handle removes the caller from the waiters. If it had been told to run the request, the request ends with an error.
// openLocal sends the message when its context ends before the reply.
func (m cancelMessage) handle(_ context.Context, c *Controller) {
	r, ok := c.requests[m.key]
	if !ok || !r.running {
		return
	}
	if r.runner == m.reply {
		c.finish(m.key, nil, result.Errorf(result.DeadlinePassed, "the caller that was to run the request left before the send"))
		return
	}
	for i, waiter := range r.waiters {
		if waiter == m.reply {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// finish ends a running request, for finishMessage and cancelMessage: it tells the callers that joined how the request
// ended, and keeps the answer or, without one, forgets the request.
func (c *Controller) finish(k Key, a *Answer, err error) {
	r, ok := c.requests[k]
	if !ok || !r.running {
		return
	}
	for _, waiter := range r.waiters {
		waiter <- openReply{answer: a, joined: true, err: err}
	}
	if !r.billed {
		c.outstanding--
	}
	if a == nil {
		delete(c.requests, k)
		return
	}
	r.running, r.answer, r.runner, r.waiters = false, a, nil, nil
	c.keptAnswers = append(c.keptAnswers, keptAnswer{k, a, time.Now()})
	c.keptBytes += a.size()
	c.evict(time.Now())
}

// evict removes the oldest kept answers while they exceed KeptBytes, and those older than the resend window. Running
// requests aren't affected. It is called after each kept answer and every sweepInterval.
func (c *Controller) evict(now time.Time) {
	for len(c.keptAnswers) > 0 && (c.keptBytes > c.opts.KeptBytes || now.Sub(c.keptAnswers[0].keptAt) > c.opts.ResendWindow) {
		oldest := c.keptAnswers[0]
		c.keptAnswers = c.keptAnswers[1:]
		c.keptBytes -= oldest.answer.size()
		delete(c.requests, oldest.key)
	}
}

// Open implements filter.Journal. It returns the kept answer of a request, here or at the VM that holds its claim, or a
// claim to run it. It waits while the request runs here or there. The claim of a non-idempotent request is recorded in the
// log first. Its duration counts from before it is recorded, so that a slow platform doesn't extend it. The
// Deduplicate filter calls Open for each request.
func (c *Controller) Open(ctx context.Context, k Key, idempotent bool, f Fingerprint) (OpenResult, error) {
	if len(k.Request) > maxRequestIDBytes {
		return OpenResult{}, result.Errorf(result.BadRequest, "request ID is longer than %d bytes", maxRequestIDBytes)
	}
	for range maxOpenAttempts {
		until := time.Now().Add(c.opts.ClaimFor)
		r, err := c.openLocal(ctx, openMessage{key: k, fingerprint: f})
		if err != nil || r.err != nil || r.answer != nil {
			return OpenResult{Answer: r.answer}, cmp.Or(err, r.err)
		}
		if idempotent {
			return OpenResult{Claim: Claim{Key: k, Until: until}}, nil
		}
		o, retry, err := c.claim(ctx, r.started)
		if retry {
			continue
		}
		o.Claim.Until = until
		return o, err
	}
	return OpenResult{}, stillRunningError(k)
}

// openLocal sends an openMessage to the Controller's task and waits for the reply. If ctx ends first, it takes the message
// back with a cancelMessage. Open and Find call it.
func (c *Controller) openLocal(ctx context.Context, m openMessage) (openReply, error) {
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
	cleanupCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	_ = c.send(cleanupCtx, cancelMessage{m.key, reply}) // fails only once the controller has ended
	e := result.Errorf(result.DeadlinePassed, "request %q still runs or waits", m.key.Request)
	e.Run = result.Unknown
	return openReply{}, e
}

// claim records a claim for the request in the log; Open sets its Until. If the log holds one already, it asks the VM that
// made it for the answer, unless that is this VM. On any other failure it ends the request here. If retry is true, the
// request ended at that VM without being sent, so that Open starts over. Open calls it for non-idempotent requests.
func (c *Controller) claim(ctx context.Context, started Entry) (o OpenResult, retry bool, err error) {
	k := started.Key
	outcome, err := c.appendStarted(ctx, started)
	if err == nil && outcome.Appended {
		return OpenResult{Claim: Claim{Key: k, ID: started.ID}}, false, nil
	}
	if err == nil && outcome.Holder.ID != "" {
		return c.askHolder(ctx, started, outcome)
	}
	err = cmp.Or(err, outcome.err())
	return OpenResult{}, false, cmp.Or(c.Finish(ctx, Claim{Key: k}, nil, err), err)
}

// appendStarted appends the started entry and waits for its outcome. If ctx ends first, it appends a release, as the claim
// may be recorded later. claim calls it.
func (c *Controller) appendStarted(ctx context.Context, started Entry) (Outcome, error) {
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
	_ = task.Tell(in.appends, appendMessage{entry: newRelease(started)}) // if it fails, resends are told that the outcome is unknown
	return Outcome{}, result.Errorf(result.JournalUnavailable, "claim not recorded: %v", err)
}

// askHolder asks the VM that holds the claim for the answer, and finishes the request here with what that VM knows. The
// second result is true if the request ended there without being sent, so that Open may start over. claim calls it.
func (c *Controller) askHolder(ctx context.Context, started Entry, o Outcome) (OpenResult, bool, error) {
	k := started.Key
	found := FindResult{}
	if o.Holder.VM != c.opts.VM && o.Holder.Address != "" {
		found, _ = c.peers.FetchAnswer(ctx, o.Holder.Address, k, started.Fingerprint) // if the VM is unreachable, the result stays unknown
	}
	err := error(result.Errorf(o.Code, "%s", o.Detail))
	if o.Billed {
		err = result.Errorf(result.AnswerGone, "request %q was answered by VM %s", k.Request, o.Holder.VM)
	}
	if found.Answer != nil {
		err = nil
	}
	if finishErr := c.Finish(ctx, Claim{Key: k}, found.Answer, err); finishErr != nil {
		c.log.Error(finishErr, "failed to finish request", "request_id", k.Request)
	}
	return OpenResult{Answer: found.Answer}, found.NotRun, err
}

// Find returns what this VM knows about a request, and waits if it runs here. It fails with the context's error if the
// request still runs when the context ends. The service for other entry VMs calls it.
func (c *Controller) Find(ctx context.Context, k Key, f Fingerprint) (FindResult, error) {
	r, err := c.openLocal(ctx, openMessage{key: k, fingerprint: f, joinOnly: true})
	if err != nil {
		return FindResult{}, cmp.Or(ctx.Err(), err)
	}
	notRun := r.joined && r.err != nil && result.From(r.err).Run == result.NotRun
	return FindResult{Answer: r.answer, NotRun: notRun}, nil
}

// Finish implements filter.Journal. It reports the end of a request that Open started here: a is its answer, or nil if err
// says why there is none. Of the claim it uses only the key, and it writes nothing to the log. It works even if ctx has
// ended. The Deduplicate filter calls it when the rest of the chain has returned.
func (c *Controller) Finish(ctx context.Context, claim Claim, a *Answer, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	return c.send(ctx, finishMessage{claim.Key, a, err})
}

// Release implements filter.Journal. It takes back a recorded claim whose request was not sent. If the write fails, it is
// retried later; until then, or for good if the partition's mailbox is full, a resend is told that the outcome is unknown.
// The Deduplicate filter calls it before Finish.
func (c *Controller) Release(ctx context.Context, claim Claim) error {
	if claim.ID == "" {
		return nil
	}
	in, err := c.inbox(ctx, partitionOf(claim.Key))
	if err != nil {
		return err
	}
	e := newRelease(Entry{ID: claim.ID, Key: claim.Key, VM: c.opts.VM, UnixMs: time.Now().UnixMilli()})
	o, err := task.Ask(ctx, in.appends, func(reply chan<- Outcome) appendMessage { return appendMessage{entry: e, reply: reply} })
	return cmp.Or(err, o.err())
}
