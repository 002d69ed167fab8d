package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"cornelmux/internal/platform"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	mailboxSize    = 4096
	partitions     = 16
	appendAttempts = 16
	maxKept        = 10_000
)

// Store is the part of the platform that holds the journal.
type Store interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error)
}

// Options are the journal's settings.
type Options struct {
	VM          string
	Incarnation uint64
	// ClaimFor is how long a claim may be used.
	ClaimFor time.Duration
}

// Controller owns the requests that this VM runs and the answers that it keeps.
type Controller struct {
	mailbox chan message
	store   Store
	log     logr.Logger
	opts    Options
	live    map[Key]*live
	order   []Key
	entries uint64
}

type live struct {
	fingerprint uint64
	running     bool
	answer      *Answer
	waiters     []chan<- openReply
}

// New makes a Controller; Run starts it.
func New(store Store, opts Options, log logr.Logger) *Controller {
	return &Controller{mailbox: make(chan message, mailboxSize), store: store, log: log, opts: opts, live: map[Key]*live{}}
}

type message interface{ handle(*Controller) }

type (
	openMessage struct {
		key         Key
		fingerprint uint64
		reply       chan<- openReply
	}
	openReply struct {
		answer *Answer
		run    bool
		id     string
		err    error
	}
	finishMessage struct {
		key    Key
		answer *Answer
	}
)

// Run owns the state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m openMessage) handle(c *Controller) {
	l, ok := c.live[m.key]
	switch {
	case ok && l.fingerprint != m.fingerprint:
		m.reply <- openReply{err: result.Errorf(result.RequestIDReused, "request ID %q", m.key.Request)}
	case ok && l.running:
		l.waiters = append(l.waiters, m.reply)
	case ok && l.answer != nil:
		m.reply <- openReply{answer: l.answer}
	default:
		c.live[m.key] = &live{fingerprint: m.fingerprint, running: true}
		c.order = append(c.order, m.key)
		c.evict()
		c.entries++
		m.reply <- openReply{run: true, id: fmt.Sprintf("%s-%d-%d", c.opts.VM, c.opts.Incarnation, c.entries)}
	}
}

func (m finishMessage) handle(c *Controller) {
	l, ok := c.live[m.key]
	if !ok {
		return
	}
	l.running, l.answer = false, m.answer
	for _, w := range l.waiters {
		if m.answer != nil {
			w <- openReply{answer: m.answer}
			continue
		}
		w <- openReply{err: result.Errorf(result.OutcomeUnknown, "the first send of request %q had no answer", m.key.Request)}
	}
	l.waiters = nil
	if m.answer == nil {
		delete(c.live, m.key)
	}
}

func (c *Controller) evict() {
	for len(c.order) > maxKept {
		oldest := c.order[0]
		if l, ok := c.live[oldest]; ok && l.running {
			return
		}
		c.order = c.order[1:]
		delete(c.live, oldest)
	}
}

// Open implements filter.Journal.
func (c *Controller) Open(ctx context.Context, k Key, idempotent bool, fingerprint uint64) (Opening, error) {
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- openReply) message { return openMessage{k, fingerprint, reply} })
	if err != nil {
		return Opening{}, result.Errorf(result.QueueFull, "journal: %v", err)
	}
	if r.err != nil || r.answer != nil {
		return Opening{Answer: r.answer}, r.err
	}
	claim := Claim{Key: k, Until: time.Now().Add(c.opts.ClaimFor)}
	if idempotent {
		return Opening{Claim: claim}, nil
	}
	e := Entry{ID: r.id, Kind: EntryStarted, Key: k, VM: c.opts.VM, Fingerprint: fingerprint, UnixMs: time.Now().UnixMilli()}
	if err := c.append(ctx, e); err != nil {
		_ = c.Finish(ctx, k, nil) // a full mailbox leaves the entry to be evicted
		return Opening{}, err
	}
	return Opening{Claim: claim}, nil
}

// Finish implements filter.Journal.
func (c *Controller) Finish(_ context.Context, k Key, a *Answer) error {
	return task.Tell(c.mailbox, message(finishMessage{k, a}))
}

// Release implements filter.Journal.
func (c *Controller) Release(ctx context.Context, claim Claim) error {
	e := Entry{ID: "release/" + claim.Key.Request, Kind: EntryReleased, Key: claim.Key, VM: c.opts.VM, UnixMs: time.Now().UnixMilli()}
	if err := c.append(ctx, e); err != nil {
		return err
	}
	return c.Finish(ctx, claim.Key, nil)
}

// Bill implements filter.Journal.
func (c *Controller) Bill(ctx context.Context, b Bill) error {
	e := Entry{ID: "bill/" + b.Key.Request, Kind: EntryBilled, Key: b.Key, VM: c.opts.VM, UnixMs: time.Now().UnixMilli(), Runs: b.Runs}
	return c.append(ctx, e)
}

// Partition returns the partition that holds the key's entries.
func Partition(k Key) int {
	return int(xxhash.Sum64String(k.Account+"\x00"+k.Request) % partitions)
}

func partitionKey(n int) string { return "cornelmux/journal/" + strconv.Itoa(n) }

// append adds the entry to its partition's log unless the log rules it out.
func (c *Controller) append(ctx context.Context, e Entry) error {
	key := partitionKey(Partition(e.Key))
	for range appendAttempts {
		v, err := c.store.Get(ctx, key)
		if err != nil {
			return result.Errorf(result.JournalUnavailable, "%v", err)
		}
		var entries []Entry
		if v.Version != 0 {
			if err := json.Unmarshal(v.Data, &entries); err != nil {
				return result.Errorf(result.Internal, "journal %s: %v", key, err)
			}
		}
		appended, err := Admit(entries, e)
		if err != nil || appended {
			return err
		}
		data, err := json.Marshal(append(entries, e))
		if err != nil {
			return result.Errorf(result.Internal, "journal %s: %v", key, err)
		}
		done, err := c.store.CAS(ctx, key, data, v.Version)
		if err != nil && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return result.Errorf(result.JournalUnavailable, "%v", err)
		}
		if done {
			return nil
		}
	}
	return result.Errorf(result.JournalUnavailable, "partition %s is contended", key)
}

// Admit decides whether e may follow the entries of its log. It reports true if e itself already stands there.
func Admit(entries []Entry, e Entry) (appended bool, err error) {
	started := false
	for _, old := range entries {
		if old.Key != e.Key {
			continue
		}
		if old.ID == e.ID && old.Kind == e.Kind {
			return true, nil
		}
		switch old.Kind {
		case EntryStarted:
			started = true
			if e.Kind == EntryStarted && old.Fingerprint != e.Fingerprint {
				err = result.Errorf(result.RequestIDReused, "request ID %q", e.Key.Request)
			}
		case EntryReleased:
			started, err = false, nil
		case EntryBilled:
		}
	}
	if e.Kind == EntryStarted && started && err == nil {
		err = result.Errorf(result.OutcomeUnknown, "request %q was sent before and its answer is not here", e.Key.Request)
	}
	return false, err
}
