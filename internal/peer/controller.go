package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

const (
	// mailboxSize is the maximum number of messages that wait for the Controller, and of calls of the sections that
	// wait; task.Tell fails with ErrFull beyond it.
	mailboxSize = 1024
	// roundInterval is the time between two rounds, less a random part of up to 1/jitterDivisor of it.
	roundInterval = time.Second
	jitterDivisor = 10
	// maxRelayed is the maximum number of relayed states offered to one datagram; fewer fit.
	maxRelayed = 32
	// leaveSends is how many times a VM announces that it leaves, leaveInterval the time between two announcements.
	leaveSends    = 3
	leaveInterval = 100 * time.Millisecond
)

// Transport carries datagrams of at most MaxPacketBytes between VMs.
type Transport interface {
	// Run passes each received datagram to deliver until ctx ends; deliver doesn't block and takes ownership of the
	// slice.
	Run(ctx context.Context, deliver func(packet []byte) error) error
	// Send sends a datagram to host:port without blocking.
	Send(address string, packet []byte) error
}

// Options identifies the VM and tells how others reach it. The addresses are as in State.
type Options struct {
	VM string
	// Incarnation is the start of this process, in Unix nanoseconds.
	Incarnation    uint64
	Region         string
	Zone           string
	ControlAddress string
	PeerAddress    string
	// Key is the fleet key, which authenticates datagrams.
	Key []byte
}

// Controller keeps what a VM knows of the other VMs, and exchanges the state of the sections with them.
type Controller struct {
	mailbox chan message
	// sectionQueue holds calls of the sections, which another goroutine makes.
	sectionQueue chan sectionWork
	transport    Transport
	registry     Registry
	sections     []Section
	opts         Options
	log          logr.Logger
	random       *rand.Rand

	fleet   *Fleet
	halts   Gossip[Halt]
	crashes Gossip[CrashReport]
	// nearCursor and farCursor are the cursors of the datagrams to the VM's region and to other regions.
	nearCursor Cursor
	farCursor  Cursor
	// sequence is that of the last datagram sent.
	sequence uint64
	leaving  bool
	// leaveStarted is closed when the VM begins to leave; leaveSendsLeft counts the announcements still to send.
	leaveStarted   chan struct{}
	leaveSendsLeft int
	counts         Counts
}

// New returns a Controller; Run starts it. The registry and the sections may be nil.
func New(opts Options, transport Transport, registry Registry, sections []Section, log logr.Logger) *Controller {
	self := Member{
		VM: opts.VM, Incarnation: opts.Incarnation, Region: opts.Region, Zone: opts.Zone,
		ControlAddress: opts.ControlAddress, PeerAddress: opts.PeerAddress, Health: Alive,
	}
	return &Controller{
		mailbox: make(chan message, mailboxSize), sectionQueue: make(chan sectionWork, mailboxSize),
		transport: transport, registry: registry, sections: sections, opts: opts, log: log,
		random: rand.New(rand.NewPCG(opts.Incarnation, 0)),
		fleet:  NewFleet(self), leaveStarted: make(chan struct{}),
	}
}

// Attach adds sections; it must be called before Run.
func (c *Controller) Attach(sections ...Section) { c.sections = append(c.sections, sections...) }

// message is handled by Run, one at a time; only Run's goroutine uses the Controller's state.
type message interface{ handle(*Controller) }

type (
	packetMessage struct {
		data []byte
		// dropped counts the datagrams that a full mailbox dropped before this one.
		dropped uint64
	}
	// listMessage holds the VMs that the platform lists.
	listMessage struct{ members []Member }
	// collectedMessage holds the collected state of the sections.
	collectedMessage struct{ state State }
	leaveMessage     struct{}
	membersMessage   struct{ reply chan<- []Member }
	countsMessage    struct{ reply chan<- Counts }
)

// Run exchanges state in rounds until ctx or one of its tasks ends. The entry VM runs it as a task.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	children := []struct {
		name string
		run  func(context.Context) error
	}{
		{"transport", func(ctx context.Context) error { return c.transport.Run(ctx, c.newDeliver()) }},
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
			if c.leaveSendsLeft == leaveSends {
				timer.Reset(0)
			}
		case <-timer.C:
			timer.Reset(c.startRound())
		case end := <-ends:
			ends <- end
			return task.Stop(cancel, ends, len(children))
		case <-ctx.Done():
			return task.Stop(cancel, ends, len(children))
		}
	}
}

// newDeliver returns the function that puts received datagrams into the mailbox; a full mailbox drops them. Run passes the
// function to the transport, and only its receiving goroutine calls it.
func (c *Controller) newDeliver() func([]byte) error {
	var dropped uint64
	return func(packet []byte) error {
		err := task.Tell(c.mailbox, message(packetMessage{packet, dropped}))
		if err != nil {
			dropped++
			return err
		}
		dropped = 0
		return nil
	}
}

// Members returns the VM itself and every other one that the platform lists or that a state came from. The endpoint
// controller, the partitions of the journal, the status call and the metrics use it.
func (c *Controller) Members(ctx context.Context) ([]Member, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- []Member) message { return membersMessage{reply} })
}

// Counts returns the counters of sent and received datagrams, for the metrics.
func (c *Controller) Counts(ctx context.Context) (Counts, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Counts) message { return countsMessage{reply} })
}

// Leave announces to every member that the VM is shutting down, and removes it from the platform's list. It is called
// at the start of a graceful shutdown.
func (c *Controller) Leave(_ context.Context) error {
	return task.Tell(c.mailbox, message(leaveMessage{}))
}

