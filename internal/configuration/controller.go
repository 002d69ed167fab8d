package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/platform"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	mailboxSize    = 1024
	watchWait      = 30 * time.Second
	watchRetry     = 500 * time.Millisecond
	submitAttempts = 8
)

// Store is the part of the platform that holds the configuration.
type Store interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, uint64, error)
	CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error)
}

// Controller owns the newest configuration that the VM knows.
type Controller struct {
	mailbox  chan message
	store    Store
	log      logr.Logger
	snapshot Snapshot
	head     Head
}

// Submission is a change that an operator sends.
type Submission struct {
	ChangeID     string
	Author       string
	BaseRevision uint64
	Change       catalog.Change
}

// New makes a Controller; Run starts it.
func New(store Store, log logr.Logger) *Controller {
	return &Controller{mailbox: make(chan message, mailboxSize), store: store, log: log}
}

type message interface{ handle(*Controller) }

type (
	currentMessage struct{ reply chan<- Snapshot }
	learnMessage   struct {
		head     Head
		snapshot Snapshot
	}
	provenMessage struct {
		revision uint64
		at       time.Time
	}
)

func (m currentMessage) handle(c *Controller) { m.reply <- c.snapshot }

// handle takes a newer revision and ignores any other: a VM moves only forward.
func (m learnMessage) handle(c *Controller) {
	if m.snapshot.Revision <= c.snapshot.Revision {
		return
	}
	c.head, c.snapshot = m.head, m.snapshot
	c.log.Info("configuration in force", "revision", m.snapshot.Revision)
}

func (m provenMessage) handle(c *Controller) {
	if m.revision >= c.snapshot.Revision && m.at.After(c.snapshot.ProvenAt) {
		c.snapshot.ProvenAt = m.at
	}
}

// Run owns the state and the watch until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 1)
	task.Start(ctx, "configuration watch", ends, c.watch)
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case <-ctx.Done():
			return task.Stop(cancel, ends, 1)
		}
	}
}

// Current returns the newest snapshot; its Revision is 0 before the first was learnt.
func (c *Controller) Current(ctx context.Context) (Snapshot, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Snapshot) message { return currentMessage{reply} })
}

func (c *Controller) watch(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		v, index, err := c.store.Watch(ctx, HeadKey, after, watchWait)
		if err == nil {
			err = c.follow(ctx, v)
		}
		if err != nil {
			c.log.V(1).Info("configuration watch failed", "error", err.Error())
			after = 0
			if !task.Sleep(ctx, watchRetry) {
				break
			}
			continue
		}
		after = index
	}
	return nil
}

// follow learns the head v, and notes that the platform proved it to be the newest.
func (c *Controller) follow(ctx context.Context, v platform.Value) error {
	if v.Version == 0 {
		return nil
	}
	at := time.Now()
	var head Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return fmt.Errorf("configuration head: %w", err)
	}
	now, err := c.Current(ctx)
	if err != nil {
		return err
	}
	if head.Revision <= now.Revision {
		return task.Tell(c.mailbox, message(provenMessage{head.Revision, at}))
	}
	snapshot, err := c.fetch(ctx, head, at)
	if err != nil {
		return err
	}
	return task.Tell(c.mailbox, message(learnMessage{head, snapshot}))
}

func (c *Controller) fetch(ctx context.Context, head Head, at time.Time) (Snapshot, error) {
	blobs := make([]Blob, 0, len(head.Parts))
	for _, p := range head.Parts {
		v, err := c.store.Get(ctx, partPrefix+p.Digest)
		if err != nil {
			return Snapshot{}, err
		}
		blobs = append(blobs, Blob{p, v.Data})
	}
	cfg, err := Join(blobs)
	if err != nil {
		return Snapshot{}, err
	}
	return NewSnapshot(head.Revision, cfg, at), nil
}

// Submit merges a change into the newest configuration and returns the revision that holds it.
// The error is a *result.Error: Conflict, BadConfiguration, PlatformDown or ChangeUnknown.
func (c *Controller) Submit(ctx context.Context, s Submission) (uint64, error) {
	for range submitAttempts {
		revision, done, err := c.trySubmit(ctx, s)
		if done || err != nil {
			return revision, err
		}
	}
	return 0, result.Errorf(result.Conflict, "the configuration changed %d times meanwhile; submit again", submitAttempts)
}

func (c *Controller) trySubmit(ctx context.Context, s Submission) (uint64, bool, error) {
	v, err := c.store.Get(ctx, HeadKey)
	if err != nil {
		return 0, false, result.Errorf(result.PlatformDown, "%v", err)
	}
	var head Head
	var cfg catalog.Configuration
	if v.Version != 0 {
		if err := json.Unmarshal(v.Data, &head); err != nil {
			return 0, false, result.Errorf(result.Internal, "configuration head: %v", err)
		}
		old, err := c.fetch(ctx, head, time.Time{})
		if err != nil {
			return 0, false, result.Errorf(result.PlatformDown, "%v", err)
		}
		cfg = old.Catalog
	}
	if i := slices.IndexFunc(head.Changes, func(n ChangeNote) bool { return n.ChangeID == s.ChangeID }); i >= 0 {
		return head.Changes[i].Revision, true, nil
	}
	next, blobs, err := Merge(head, cfg, s, time.Now())
	if err != nil {
		return 0, false, err
	}
	return c.commit(ctx, v.Version, next, blobs)
}

func (c *Controller) commit(ctx context.Context, version uint64, next Head, blobs []Blob) (uint64, bool, error) {
	for _, b := range blobs {
		if _, err := c.store.CAS(ctx, partPrefix+b.Digest, b.Content, 0); err != nil {
			return 0, false, result.Errorf(result.PlatformDown, "part %s: %v", b.Name, err)
		}
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, false, result.Errorf(result.Internal, "configuration head: %v", err)
	}
	done, err := c.store.CAS(ctx, HeadKey, data, version)
	if err != nil {
		return 0, false, result.Errorf(result.ChangeUnknown, "%v", err)
	}
	return next.Revision, done, nil
}

// Merge makes the next head and its parts, or fails where a later change touched the same objects.
func Merge(head Head, cfg catalog.Configuration, s Submission, now time.Time) (Head, []Blob, error) {
	objects := s.Change.Objects()
	for _, n := range head.Changes {
		if n.Revision <= s.BaseRevision {
			continue
		}
		for _, o := range n.Objects {
			if slices.Contains(objects, o) {
				return Head{}, nil, result.Errorf(result.Conflict, "change %s by %s set %s at revision %d", n.ChangeID, n.Author, o, n.Revision)
			}
		}
	}
	merged, err := s.Change.Apply(cfg)
	if err != nil {
		return Head{}, nil, result.Errorf(result.BadConfiguration, "%v", err)
	}
	blobs, err := Split(merged)
	if err != nil {
		return Head{}, nil, result.Errorf(result.Internal, "%v", err)
	}
	next := Head{Revision: head.Revision + 1}
	for _, b := range blobs {
		next.Parts = append(next.Parts, b.Part)
	}
	note := ChangeNote{ChangeID: s.ChangeID, Revision: next.Revision, Author: s.Author, UnixTime: now.Unix(), Objects: objects}
	next.Changes = append(slices.Clone(head.Changes), note)
	if n := len(next.Changes); n > maxKeptChanges {
		next.Changes = next.Changes[n-maxKeptChanges:]
	}
	return next, blobs, nil
}
