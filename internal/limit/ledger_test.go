package limit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for _, f := range []struct{ name, value string }{{"seed", "20261204"}, {"checks", "2000"}, {"nofailfile", "true"}} {
		if err := flag.Set("rapid."+f.name, f.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// question and offer are datagrams, which a network may lose, delay, double and reorder.
type question struct {
	from    int
	life    int
	wanted  float64
	askedAt time.Time
}

type offer struct {
	from, to, life int
	perSecond      float64
	askedAt        time.Time
}

// fleet is every VM's ledger of one account and the datagrams under way.
type fleet struct {
	rate      Rate
	now       time.Time
	ledgers   []*Ledger
	lives     []int
	questions []question
	offers    []offer
	allowed   int
}

// start starts a VM that was away for the given time.
func (f *fleet) start(vm int, away time.Duration) {
	f.ledgers[vm] = NewLedger(f.rate, len(f.ledgers), f.now.Add(-away), f.now)
	f.lives[vm]++
}

func (f *fleet) step(t *rapid.T) {
	vm := rapid.IntRange(0, len(f.ledgers)-1).Draw(t, "vm")
	l := f.ledgers[vm]
	switch rapid.SampledFrom([]string{"take", "ask", "lend", "borrow", "exchange", "exchange", "exchange", "exchange", "time", "time", "restart"}).Draw(t, "event") {
	case "take":
		for range rapid.SampledFrom([]int{1, 60, 600}).Draw(t, "requests") {
			if ok, _ := l.Take(f.now); ok {
				f.allowed++
			}
		}
	case "ask":
		f.questions = append(f.questions, question{vm, f.lives[vm], rapid.SampledFrom([]float64{1, 20, 500}).Draw(t, "wanted"), f.now})
	case "lend":
		if len(f.questions) == 0 {
			return
		}
		q := rapid.SampledFrom(f.questions).Draw(t, "question")
		if q.from == vm {
			return
		}
		if n := l.Lend(fmt.Sprint(q.from), q.wanted, f.now); n > 0 {
			f.offers = append(f.offers, offer{vm, q.from, q.life, n, q.askedAt})
		}
	case "borrow":
		if len(f.offers) == 0 {
			return
		}
		o := rapid.SampledFrom(f.offers).Draw(t, "offer")
		if o.life == f.lives[o.to] {
			f.ledgers[o.to].Borrow(fmt.Sprint(o.from), o.perSecond, o.askedAt, f.now)
		}
	case "exchange":
		from := rapid.IntRange(0, len(f.ledgers)-1).Draw(t, "lender")
		wanted := rapid.SampledFrom([]float64{1, 20, 500}).Draw(t, "wanted")
		if from == vm {
			return
		}
		if n := f.ledgers[from].Lend(fmt.Sprint(vm), wanted, f.now); n > 0 {
			l.Borrow(fmt.Sprint(from), n, f.now, f.now)
		}
	case "time":
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
	case "restart":
		f.start(vm, 0)
	}
}

func (f *fleet) total() float64 {
	total := 0.0
	for _, l := range f.ledgers {
		total += l.Share(f.now)
	}
	return total
}

func TestSharesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "vms")
		burst := rapid.SampledFrom([]int{0, 20, 2000}).Draw(t, "burst")
		f := &fleet{rate: Rate{PerSecond: 100, Burst: burst}, now: time.Unix(1_000_000, 0), ledgers: make([]*Ledger, n), lives: make([]int, n)}
		for vm := range n {
			f.start(vm, time.Hour)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.step(t)
			if total := f.total(); total > f.rate.PerSecond+1e-6 {
				t.Fatalf("the shares sum to %v", total)
			}
		}
	})
}

func TestRequestsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "vms")
		burst := rapid.SampledFrom([]int{0, 20, 2000}).Draw(t, "burst")
		f := &fleet{rate: Rate{PerSecond: 100, Burst: burst}, now: time.Unix(1_000_000, 0), ledgers: make([]*Ledger, n), lives: make([]int, n)}
		starts := 0
		for vm := range n {
			f.start(vm, time.Hour)
		}
		began := f.now
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			before := fmt.Sprint(f.lives)
			f.step(t)
			if fmt.Sprint(f.lives) != before {
				starts++
			}
			// Each VM's bucket holds at least one request, and is full when the VM starts.
			bucket := max(1, float64(f.rate.Burst)/float64(n))
			bound := f.rate.PerSecond*f.now.Sub(began).Seconds() + bucket*float64(n+starts)
			if float64(f.allowed) > bound+1e-6 {
				t.Fatalf("%d requests ran, at most %v may", f.allowed, bound)
			}
		}
	})
}

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
		{"until the term ends", LoanTerm, 0, 0, 50},
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
			wanted := borrower.Shortfall(now)
			c.Assert(wanted > 0, qt.IsTrue)
			if n := lender.Lend("b", wanted, now); n > 0 {
				borrower.Borrow("a", n, now, now)
			}
			c.Assert(borrower.Share(now.Add(row.wait)), qt.Equals, row.want)
		})
	}
}

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
