// Package limit keeps each client account within its rate over all entry VMs.
// Each VM owns an equal share and lends a part of it for a bounded time to VMs with more demand.
package limit

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of loans.
const (
	// LoanTerm is how long a loan lasts by the borrower's clock, from the question that it answers.
	LoanTerm = 10 * time.Second
	// termMargin covers clocks that run at unlike speeds: the lender counts this much longer.
	termMargin = time.Second
	// lendable is the part of its own share that a VM may lend.
	lendable = 0.5
	// reserve is how much more than its own demand a VM keeps.
	reserve    = 1.2
	demandSpan = 2 * time.Second
)

// Rate is the limit of one client account over all VMs.
type Rate struct {
	PerSecond float64
	Burst     int
}

// Loan is a part of a VM's share in the use of another VM.
type Loan struct {
	PerSecond float64
	Until     time.Time
}

// Ledger is one VM's part of one client account's rate.
type Ledger struct {
	Rate Rate
	// VMs is how many VMs share the rate.
	VMs int
	// StartedAt is the VM's own start: what it lent before a restart may still be in use.
	StartedAt time.Time
	// Lent and Borrowed are keyed by the other VM.
	Lent     map[string]Loan
	Borrowed map[string]Loan
	Tokens   float64
	At       time.Time
	// Demand is the mean rate of requests, allowed or not.
	Demand float64
}

// NewLedger makes a Ledger with a full bucket.
func NewLedger(r Rate, vms int, startedAt, now time.Time) *Ledger {
	l := &Ledger{Rate: r, VMs: max(vms, 1), StartedAt: startedAt, Lent: map[string]Loan{}, Borrowed: map[string]Loan{}, At: now}
	l.Tokens = l.capacity()
	return l
}

// Base is the VM's own share of the rate.
func (l *Ledger) Base() float64 { return l.Rate.PerSecond / float64(l.VMs) }

// Share is the rate that the VM may use now.
func (l *Ledger) Share(now time.Time) float64 {
	own := l.Base() - l.lent(now)
	if l.starting(now) {
		own = min(own, l.Base()*(1-lendable))
	}
	return max(own, 0) + sum(l.Borrowed, now)
}

// starting reports whether what the VM lent before a restart may still be in use.
func (l *Ledger) starting(now time.Time) bool {
	return now.Before(l.StartedAt.Add(LoanTerm + termMargin))
}

func (l *Ledger) lent(now time.Time) float64 { return sum(l.Lent, now) }

func sum(loans map[string]Loan, now time.Time) float64 {
	total := 0.0
	for _, loan := range loans {
		if now.Before(loan.Until) {
			total += loan.PerSecond
		}
	}
	return total
}

// Take reports whether a request may run, and if not, how long until one may.
func (l *Ledger) Take(now time.Time) (bool, time.Duration) {
	l.advance(now)
	l.Demand += 1 / demandSpan.Seconds()
	if l.Tokens >= 1 {
		l.Tokens--
		return true, 0
	}
	share := l.Share(now)
	if share <= 0 {
		return false, LoanTerm
	}
	return false, time.Duration((1 - l.Tokens) / share * float64(time.Second))
}

// advance adds the tokens of the time that went by, piece by piece between the ends of loans.
func (l *Ledger) advance(now time.Time) {
	for l.At.Before(now) {
		next := l.nextChange(now)
		l.Tokens = min(l.capacity(), l.Tokens+l.Share(l.At)*next.Sub(l.At).Seconds())
		l.Demand *= 1 - min(1, next.Sub(l.At).Seconds()/demandSpan.Seconds())
		l.At = next
	}
	l.drop(now)
}

// nextChange returns the first time after At, up to now, at which the share changes by itself.
func (l *Ledger) nextChange(now time.Time) time.Time {
	next := now
	consider := func(t time.Time) {
		if t.After(l.At) && t.Before(next) {
			next = t
		}
	}
	consider(l.StartedAt.Add(LoanTerm + termMargin))
	for _, loans := range []map[string]Loan{l.Lent, l.Borrowed} {
		for _, loan := range loans {
			consider(loan.Until)
		}
	}
	return next
}

func (l *Ledger) drop(now time.Time) {
	for _, loans := range []map[string]Loan{l.Lent, l.Borrowed} {
		for vm, loan := range loans {
			if !now.Before(loan.Until) {
				delete(loans, vm)
			}
		}
	}
}

// capacity is the VM's part of the burst, but at least one request.
func (l *Ledger) capacity() float64 { return max(1, float64(l.Rate.Burst)/float64(l.VMs)) }

// Shortfall is the rate that the VM lacks beyond its own share, or 0.
func (l *Ledger) Shortfall(now time.Time) float64 {
	l.advance(now)
	if wanted := l.Demand*reserve - l.Base(); wanted > 0 && l.Demand*reserve > l.Share(now)*0.8 {
		return wanted
	}
	return 0
}

// Lend answers a VM that lacks a rate, and returns the loan's size or 0. A loan that runs keeps its size when it is
// renewed, since the borrower may still hold the former one.
func (l *Ledger) Lend(vm string, wanted float64, now time.Time) float64 {
	l.advance(now)
	spare := l.Base() - max(l.Base()*(1-lendable), l.Demand*reserve)
	loan, running := l.Lent[vm]
	if !running {
		free := spare - l.lent(now)
		loan.PerSecond = min(free, max(2*wanted/float64(max(l.VMs-1, 1)), l.Base()/8))
	}
	if l.starting(now) || loan.PerSecond <= 0 || (running && l.lent(now) > spare) {
		return 0
	}
	loan.Until = now.Add(LoanTerm + termMargin)
	l.Lent[vm] = loan
	return loan.PerSecond
}

// Borrow takes in a loan that answers the VM's own question of askedAt.
func (l *Ledger) Borrow(vm string, perSecond float64, askedAt, now time.Time) {
	l.advance(now)
	until := askedAt.Add(LoanTerm)
	if now.Before(until) && until.After(l.Borrowed[vm].Until) {
		l.Borrowed[vm] = Loan{PerSecond: perSecond, Until: until}
	}
}

// Set changes the rate and the number of VMs. A smaller rate holds for what is lent from now on.
func (l *Ledger) Set(r Rate, vms int, now time.Time) {
	l.advance(now)
	l.Rate, l.VMs = r, max(vms, 1)
	l.Tokens = min(l.Tokens, l.capacity())
}

// Idle reports whether a new Ledger would serve as well.
func (l *Ledger) Idle(now time.Time) bool {
	l.advance(now)
	return len(l.Lent)+len(l.Borrowed) == 0 && l.Tokens >= l.capacity() && l.Demand*demandSpan.Seconds() < 1
}

// need is an account with the rate that it lacks.
type need struct {
	account string
	wanted  float64
}

// neediest returns up to limit accounts that lack most.
func neediest(ledgers map[string]*Ledger, limit int, now time.Time) []need {
	var list []need
	for account, l := range ledgers {
		if wanted := l.Shortfall(now); wanted > 0 {
			list = append(list, need{account, wanted})
		}
	}
	slices.SortFunc(list, func(a, b need) int { return cmp.Or(cmp.Compare(b.wanted, a.wanted), cmp.Compare(a.account, b.account)) })
	return list[:min(len(list), limit)]
}
