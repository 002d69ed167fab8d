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
	// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails with ErrFull beyond
	// it.
	mailboxSize = 1024
	// watchWait is how long the platform holds a watch without a change.
	watchWait = 30 * time.Second
	// watchRetry is the mean pause after a failed watch.
	watchRetry = 500 * time.Millisecond
	// memberMaxAge is the silence after which a VM is forgotten.
	memberMaxAge = 2 * time.Minute
)

// Store is the part of the platform's key-value service that holds the configuration.
type Store interface {
	// Get returns the value of a key; its Version is 0 if there is none.
	Get(ctx context.Context, key string) (consul.Value, error)
	// Watch waits until the key's index passes after, for at most wait, and returns the value and the new index.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (consul.Value, uint64, error)
	// CAS writes a key that is still at the version, 0 for none, and reports whether it did.
	CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error)
	// Delete deletes a key that is still at the version and reports whether it did.
	Delete(ctx context.Context, key string, version uint64) (bool, error)
}

// Options configure a Controller.
type Options struct {
	// VM and Zone are the name and the availability zone of this VM.
	VM   string
	Zone string
	// FreshnessLimit is the age of the confirmation up to which a running rollout moves new sessions.
	FreshnessLimit time.Duration
}

// Controller owns the newest configuration that the VM knows. It learns newer revisions from the platform and from
// other VMs, and has the revision confirmed as the newest while a rollout is running.
type Controller struct {
	mailbox chan message
	// offers holds the offer that fetchFromPeers takes next; further ones are dropped meanwhile.
	offers chan offer
	// wakeConfirm makes the confirm task run at once after a new revision.
	wakeConfirm chan struct{}
	store       Store
	peers       Peers
	options     Options
	log         logr.Logger
	replica     Replica
	// members has the other entry VMs by name.
	members     map[string]member
	subscribers []chan Snapshot
}

// Replica is the newest configuration that a VM knows, with the content of its parts. It is immutable.
type Replica struct {
	Head     Head
	Snapshot Snapshot
	// Parts is the content of each part by digest.
	Parts map[string][]byte
}

// blobs returns the parts with their content, in the head's order.
func (r Replica) blobs() []Blob {
	list := make([]Blob, 0, len(r.Head.Parts))
	for _, p := range r.Head.Parts {
		list = append(list, Blob{p, r.Parts[p.Digest]})
	}
	return list
}

// member is another entry VM as its last datagram described it. address is its control address, empty if it gave none.
type member struct {
	vm       string
	zone     string
	address  string
	revision uint64
	heardAt  time.Time
}

// New creates a Controller; Run starts it.
func New(store Store, peers Peers, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox:     make(chan message, mailboxSize),
		offers:      make(chan offer, 1),
		wakeConfirm: make(chan struct{}, 1),
		store:       store, peers: peers, options: o, log: log,
		members: map[string]member{},
	}
}

// message is a message in the Controller's mailbox. Run calls handle for each.
type message interface{ handle(*Controller) }

type (
	currentMessage struct{ reply chan<- Snapshot }
	replicaMessage struct{ reply chan<- Replica }
	membersMessage struct{ reply chan<- []member }
	applyMessage   struct {
		replica Replica
		reply   chan<- struct{}
	}
	confirmedMessage struct {
		head Head
		at   time.Time
	}
	peerMessage struct{ member member }
)

func (m currentMessage) handle(c *Controller) { m.reply <- c.replica.Snapshot }

func (m replicaMessage) handle(c *Controller) { m.reply <- c.replica }

// handle replies with the members heard of recently and forgets the others. confirmOnce asks for them.
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

// handle adopts a newer revision and passes it to the subscribers. Other revisions are ignored, so a VM never moves back.
// adopt sends the message.
func (m applyMessage) handle(c *Controller) {
	m.reply <- struct{}{}
	if !IsNewer(c.replica.Head, m.replica.Head) {
		return
	}
	c.replica = m.replica
	c.log.Info("configuration in force", "revision", m.replica.Head.Revision)
	for _, sub := range c.subscribers {
		replace(sub, c.replica.Snapshot)
	}
	select {
	case c.wakeConfirm <- struct{}{}:
	default:
	}
}

