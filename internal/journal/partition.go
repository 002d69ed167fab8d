package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"cornelmux/internal/consul"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	// partitionMailboxSize is the maximum number of messages that wait for a partition; Tell fails with ErrFull beyond it.
	partitionMailboxSize = 1024

	// maxBatchEntries and maxBatchBytes bound the entries of one write, by number and by estimated size.
	maxBatchEntries = 1024
	maxBatchBytes   = 256 << 10
	// sealThresholdBytes is the estimated size of the inline entries above which they are sealed.
	sealThresholdBytes = 64 << 10
	// entryOverheadBytes, runOverheadBytes and chunkOverheadBytes are the bytes that an entry, a run or a chunk takes besides
	// its strings; estimates of sizes add them.
	entryOverheadBytes = 160
	runOverheadBytes   = 96
	chunkOverheadBytes = 64

	// maxPendingReleases and MaxBills together bound the backlog to which releases are added.
	maxPendingReleases = 10_000
	// writeAttempts is the maximum number of attempts to write one batch, conflicts included.
	writeAttempts = 8
	// writeBurst is the number of writes that may follow each other at once, before WritesPerSecond limits them.
	writeBurst = 3
	// initialBackoff is the wait before the second attempt; it doubles with each.
	initialBackoff = 2 * time.Millisecond
	// retryInterval is the time between two attempts at the backlog, and between two removals of expired entries.
	retryInterval = 500 * time.Millisecond
	// flushTimeout bounds the last write at shutdown, and Bill.
	flushTimeout = 5 * time.Second
	// batchReaders is the number of sealed batches read at a time.
	batchReaders = 8
)

// Store is the part of the platform's key-value service that the journal uses.
type Store interface {
	// Get reads a key; a missing key has version 0.
	Get(ctx context.Context, key string) (consul.Value, error)
	// CAS writes the key if it still has the version, and reports whether it did. Version 0 creates the key. After
	// consul.ErrOutcomeUnknown the write may or may not have taken effect.
	CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error)
}

// partition is a task that owns this VM's view of one partition and appends entries to its log, one write at a time.
// Entries that arrive meanwhile share the next write.
type partition struct {
	id        partitionID
	opts      Options
	store     Store
	forwarder forwarder
	log       logr.Logger
	// mailbox takes claims, releases and forwarded entries; bills takes bills and has room for all of MaxBills.
	mailbox chan appendMessage
	bills   chan appendMessage
	// controller is the mailbox of the Controller, which is told how many bills were written.
	controller chan<- message
	view       *Log
	// limiter limits this VM's writes to the partition to WritesPerSecond.
	limiter *rate.Limiter
	// backlog holds bills and releases until they are written, also across failed writes.
	backlog []appendMessage
}

// appendMessage asks a partition to append an entry.
type appendMessage struct {
	entry Entry
	// forwarded entries came from another VM. They are not forwarded again and not kept for a later attempt.
	forwarded bool
	// reply gets the outcome; it has room for it. It is nil if nobody waits.
	reply chan<- Outcome
}

// answer sends the outcome to whoever waits for it.
func (m appendMessage) answer(o Outcome) {
	if m.reply != nil {
		m.reply <- o
	}
}

// newPartition makes the task of a partition; the Controller starts it with run.
func newPartition(id partitionID, c *Controller) *partition {
	return &partition{
		id: id, opts: c.opts, store: c.store, log: c.log, controller: c.mailbox,
		forwarder: forwarder{id: id, opts: c.opts, members: c.members, peers: c.peers},
		mailbox:   make(chan appendMessage, partitionMailboxSize), bills: make(chan appendMessage, c.opts.MaxBills),
		view:    NewLog(c.opts.ResendWindow),
		limiter: rate.NewLimiter(rate.Limit(c.opts.WritesPerSecond), writeBurst),
	}
}

// run appends the entries that arrive until ctx ends, and then calls flush. The ticker retries the backlog and removes
// expired entries from the view. The Controller starts it as a task when it first needs the partition.
func (p *partition) run(ctx context.Context) error {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		var batch []appendMessage
		select {
		case m := <-p.mailbox:
			batch = append(batch, m)
		case m := <-p.bills:
			p.backlog = append(p.backlog, m)
		case now := <-retry.C:
			p.view.Expire(now.UnixMilli())
		case <-ctx.Done():
			return p.flush(ctx)
		}
		p.commit(ctx, p.collect(batch))
	}
}

// collect adds the waiting messages to the batch and the backlog without blocking, so that they share one write. run, commit
// and flush call it.
func (p *partition) collect(batch []appendMessage) []appendMessage {
	for len(batch) < maxBatchEntries {
		select {
		case m := <-p.mailbox:
			batch = append(batch, m)
		case m := <-p.bills:
			p.backlog = append(p.backlog, m)
		default:
			return batch
		}
	}
	return batch
}

