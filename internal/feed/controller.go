package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
)

const (
	// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails with ErrFull beyond
	// it.
	mailboxSize = 4096
	// tickInterval is the time between two checks of what is due.
	tickInterval = 50 * time.Millisecond
	// retryPause is the mean pause after a failed scan or watch.
	retryPause = 300 * time.Millisecond
	// secretDelay is the longest random delay before a VM creates a missing secret, so that one VM creates it and the
	// others read it.
	secretDelay = 1500 * time.Millisecond
)

// Transport carries datagrams between VMs.
type Transport interface {
	// Run passes each received datagram to deliver until ctx ends.
	Run(ctx context.Context, deliver func(packet []byte) error) error
	// Send sends a datagram to host:port; it may get lost.
	Send(address string, packet []byte) error
}

// Options identifies the VM and sets its timing.
type Options struct {
	// Self is the VM's own member record.
	Self Member
	// PropagationBound is the time by which every VM must know a change of the store.
	PropagationBound time.Duration
	// Meter records the time of the Controller's messages; it may be nil.
	Meter task.Meter
}

// Controller keeps the VM's replica of the store up to date, by reading the store or by updates of other VMs, and gossips
// the state of the sections.
type Controller struct {
	mailbox   chan message
	source    Source
	registrar Registrar
	transport Transport
	receiver  Receiver
	opts      Options
	timing    Timing
	// sections are the controllers whose state is gossiped to other VMs.
	sections []peer.Section
	log      logr.Logger
	watch    *task.Stopwatch

	// ends receives the end of each of the runningTasks tasks.
	ends         chan task.End
	runningTasks int
	// synced is set by a full scan, and unset when another one is due. scanKeys holds the keys of a full scan until the
	// changes since then are known, and is nil otherwise.
	synced   bool
	replica  *Replica
	scanKeys []string
	// era is the store's era that replica and revision belong to; 0 if the store doesn't tell. eraSeen is a later one that a single
	// answer had. eraUnknown says that the last answer had none that can be right, though others did.
	era        uint64
	eraSeen    uint64
	eraUnknown bool
	// restores counts the later eras that began since the start.
	restores int
	// previous holds what was in force before the store was restored, until the first full scan of the era is complete, and is nil
	// otherwise. kept holds the items of that time which are still in force.
	previous map[string]Item
	kept     map[string]keptItem
	// keptAsked counts the questions for the items that others keep, the next of which is due at nextKept.
	keptAsked int
	nextKept  time.Time
	// completed says that a full scan was completed, so that the replica holds all changes up to revision, even if another
	// scan is due.
	completed bool
	// requireFresh makes the next full scan refuse stale pages.
	requireFresh bool
	// revision is the store's revision up to which the replica is complete.
	revision uint64
	// reading is set while a scan or watch runs; the next one starts at nextRead at the earliest.
	reading  bool
	nextRead time.Time
	// lastUpdateAt is when the replica was last known to be current; zero if an update is missing.
	lastUpdateAt time.Time
	// missingSince is when an update first showed that changes are missing, lastRequestAt when they were last asked for.
	missingSince  time.Time
	lastRequestAt time.Time
	// fleetRank is the VM's rank among all VMs, zoneRank that in its zone; zoneRank is -1 before the first scan.
	fleetRank int
	zoneRank  int
	// watchStartedAt is when the last watch began; readFailed is set if the last scan or watch failed.
	watchStartedAt time.Time
	readFailed     bool
	// members holds the VMs that have a member key, by name.
	members map[string]Member
	// zoneMembers holds the names that the receiver was last told; nil before the first full scan is complete.
	zoneMembers []string
	// secret is the key of the datagrams' MAC; empty before it was read.
	secret []byte
	// leases receives the lease of the VM's member key after the first scan of each era; 0 if there is none. leaseSent says that it did.
	leases    chan uint64
	leaseSent bool
	// secretMissing says that the store has no secret. secretDueAt is when the VM creates it then; creatingSecret is set once it does.
	secretMissing  bool
	secretDueAt    time.Time
	creatingSecret bool
	// forwarded holds the updates of the last resendWindow, oldest first.
	forwarded []forwardedRevision
	// reassemblers holds the incomplete updates, by the bytes of their number.
	reassemblers map[string]*Reassembler
	// applied holds the numbers of the last updates that were applied, whose datagrams may come again.
	applied []uint64
	// lastStates identifies the newest state of each VM. cursor, incarnation and sequence belong to this VM's own
	// state: incarnation is when the Controller was made, in Unix nanoseconds, sequence the number of the last state.
	lastStates map[string]stateID
	// transits tells how long the states of each VM take. started is the time of incarnation.
	transits    map[string]*transit
	started     time.Time
	cursor      peer.Cursor
	incarnation uint64
	sequence    uint64
	nextGossip  time.Time
	// nextRemote counts the states sent to other zones, to take their VMs in turn. VMs start at different ones, so that those of a
	// zone reach all other zones soon.
	nextRemote int
	// messageNumber is the number of the last message sent; its lower part starts at random.
	messageNumber uint64
	// outbox holds the datagrams of updates that wait to be sent.
	outbox Outbox
	// rejected counts datagrams that were not accepted.
	rejected int
}

