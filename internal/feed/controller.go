package feed

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

const (
	mailboxSize  = 4096
	tickInterval = 50 * time.Millisecond
	// watchWait is how long a watch waits; a connection that went silent shows soon after it.
	watchWait = time.Second
	// watchPause lies between two watches, so that changes come in batches.
	watchPause = 500 * time.Millisecond
	retryPause = 250 * time.Millisecond
	// quietLimit is how long a VM that does not read waits for news before it reads for itself: longer than a reader is
	// silent where nothing changes.
	quietLimit = 1900 * time.Millisecond
	// secretDelay bounds the wait of a VM that finds no secret, so that one makes it and the others hear of it.
	secretDelay = 1500 * time.Millisecond
)

// Transport carries datagrams between VMs.
type Transport interface {
	Run(ctx context.Context, deliver func(packet []byte) error) error
	Send(address string, packet []byte) error
}

// Options say who the VM is.
type Options struct {
	Self Member
}

// Controller owns what the VM has read of the store and who else reads it.
type Controller struct {
	mailbox   chan message
	source    Source
	registrar Registrar
	transport Transport
	receiver  Receiver
	opts      Options
	log       logr.Logger

	ends     chan task.End
	running  int
	synced   bool
	revision uint64
	reading  bool
	nextRead time.Time
	heardAt  time.Time
	reader   bool
	members  map[string]Member
	secret   []byte
	// secretAt is when the VM makes the secret if there is still none; making says that it does.
	secretAt time.Time
	making   bool
	// told holds the essence of what this VM passed on last.
	told    map[string]uint64
	joiners map[string]*Joiner
	number  uint64
	refused int
}

type message interface {
	handle(ctx context.Context, c *Controller)
}

type (
	pageMessage struct {
		items    []Item
		revision uint64
		err      error
	}
	changesMessage struct {
		items    []Item
		from     uint64
		revision uint64
		err      error
	}
	packetMessage struct{ data []byte }
)

// New makes a Controller; Run starts it.
func New(source Source, registrar Registrar, transport Transport, receiver Receiver, o Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), source: source, registrar: registrar, transport: transport, receiver: receiver,
		opts: o, log: log, ends: make(chan task.End, 4), members: map[string]Member{}, told: map[string]uint64{},
		joiners: map[string]*Joiner{}, number: rand.Uint64(),
	}
}

