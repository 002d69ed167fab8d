// Package limit keeps each client account within its rate over all entry VMs. Each VM owns an equal share of the rate
// and lends a part of it for a bounded time to VMs with more demand.
package limit

import (
	"cmp"
	"slices"
	"time"
)

// Limits of loans.
const (
	// LoanTerm is how long a loan lasts by the clock of the borrower, starting when it made its demand.
	LoanTerm = 10 * time.Second
	// clockMargin is how much longer the lender counts a loan, because clocks run at different speeds.
	clockMargin = time.Second
	// lendableShare is the part of its own share, 0 to 1, that a VM may lend.
	lendableShare = 0.5
	// demandReserve multiplies a VM's own demand: it lends none of the product, and asks for a loan only if its own
	// share is less.
	demandReserve = 1.2
	// busyShare is the part of the usable rate, 0 to 1, that the demand with its reserve exceeds when a VM asks for a loan.
	busyShare = 0.8
	// loanFactor multiplies the equal part of a shortfall that falls to each of the other VMs; a new loan covers the product.
	loanFactor = 2
	// minLoanShare is the part of its own share, 0 to 1, that a VM lends at least where it can spare it.
	minLoanShare = 0.125
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 2 * time.Second
)

// Rate is the limit of one client account over all VMs, in requests per second, with a burst in requests.
type Rate struct {
	PerSecond float64
	Burst     int
}

// Loan is a part of one VM's share that another VM uses until the given time.
type Loan struct {
	// PerSecond is in requests per second.
	PerSecond float64
	Until     time.Time
}

// Ledger is the token bucket of one client account on one VM, with the loans that change its rate.
type Ledger struct {
	Rate Rate
	// VMs is the number of VMs that share the rate.
	VMs int
	// StartedAt is when the VM started. Loans that it made before may still be in use.
	StartedAt time.Time
	// Lent and Borrowed are keyed by the other VM.
	Lent     map[string]Loan
	Borrowed map[string]Loan
	// Tokens is the number of requests allowed at once, as of UpdatedAt; at most the VM's share of the burst.
	Tokens    float64
	UpdatedAt time.Time
	// Demand is the mean number of requests per second, allowed or not.
	Demand float64
}

// NewLedger makes a Ledger with a full bucket.
func NewLedger(r Rate, vms int, startedAt, now time.Time) *Ledger {
	l := &Ledger{Rate: r, VMs: max(vms, 1), StartedAt: startedAt, Lent: map[string]Loan{}, Borrowed: map[string]Loan{}, UpdatedAt: now}
	l.Tokens = l.capacity()
	return l
}

// OwnShare returns the VM's equal share of the rate, per second.
func (l *Ledger) OwnShare() float64 { return l.Rate.PerSecond / float64(l.VMs) }

// UsableRate returns the rate that the VM may use now: its own share, less what is lent, plus what is borrowed. After a
// start it leaves out what may still be lent from before.
func (l *Ledger) UsableRate(now time.Time) float64 {
	own := l.OwnShare() - l.lentRate(now)
	if l.recentlyStarted(now) {
		own = min(own, l.OwnShare()*(1-lendableShare))
	}
	return max(own, 0) + sumLoans(l.Borrowed, now)
}

// recentlyStarted reports whether loans from before a restart may still be in use.
func (l *Ledger) recentlyStarted(now time.Time) bool {
	return now.Before(l.StartedAt.Add(LoanTerm + clockMargin))
}

// lentRate returns the sum of the loans to other VMs.
func (l *Ledger) lentRate(now time.Time) float64 { return sumLoans(l.Lent, now) }

// sumLoans returns the sum of the loans that have not expired.
func sumLoans(loans map[string]Loan, now time.Time) float64 {
	total := 0.0
	for _, loan := range loans {
		if now.Before(loan.Until) {
			total += loan.PerSecond
		}
	}
	return total
}

// Take reports whether a request may run now, and otherwise how long until one may. The Controller calls it for each
// request.
func (l *Ledger) Take(now time.Time) (bool, time.Duration) {
	l.advance(now)
	l.Demand += 1 / demandWindow.Seconds()
	if l.Tokens >= 1 {
		l.Tokens--
		return true, 0
	}
	rate := l.UsableRate(now)
	if rate <= 0 {
		return false, LoanTerm
	}
	return false, time.Duration((1 - l.Tokens) / rate * float64(time.Second))
}

// advance adds the tokens since UpdatedAt, in one step for each time at which the usable rate changed, and lets the
// demand decay. The exported methods call it first, except OwnShare and UsableRate.
func (l *Ledger) advance(now time.Time) {
	for l.UpdatedAt.Before(now) {
		next := l.nextChange(now)
		l.Tokens = min(l.capacity(), l.Tokens+l.UsableRate(l.UpdatedAt)*next.Sub(l.UpdatedAt).Seconds())
		l.Demand *= 1 - min(1, next.Sub(l.UpdatedAt).Seconds()/demandWindow.Seconds())
		l.UpdatedAt = next
	}
	l.dropExpired(now)
}

