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
	// mailboxSize is the maximum number of messages that wait for the Controller, where task.Tell fails beyond it, and
	// of offers that wait to be sent.
	mailboxSize = 4096
	// sweepInterval is how often idle ledgers and old demands are removed.
	sweepInterval = 10 * time.Second
	// maxDemandsPerState and maxOffersPerState are the numbers of demands and offers that one gossiped state holds at
	// most.
	maxDemandsPerState = 8
	maxOffersPerState  = 8
	// offerRounds is how many gossiped states carry an offer, since each may be lost.
	offerRounds = 3
	// maxPendingDemands is the maximum number of this VM's demands that are remembered.
	maxPendingDemands = 4096
	// minRetryAfter is the shortest delay that a refused caller is told to wait.
	minRetryAfter = 100 * time.Millisecond
)

// Configurations returns the newest configuration that the VM has.
type Configurations interface {
	Current(ctx context.Context) (configuration.Snapshot, error)
}

// Controller owns the ledgers of the client accounts that have requests or loans on this VM. Other accounts use no
// memory.
type Controller struct {
	mailbox        chan message
	configurations Configurations
	vm             string
	// vms is the highest number of entry VMs that serve at the same time.
	vms       int
	startedAt time.Time
	log       logr.Logger
	// ledgers holds the ledgers by account.
	ledgers map[string]*Ledger
	// rates holds the limits of the accounts by name, as of configuration revision.
	rates    map[string]Rate
	revision uint64
	// demandedAt holds when each demand of this VM was made, by its ID.
	demandedAt map[uint64]time.Time
	// offers are the loans still to be sent to their borrowers.
	offers []pendingOffer
}

// pendingOffer is a loan and how many gossiped states have carried it.
type pendingOffer struct {
	account string
	loan    peer.LimitLoan
	sent    int
}

// New makes a Controller; Run starts it. vms is the highest number of entry VMs that serve at the same time. While it
// holds, the shares of an account never sum to more than its limit.
func New(configurations Configurations, vm string, vms int, log logr.Logger) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), configurations: configurations, vm: vm, vms: vms, startedAt: time.Now(),
		log: log, ledgers: map[string]*Ledger{}, rates: map[string]Rate{}, demandedAt: map[uint64]time.Time{},
	}
}

// message is handled by the goroutine of Run, which owns the state.
type message interface{ handle(*Controller) }

type (
	takeMessage struct {
		account string
		rate    Rate
		reply   chan<- takeReply
	}
	takeReply struct {
		allowed bool
		// after is how long until a refused request may run.
		after time.Duration
	}
	collectMessage struct{ reply chan<- []peer.AccountDemand }
	receiveMessage struct {
		from     string
		demand   []peer.AccountDemand
		snapshot configuration.Snapshot
	}
)

// Run handles messages and removes idle ledgers until ctx ends. The entry VM runs it as a task.
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

// Take implements filter.Limits. It returns an error, and the request is refused, if the account has reached its limit
// on this VM or the Controller doesn't reply. Filter Limit calls it for each request.
func (c *Controller) Take(ctx context.Context, a catalog.ClientAccount) error {
	if a.RequestsPerSecond <= 0 {
		return nil
	}
	rate := Rate{PerSecond: a.RequestsPerSecond, Burst: a.Burst}
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- takeReply) message { return takeMessage{a.Name, rate, reply} })
	if err != nil {
		return result.Errorf(result.QueueFull, "check account limit: %v", err).WithRetryAfter(minRetryAfter)
	}
	if !r.allowed {
		return result.Errorf(result.LimitReached, "client account %q", a.Name).WithRetryAfter(max(r.after, minRetryAfter))
	}
	return nil
}

// Collect implements peer.Section. It adds the demands of this VM and the loans that it offers.
func (c *Controller) Collect(ctx context.Context, s *peer.State) error {
	demand, err := task.Ask(ctx, c.mailbox, func(reply chan<- []peer.AccountDemand) message { return collectMessage{reply} })
	s.Demand = demand
	return err
}

