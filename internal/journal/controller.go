package journal

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	mailboxSize   = 4096
	partitions    = 4
	maxPartitions = 256
	sweepInterval = 10 * time.Second
)

// Options are the journal's settings.
type Options struct {
	VM          string
	Incarnation uint64
	Region      string
	// Address is where this VM answers other entry VMs.
	Address string
	// ClaimFor is how long a claim may be used; ResendWindow is how long a request ID is remembered.
	ClaimFor     time.Duration
	ResendWindow time.Duration
	// BillHold is how long the end of an answer waits for its bill.
	BillHold time.Duration
	// MaxBills bounds the requests that run or whose bill isn't written.
	MaxBills  int
	KeptBytes int
	// WritesPerSecond bounds the writes of one partition by this VM.
	WritesPerSecond int
	ForwardTimeout  time.Duration
}

// Controller owns the requests that this VM runs and the answers that it keeps, and starts the partitions.
type Controller struct {
	mailbox chan message
	ends    chan task.End
	store   Store
	members Members
	peers   Peers
	log     logr.Logger
	opts    Options

	partitions map[partitionID]inbox
	live       map[Key]*request
	kept       []keptAnswer
	keptBytes  int
	entries    uint64
	// outstanding counts the requests that run here and the bills that aren't written.
	outstanding int
}

// inbox is where a partition takes messages. The room for bills is that of MaxBills, so that no bill is refused.
type inbox struct {
	appends chan<- appendMessage
	bills   chan<- appendMessage
}

// New makes a Controller; Run starts it.
func New(store Store, members Members, peers Peers, opts Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), ends: make(chan task.End, maxPartitions),
		store: store, members: members, peers: peers, log: log, opts: opts,
		partitions: map[partitionID]inbox{}, live: map[Key]*request{},
	}
}

type message interface {
	handle(context.Context, *Controller)
}

type (
	partitionMessage struct {
		id    partitionID
		reply chan<- inbox
	}
	billMessage struct {
		bill  Bill
		reply chan<- Outcome
	}
	billedMessage struct{ bills int }
	countsMessage struct{ reply chan<- Counts }
)

// Counts says what the journal holds.
type Counts struct {
	// Outstanding counts the requests that run here or whose bill isn't written.
	Outstanding int
	Kept        int
	KeptBytes   int
}

// Run owns the state until ctx ends and the partitions have written what waits.
func (c *Controller) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(running, c)
		case now := <-sweep.C:
			c.evict(now)
		case end := <-c.ends:
			c.ends <- end
			return task.Stop(cancel, c.ends, len(c.partitions))
		case <-ctx.Done():
			if err := task.Stop(cancel, c.ends, len(c.partitions)); err != nil {
				return err
			}
			return ctx.Err()
		}
	}
}

// partition returns the inbox of the partition and starts its task if it doesn't run yet.
func (c *Controller) partition(ctx context.Context, id partitionID) inbox {
	in, ok := c.partitions[id]
	if ok || len(c.partitions) >= maxPartitions {
		return in
	}
	p := newPartition(id, c)
	in = inbox{p.mailbox, p.bills}
	c.partitions[id] = in
	task.Start(ctx, p.id.key("task"), c.ends, p.run)
	return in
}

func (m partitionMessage) handle(ctx context.Context, c *Controller) {
	m.reply <- c.partition(ctx, m.id)
}

func (m billMessage) handle(ctx context.Context, c *Controller) {
	if r, ok := c.live[m.bill.Key]; ok && !r.billed && r.running {
		r.billed = true
	} else {
		c.outstanding++
	}
	e := c.entry(EntryBilled, m.bill.Key)
	e.Runs = m.bill.Runs
	in := c.partition(ctx, partitionOf(m.bill.Key))
	if err := task.Tell(in.bills, appendMessage{entry: e, reply: m.reply}); err != nil {
		c.outstanding--
		c.log.Error(err, "bill lost", "account", m.bill.Key.Account, "request_id", m.bill.Key.Request, "runs", m.bill.Runs)
	}
}

func (m countsMessage) handle(_ context.Context, c *Controller) {
	m.reply <- Counts{c.outstanding, len(c.kept), c.keptBytes}
}

// Counts returns what the journal holds now.
func (c *Controller) Counts(ctx context.Context) (Counts, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Counts) message { return countsMessage{reply} })
}

func (m billedMessage) handle(_ context.Context, c *Controller) { c.outstanding -= m.bills }

// entry makes an entry with an ID that no other has.
func (c *Controller) entry(kind EntryKind, k Key) Entry {
	c.entries++
	return Entry{
		ID:   fmt.Sprintf("%s-%x-%d", c.opts.VM, c.opts.Incarnation, c.entries),
		Kind: kind, Key: k, VM: c.opts.VM, UnixMs: time.Now().UnixMilli(),
	}
}

// Bill implements filter.Journal. It returns once the bill is written or has been held for the limit; a bill that was
// taken is written later however long the platform is out.
func (c *Controller) Bill(ctx context.Context, b Bill) error {
	reply := make(chan Outcome, 1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	if err := c.send(ctx, billMessage{b, reply}); err != nil {
		return result.Errorf(result.BillsFull, "%v", err)
	}
	hold := time.NewTimer(c.opts.BillHold)
	defer hold.Stop()
	select {
	case <-reply:
	case <-hold.C:
	case <-ctx.Done():
	}
	return nil
}

// send waits for room in the mailbox, for what must not be refused.
func (c *Controller) send(ctx context.Context, m message) error {
	return task.TellUntil(ctx, c.mailbox, m)
}

// inbox asks for the partition's inbox.
func (c *Controller) inbox(ctx context.Context, id partitionID) (inbox, error) {
	in, err := task.Ask(ctx, c.mailbox, func(reply chan<- inbox) message { return partitionMessage{id, reply} })
	if err == nil && in.appends == nil {
		err = task.ErrFull
	}
	return in, err
}

// Append writes entries of another VM to the log, in order, and fails if one of them could not be written.
func (c *Controller) Append(ctx context.Context, region string, number int, entries []Entry) ([]Outcome, error) {
	if number < 0 || number >= partitions {
		return nil, fmt.Errorf("partition %d is not one of %d", number, partitions)
	}
	in, err := c.inbox(ctx, partitionID{region, number})
	if err != nil {
		return nil, err
	}
	replies := make(chan Outcome, len(entries))
	outcomes := make([]Outcome, 0, len(entries))
	for _, e := range entries {
		if err := task.Tell(in.appends, appendMessage{entry: e, direct: true, reply: replies}); err != nil {
			return nil, err
		}
	}
	for range entries {
		select {
		case o := <-replies:
			if o.Failed {
				return nil, fmt.Errorf("partition can't be written: %s", o.Detail)
			}
			outcomes = append(outcomes, o)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return outcomes, nil
}

func partitionOf(k Key) partitionID {
	return partitionID{k.Region, int(xxhash.Sum64String(k.Account+"\x00"+k.Request) % partitions)}
}
