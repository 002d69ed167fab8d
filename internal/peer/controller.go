package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

const (
	mailboxSize = 1024
	// roundInterval is the time between two rounds, less up to a tenth.
	roundInterval = time.Second
	jitterShare   = 10
	// maxRelayed bounds the states offered to one datagram; fewer fit.
	maxRelayed      = 32
	leaveRepeats    = 3
	leaveInterval   = 100 * time.Millisecond
	sectionDeadline = 500 * time.Millisecond
)

// Transport carries datagrams; their size is at most MaxPacketBytes.
type Transport interface {
	// Run receives datagrams and hands each to deliver until ctx ends; deliver never waits and keeps the slice.
	Run(ctx context.Context, deliver func(packet []byte) error) error
	// Send passes a datagram on to host:port without waiting.
	Send(address string, packet []byte) error
}

// Options say who the VM is and how it reaches the others.
type Options struct {
	VM             string
	Incarnation    uint64
	Region         string
	Zone           string
	ControlAddress string
	PeerAddress    string
	// Key is the fleet key.
	Key []byte
}

// Controller owns what a VM knows of the others, and exchanges the sections' state with them.
type Controller struct {
	mailbox   chan message
	work      chan work
	transport Transport
	registry  Registry
	sections  []Section
	opts      Options
	log       logr.Logger
	random    *rand.Rand

	fleet    *Fleet
	halts    Rumors[Halt]
	crashes  Rumors[CrashReport]
	near     Cursor
	far      Cursor
	sequence uint64
	leaving  bool
	left     chan struct{}
	repeats  int
	counts   Counts
}

// New makes a Controller; Run starts it. The registry may be nil, as may be each part of the state.
func New(opts Options, transport Transport, registry Registry, sections []Section, log logr.Logger) *Controller {
	self := Member{
		VM: opts.VM, Incarnation: opts.Incarnation, Region: opts.Region, Zone: opts.Zone,
		ControlAddress: opts.ControlAddress, PeerAddress: opts.PeerAddress, Health: Alive,
	}
	return &Controller{
		mailbox: make(chan message, mailboxSize), work: make(chan work, mailboxSize),
		transport: transport, registry: registry, sections: sections, opts: opts, log: log,
		random: rand.New(rand.NewPCG(opts.Incarnation, 0)),
		fleet:  NewFleet(self), left: make(chan struct{}),
	}
}

// Attach adds parts of the state. It has to be called before Run.
func (c *Controller) Attach(sections ...Section) { c.sections = append(c.sections, sections...) }

type message interface{ handle(*Controller) }

type (
	packetMessage struct {
		data []byte
		// missed counts the datagrams that a full mailbox dropped before this one.
		missed uint64
	}
	listMessage      struct{ members []Member }
	collectedMessage struct{ state State }
	leaveMessage     struct{}
	membersMessage   struct{ reply chan<- []Member }
	countsMessage    struct{ reply chan<- Counts }
)

// Run exchanges state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	children := []struct {
		name string
		run  func(context.Context) error
	}{
		{"transport", func(ctx context.Context) error { return c.transport.Run(ctx, c.receiver()) }},
		{"sections", c.serveSections},
		{"registration", c.register},
	}
	ends := make(chan task.End, len(children))
	for _, child := range children {
		task.Start(ctx, child.name, ends, child.run)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
			if c.repeats == leaveRepeats {
				timer.Reset(0)
			}
		case <-timer.C:
			timer.Reset(c.round())
		case end := <-ends:
			ends <- end
			return task.Stop(cancel, ends, len(children))
		case <-ctx.Done():
			return task.Stop(cancel, ends, len(children))
		}
	}
}

// receiver returns the function that hands datagrams to the controller; a full mailbox drops them.
// Only the transport's receiving goroutine calls it.
func (c *Controller) receiver() func([]byte) error {
	var missed uint64
	return func(packet []byte) error {
		err := task.Tell(c.mailbox, message(packetMessage{packet, missed}))
		if err != nil {
			missed++
			return err
		}
		missed = 0
		return nil
	}
}

// Members returns the VM itself and every other one that the platform lists or that was heard of.
func (c *Controller) Members(ctx context.Context) ([]Member, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- []Member) message { return membersMessage{reply} })
}

// Counts returns what became of the datagrams so far.
func (c *Controller) Counts(ctx context.Context) (Counts, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Counts) message { return countsMessage{reply} })
}

// Leave announces to every member that the VM takes no new work, and takes it off the platform's list.
func (c *Controller) Leave(_ context.Context) error {
	return task.Tell(c.mailbox, message(leaveMessage{}))
}

func (m membersMessage) handle(c *Controller) {
	self := c.fleet.Self
	self.Leaving = c.leaving
	out := append(make([]Member, 0, len(c.fleet.Members)+1), self)
	for _, name := range c.fleet.names() {
		out = append(out, c.fleet.Members[name].Member)
	}
	m.reply <- out
}

func (m countsMessage) handle(c *Controller) { m.reply <- c.counts }

func (m listMessage) handle(c *Controller) { c.fleet.Learn(m.members, time.Now()) }

func (leaveMessage) handle(c *Controller) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.repeats = leaveRepeats
	close(c.left)
}

// round judges the members and starts the next exchange; it returns the time until the next one.
func (c *Controller) round() time.Duration {
	c.fleet.Judge(time.Now())
	if c.repeats > 0 {
		c.repeats--
		c.announce()
		return leaveInterval
	}
	c.tellSections(collectWork{})
	return roundInterval - time.Duration(c.random.Int64N(int64(roundInterval/jitterShare)))
}

