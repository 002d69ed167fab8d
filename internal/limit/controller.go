package limit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/configuration"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	mailboxSize   = 4096
	sweepInterval = 10 * time.Second
	// maxQuestions and maxOffers bound what one datagram carries.
	maxQuestions = 8
	maxOffers    = 8
	offerRounds  = 3
	maxAsked     = 4096
	leastRetry   = 100 * time.Millisecond
)

// Configurations gives the newest configuration.
type Configurations interface {
	Current(ctx context.Context) (configuration.Snapshot, error)
}

// Controller owns the ledgers of the client accounts that have requests or loans; the others cost nothing.
type Controller struct {
	mailbox        chan message
	configurations Configurations
	vm             string
	vms            int
	startedAt      time.Time
	log            logr.Logger
	ledgers        map[string]*Ledger
	rates          map[string]Rate
	revision       uint64
	// asked holds the stamps of the VM's own questions with the time of each.
	asked  map[uint64]time.Time
	offers []offered
}

// offered is a loan that is told to its borrower in a few rounds.
type offered struct {
	account string
	loan    peer.LimitLoan
	rounds  int
}

// New makes a Controller; Run starts it. VMs is the most entry VMs that serve at a time: while it holds, the shares of
// an account never sum to more than its limit.
func New(configurations Configurations, vm string, vms int, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), configurations: configurations, vm: vm, vms: vms, startedAt: time.Now(),
		log: log, ledgers: map[string]*Ledger{}, rates: map[string]Rate{}, asked: map[uint64]time.Time{},
	}
}

type message interface{ handle(*Controller) }

type (
	takeMessage struct {
		account string
		rate    Rate
		reply   chan<- takeReply
	}
	takeReply struct {
		allowed bool
		after   time.Duration
	}
	collectMessage struct{ reply chan<- []peer.AccountDemand }
	receiveMessage struct {
		from     string
		demand   []peer.AccountDemand
		snapshot configuration.Snapshot
	}
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
			c.sweep(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Take implements filter.Limits.
func (c *Controller) Take(ctx context.Context, a catalog.ClientAccount) error {
	if a.RequestsPerSecond <= 0 {
		return nil
	}
	rate := Rate{PerSecond: a.RequestsPerSecond, Burst: a.Burst}
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- takeReply) message { return takeMessage{a.Name, rate, reply} })
	if err != nil {
		return result.Errorf(result.QueueFull, "limits: %v", err).WithRetryAfter(leastRetry)
	}
	if !r.allowed {
		return result.Errorf(result.LimitReached, "client account %q", a.Name).WithRetryAfter(max(r.after, leastRetry))
	}
	return nil
}

// Collect implements peer.Section.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	demand, err := task.Ask(ctx, c.mailbox, func(reply chan<- []peer.AccountDemand) message { return collectMessage{reply} })
	s.Demand = demand
	return err
}

// Receive implements peer.Section.
func (c *Controller) Receive(ctx context.Context, s peer.State) error {
	if len(s.Demand) == 0 {
		return nil
	}
	snapshot, err := c.configurations.Current(ctx)
	if err != nil {
		return err
	}
	return task.Tell(c.mailbox, message(receiveMessage{s.VM, s.Demand, snapshot}))
}

func (c *Controller) ledger(account string, r Rate, now time.Time) *Ledger {
	l, ok := c.ledgers[account]
	if !ok {
		l = NewLedger(r, c.vms, c.startedAt, now)
		c.ledgers[account] = l
	}
	if l.Rate != r {
		l.Set(r, c.vms, now)
	}
	return l
}

func (m takeMessage) handle(c *Controller) {
	allowed, after := c.ledger(m.account, m.rate, time.Now()).Take(time.Now())
	m.reply <- takeReply{allowed, after}
}

func (m collectMessage) handle(c *Controller) {
	now := time.Now()
	var demand []peer.AccountDemand
	for _, n := range neediest(c.ledgers, maxQuestions, now) {
		if len(c.asked) >= maxAsked {
			break
		}
		stamp := rand.Uint64()
		c.asked[stamp] = now
		demand = append(demand, peer.AccountDemand{Account: n.account, RequestsPerSecond: n.wanted, ID: stamp})
	}
	m.reply <- append(demand, c.nextOffers()...)
}

// nextOffers returns the loans to tell in this round, the longest told last.
func (c *Controller) nextOffers() []peer.AccountDemand {
	n := min(len(c.offers), maxOffers)
	var demand []peer.AccountDemand
	for _, o := range c.offers[:n] {
		demand = append(demand, peer.AccountDemand{Account: o.account, Loan: o.loan})
		if o.rounds++; o.rounds < offerRounds {
			c.offers = append(c.offers, o)
		}
	}
	c.offers = c.offers[n:]
	return demand
}

func (m receiveMessage) handle(c *Controller) {
	now := time.Now()
	c.index(m.snapshot)
	for _, d := range m.demand {
		rate, ok := c.rates[d.Account]
		switch {
		case !ok:
		case d.Loan.VM == c.vm:
			c.borrow(m.from, d, rate, now)
		case d.Loan.VM == "" && d.ID != 0:
			c.lend(m.from, d, rate, now)
		}
	}
}

func (c *Controller) index(s configuration.Snapshot) {
	if s.Revision == c.revision {
		return
	}
	c.revision = s.Revision
	c.rates = make(map[string]Rate, len(s.Catalog.Accounts))
	for _, a := range s.Catalog.Accounts {
		if a.RequestsPerSecond > 0 {
			c.rates[a.Name] = Rate{PerSecond: a.RequestsPerSecond, Burst: a.Burst}
		}
	}
}

func (c *Controller) borrow(from string, d peer.AccountDemand, r Rate, now time.Time) {
	if d.Loan.RequestsPerSecond <= 0 {
		return
	}
	askedAt := c.asked[d.Loan.DemandID] // an unknown question has the zero time, and its loan is over
	c.ledger(d.Account, r, now).Borrow(from, d.Loan.RequestsPerSecond, askedAt, now)
}

func (c *Controller) lend(to string, d peer.AccountDemand, r Rate, now time.Time) {
	perSecond := c.ledger(d.Account, r, now).Lend(to, d.RequestsPerSecond, now)
	if perSecond <= 0 || len(c.offers) >= mailboxSize {
		return
	}
	loan := peer.LimitLoan{VM: to, DemandID: d.ID, RequestsPerSecond: perSecond}
	c.offers = append(c.offers, offered{account: d.Account, loan: loan})
}

// sweep forgets idle ledgers and old questions.
func (c *Controller) sweep(now time.Time) {
	for account, l := range c.ledgers {
		if l.Idle(now) {
			delete(c.ledgers, account)
		}
	}
	for stamp, at := range c.asked {
		if now.Sub(at) > LoanTerm {
			delete(c.asked, stamp)
		}
	}
}
