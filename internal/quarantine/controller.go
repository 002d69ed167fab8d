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
	mailboxSize   = 4096
	sweepInterval = time.Minute
	// tellFor is how long a crash seen by this VM is told to peers, which pass it on.
	tellFor  = 10 * time.Second
	maxTold  = 64
	mostTold = 8
)

// Controller owns the cases and tells peers of the crashes that this VM saw.
type Controller struct {
	mailbox chan message
	log     logr.Logger
	cases   Cases
	told    []told
}

type told struct {
	report peer.CrashReport
	until  time.Time
}

// New makes a Controller; Run starts it.
func New(log logr.Logger) *Controller {
	return &Controller{mailbox: make(chan message, mailboxSize), log: log, cases: Cases{}}
}

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

// Run owns the state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case now := <-ticker.C:
			c.cases.Sweep(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Check implements filter.Quarantines.
func (c *Controller) Check(ctx context.Context, fingerprint uint64) error {
	left, err := task.Ask(ctx, c.mailbox, func(reply chan<- time.Duration) message { return checkMessage{fingerprint, reply} })
	if err != nil {
		return result.Errorf(result.QueueFull, "quarantine: %v", err).WithRetryAfter(time.Second)
	}
	if left > 0 {
		return result.Errorf(result.RequestQuarantined, "endpoints crashed while they ran this request").WithRetryAfter(left)
	}
	return nil
}

// Crashed implements endpoint.Crashes.
func (c *Controller) Crashed(_ context.Context, fingerprint uint64, endpoint string) error {
	return task.Tell(c.mailbox, message(crashMessage{peer.CrashReport{Fingerprint: fingerprint, Endpoint: endpoint}}))
}

// Collect implements peer.Section.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	reports, err := task.Ask(ctx, c.mailbox, func(reply chan<- []peer.CrashReport) message { return collectMessage{reply} })
	s.Crashes = append(s.Crashes, reports...)
	return err
}

// Receive implements peer.Section.
func (c *Controller) Receive(_ context.Context, s peer.State) error {
	if len(s.Crashes) == 0 {
		return nil
	}
	return task.Tell(c.mailbox, message(receiveMessage{s.Crashes}))
}

func (m checkMessage) handle(c *Controller) { m.reply <- c.cases.Left(m.fingerprint, time.Now()) }

func (m crashMessage) handle(c *Controller) {
	now := time.Now()
	c.hear(m.report, now)
	if len(c.told) < maxTold {
		c.told = append(c.told, told{m.report, now.Add(tellFor)})
	}
}

func (m receiveMessage) handle(c *Controller) {
	for _, r := range m.reports {
		c.hear(r, time.Now())
	}
}

func (c *Controller) hear(r peer.CrashReport, now time.Time) {
	before := c.cases.Left(r.Fingerprint, now)
	if c.cases.Hear(r, now) && before == 0 && c.cases.Left(r.Fingerprint, now) > 0 {
		c.log.Info("request quarantined", "fingerprint", r.Fingerprint, "endpoint", r.Endpoint, "seconds", Term.Seconds())
	}
}

func (m collectMessage) handle(c *Controller) {
	now := time.Now()
	for len(c.told) > 0 && !now.Before(c.told[0].until) {
		c.told = c.told[1:]
	}
	var reports []peer.CrashReport
	for _, t := range c.told[:min(len(c.told), mostTold)] {
		reports = append(reports, t.report)
	}
	m.reply <- reports
}
