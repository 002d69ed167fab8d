package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/configuration"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// fixedConfiguration implements Configurations.
type fixedConfiguration struct{ snapshot configuration.Snapshot }

func (f fixedConfiguration) Current(context.Context) (configuration.Snapshot, error) {
	return f.snapshot, nil
}

// TestControllersShareALimit sends requests to one of two VMs and checks its rate with and without a loan of the other
// one.
func TestControllersShareALimit(t *testing.T) {
	rows := []struct {
		name string
		// lost says that the datagrams of the lender are lost.
		lost bool
		want int
	}{
		{"datagrams arrive", false, 75},
		{"datagrams are lost", true, 50},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := catalog.ClientAccount{Name: "parish", RequestsPerSecond: 100, Burst: 20}
				cfg := fixedConfiguration{configuration.NewSnapshot(1, catalog.Configuration{Accounts: []catalog.ClientAccount{a}}, time.Now())}
				ctx, cancel := context.WithCancel(context.Background())
				ends := make(chan task.End, 2)
				vms := []*Controller{New(cfg, "vm1", 2, logr.Discard()), New(cfg, "vm2", 2, logr.Discard())}
				for _, vm := range vms {
					task.Start(ctx, "limits", ends, vm.Run)
				}
				defer func() { c.Check(task.Stop(cancel, ends, 2), qt.IsNil) }()
				time.Sleep(time.Minute)
				takeFor(c, vms[0], a, 5*time.Second)
				exchange(c, vms[0], vms[1], "vm1")
				if !row.lost {
					exchange(c, vms[1], vms[0], "vm2")
				}
				takeFor(c, vms[0], a, time.Second)
				c.Assert(takeFor(c, vms[0], a, time.Second), qt.Equals, row.want)
			})
		})
	}
}

// takeFor calls Take 1,000 times a second and returns how many requests were allowed.
func takeFor(c *qt.C, vm *Controller, a catalog.ClientAccount, d time.Duration) int {
	allowed := 0
	for range d / time.Millisecond {
		time.Sleep(time.Millisecond)
		err := vm.Take(context.Background(), a)
		if err == nil {
			allowed++
			continue
		}
		c.Assert(result.From(err).Code, qt.Equals, result.LimitReached)
		c.Assert(result.From(err).RetryAfter > 0, qt.IsTrue)
	}
	return allowed
}

// exchange sends one state from a controller to another.
func exchange(c *qt.C, from, to *Controller, name string) {
	s := peer.State{VM: name}
	c.Assert(from.Collect(context.Background(), &s), qt.IsNil)
	c.Assert(to.Receive(context.Background(), s), qt.IsNil)
}

// TestLoansOfOthersAreRefused guards against loans that do not answer a demand of this incarnation of the VM.
func TestLoansOfOthersAreRefused(t *testing.T) {
	rows := []struct {
		name string
		loan peer.LimitLoan
		want float64
	}{
		{"own demand", peer.LimitLoan{VM: "vm1", DemandID: 7, RequestsPerSecond: 20}, 70},
		{"demand of another VM", peer.LimitLoan{VM: "vm2", DemandID: 7, RequestsPerSecond: 20}, 50},
		{"demand of an earlier incarnation", peer.LimitLoan{VM: "vm1", DemandID: 8, RequestsPerSecond: 20}, 50},
		{"negative rate", peer.LimitLoan{VM: "vm1", DemandID: 7, RequestsPerSecond: -20}, 50},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			a := catalog.ClientAccount{Name: "parish", RequestsPerSecond: 100}
			s := configuration.NewSnapshot(1, catalog.Configuration{Accounts: []catalog.ClientAccount{a}}, time.Now())
			vm := New(fixedConfiguration{}, "vm1", 2, logr.Discard())
			vm.startedAt = time.Now().Add(-time.Hour)
			vm.demandedAt[7] = time.Now()
			receiveMessage{from: "vm3", demand: []peer.AccountDemand{{Account: a.Name, ID: row.loan.DemandID, Loan: row.loan}}, snapshot: s}.handle(vm)
			c.Assert(vm.ledger("parish", Rate{PerSecond: 100}, time.Now()).UsableRate(time.Now()), qt.Equals, row.want)
		})
	}
}