// handle records the confirmation if it is for the configuration in force and later than the last one.
func (m confirmedMessage) handle(c *Controller) {
	confirms := m.head.Revision == c.replica.Head.Revision && m.head.SameContent(c.replica.Head)
	if confirms && m.at.After(c.replica.Snapshot.ConfirmedAt) {
		c.replica.Snapshot.ConfirmedAt = m.at
	}
}

// handle records a member and offers its configuration to fetchFromPeers if it is newer. While an earlier offer waits, the
// offer is dropped.
func (m peerMessage) handle(c *Controller) {
	c.members[m.member.vm] = m.member
	if m.member.revision <= c.replica.Head.Revision || m.member.address == "" {
		return
	}
	select {
	case c.offers <- offer{m.member.address, m.member.revision}:
	default:
	}
}

// replace sends s on a channel with room for one value and drops an older value that hasn't been received.
// It doesn't block, since only the controller's goroutine sends.
func replace(sub chan Snapshot, s Snapshot) {
	select {
	case <-sub:
	default:
	}
	sub <- s
}

// Subscribe returns a channel that receives the newest snapshot after each change. It must be called before Run.
func (c *Controller) Subscribe() <-chan Snapshot {
	sub := make(chan Snapshot, 1)
	c.subscribers = append(c.subscribers, sub)
	return sub
}

// Run handles messages until ctx ends, and runs the tasks that wait for the platform and for other VMs.
// Only its goroutine touches the state.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, 3)
	task.Start(ctx, "configuration watch", ends, c.watch)
	task.Start(ctx, "configuration from peers", ends, c.fetchFromPeers)
	task.Start(ctx, "configuration confirmation", ends, c.confirm)
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case <-ctx.Done():
			return task.Stop(cancel, ends, 3)
		}
	}
}

// Current returns the newest snapshot. Its Revision is 0 until the VM knows a configuration.
func (c *Controller) Current(ctx context.Context) (Snapshot, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Snapshot) message { return currentMessage{reply} })
}

// Replica returns the newest configuration with its parts. The peer service calls it for other VMs.
func (c *Controller) Replica(ctx context.Context) (Replica, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Replica) message { return replicaMessage{reply} })
}

// Collect implements peer.Section. It adds the VM's revision to the gossiped state.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	current, err := c.Current(ctx)
	s.Revision = current.Revision
	return err
}

// Receive implements peer.Section. It takes the address and the revision of another VM.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	return task.Tell(c.mailbox, message(peerMessage{member{s.VM, s.Zone, s.ControlAddress, s.Revision, time.Now()}}))
}

// watch follows the platform's head key until ctx ends. It runs as a task of its own. After an error it starts over
// from the current value.
func (c *Controller) watch(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		v, index, err := c.store.Watch(ctx, HeadKey, after, watchWait)
		if err == nil {
			err = c.adoptStored(ctx, v)
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

// adoptStored adopts the head that was read from the platform, if there is one. watch and confirmByPlatform call it.
func (c *Controller) adoptStored(ctx context.Context, v consul.Value) error {
	if v.Version == 0 {
		return nil
	}
	head, err := parseHead(v)
	if err != nil {
		return err
	}
	return c.adopt(ctx, head, c.fromPlatform)
}

// adopt switches to a head, read from the platform or a peer, that is newer than the current one. adoptStored, fetchOffer
// and confirmByPeer call it. Parts that the VM doesn't hold are read from source. If one can't be read, the current
// configuration stays. Of two heads with the same revision the current one stays.
func (c *Controller) adopt(ctx context.Context, head Head, source func(context.Context, string) ([]byte, error)) error {
	held, err := c.Replica(ctx)
	if err != nil {
		return err
	}
	if Contradicts(held.Head, head) {
		c.log.Error(nil, "two configurations have the same revision, keeping the current one", "revision", head.Revision)
		return nil
	}
	if !IsNewer(held.Head, head) {
		return nil
	}
	next, err := assemble(ctx, held, head, source)
	if err != nil {
		return err
	}
	_, err = task.Ask(ctx, c.mailbox, func(reply chan<- struct{}) message { return applyMessage{next, reply} })
	return err
}

// assemble builds the replica of a head from the parts that are held and from source. It doesn't confirm the revision.
// adopt and loadBase call it.
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

// fromPlatform reads a part from the platform.
func (c *Controller) fromPlatform(ctx context.Context, digest string) ([]byte, error) {
	v, err := c.store.Get(ctx, partPrefix+digest)
	return v.Data, err
}
