package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
)

const (
	mailboxSize  = 1024
	watchWait    = 30 * time.Second
	watchRetry   = 500 * time.Millisecond
	memberMaxAge = 2 * time.Minute
)

// Store is the part of the platform that holds the configuration.
type Store interface {
	Get(ctx context.Context, key string) (consul.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (consul.Value, uint64, error)
	CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error)
	Delete(ctx context.Context, key string, version uint64) (bool, error)
}

// Options say who the VM is, and how fresh a roll-out needs its configuration.
type Options struct {
	VM             string
	Zone           string
	FreshnessLimit time.Duration
}

// Controller owns the newest configuration that the VM knows.
type Controller struct {
	mailbox chan message
	offers  chan offer
	wake    chan struct{}
	store   Store
	peers   Peers
	options Options
	log     logr.Logger
	held    Replica
	members map[string]member
	subs    []chan Snapshot
}

// Replica is the newest configuration that a VM knows, with the content of its parts. It is never written after it was made.
type Replica struct {
	Head     Head
	Snapshot Snapshot
	// Parts is the content of each part by digest.
	Parts map[string][]byte
}

func (h Replica) blobs() []Blob {
	list := make([]Blob, 0, len(h.Head.Parts))
	for _, p := range h.Head.Parts {
		list = append(list, Blob{p, h.Parts[p.Digest]})
	}
	return list
}

// member is another entry VM as its last datagram described it.
type member struct {
	vm       string
	zone     string
	address  string
	revision uint64
	heardAt  time.Time
}

// New makes a Controller; Run starts it.
func New(store Store, peers Peers, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize),
		offers:  make(chan offer, 1),
		wake:    make(chan struct{}, 1),
		store:   store, peers: peers, options: o, log: log,
		members: map[string]member{},
	}
}

type message interface{ handle(*Controller) }

type (
	currentMessage struct{ reply chan<- Snapshot }
	heldMessage    struct{ reply chan<- Replica }
	membersMessage struct{ reply chan<- []member }
	learnMessage   struct {
		held  Replica
		reply chan<- struct{}
	}
	provenMessage struct {
		head Head
		at   time.Time
	}
	peerMessage struct{ member member }
)

func (m currentMessage) handle(c *Controller) { m.reply <- c.held.Snapshot }

func (m heldMessage) handle(c *Controller) { m.reply <- c.held }

func (m membersMessage) handle(c *Controller) {
	list := make([]member, 0, len(c.members))
	for name, known := range c.members {
		if time.Since(known.heardAt) > memberMaxAge {
			delete(c.members, name)
			continue
		}
		list = append(list, known)
	}
	m.reply <- list
}

// handle takes a newer revision and ignores any other: a VM moves only forward.
func (m learnMessage) handle(c *Controller) {
	m.reply <- struct{}{}
	if !Advances(c.held.Head, m.held.Head) {
		return
	}
	c.held = m.held
	c.log.Info("configuration in force", "revision", m.held.Head.Revision)
	for _, sub := range c.subs {
		replace(sub, c.held.Snapshot)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (m provenMessage) handle(c *Controller) {
	proves := m.head.Revision == c.held.Head.Revision && m.head.SameContent(c.held.Head)
	if proves && m.at.After(c.held.Snapshot.ConfirmedAt) {
		c.held.Snapshot.ConfirmedAt = m.at
	}
}

func (m peerMessage) handle(c *Controller) {
	c.members[m.member.vm] = m.member
	if m.member.revision <= c.held.Head.Revision || m.member.address == "" {
		return
	}
	select {
	case c.offers <- offer{m.member.address, m.member.revision}:
	default:
	}
}

// replace puts s into a channel with room for one value, in place of an older one that wasn't read.
// Only the controller's goroutine sends.
func replace(sub chan Snapshot, s Snapshot) {
	select {
	case <-sub:
	default:
	}
	sub <- s
}

// Subscribe returns a channel with the newest snapshot after each change. It has to be called before Run.
func (c *Controller) Subscribe() <-chan Snapshot {
	sub := make(chan Snapshot, 1)
	c.subs = append(c.subs, sub)
	return sub
}

// Run owns the state and the tasks that learn, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 3)
	task.Start(ctx, "configuration watch", ends, c.watch)
	task.Start(ctx, "configuration from peers", ends, c.learn)
	task.Start(ctx, "configuration proof", ends, c.prove)
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case <-ctx.Done():
			return task.Stop(cancel, ends, 3)
		}
	}
}

// Current returns the newest snapshot; its Revision is 0 before the first was learnt.
func (c *Controller) Current(ctx context.Context) (Snapshot, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Snapshot) message { return currentMessage{reply} })
}

// Replica returns the newest configuration with its parts.
func (c *Controller) Replica(ctx context.Context) (Replica, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Replica) message { return heldMessage{reply} })
}

// Collect implements peer.Section.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	now, err := c.Current(ctx)
	s.Revision = now.Revision
	return err
}

// Receive implements peer.Section.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	return task.Tell(c.mailbox, message(peerMessage{member{s.VM, s.Zone, s.ControlAddress, s.Revision, time.Now()}}))
}

func (c *Controller) watch(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		v, index, err := c.store.Watch(ctx, HeadKey, after, watchWait)
		if err == nil {
			err = c.follow(ctx, v)
		}
		after = index
		if err == nil {
			continue
		}
		c.log.V(1).Info("configuration watch failed", "error", err.Error())
		after = 0
		if !task.Sleep(ctx, watchRetry/2+rand.N(watchRetry)) {
			break
		}
	}
	return nil
}

// follow learns the head that the platform holds.
func (c *Controller) follow(ctx context.Context, v consul.Value) error {
	if v.Version == 0 {
		return nil
	}
	head, err := parseHead(v)
	if err != nil {
		return err
	}
	return c.take(ctx, head, c.fromPlatform)
}

// take learns a head if it is newer, with the parts that the VM doesn't hold yet from the source.
func (c *Controller) take(ctx context.Context, head Head, source func(context.Context, string) ([]byte, error)) error {
	held, err := c.Replica(ctx)
	if err != nil {
		return err
	}
	if Contradicts(held.Head, head) {
		c.log.Error(nil, "two configurations claim one revision; the one in force stays", "revision", head.Revision)
		return nil
	}
	if !Advances(held.Head, head) {
		return nil
	}
	next, err := assemble(ctx, held, head, source)
	if err != nil {
		return err
	}
	_, err = task.Ask(ctx, c.mailbox, func(reply chan<- struct{}) message { return learnMessage{next, reply} })
	return err
}

func assemble(ctx context.Context, held Replica, head Head, source func(context.Context, string) ([]byte, error)) (Replica, error) {
	next := Replica{Head: head, Parts: make(map[string][]byte, len(head.Parts))}
	for _, p := range head.Parts {
		content, ok := held.Parts[p.Digest]
		if !ok {
			var err error
			if content, err = source(ctx, p.Digest); err != nil {
				return next, fmt.Errorf("part %s: %w", p.Name, err)
			}
		}
		next.Parts[p.Digest] = content
	}
	cfg, err := Join(next.blobs())
	if err != nil {
		return next, err
	}
	next.Snapshot = NewSnapshot(head.Revision, cfg, time.Time{})
	return next, nil
}

func (c *Controller) fromPlatform(ctx context.Context, digest string) ([]byte, error) {
	v, err := c.store.Get(ctx, partPrefix+digest)
	return v.Data, err
}
