package feed

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
)

const (
	mailboxSize  = 4096
	tickInterval = 50 * time.Millisecond
	retryPause   = 300 * time.Millisecond
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
	// PropagationBound is the time within which every VM has to learn of a change.
	PropagationBound time.Duration
}

// Controller owns what the VM has read of the store and who else reads it.
type Controller struct {
	mailbox   chan message
	source    Source
	registrar Registrar
	transport Transport
	receiver  Receiver
	opts      Options
	pace      Pace
	// sections are the controllers whose state is shared with other VMs.
	sections []peer.Section
	log      logr.Logger

	ends    chan task.End
	running int
	// synced says that the store was read whole; whole holds the keys of that reading until the first watch brought it
	// up to date.
	synced bool
	known  *Copy
	whole  []string
	// fresh says that the next whole reading must not be stale.
	fresh    bool
	revision uint64
	reading  bool
	nextRead time.Time
	heardAt  time.Time
	// missingSince is when news first told of changes that the VM lacks, wantedAt when it last asked for them.
	missingSince time.Time
	wantedAt     time.Time
	// place is the VM's rank among all, rank that in its zone.
	place int
	rank  int
	// readAt is when the last watch began, failing says that the last reading failed.
	readAt  time.Time
	failing bool
	members map[string]Member
	secret  []byte
	// leases takes the lease of the VM's member key once the store was read; 0 is none.
	leases chan uint64
	// secretAt is when the VM makes the secret if there is still none; making says that it does.
	secretAt time.Time
	making   bool
	// marks are the revisions that the VM passed on lately.
	marks   []mark
	joiners map[string]*Joiner
	// states holds what came last of each VM; cursor, incarnation and sequence name this VM's own.
	states      map[string]heardState
	cursor      peer.Cursor
	incarnation uint64
	sequence    uint64
	nextShare   time.Time
	nextFar     int
	number      uint64
	refused     int
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
func New(source Source, registrar Registrar, transport Transport, receiver Receiver, o Options, log logr.Logger, sections ...peer.Section) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), source: source, registrar: registrar, transport: transport, receiver: receiver,
		opts: o, pace: NewPace(o.PropagationBound), log: log, rank: -1, leases: make(chan uint64, 1), ends: make(chan task.End, 4), members: map[string]Member{}, known: NewCopy(),
		joiners: map[string]*Joiner{}, sections: sections, states: map[string]heardState{},
		incarnation: uint64(time.Now().UnixNano()), number: rand.Uint64(),
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
		return Register(ctx, c.registrar, c.opts.Self, c.leases, c.log)
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
			c.share(ctx, now)
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
	if c.synced && c.whole == nil && now.Sub(c.heardAt) < c.pace.patience(c.rank, c.failing) {
		return
	}
	c.reading = true
	if !c.synced {
		stale := !c.fresh
		c.start(ctx, "whole reading", func(ctx context.Context) error { return c.readWhole(ctx, stale) })
		return
	}
	from, wait := c.revision, max(c.pace.Wait-now.Sub(c.heardAt), 0)
	if c.whole != nil {
		wait = 0
	}
	c.readAt = now
	c.start(ctx, "watch", func(ctx context.Context) error {
		items, revision, err := c.source.Watch(ctx, from, wait)
		return c.tell(ctx, changesMessage{items, from, revision, err})
	})
}