// Receive implements peer.Section. It takes in the demands and loans in a peer's state.
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

// ledger returns the ledger of an account with the rate. It makes one if there is none. It is called for each request,
// loan and demand.
func (c *Controller) ledger(account string, r Rate, now time.Time) *Ledger {
	l, ok := c.ledgers[account]
	if !ok {
		l = NewLedger(r, c.vms, c.startedAt, now)
		c.ledgers[account] = l
	}
	if l.Rate != r {
		l.SetRate(r, c.vms, now)
	}
	return l
}

func (m takeMessage) handle(c *Controller) {
	allowed, after := c.ledger(m.account, m.rate, time.Now()).Take(time.Now())
	m.reply <- takeReply{allowed, after}
}

// handle answers with the demands of the accounts that lack most, and the next offers. Collect sends the message for
// each gossiped state.
func (m collectMessage) handle(c *Controller) {
	now := time.Now()
	var demand []peer.AccountDemand
	for _, s := range largestShortfalls(c.ledgers, maxDemandsPerState, now) {
		if len(c.demandedAt) >= maxPendingDemands {
			break
		}
		id := rand.Uint64()
		c.demandedAt[id] = now
		demand = append(demand, peer.AccountDemand{Account: s.account, RequestsPerSecond: s.perSecond, ID: id})
	}
	m.reply <- append(demand, c.nextOffers()...)
}

// nextOffers returns the offers for the next gossiped state. Each is queued again until it was sent offerRounds times.
// collectMessage calls it.
func (c *Controller) nextOffers() []peer.AccountDemand {
	n := min(len(c.offers), maxOffersPerState)
	var demand []peer.AccountDemand
	for _, o := range c.offers[:n] {
		demand = append(demand, peer.AccountDemand{Account: o.account, Loan: o.loan})
		if o.sent++; o.sent < offerRounds {
			c.offers = append(c.offers, o)
		}
	}
	c.offers = c.offers[n:]
	return demand
}

// handle records the loans to this VM and answers the demands of the sender. A demand names no VM in its loan. Accounts
// without a limit are ignored. Receive sends the message.
func (m receiveMessage) handle(c *Controller) {
	now := time.Now()
	c.updateRates(m.snapshot)
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

// updateRates reads the limits of the accounts from the snapshot, unless they are of its revision already.
// receiveMessage calls it.
func (c *Controller) updateRates(s configuration.Snapshot) {
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

// borrow adds a loan to the ledger of its account. It takes in an offer to this VM.
func (c *Controller) borrow(from string, d peer.AccountDemand, r Rate, now time.Time) {
	if d.Loan.RequestsPerSecond <= 0 {
		return
	}
	demandedAt := c.demandedAt[d.Loan.DemandID] // zero for an unknown demand, so that its loan has expired
	c.ledger(d.Account, r, now).Borrow(from, d.Loan.RequestsPerSecond, demandedAt, now)
}

// lend offers a loan to a VM if this VM can spare one. It answers a demand of that VM.
func (c *Controller) lend(to string, d peer.AccountDemand, r Rate, now time.Time) {
	perSecond := c.ledger(d.Account, r, now).Lend(to, d.RequestsPerSecond, now)
	if perSecond <= 0 || len(c.offers) >= mailboxSize {
		return
	}
	loan := peer.LimitLoan{VM: to, DemandID: d.ID, RequestsPerSecond: perSecond}
	c.offers = append(c.offers, pendingOffer{account: d.Account, loan: loan})
}

// sweep removes idle ledgers and demands whose loans have expired. Run calls it every sweepInterval.
func (c *Controller) sweep(now time.Time) {
	for account, l := range c.ledgers {
		if l.Idle(now) {
			delete(c.ledgers, account)
		}
	}
	for id, at := range c.demandedAt {
		if now.Sub(at) > LoanTerm {
			delete(c.demandedAt, id)
		}
	}
}
