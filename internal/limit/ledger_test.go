package limit

import (
	"fmt"
	"testing"
	"time"

	"cornelmux/internal/rapidtest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that each run checks the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Settings{Seed: 20261204, Checks: 2000}) }

// demand and offer are datagrams, which the network may lose, delay, duplicate or reorder.
type demand struct {
	from        int
	incarnation int
	shortfall   float64
	demandedAt  time.Time
}

type offer struct {
	from, to, incarnation int
	perSecond             float64
	demandedAt            time.Time
}

// fleet holds the ledgers of one account on all VMs and the datagrams in transit.
type fleet struct {
	rate         Rate
	now          time.Time
	ledgers      []*Ledger
	incarnations []int
	demands      []demand
	offers       []offer
	allowed      int
}

// start replaces the ledger of a VM, as a restart does that happened the given time ago.
func (f *fleet) start(vm int, away time.Duration) {
	f.ledgers[vm] = NewLedger(f.rate, len(f.ledgers), f.now.Add(-away), f.now)
	f.incarnations[vm]++
}

// step applies one random event.
func (f *fleet) step(t *rapid.T) {
	vm := rapid.IntRange(0, len(f.ledgers)-1).Draw(t, "vm")
	l := f.ledgers[vm]
	switch rapid.SampledFrom([]string{"take", "demand", "lend", "borrow", "exchange", "exchange", "exchange", "exchange", "time", "time", "restart"}).Draw(t, "event") {
	case "take":
		for range rapid.SampledFrom([]int{1, 60, 600}).Draw(t, "requests") {
			if ok, _ := l.Take(f.now); ok {
				f.allowed++
			}
		}
	case "demand":
		f.demands = append(f.demands, demand{vm, f.incarnations[vm], rapid.SampledFrom([]float64{1, 20, 500}).Draw(t, "shortfall"), f.now})
	case "lend":
		if len(f.demands) == 0 {
			return
		}
		d := rapid.SampledFrom(f.demands).Draw(t, "demand")
		if d.from == vm {
			return
		}
		if n := l.Lend(fmt.Sprint(d.from), d.shortfall, f.now); n > 0 {
			f.offers = append(f.offers, offer{vm, d.from, d.incarnation, n, d.demandedAt})
		}
	case "borrow":
		if len(f.offers) == 0 {
			return
		}
		o := rapid.SampledFrom(f.offers).Draw(t, "offer")
		if o.incarnation == f.incarnations[o.to] {
			f.ledgers[o.to].Borrow(fmt.Sprint(o.from), o.perSecond, o.demandedAt, f.now)
		}
	case "exchange":
		from := rapid.IntRange(0, len(f.ledgers)-1).Draw(t, "lender")
		shortfall := rapid.SampledFrom([]float64{1, 20, 500}).Draw(t, "shortfall")
		if from == vm {
			return
		}
		if n := f.ledgers[from].Lend(fmt.Sprint(vm), shortfall, f.now); n > 0 {
			l.Borrow(fmt.Sprint(from), n, f.now, f.now)
		}
	case "time":
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
	case "restart":
		f.start(vm, 0)
	}
}

// totalRate returns the sum of the rates that the VMs may use now.
func (f *fleet) totalRate() float64 {
	total := 0.0
	for _, l := range f.ledgers {
		total += l.UsableRate(f.now)
	}
	return total
}

// TestUsableRatesStayWithinTheLimit guards against a rate that two VMs use at the same time, for example after a lost
// datagram or a restart.
func TestUsableRatesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "vms")
		burst := rapid.SampledFrom([]int{0, 20, 2000}).Draw(t, "burst")
		f := &fleet{rate: Rate{PerSecond: 100, Burst: burst}, now: time.Unix(1_000_000, 0), ledgers: make([]*Ledger, n), incarnations: make([]int, n)}
		for vm := range n {
			f.start(vm, time.Hour)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.step(t)
			if total := f.totalRate(); total > f.rate.PerSecond+1e-6 {
				t.Fatalf("usable rates sum to %v", total)
			}
		}
	})
}

// TestRequestsStayWithinTheLimit checks that the requests allowed on all VMs stay within the rate and the bursts.
func TestRequestsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "vms")
		burst := rapid.SampledFrom([]int{0, 20, 2000}).Draw(t, "burst")
		f := &fleet{rate: Rate{PerSecond: 100, Burst: burst}, now: time.Unix(1_000_000, 0), ledgers: make([]*Ledger, n), incarnations: make([]int, n)}
		starts := 0
		for vm := range n {
			f.start(vm, time.Hour)
		}
		began := f.now
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			before := fmt.Sprint(f.incarnations)
			f.step(t)
			if fmt.Sprint(f.incarnations) != before {
				starts++
			}
			// The bucket of each VM holds at least one request and is full when the VM starts.
			bucket := max(1, float64(f.rate.Burst)/float64(n))
			bound := f.rate.PerSecond*f.now.Sub(began).Seconds() + bucket*float64(n+starts)
			if float64(f.allowed) > bound+1e-6 {
				t.Fatalf("%d requests were allowed, want at most %v", f.allowed, bound)
			}
		}
	})
}

// TestBusyVMBorrows lets one of two VMs demand a loan of the other one.
func TestBusyVMBorrows(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	rows := []struct {
		name     string
		wait     time.Duration
		lender   int
		requests int
		want     float64
	}{
		{"from an idle VM", 0, 0, 0, 75},
		{"not from a busy VM", 0, 200, 0, 50},
		{"not after the term", LoanTerm, 0, 0, 50},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			now := start.Add(time.Minute)
			lender, borrower := NewLedger(Rate{100, 10}, 2, start, now), NewLedger(Rate{100, 10}, 2, start, now)
			for range row.lender {
				lender.Take(now)
			}
			for range 200 {
				borrower.Take(now)
			}
			shortfall := borrower.Shortfall(now)
			c.Assert(shortfall > 0, qt.IsTrue)
			if n := lender.Lend("b", shortfall, now); n > 0 {
				borrower.Borrow("a", n, now, now)
			}
			c.Assert(borrower.UsableRate(now.Add(row.wait)), qt.Equals, row.want)
		})
	}
}

// TestTokensOfALoanEndWithIt advances a ledger past the end of a loan in one step.
func TestTokensOfALoanEndWithIt(t *testing.T) {
	rows := []struct {
		name string
		lent float64
		want float64
	}{
		{"borrowed", 25, 50*20 + 25*10},
		{"none", 0, 50 * 20},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			now := time.Unix(1_000_000, 0)
			l := NewLedger(Rate{100, 10_000}, 2, now.Add(-time.Hour), now)
			l.Tokens = 0
			l.Borrow("a", row.lent, now, now)
			l.advance(now.Add(20 * time.Second))
			c.Assert(l.Tokens, qt.Equals, row.want)
		})
	}
}
