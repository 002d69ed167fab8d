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
	// mailboxSize is the maximum number of messages that wait for the Controller; beyond it, Tell fails with ErrFull and
	// send waits.
	mailboxSize = 4096
	// partitions is the number of partitions of each region. All VMs must agree on it, as it decides where a request's
	// entries are.
	partitions = 4
	// maxPartitions bounds the partition tasks of this VM over all regions.
	maxPartitions = 256
	// sweepInterval is the time between two evictions of kept answers that passed the resend window.
	sweepInterval = 10 * time.Second
)

// Options are the settings of a Controller.
type Options struct {
	// VM is the name of this VM.
	VM string
	// Incarnation is when its process started, in Unix nanoseconds; it tells a restarted VM from the one before.
	Incarnation uint64
	// Region is the region of this VM. A VM owns partitions of its own region only.
	Region string
	// Address is the address at which this VM serves other entry VMs.
	Address string
	// ClaimFor is how long a claim may be used; ResendWindow is how long a request ID is remembered.
	ClaimFor     time.Duration
	ResendWindow time.Duration
	// BillHold is how long the end of an answer waits at most for its bill to be written.
	BillHold time.Duration
	// MaxBills is the maximum number of requests that run or whose bill isn't written.
	MaxBills int
	// KeptBytes is the maximum size of the kept answers, in bytes.
	KeptBytes int
	// WritesPerSecond limits this VM's writes to one partition.
	WritesPerSecond int
	// ForwardTimeout bounds one append at another VM.
	ForwardTimeout time.Duration
}

// Controller owns the requests that this VM runs and the answers that it keeps, and starts the partitions' tasks. It
// implements filter.Journal for the filters and serves the journals of other VMs with Append and Find.
type Controller struct {
	mailbox chan message
	ends    chan task.End
	store   Store
	members Members
	peers   Peers
	log     logr.Logger
	opts    Options

	partitions map[partitionID]inbox
	// requests holds the requests that run here and those whose answer is kept.
	requests map[Key]*request
	// keptAnswers holds the kept answers, oldest first, and keptBytes the sum of their sizes.
	keptAnswers []keptAnswer
	keptBytes   int
	// entrySeq is the number in the ID of the last entry made here.
	entrySeq uint64
	// outstanding is the number of requests that run here or whose bill isn't written.
	outstanding int
}

// inbox holds the channels of a partition. The one for bills has room for MaxBills messages, so that no bill is refused.
type inbox struct {
	appends chan<- appendMessage
	bills   chan<- appendMessage
}

// New makes a Controller; Run starts it.
func New(store Store, members Members, peers Peers, opts Options, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), ends: make(chan task.End, maxPartitions),
		store: store, members: members, peers: peers, log: log, opts: opts,
		partitions: map[partitionID]inbox{}, requests: map[Key]*request{},
	}
}

// message is handled by the Controller's task, which alone may use its state.
type message interface {
	handle(context.Context, *Controller)
}

type (
	// partitionMessage asks for the inbox of a partition, which is started if needed.
	partitionMessage struct {
		id    partitionID
		reply chan<- inbox
	}
	// billMessage passes a bill on to its partition.
	billMessage struct {
		bill  Bill
		reply chan<- Outcome
	}
	// billedMessage comes from a partition that has written bills of this VM.
	billedMessage struct{ bills int }
	// countsMessage asks for Counts.
	countsMessage struct{ reply chan<- Counts }
)

// Counts are numbers for the journal's metrics.
type Counts struct {
	// Outstanding is the number of requests that run here or whose bill isn't written.
	Outstanding int
	// Kept is the number of kept answers, KeptBytes their size in bytes.
	Kept      int
	KeptBytes int
}

// Run handles messages until ctx ends or a partition fails. It then stops the partitions, which write their backlogs first,
// and waits for them. The entry VM runs it as a task.
func (c *Controller) Run(ctx context.Context) error {
	partitionCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(partitionCtx, c)
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

// partition returns the inbox of the partition and starts its task if it isn't running. The inbox is empty if too many
// partitions run. The handlers of partitionMessage and billMessage call it.
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

// handle puts the bill into the inbox of its partition. The bill takes over the request's place in outstanding if the
// request still runs here. Bill sends the message. If the inbox is empty or full, the bill is lost and logged.
func (m billMessage) handle(ctx context.Context, c *Controller) {
	if r, ok := c.requests[m.bill.Key]; ok && !r.billed && r.running {
		r.billed = true
	} else {
		c.outstanding++
	}
	e := c.newEntry(EntryBilled, m.bill.Key)
	e.Runs = m.bill.Runs
	in := c.partition(ctx, partitionOf(m.bill.Key))
	if err := task.Tell(in.bills, appendMessage{entry: e, reply: m.reply}); err != nil {
		c.outstanding--
		c.log.Error(err, "bill lost", "account", m.bill.Key.Account, "request_id", m.bill.Key.Request, "runs", m.bill.Runs)
	}
}

func (m countsMessage) handle(_ context.Context, c *Controller) {
	m.reply <- Counts{c.outstanding, len(c.keptAnswers), c.keptBytes}
}

// Counts returns the current counts, for the metrics.
func (c *Controller) Counts(ctx context.Context) (Counts, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- Counts) message { return countsMessage{reply} })
}

func (m billedMessage) handle(_ context.Context, c *Controller) { c.outstanding -= m.bills }

// newEntry makes an entry with a unique ID: the VM, its incarnation and a number.
func (c *Controller) newEntry(kind EntryKind, k Key) Entry {
	c.entrySeq++
	return Entry{
		ID:   fmt.Sprintf("%s-%x-%d", c.opts.VM, c.opts.Incarnation, c.entrySeq),
		Kind: kind, Key: k, VM: c.opts.VM, UnixMs: time.Now().UnixMilli(),
	}
}

// Bill implements filter.Journal. It returns once the bill is written or BillHold has passed; an accepted bill is kept and
// retried while the platform is down. It fails only if the Controller's mailbox has no room. The Bill filter calls it
// before it passes on the last chunk of an answer, and after a failed request that an endpoint ran.
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

// send puts m into the mailbox and waits for room until ctx ends. It is for messages that must not be dropped.
func (c *Controller) send(ctx context.Context, m message) error {
	return task.TellUntil(ctx, c.mailbox, m)
}

// inbox asks the Controller's task for the inbox of a partition. Append, appendStarted and Release call it from other
// goroutines. It fails with task.ErrFull if too many partitions run or the mailbox is full.
func (c *Controller) inbox(ctx context.Context, id partitionID) (inbox, error) {
	in, err := task.Ask(ctx, c.mailbox, func(reply chan<- inbox) message { return partitionMessage{id, reply} })
	if err == nil && in.appends == nil {
		err = task.ErrFull
	}
	return in, err
}

// Append appends entries that another VM forwarded, in order, and returns their outcomes. It fails if one of them could
// not be written; the others may have been appended then. The service for other entry VMs calls it.
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
		if err := task.Tell(in.appends, appendMessage{entry: e, forwarded: true, reply: replies}); err != nil {
			return nil, err
		}
	}
	for range entries {
		select {
		case o := <-replies:
			if o.Failed {
				return nil, fmt.Errorf("append to journal partition failed: %s", o.Detail)
			}
			outcomes = append(outcomes, o)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return outcomes, nil
}

// partitionOf returns the partition that holds the entries of a request.
func partitionOf(k Key) partitionID {
	return partitionID{k.Region, int(xxhash.Sum64String(k.Account+"\x00"+k.Request) % partitions)}
}
