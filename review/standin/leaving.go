//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	drainTimeout = 2500 * time.Millisecond
	// refusedFor is how long the store turns one VM away.
	refusedFor = 9 * time.Second
	// staysFor is how long the leaving runner serves after the store has accepted that it drains: drainTimeout and a little
	// longer.
	staysFor = 6 * time.Second
)

// playLeaving has the store turn one of three VMs away while a runner leaves, whose answers say so. It counts the requests that
// this VM sends to the runner later than drainTimeout after it passed such an answer on.
func playLeaving(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	f.configure()
	runners, err := f.addRunners(ctx, 1, 2)
	if err != nil {
		return verdict{}, err
	}
	if err := f.begin(ctx, "a", "b", "c"); err != nil {
		return verdict{}, err
	}
	apart, leaver := f.vms[2], runners[2]
	f.rec.line("%s is the VM that the store turns away, %s the runner that leaves", apart.name, leaver.id)
	var clients sync.WaitGroup
	sending, stop := context.WithCancel(ctx)
	defer stop()
	clients.Go(func() { f.book(sending, ctx, apart, &clients) })
	time.Sleep(3 * time.Second)
	if trouble {
		f.store.refuse(apart.name, true)
		f.rec.line("the store turns %s away (503)", apart.name)
	}
	time.Sleep(1500 * time.Millisecond) // watches that wait end
	leaver.drain()
	f.rec.line("the store has accepted that %s drains", leaver.id)
	time.Sleep(staysFor)
	leaver.exit()
	f.rec.line("%s has exited", leaver.id)
	time.Sleep(refusedFor - staysFor - 1500*time.Millisecond)
	f.store.refuse(apart.name, false)
	time.Sleep(3 * time.Second)
	stop()
	clients.Wait()
	return f.judgeLeaving(apart, leaver), nil
}

// book sends unsafe requests to the VM, 30 a second, until sending ends.
func (f *fleet) book(sending, ctx context.Context, v *vm, clients *sync.WaitGroup) {
	client := newClient()
	for i := 0; sending.Err() == nil; i++ {
		clients.Go(func() {
			f.send(ctx, client, v, call{id: fmt.Sprintf("b00%04x", i), path: "/book/2f", kind: "unsafe", body: []byte("a booking"), budget: 2500 * time.Millisecond})
		})
		time.Sleep(time.Second / 30)
	}
}

// judgeLeaving counts the requests that broke the rule, and those that ran at the runner and got no answer of it.
func (f *fleet) judgeLeaving(apart *vm, leaver *runner) verdict {
	runs, answers := f.rec.snapshot()
	ranAt := map[string]time.Time{}
	for _, r := range runs {
		if r.runner == leaver.id {
			ranAt[r.request] = r.at
		}
	}
	var toldAt time.Time
	for _, a := range answers {
		if a.vm == apart.name && a.leaving && (toldAt.IsZero() || a.at.Before(toldAt)) {
			toldAt = a.at
		}
	}
	late, lost := 0, 0
	for _, a := range answers {
		if _, ran := ranAt[a.id]; !ran || a.vm != apart.name {
			continue
		}
		if !toldAt.IsZero() && a.sentAt.Sub(toldAt) > drainTimeout {
			late++
			f.rec.line("rule broken by %s: sent %d ms after %s passed Server-Leaving on, runs at %s; %s", a.id, a.sentAt.Sub(toldAt).Milliseconds(), apart.name, leaver.id, a)
		}
		if !a.ok() {
			lost++
			f.rec.line("lost: %s ran at %s; %s", a.id, leaver.id, a)
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d requests reached the leaving runner later than %v after the VM had passed Server-Leaving on; %d of its runs had no answer", late, drainTimeout, lost)}
}