// flush makes a last attempt to write the backlog at shutdown, without forwarding and within flushTimeout. run calls it when
// ctx has ended. What can't be written is lost and logged.
func (p *partition) flush(ctx context.Context) error {
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	p.forwarder.appendLocally(time.Now(), flushTimeout)
	p.commit(flushCtx, p.collect(nil))
	if len(p.backlog) > 0 {
		p.log.Error(nil, "journal entries lost at shutdown", "partition", p.id.key("head"), "entries", len(p.backlog))
	}
	return ctx.Err()
}

// commit appends the backlog and the batch, through the owner or by writing itself, and answers each message once its
// outcome is known. If a write fails, the batch is refused and the backlog stays for the next call. run calls it for each
// batch and with each tick, and flush once at shutdown.
func (p *partition) commit(ctx context.Context, batch []appendMessage) {
	for len(p.backlog)+len(batch) > 0 {
		rest, done, maybeAppended := p.forward(ctx, batch)
		if done {
			return
		}
		batch = rest
		if err := p.limiter.Wait(ctx); err != nil {
			p.failBatch(batch, nil, maybeAppended, err)
			return
		}
		batch = p.collect(batch)
		n, m := fitWrite(p.backlog, batch)
		selected := p.selectMessages(batch, n, m)
		outcomes, maybeWritten, err := p.append(ctx, entriesOf(selected))
		if err != nil {
			p.failBatch(selected[n:], batch[m:], maybeAppended || maybeWritten, err)
			return
		}
		p.backlog, batch = p.backlog[n:], batch[m:]
		p.answerAll(ctx, selected, outcomes)
	}
}

// forward sends the backlog and the batch to the likely owner for commit, in as many calls as needed. Done reports that
// everything was answered; otherwise rest is what is left of the batch, and maybeAppended reports that some of it may be in
// the log. A batch that holds entries of another VM is not forwarded.
func (p *partition) forward(ctx context.Context, batch []appendMessage) (rest []appendMessage, done, maybeAppended bool) {
	for _, m := range batch {
		if m.forwarded {
			return batch, false, false
		}
	}
	for len(p.backlog)+len(batch) > 0 {
		n, m := fitWrite(p.backlog, batch)
		selected := p.selectMessages(batch, n, m)
		outcomes, maybeAppended := p.forwarder.append(ctx, entriesOf(selected))
		if outcomes == nil {
			return batch, false, maybeAppended
		}
		p.backlog, batch = p.backlog[n:], batch[m:]
		p.answerAll(ctx, selected, outcomes)
	}
	return nil, true, false
}

// selectMessages returns a new slice with the first n messages of the backlog and the first m of the batch.
func (p *partition) selectMessages(batch []appendMessage, n, m int) []appendMessage {
	selected := make([]appendMessage, 0, n+m)
	selected = append(selected, p.backlog[:n]...)
	return append(selected, batch[:m]...)
}

func entriesOf(messages []appendMessage) []Entry {
	entries := make([]Entry, len(messages))
	for i, m := range messages {
		entries[i] = m.entry
	}
	return entries
}

// fitWrite returns how many messages of the backlog and of the batch fit one write; the backlog goes first. At least one
// message always fits, however large. commit and forward call it.
func fitWrite(backlog, batch []appendMessage) (n, m int) {
	size := 0
	fits := func(e Entry) bool {
		size += e.size()
		return n+m == 0 || (size <= maxBatchBytes && n+m < maxBatchEntries)
	}
	for n < len(backlog) && fits(backlog[n].entry) {
		n++
	}
	for n == len(backlog) && m < len(batch) && fits(batch[m].entry) {
		m++
	}
	return n, m
}

// answerAll answers the messages of a write or a forward with their outcomes and tells the Controller how many of this VM's
// bills were written. commit and forward call it.
func (p *partition) answerAll(ctx context.Context, messages []appendMessage, outcomes []Outcome) {
	bills := 0
	for i, m := range messages {
		m.answer(outcomes[i])
		if m.entry.Kind == EntryBilled && !m.forwarded {
			bills++
		}
	}
	if bills == 0 {
		return
	}
	_ = task.TellUntil(ctx, p.controller, message(billedMessage{bills})) // fails only at shutdown, when nobody counts any more
}

// failBatch refuses the messages of a batch for commit after a failed write: attempted are those that the write held, rest
// the others. Releases go to the backlog. A claim that may have been recorded gets a release in the backlog, so that it
// doesn't block resends.
func (p *partition) failBatch(attempted, rest []appendMessage, maybeAppended bool, err error) {
	o := Outcome{Code: result.JournalUnavailable, Detail: err.Error(), Failed: true}
	for _, m := range attempted {
		if m.entry.Kind == EntryStarted && maybeAppended && !m.forwarded {
			p.keepRelease(newRelease(m.entry))
		}
	}
	for _, m := range append(attempted, rest...) {
		m.answer(o)
		if m.entry.Kind == EntryReleased && !m.forwarded {
			p.keepRelease(m.entry)
		}
	}
	p.log.Info("write to journal partition failed", "partition", p.id.key("head"), "backlog", len(p.backlog), "cause", err.Error())
}

