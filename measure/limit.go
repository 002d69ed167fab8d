package main

import (
	"fmt"
	"time"

	"cornelmux/internal/limit"
)

const (
	// limitTakes is the number of requests over which the time of one is averaged.
	limitTakes = 200_000
	// limitAccounts is the number of active client accounts, limitVMs that of the VMs that share their limits.
	limitAccounts = 10_000
	limitVMs      = 460
	// limitDuration is simulated time.
	limitDuration = 60 * time.Second
)

// measureLimits measures the time of a request, the state of an account, the time to collect every account's demand, and how
// much of a limit one busy VM can use with and without borrowing from the others.
func measureLimits() ([]Line, error) {
	start := time.Unix(1_000_000, 0)
	l := limit.NewLedger(limit.Rate{PerSecond: 1000, Burst: 100}, 6, start.Add(-time.Hour), start)
	takeNs := nsPerCall(limitTakes, func(i int) { l.Take(start.Add(time.Duration(i) * time.Microsecond)) })
	ledgers := make([]*limit.Ledger, 0, limitAccounts)
	before := liveHeap()
	for range limitAccounts {
		ledgers = append(ledgers, limit.NewLedger(limit.Rate{PerSecond: 100, Burst: 10}, limitVMs, start, start))
	}
	bytes := float64(liveHeap()-before) / limitAccounts
	sweepNs := nsPerCall(1, func(int) {
		for _, l := range ledgers {
			l.Shortfall(start.Add(time.Second))
		}
	})
	lines := []Line{
		{"limit_take", takeNs, "ns", "<= 10000"},
		{"limit_state_of_an_active_account", bytes, "bytes", "<= 1000"},
		{fmt.Sprintf("limit_datagram_with_%d_active_accounts", limitAccounts), sweepNs / 1000, "us", "<= 2600"},
	}
	for _, lending := range []bool{false, true} {
		name := "limit_used_by_one_busy_vm_of_6"
		target := "none"
		if lending {
			name, target = name+"_with_loans", ">= 0.5"
		}
		lines = append(lines, Line{name, busyVMShare(lending), "share", target})
	}
	return lines, nil
}

// busyVMShare returns the share of a limit that one VM of six uses while the others get no requests. With lending it borrows
// from them twice a second. measureLimits calls it.
func busyVMShare(lending bool) float64 {
	const vms, perSecond = 6, 600
	now := time.Unix(1_000_000, 0)
	var ledgers []*limit.Ledger
	for range vms {
		ledgers = append(ledgers, limit.NewLedger(limit.Rate{PerSecond: perSecond, Burst: 60}, vms, now.Add(-time.Hour), now))
	}
	busy, allowed := ledgers[0], 0
	for tick := range int(limitDuration / time.Millisecond) {
		now = now.Add(time.Millisecond)
		if ok, _ := busy.Take(now); ok {
			allowed++
		}
		shortfall := busy.Shortfall(now)
		if !lending || tick%500 != 0 || shortfall == 0 {
			continue
		}
		for i, lender := range ledgers[1:] {
			if n := lender.Lend("busy", shortfall, now); n > 0 {
				busy.Borrow(fmt.Sprint(i), n, now, now)
			}
		}
	}
	return float64(allowed) / (perSecond * limitDuration.Seconds())
}