// announce sends every member a datagram that holds nothing but the VM's own fields.
func (c *Controller) announce() {
	packet, _, err := (&Cursor{}).Encode(c.opts.Key, Packet{State: c.own(State{})})
	if err != nil {
		c.log.Error(err, "leaving not announced")
		return
	}
	for _, address := range c.fleet.All() {
		c.send(address, packet)
	}
}

// own fills in the VM's own fields under the next sequence.
func (c *Controller) own(s State) State {
	c.sequence++
	s.VM, s.Incarnation, s.Sequence = c.opts.VM, c.opts.Incarnation, c.sequence
	s.Region, s.Zone = c.opts.Region, c.opts.Zone
	s.ControlAddress, s.PeerAddress = c.opts.ControlAddress, c.opts.PeerAddress
	s.Leaving = s.Leaving || c.leaving
	return s
}

// handle sends the collected state to the round's targets.
func (m collectedMessage) handle(c *Controller) {
	now := time.Now()
	s := m.state
	c.fleet.Self.Revision = s.Revision
	s.Halts = mergeFacts(s.Halts, c.halts.Round(now))
	s.Crashes = mergeFacts(s.Crashes, c.crashes.Round(now))
	targets := c.fleet.Choose(c.random)
	c.spread(&c.near, s, targets.Near)
	s.Endpoints, s.Sessions = nil, nil
	c.spread(&c.far, s, targets.Far)
}

func (c *Controller) spread(at *Cursor, s State, addresses []string) {
	for _, address := range addresses {
		news := c.fleet.News(maxRelayed, time.Now(), c.random)
		packet, n, err := at.Encode(c.opts.Key, Packet{State: c.own(s), Relayed: news})
		if err != nil {
			c.log.Error(err, "datagram not sent")
			return
		}
		c.fleet.Passed(news[:n])
		c.send(address, packet)
	}
}

func (c *Controller) send(address string, packet []byte) {
	if err := c.transport.Send(address, packet); err != nil {
		c.counts.SendFailed++
		return
	}
	c.counts.Sent++
	c.counts.SentBytes += uint64(len(packet))
}

// handle takes in a datagram, unless it proves nothing or is old.
func (m packetMessage) handle(c *Controller) {
	c.counts.MailboxFull += m.missed
	p, err := Decode(c.opts.Key, m.data)
	if err != nil {
		c.counts.refuse(err)
		return
	}
	if p.VM == c.opts.VM {
		c.counts.OwnName++
		return
	}
	now := time.Now()
	if !c.fleet.Accept(p.State, now) {
		c.counts.Replayed++
		return
	}
	c.counts.Received++
	c.counts.ReceivedBytes += uint64(len(m.data))
	for _, h := range p.Halts {
		c.halts.Hear(h, now)
	}
	for _, r := range p.Crashes {
		c.crashes.Hear(r, now)
	}
	c.tellSections(receiveWork{p.State})
	for _, s := range p.Relayed {
		if s, ok := c.fleet.Relayed(s, now); ok {
			c.tellSections(receiveWork{s})
		}
	}
}

func (c *Controller) tellSections(w work) {
	if task.Tell(c.work, w) != nil {
		c.counts.SectionQueueFull++
	}
}

// mergeFacts adds the facts of more that list doesn't hold yet.
func mergeFacts[T comparable](list, more []T) []T {
	out := slices.Clone(list)
	for _, fact := range more {
		if !slices.Contains(out, fact) {
			out = append(out, fact)
		}
	}
	return out
}

// Counts says what became of the datagrams of a VM.
type Counts struct {
	Sent          uint64
	SentBytes     uint64
	SendFailed    uint64
	Received      uint64
	ReceivedBytes uint64
	BadSize       uint64
	BadVersion    uint64
	BadMAC        uint64
	Malformed     uint64
	// Replayed counts datagrams that came twice, out of order or from an earlier incarnation.
	Replayed uint64
	// OwnName counts datagrams under the VM's own name: another VM may have been given the same.
	OwnName uint64
	// MailboxFull counts datagrams that came faster than they could be read.
	MailboxFull uint64
	// SectionQueueFull counts states that a controller was too busy to give or take.
	SectionQueueFull uint64
}

func (c *Counts) refuse(err error) {
	switch {
	case errors.Is(err, ErrTruncated), errors.Is(err, ErrOversize):
		c.BadSize++
	case errors.Is(err, ErrVersion):
		c.BadVersion++
	case errors.Is(err, ErrMAC):
		c.BadMAC++
	default:
		c.Malformed++
	}
}

// work is done by the sections' own goroutine, so that the controller never waits for another.
type work interface {
	do(context.Context, *Controller)
}

type (
	collectWork struct{}
	receiveWork struct{ state State }
)

func (c *Controller) serveSections(ctx context.Context) error {
	for {
		select {
		case w := <-c.work:
			limited, cancel := context.WithTimeout(ctx, sectionDeadline)
			w.do(limited, c)
			cancel()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (collectWork) do(ctx context.Context, c *Controller) {
	var s State
	for _, section := range c.sections {
		if err := section.Collect(ctx, &s); err != nil {
			c.log.V(1).Info("state not collected", "error", err.Error())
		}
	}
	if err := task.Tell(c.mailbox, message(collectedMessage{s})); err != nil {
		c.log.V(1).Info("round skipped", "error", err.Error())
	}
}

func (w receiveWork) do(ctx context.Context, c *Controller) {
	for _, section := range c.sections {
		if err := section.Receive(ctx, w.state); err != nil {
			c.log.V(1).Info("state not received", "from", w.state.VM, "error", err.Error())
		}
	}
}