// nextChange returns the first time after UpdatedAt, and no later than now, at which the usable rate changes because a
// loan expires or the VM is no longer recently started. advance calls it.
func (l *Ledger) nextChange(now time.Time) time.Time {
	next := now
	consider := func(t time.Time) {
		if t.After(l.UpdatedAt) && t.Before(next) {
			next = t
		}
	}
	consider(l.StartedAt.Add(LoanTerm + clockMargin))
	for _, loans := range []map[string]Loan{l.Lent, l.Borrowed} {
		for _, loan := range loans {
			consider(loan.Until)
		}
	}
	return next
}

// dropExpired removes the loans that have expired. advance calls it.
func (l *Ledger) dropExpired(now time.Time) {
	for _, loans := range []map[string]Loan{l.Lent, l.Borrowed} {
		for vm, loan := range loans {
			if !now.Before(loan.Until) {
				delete(loans, vm)
			}
		}
	}
}

// capacity returns the VM's share of the burst, in requests, at least one.
func (l *Ledger) capacity() float64 { return max(1, float64(l.Rate.Burst)/float64(l.VMs)) }

// Shortfall returns the rate that the VM lacks beyond its own share, in requests per second. It returns 0 while the
// demand with its reserve is at most busyShare of the usable rate. largestShortfalls calls it.
func (l *Ledger) Shortfall(now time.Time) float64 {
	l.advance(now)
	wanted := l.Demand * demandReserve
	if wanted <= l.UsableRate(now)*busyShare {
		return 0
	}
	return max(wanted-l.OwnShare(), 0)
}

// Lend returns the rate to lend to a VM with the shortfall, or 0, and records the loan. The Controller calls it for
// each demand of another VM. A new loan is loanFactor times the shortfall divided by the number of other VMs, or minLoanShare
// of the own share if that is more, as far as this VM can spare it. A loan that has not expired keeps its rate when it is
// renewed, because the borrower may still use the former one.
func (l *Ledger) Lend(vm string, shortfall float64, now time.Time) float64 {
	l.advance(now)
	spare := l.OwnShare() - max(l.OwnShare()*(1-lendableShare), l.Demand*demandReserve)
	loan, running := l.Lent[vm]
	if !running {
		free := spare - l.lentRate(now)
		perVM := loanFactor * shortfall / float64(max(l.VMs-1, 1))
		loan.PerSecond = min(free, max(perVM, l.OwnShare()*minLoanShare))
	}
	if l.recentlyStarted(now) || loan.PerSecond <= 0 || (running && l.lentRate(now) > spare) {
		return 0
	}
	loan.Until = now.Add(LoanTerm + clockMargin)
	l.Lent[vm] = loan
	return loan.PerSecond
}

// Borrow records a loan that answers the demand made at demandedAt. A loan that would end before one of the same VM
// does not replace it. The Controller calls it for each offer to this VM.
func (l *Ledger) Borrow(vm string, perSecond float64, demandedAt, now time.Time) {
	l.advance(now)
	until := demandedAt.Add(LoanTerm)
	if now.Before(until) && until.After(l.Borrowed[vm].Until) {
		l.Borrowed[vm] = Loan{PerSecond: perSecond, Until: until}
	}
}

// SetRate changes the rate and the number of VMs. Loans made before keep their rate. The Controller calls it when the
// account's limit has changed.
func (l *Ledger) SetRate(r Rate, vms int, now time.Time) {
	l.advance(now)
	l.Rate, l.VMs = r, max(vms, 1)
	l.Tokens = min(l.Tokens, l.capacity())
}

// Idle reports whether a new Ledger would do the same, so that this one can be removed.
func (l *Ledger) Idle(now time.Time) bool {
	l.advance(now)
	return len(l.Lent)+len(l.Borrowed) == 0 && l.Tokens >= l.capacity() && l.Demand*demandWindow.Seconds() < 1
}

// accountShortfall is the rate that an account lacks, per second.
type accountShortfall struct {
	account   string
	perSecond float64
}

// largestShortfalls returns up to limit accounts, those that lack most first. The Controller calls it for each gossiped
// state.
func largestShortfalls(ledgers map[string]*Ledger, limit int, now time.Time) []accountShortfall {
	var list []accountShortfall
	for account, l := range ledgers {
		if shortfall := l.Shortfall(now); shortfall > 0 {
			list = append(list, accountShortfall{account, shortfall})
		}
	}
	slices.SortFunc(list, func(a, b accountShortfall) int {
		return cmp.Or(cmp.Compare(b.perSecond, a.perSecond), cmp.Compare(a.account, b.account))
	})
	return list[:min(len(list), limit)]
}