// Run follows the store until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.start(ctx, "transport", func(ctx context.Context) error {
		err := c.transport.Run(ctx, func(p []byte) error { return task.Tell(c.mailbox, message(packetMessage{p})) })
		if err != nil && ctx.Err() == nil {
			c.log.Info("no news from peers", "error", err.Error())
			<-ctx.Done()
		}
		return ctx.Err()
	})
	c.start(ctx, "registration", func(ctx context.Context) error {
		return Register(ctx, c.registrar, c.opts.Self, c.log)
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.read(ctx, time.Now())
	for {
		select {
		case m := <-c.mailbox:
			m.handle(ctx, c)
		case <-c.ends:
			c.running--
		case now := <-ticker.C:
			c.read(ctx, now)
			c.makeSecret(ctx, now)
		case <-ctx.Done():
			return task.Stop(cancel, c.ends, c.running)
		}
	}
}

func (c *Controller) start(ctx context.Context, name string, f func(context.Context) error) {
	c.running++
	task.Start(ctx, name, c.ends, f)
}

// read starts the next reading of the store if one is due.
func (c *Controller) read(ctx context.Context, now time.Time) {
	if c.reading || now.Before(c.nextRead) {
		return
	}
	if c.synced && !c.reader && now.Sub(c.heardAt) < quietLimit {
		return
	}
	c.reading = true
	if !c.synced {
		c.start(ctx, "whole reading", c.readWhole)
		return
	}
	from := c.revision
	c.start(ctx, "watch", func(ctx context.Context) error {
		items, revision, err := c.source.Watch(ctx, from, watchWait)
		return c.tell(ctx, changesMessage{items, from, revision, err})
	})
}

// readWhole reads every key. The pages are no snapshot, so the changes since the first page are read again.
func (c *Controller) readWhole(ctx context.Context) error {
	all := pageMessage{}
	after := ""
	for {
		page, err := c.source.Range(ctx, after)
		if err != nil {
			return c.tell(ctx, pageMessage{err: err})
		}
		if after == "" {
			all.revision = page.Revision
		}
		all.items = append(all.items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return c.tell(ctx, all)
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (c *Controller) tell(ctx context.Context, m message) error {
	return task.TellUntil(ctx, c.mailbox, m)
}

func (m pageMessage) handle(ctx context.Context, c *Controller) {
	now := time.Now()
	c.reading = false
	c.receiver.Reach(ctx, m.err == nil, m.err)
	if m.err != nil {
		c.nextRead = now.Add(jitter(retryPause))
		return
	}
	keys := make([]string, 0, len(m.items))
	c.members = map[string]Member{}
	for _, i := range m.items {
		keys = append(keys, i.Key)
		c.take(ctx, i)
	}
	c.receiver.Whole(ctx, keys)
	c.synced, c.revision, c.heardAt = true, max(c.revision, m.revision), now
	c.nextRead = now.Add(jitter(watchPause))
	c.settle()
	if len(c.secret) == 0 && c.secretAt.IsZero() {
		c.secretAt = now.Add(rand.N(secretDelay))
	}
}

// makeSecret makes the secret where there is still none after the delay.
func (c *Controller) makeSecret(ctx context.Context, now time.Time) {
	if c.making || len(c.secret) > 0 || c.secretAt.IsZero() || now.Before(c.secretAt) {
		return
	}
	c.making = true
	c.start(ctx, "secret", func(ctx context.Context) error { return createSecret(ctx, c.registrar, c.log) })
}

func (m changesMessage) handle(ctx context.Context, c *Controller) {
	now := time.Now()
	c.reading = false
	if errors.Is(m.err, ErrHistoryGone) {
		c.log.Info("store history gone", "after", m.from)
		c.synced = false
		return
	}
	c.receiver.Reach(ctx, m.err == nil, m.err)
	if m.err != nil {
		c.nextRead = now.Add(jitter(retryPause))
		return
	}
	c.nextRead = now.Add(watchPause)
	c.apply(ctx, m.items)
	to := max(m.revision, m.from)
	c.revision = max(c.revision, to)
	if c.reader {
		c.passOn(News{VM: c.opts.Self.VM, From: m.from, To: to, Items: c.news(m.items)})
	}
}

// apply takes in changes that the VM doesn't have yet.
func (c *Controller) apply(ctx context.Context, items []Item) {
	for _, i := range items {
		if i.Revision > c.revision {
			c.take(ctx, i)
		}
	}
	c.settle()
}

// news returns the changes that this VM hasn't passed on yet. What it heard of another reader counts for nothing, since
// that one's datagrams may have been lost on the way to others.
func (c *Controller) news(items []Item) []Item {
	var out []Item
	for _, i := range items {
		essence := uint64(0)
		if !i.Deleted {
			essence = c.receiver.Essence(i)
		}
		if essence == 0 || c.told[i.Key] != essence {
			out = append(out, i)
		}
		c.told[i.Key] = essence
	}
	return out
}

// take passes one item on, and keeps what is the feed's own.
func (c *Controller) take(ctx context.Context, i Item) {
	name, isMember := memberName(i.Key)
	switch {
	case isMember && i.Deleted:
		delete(c.members, name)
	case isMember:
		var m Member
		if err := json.Unmarshal(i.Value, &m); err != nil || m.VM != name {
			c.log.Info("member not readable", "key", i.Key)
			return
		}
		c.members[name] = m
	case i.Key == secretKey && !i.Deleted:
		c.secret = i.Value
	default:
		c.receiver.Take(ctx, i)
	}
}

// settle decides whether the VM reads for its zone.
func (c *Controller) settle() {
	reader := IsReader(c.opts.Self.VM, c.opts.Self.Zone, c.members)
	if reader != c.reader {
		c.reader = reader
		c.log.Info("reading of the store", "reader", reader, "members", len(c.members))
		c.told = map[string]uint64{}
	}
}

// passOn sends news to the zone's other VMs.
func (c *Controller) passOn(n News) {
	listeners := Listeners(c.opts.Self.VM, c.opts.Self.Zone, c.members)
	if len(listeners) < Readers || len(c.secret) == 0 {
		return
	}
	c.number++
	packets, err := Encode(c.secret, c.number, n)
	if err != nil {
		c.log.Info("news not sent", "error", err.Error())
		return
	}
	for _, address := range listeners {
		for _, p := range packets {
			if err := c.transport.Send(address, p); err != nil {
				c.log.V(1).Info("news not sent", "to", address, "error", err.Error())
			}
		}
	}
}

func (m packetMessage) handle(ctx context.Context, c *Controller) {
	key := string(m.data[min(len(m.data), 1+macBytes):min(len(m.data), 9+macBytes)])
	j, ok := c.joiners[key]
	if !ok {
		if len(c.joiners) >= maxJoiners {
			c.joiners = map[string]*Joiner{}
		}
		j = &Joiner{}
		c.joiners[key] = j
	}
	n, whole, err := j.Add(c.secret, m.data)
	if err != nil {
		c.refused++
		c.log.V(1).Info("news refused", "error", err.Error(), "refused", c.refused)
	}
	if err != nil || whole {
		delete(c.joiners, key)
	}
	if !whole || !c.synced || n.To <= c.revision {
		if whole && c.synced && n.To == c.revision {
			c.heard(ctx)
		}
		return
	}
	if n.From > c.revision {
		// Something between is missing, so the VM reads for itself at once.
		c.heardAt, c.nextRead = time.Time{}, time.Time{}
		c.read(ctx, time.Now())
		return
	}
	c.apply(ctx, n.Items)
	c.revision = max(c.revision, n.To)
	c.heard(ctx)
}

// maxJoiners bounds the messages that wait for parts.
const maxJoiners = 64

func (c *Controller) heard(ctx context.Context) {
	c.heardAt = time.Now()
	if !c.reader {
		c.receiver.Reach(ctx, true, nil)
	}
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