// handle replies with the members, the VM itself first.
func (m membersMessage) handle(c *Controller) {
	self := c.fleet.Self
	self.Leaving = c.leaving
	out := append(make([]Member, 0, len(c.fleet.Members)+1), self)
	for _, name := range c.fleet.sortedNames() {
		out = append(out, c.fleet.Members[name].Member)
	}
	m.reply <- out
}

func (m countsMessage) handle(c *Controller) { m.reply <- c.counts }

func (m listMessage) handle(c *Controller) { c.fleet.ApplyList(m.members, time.Now()) }

// handle starts the announcements; a second call does nothing.
func (leaveMessage) handle(c *Controller) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.leaveSendsLeft = leaveSends
	close(c.leaveStarted)
}

// startRound updates the members' health and either announces that the VM leaves or has the sections collected for the
// next exchange. It returns the time until the next round. Run calls it when its timer fires.
func (c *Controller) startRound() time.Duration {
	c.fleet.UpdateHealth(time.Now())
	if c.leaveSendsLeft > 0 {
		c.leaveSendsLeft--
		c.announceLeaving()
		return leaveInterval
	}
	c.queueSectionWork(collectWork{})
	return roundInterval - time.Duration(c.random.Int64N(int64(roundInterval/jitterDivisor)))
}

// announceLeaving sends every member that isn't dead a datagram with the VM's own fields and no lists. startRound calls it
// leaveSends times in place of the exchange.
func (c *Controller) announceLeaving() {
	packet, _, err := (&Cursor{}).Encode(c.opts.Key, Packet{State: c.addOwnFields(State{})})
	if err != nil {
		c.log.Error(err, "leaving not announced")
		return
	}
	for _, address := range c.fleet.Addresses() {
		c.send(address, packet)
	}
}

// addOwnFields returns s with the VM's own fields and the next sequence. It is called for each datagram sent.
func (c *Controller) addOwnFields(s State) State {
	c.sequence++
	s.VM, s.Incarnation, s.Sequence = c.opts.VM, c.opts.Incarnation, c.sequence
	s.Region, s.Zone = c.opts.Region, c.opts.Zone
	s.ControlAddress, s.PeerAddress = c.opts.ControlAddress, c.opts.PeerAddress
	s.Leaving = s.Leaving || c.leaving
	return s
}

// handle sends the collected state to the targets of the round, together with the halts and crashes received from peers.
// Endpoints and sessions go to the VM's own region only. collectWork sends the message once per round.
func (m collectedMessage) handle(c *Controller) {
	now := time.Now()
	s := m.state
	c.fleet.Self.Revision = s.Revision
	s.Halts = mergeUnique(s.Halts, c.halts.NextRound(now))
	s.Crashes = mergeUnique(s.Crashes, c.crashes.NextRound(now))
	targets := c.fleet.ChooseTargets(c.random)
	c.sendState(&c.nearCursor, s, targets.Near)
	s.Endpoints, s.Sessions = nil, nil
	c.sendState(&c.farCursor, s, targets.Far)
}

// sendState sends a state and relayed states of other VMs to each address. It is called in each round, for the near and for
// the far targets. If a datagram can't be encoded, the remaining addresses get none in this round.
func (c *Controller) sendState(cursor *Cursor, s State, addresses []string) {
	for _, address := range addresses {
		relayed := c.fleet.SelectRelayed(maxRelayed, time.Now(), c.random)
		packet, n, err := cursor.Encode(c.opts.Key, Packet{State: c.addOwnFields(s), Relayed: relayed})
		if err != nil {
			c.log.Error(err, "datagram not sent")
			return
		}
		c.fleet.MarkRelayed(relayed[:n])
		c.send(address, packet)
	}
}

// send sends a datagram and counts it.
func (c *Controller) send(address string, packet []byte) {
	if err := c.transport.Send(address, packet); err != nil {
		c.counts.SendFailed++
		return
	}
	c.counts.Sent++
	c.counts.SentBytes += uint64(len(packet))
}

// handle checks a received datagram and passes its states to the sections, unless they are older than known ones. A datagram
// that is rejected, replayed or carries the VM's own name is only counted. The transport delivers one message for each
// datagram.
func (m packetMessage) handle(c *Controller) {
	c.counts.MailboxFull += m.dropped
	p, err := Decode(c.opts.Key, m.data)
	if err != nil {
		c.counts.countRejected(err)
		return
	}
	if p.VM == c.opts.VM {
		c.counts.OwnName++
		return
	}
	now := time.Now()
	if !c.fleet.AcceptDirect(p.State, now) {
		c.counts.Replayed++
		return
	}
	c.counts.Received++
	c.counts.ReceivedBytes += uint64(len(m.data))
	for _, h := range p.Halts {
		c.halts.Add(h, now)
	}
	for _, r := range p.Crashes {
		c.crashes.Add(r, now)
	}
	c.queueSectionWork(receiveWork{p.State})
	for _, s := range p.Relayed {
		if s, ok := c.fleet.AcceptRelayed(s, now); ok {
			c.queueSectionWork(receiveWork{s})
		}
	}
}

// mergeUnique returns list with the elements of more that it doesn't hold. The handler of collectedMessage adds the facts of
// peers to the VM's own ones with it.
func mergeUnique[T comparable](list, more []T) []T {
	out := slices.Clone(list)
	for _, fact := range more {
		if !slices.Contains(out, fact) {
			out = append(out, fact)
		}
	}
	return out
}
