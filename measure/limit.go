package main

import (
	"fmt"
	"time"

	"cornelmux/internal/limit"
)

const (
	limitTakes    = 200_000
	limitAccounts = 10_000
	limitVMs      = 460
	// limitTime is simulated.
	limitTime = 60 * time.Second
)

// measureLimits measures a request's cost, the state of accounts and how much of a limit is used by uneven requests.
func measureLimits() ([]Line, error) {
	started := time.Unix(1_000_000, 0)
	l := limit.NewLedger(limit.Rate{PerSecond: 1000, Burst: 100}, 6, started.Add(-time.Hour), started)
	take := costOf(limitTakes, func(i int) { l.Take(started.Add(time.Duration(i) * time.Microsecond)) })
	ledgers := make([]*limit.Ledger, 0, limitAccounts)
	before := liveHeap()
	for range limitAccounts {
		ledgers = append(ledgers, limit.NewLedger(limit.Rate{PerSecond: 100, Burst: 10}, limitVMs, started, started))
	}
	bytes := float64(liveHeap()-before) / limitAccounts
	sweep := costOf(1, func(int) {
		for _, l := range ledgers {
			l.Shortfall(started.Add(time.Second))
		}
	})
	lines := []Line{
		{"limit_take", take, "ns", "<= 10000"},
		{"limit_state_of_an_active_account", bytes, "bytes", "<= 1000"},
		{fmt.Sprintf("limit_datagram_with_%d_active_accounts", limitAccounts), sweep / 1000, "us", "<= 2600"},
	}
	for _, lends := range []bool{false, true} {
		name := "limit_used_by_one_busy_vm_of_6"
		target := "none"
		if lends {
			name, target = name+"_with_loans", ">= 0.5"
		}
		lines = append(lines, Line{name, usedByOne(lends), "share", target})
	}
	return lines, nil
}

// usedByOne returns the share of a limit that one VM of six uses while the others have no requests.
func usedByOne(lends bool) float64 {
	const vms, perSecond = 6, 600
	now := time.Unix(1_000_000, 0)
	var ledgers []*limit.Ledger
	for range vms {
		ledgers = append(ledgers, limit.NewLedger(limit.Rate{PerSecond: perSecond, Burst: 60}, vms, now.Add(-time.Hour), now))
	}
	busy, allowed := ledgers[0], 0
	for tick := range int(limitTime / time.Millisecond) {
		now = now.Add(time.Millisecond)
		if ok, _ := busy.Take(now); ok {
			allowed++
		}
		wanted := busy.Shortfall(now)
		if !lends || tick%500 != 0 || wanted == 0 {
			continue
		}
		for i, lender := range ledgers[1:] {
			if n := lender.Lend("busy", wanted, now); n > 0 {
				busy.Borrow(fmt.Sprint(i), n, now, now)
			}
		}
	}
	return float64(allowed) / (perSecond * limitTime.Seconds())
}