// message is handled by Run, one at a time; only Run's goroutine uses the Controller's state.
type message interface {
	handle(ctx context.Context, c *Controller)
}

type (
	// scanMessage is the result of a full scan.
	scanMessage struct {
		items []Item
		// revision is that of the oldest page, era that of all pages.
		revision uint64
		era      uint64
		err      error
	}
	// watchMessage is the result of a watch: the changes after the revision from of the era fromEra.
	watchMessage struct {
		changes Changes
		from    uint64
		fromEra uint64
		err     error
	}
	// packetMessage is a received datagram.
	packetMessage struct{ data []byte }
)

// Size implements task.Sized: the items of a scan or a watch, or the bytes of a datagram.
func (m scanMessage) Size() int { return len(m.items) }

// Size implements task.Sized.
func (m watchMessage) Size() int { return len(m.changes.Items) }

// Size implements task.Sized.
func (m packetMessage) Size() int { return len(m.data) }

// New returns a Controller; Run starts it.
func New(source Source, registrar Registrar, transport Transport, receiver Receiver, o Options, log logr.Logger, sections ...peer.Section) *Controller {
	now := time.Now()
	return &Controller{
		mailbox: make(chan message, mailboxSize), source: source, registrar: registrar, transport: transport, receiver: receiver,
		opts: o, watch: task.NewStopwatch("feed", o.Meter, log), timing: NewTiming(o.PropagationBound), log: log, zoneRank: -1, leases: make(chan uint64, 1), ends: make(chan task.End, 4), members: map[string]Member{}, replica: NewReplica(),
		kept:         map[string]keptItem{},
		reassemblers: map[string]*Reassembler{}, sections: sections, lastStates: map[string]stateID{}, transits: map[string]*transit{},
		started: now, incarnation: uint64(now.UnixNano()), messageNumber: messageBase(o.Self.VM) | uint64(rand.Uint32()>>1),
		outbox: Outbox{budget: sendBurst}, nextRemote: rand.IntN(maxRemoteStart),
	}
}

// Run follows the store, registers the VM as a member and gossips its state until ctx ends. The platform VM runs it as a
// task. If the transport fails, it logs that and goes on with the store alone.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.start(ctx, "transport", func(ctx context.Context) error {
		err := c.transport.Run(ctx, func(p []byte) error { return task.Tell(c.mailbox, message(packetMessage{p})) })
		if err != nil && ctx.Err() == nil {
			c.log.Info("no updates from peers", "error", err.Error())
			<-ctx.Done()
		}
		return ctx.Err()
	})
	c.start(ctx, "registration", func(ctx context.Context) error {
		return KeepRegistered(ctx, c.registrar, c.opts.Self, c.leases, c.log)
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.startRead(ctx, time.Now())
	for {
		select {
		case m := <-c.mailbox:
			started := time.Now()
			m.handle(ctx, c)
			c.watch.Handled(started, m)
		case <-c.ends:
			c.runningTasks--
		case now := <-ticker.C:
			started := time.Now()
			c.startRead(ctx, now)
			c.releaseOverdue(ctx, now)
			c.requestKept(now)
			c.createSecretIfDue(ctx, now)
			c.gossip(ctx, now)
			c.sendWaiting(now)
			c.requestParts(ctx, now)
			c.watch.Ticked(started)
		case <-ctx.Done():
			return task.Stop(cancel, c.ends, c.runningTasks)
		}
	}
}

// start runs f as a task whose end Run receives.
func (c *Controller) start(ctx context.Context, name string, f func(context.Context) error) {
	c.runningTasks++
	task.Start(ctx, name, c.ends, f)
}

// tell puts m into the controller's mailbox; the controller's tasks call it.
func (c *Controller) tell(ctx context.Context, m message) error {
	return task.TellUntil(ctx, c.mailbox, m)
}

// createSecretIfDue creates the secret if there is still none after the delay. Every VM but the zone's reader waits
// secretDelay longer. Run calls it at each tick.
func (c *Controller) createSecretIfDue(ctx context.Context, now time.Time) {
	if c.creatingSecret || !c.secretMissing || now.Before(c.secretDueAt) {
		return
	}
	if c.zoneRank != rankReader && now.Before(c.secretDueAt.Add(secretDelay)) {
		return
	}
	c.creatingSecret = true
	secret := c.secret
	c.start(ctx, "secret", func(ctx context.Context) error { return createSecret(ctx, c.registrar, secret, c.log) })
}

// jitter returns a random duration from d/2 up to 3d/2.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