// readWhole reads every key. The pages are no snapshot, and stale ones may differ in age, so the changes since the oldest
// of them are read again.
func (c *Controller) readWhole(ctx context.Context, stale bool) error {
	all := pageMessage{}
	after := ""
	for {
		page, err := c.source.Range(ctx, after, stale)
		if err != nil {
			return c.tell(ctx, pageMessage{err: err})
		}
		if after == "" || page.Revision < all.revision {
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
	c.reading, c.failing = false, m.err != nil
	c.receiver.SetReachable(ctx, m.err == nil, m.err)
	if m.err != nil {
		c.nextRead = now.Add(jitter(retryPause))
		return
	}
	c.whole = make([]string, 0, len(m.items))
	lease := uint64(0)
	for _, i := range m.items {
		c.whole = append(c.whole, i.Key)
		c.take(ctx, i)
		if i.Key == memberPrefix+c.opts.Self.VM && c.members[c.opts.Self.VM] == c.opts.Self {
			lease = i.Lease
		}
	}
	_ = task.Tell(c.leases, lease) // only the first one counts
	// A stale reading may be older than what the VM knew, so the changes since the reading are read in any case.
	c.synced, c.revision, c.nextRead = true, m.revision, now
	c.settle(ctx)
	c.read(ctx, now)
}

// upToDate ends a whole reading once the changes since then are in.
func (c *Controller) upToDate(ctx context.Context, items []Item) {
	gone := map[string]bool{}
	for _, i := range items {
		gone[i.Key] = i.Deleted
		if !i.Deleted {
			c.whole = append(c.whole, i.Key)
		}
	}
	keys := slices.DeleteFunc(c.whole, func(key string) bool { return gone[key] })
	c.known.Keep(keys, c.revision)
	maps.DeleteFunc(c.members, func(vm string, _ Member) bool { return !slices.Contains(keys, memberPrefix+vm) })
	c.settle(ctx)
	c.receiver.ApplyFullScan(ctx, keys)
	c.whole, c.fresh = nil, false
	if len(c.secret) == 0 && c.secretAt.IsZero() {
		c.secretAt = time.Now().Add(rand.N(secretDelay))
	}
}

// makeSecret makes the secret where there is still none after the delay.
func (c *Controller) makeSecret(ctx context.Context, now time.Time) {
	if c.making || len(c.secret) > 0 || c.secretAt.IsZero() || now.Before(c.secretAt) {
		return
	}
	if c.rank != rankReader && now.Before(c.secretAt.Add(secretDelay)) {
		return
	}
	c.making = true
	c.start(ctx, "secret", func(ctx context.Context) error { return createSecret(ctx, c.registrar, c.log) })
}

func (m changesMessage) handle(ctx context.Context, c *Controller) {
	now := time.Now()
	c.reading, c.failing = false, m.err != nil
	if errors.Is(m.err, ErrHistoryGone) {
		c.log.Info("store history gone", "after", m.from)
		c.synced, c.whole, c.fresh = false, nil, true
		return
	}
	c.receiver.SetReachable(ctx, m.err == nil, m.err)
	if m.err != nil {
		c.nextRead = now.Add(jitter(retryPause))
		return
	}
	c.nextRead = c.readAt.Add(c.pace.Pause)
	if len(m.items) > 0 {
		c.nextRead = now.Add(c.pace.Pause)
	}
	c.apply(ctx, m.items)
	to := max(m.revision, m.from)
	c.revision = max(c.revision, to)
	if c.whole != nil {
		c.upToDate(ctx, m.items)
	}
	c.heardAt, c.missingSince = now, time.Time{}
	c.passOn(m.from, now)
}

// apply takes in changes that the VM doesn't have yet.
func (c *Controller) apply(ctx context.Context, items []Item) {
	for _, i := range items {
		c.take(ctx, i)
	}
	c.settle(ctx)
}

// take passes one item on unless the VM has a newer one of its key, and keeps what is the feed's own.
func (c *Controller) take(ctx context.Context, i Item) {
	if !c.known.Put(i) {
		return
	}
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
		c.receiver.Apply(ctx, i)
	}
}

// settle finds the VM's ranks anew.
func (c *Controller) settle(ctx context.Context) {
	if place := Rank(c.opts.Self.VM, "", c.members); place != c.place {
		c.place = place
		c.receiver.SetFleetRank(ctx, place)
	}
	rank := Rank(c.opts.Self.VM, c.opts.Self.Zone, c.members)
	if rank != c.rank {
		c.rank = rank
		c.log.Info("reading of the store", "rank", rank, "members", len(c.members))
	}
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
