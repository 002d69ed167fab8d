package quarantine

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

const (
	// mailboxSize is the maximum number of messages that wait for the Controller; task.Tell fails beyond it.
	mailboxSize = 4096
	// sweepInterval is how often old crashes are removed.
	sweepInterval = time.Minute
	// announceTime is how long a crash seen by this VM is sent to peers, which pass it on.
	announceTime = 10 * time.Second
	// maxAnnouncements is the maximum number of crashes that are announced at the same time, maxReportsPerState that of
	// those in one gossiped state.
	maxAnnouncements   = 64
	maxReportsPerState = 8
)

// Controller owns the records of crashes and announces the crashes that this VM saw to its peers.
type Controller struct {
	mailbox chan message
	log     logr.Logger
	records Records
	// announcements are ordered by the time at which they expire.
	announcements []announcement
}

// announcement is a crash that is sent to peers until the given time.
type announcement struct {
	report peer.CrashReport
	until  time.Time
}

// New makes a Controller; Run starts it.
func New(log logr.Logger) *Controller {
	return &Controller{mailbox: make(chan message, mailboxSize), log: log, records: Records{}}
}

// message is handled by the goroutine of Run, which owns the state.
type message interface{ handle(*Controller) }

type (
	checkMessage struct {
		fingerprint uint64
		reply       chan<- time.Duration
	}
	crashMessage   struct{ report peer.CrashReport }
	receiveMessage struct{ reports []peer.CrashReport }
	collectMessage struct{ reply chan<- []peer.CrashReport }
)

// Run handles messages and removes old crashes until ctx ends. The VM runs it as a task.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case now := <-ticker.C:
			c.records.Sweep(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Check implements filter.Quarantines. It returns an error, and the request is refused, if the request is in quarantine
// or the Controller doesn't reply. Filter Quarantine calls it for each request.
func (c *Controller) Check(ctx context.Context, fingerprint uint64) error {
	remaining, err := task.Ask(ctx, c.mailbox, func(reply chan<- time.Duration) message { return checkMessage{fingerprint, reply} })
	if err != nil {
		return result.Errorf(result.QueueFull, "check quarantine: %v", err).WithRetryAfter(time.Second)
	}
	if remaining > 0 {
		return result.Errorf(result.RequestQuarantined, "request crashed endpoints while they ran it").WithRetryAfter(remaining)
	}
	return nil
}

// Crashed implements endpoint.Crashes and pool.Crashes: it counts a crash that this VM saw. If the mailbox is full, it
// fails and the crash isn't counted.
func (c *Controller) Crashed(_ context.Context, fingerprint uint64, endpoint string) error {
	return task.Tell(c.mailbox, message(crashMessage{peer.CrashReport{Fingerprint: fingerprint, Endpoint: endpoint}}))
}

// Collect implements peer.Section. It adds the crashes that are announced to the state.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	reports, err := task.Ask(ctx, c.mailbox, func(reply chan<- []peer.CrashReport) message { return collectMessage{reply} })
	s.Crashes = append(s.Crashes, reports...)
	return err
}

// Receive implements peer.Section. It counts the crashes in a peer's state.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if len(s.Crashes) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(receiveMessage{s.Crashes}))
}

func (m checkMessage) handle(c *Controller) {
	m.reply <- c.records.Remaining(m.fingerprint, time.Now())
}

func (m crashMessage) handle(c *Controller) {
	now := time.Now()
	c.addCrash(m.report, now)
	if len(c.announcements) < maxAnnouncements {
		c.announcements = append(c.announcements, announcement{m.report, now.Add(announceTime)})
	}
}

func (m receiveMessage) handle(c *Controller) {
	for _, r := range m.reports {
		c.addCrash(r, time.Now())
	}
}

// addCrash adds a crash and logs it if it quarantines the request. It is called for crashes that this VM or a peer saw.
func (c *Controller) addCrash(r peer.CrashReport, now time.Time) {
	before := c.records.Remaining(r.Fingerprint, now)
	if c.records.AddCrash(r, now) && before == 0 && c.records.Remaining(r.Fingerprint, now) > 0 {
		c.log.Info("request quarantined", "fingerprint", r.Fingerprint, "endpoint", r.Endpoint, "seconds", Duration.Seconds())
	}
}

// handle drops the expired announcements and answers with the oldest of the others. Collect sends the message for each
// gossiped state.
func (m collectMessage) handle(c *Controller) {
	now := time.Now()
	for len(c.announcements) > 0 && !now.Before(c.announcements[0].until) {
		c.announcements = c.announcements[1:]
	}
	var reports []peer.CrashReport
	for _, a := range c.announcements[:min(len(c.announcements), maxReportsPerState)] {
		reports = append(reports, a.report)
	}
	m.reply <- reports
}