// keepRelease puts a release into the backlog for failBatch, or drops it if the backlog is full. After a dropped release,
// resends are told that the outcome is unknown, which is safe.
func (p *partition) keepRelease(e Entry) {
	if len(p.backlog) < p.opts.MaxBills+maxPendingReleases {
		p.backlog = append(p.backlog, appendMessage{entry: e})
	}
}

// newRelease makes the entry that takes the claim of a started entry back. It keeps the time of the claim.
func newRelease(started Entry) Entry {
	return Entry{
		ID: releaseID(started.ID), Kind: EntryReleased, Key: started.Key, Claim: started.ID, VM: started.VM, UnixMs: started.UnixMs,
	}
}

// append adds the entries to the log by compare-and-swap and returns their outcomes. Conflicts, stale heads and writes of
// unknown outcome are retried with backoff; the retry reads the log again and so finds entries that were written after all.
// If it fails, maybeWritten reports that the entries may be in the log. commit calls it.
func (p *partition) append(ctx context.Context, entries []Entry) (outcomes []Outcome, maybeWritten bool, err error) {
	backoff := initialBackoff
	for range writeAttempts {
		outcomes, done, sent, err := p.attempt(ctx, entries)
		maybeWritten = maybeWritten || sent
		if done || (err != nil && !retryable(err)) {
			return outcomes, maybeWritten, err
		}
		if !task.Sleep(ctx, backoff) {
			return nil, maybeWritten, ctx.Err()
		}
		if err := p.limiter.Wait(ctx); err != nil {
			return nil, maybeWritten, err
		}
		backoff *= 2
	}
	return nil, maybeWritten, fmt.Errorf("append to journal partition: too many conflicting writes or lost answers")
}

// retryable reports whether reading the log again and writing once more can succeed.
func retryable(err error) bool {
	return errors.Is(err, ErrStale) || errors.Is(err, consul.ErrOutcomeUnknown)
}

// attempt reads the log, decides on the entries and writes the head once. Done reports that the outcomes are final; it is
// false without an error if another VM wrote the head in between. Sent reports that the write may have taken effect. append
// calls it.
func (p *partition) attempt(ctx context.Context, entries []Entry) (outcomes []Outcome, done, sent bool, err error) {
	version, err := p.refresh(ctx)
	if err != nil {
		return nil, false, false, err
	}
	now := time.Now().UnixMilli()
	p.view.Expire(now)
	outcomes, add := p.view.Decide(entries, now)
	if len(add) == 0 {
		return outcomes, true, false, nil
	}
	head, sealed, err := p.seal(ctx, p.view.WithAppended(add))
	if err != nil {
		return nil, false, false, err
	}
	done, err = writeHead(ctx, p.store, p.id, head, version)
	if !done || err != nil {
		return nil, false, errors.Is(err, consul.ErrOutcomeUnknown), err
	}
	return outcomes, true, true, p.view.ApplyWrite(head, sealed)
}

// refresh updates the view from the platform and returns the version of the head key. attempt calls it before each write.
func (p *partition) refresh(ctx context.Context) (uint64, error) {
	head, version, err := readHead(ctx, p.store, p.id)
	if err != nil {
		return 0, err
	}
	from, to := p.view.MissingBatches(head)
	batches, err := readBatches(ctx, p.store, p.id, from, to)
	if err != nil {
		return 0, err
	}
	return version, p.view.Apply(head, batches)
}

// seal moves the inline entries to a key of their own if they are many; attempt calls it before it writes the head. It
// returns h without them and the sealed batch, or h and nil if nothing was sealed. If another VM created the key before, or
// the write's outcome is unknown, what the key holds counts.
func (p *partition) seal(ctx context.Context, h Head) (Head, *Batch, error) {
	if !p.view.NeedsSeal() {
		return h, nil, nil
	}
	data, err := json.Marshal(p.view.InlineBatch())
	if err != nil {
		return h, nil, err
	}
	if err := p.limiter.Wait(ctx); err != nil {
		return h, nil, err
	}
	created, err := p.store.CAS(ctx, p.id.sealedKey(h.Sequence), data, 0)
	batch := p.view.InlineBatch()
	if !created || err != nil {
		if batch, err = readBatch(ctx, p.store, p.id, h.Sequence); err != nil {
			return h, nil, err
		}
	}
	trimmed, err := p.view.WithoutSealed(h, batch)
	return trimmed, &batch, err
}

// partitionID identifies a partition: a region and a number below partitions.
type partitionID struct {
	region string
	number int
}

// key returns the platform key with the name below the partition's prefix.
func (id partitionID) key(name string) string {
	return "cornelmux/journal/" + id.region + "/" + strconv.Itoa(id.number) + "/" + name
}

// sealedKey returns the platform key of a sealed batch.
func (id partitionID) sealedKey(sequence uint64) string {
	return id.key(strconv.FormatUint(sequence, 10))
}
