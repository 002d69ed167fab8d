package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// drainTimeout is bounds.drain_timeout_ms of the settings.
	drainTimeout = 2500 * time.Millisecond
	// lingering is how long after the removal of its entry the leaving runner exits.
	lingering = drainTimeout + 3*time.Second
	// bookers is the number of callers.
	bookers = 16
	// cutLead and cutTail are how long before and after the removal waiting watches are cut, cutAfter is how long each waits before.
	// CUT_LEAD_MS, CUT_MS and CUT_AFTER_MS replace them.
	cutLead  = 3 * time.Second
	cutTail  = 8 * time.Second
	cutAfter = 200 * time.Millisecond
)

func init() { plays["removed"] = playRemoved }

// playRemoved removes the entry of a runner that never reports draining, and cuts the watches that wait around that moment. It looks for
// requests that reach the runner later than drainTimeout afterwards.
func playRemoved(ctx context.Context, s *site, trouble bool) error {
	st, err := s.startStore()
	if err != nil {
		return err
	}
	st.cutAfter = fromEnvironment("CUT_AFTER_MS", cutAfter)
	if err := st.configure(ctx); err != nil {
		return err
	}
	var runners []*runner
	for i, zone := range []string{"a", "b", "a", "b"} {
		r := &runner{id: fmt.Sprintf("app-%d", i+1), service: "app", zone: zone, slots: 6, work: 150 * time.Millisecond}
		if err := r.start(); err != nil {
			return err
		}
		s.atEnd(func() { r.stop() })
		runners = append(runners, r)
		if err := st.setEntry(ctx, r); err != nil {
			return err
		}
	}
	for i, zone := range []string{"a", "b"} {
		if _, err := s.startVM(fmt.Sprintf("vm-%d", i+1), zone, st.address); err != nil {
			return err
		}
	}
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	callers, stopCallers := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for n := range bookers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client, v := newClient(), s.vms[n%len(s.vms)]
			for i := 0; callers.Err() == nil; i++ {
				id := fmt.Sprintf("book-%d-%d", n, i)
				a := send(context.WithoutCancel(callers), client, v, http.MethodPost, "/book/1", id, "", 2500*time.Millisecond, nil)
				if a.status != http.StatusOK || !a.complete {
					mu.Lock()
					lost++
					mu.Unlock()
					s.note("caller: %s at %s: status %d, error %v", id, v.name, a.status, a.err)
				}
				pause(callers, 50*time.Millisecond)
			}
		}()
	}
	defer wg.Wait()
	defer stopCallers()
	pause(ctx, 8*time.Second) // all is calm for longer than contact_timeout_ms
	leaving := runners[0]
	if trouble {
		st.cutting.Store(true)
	}
	pause(ctx, fromEnvironment("CUT_LEAD_MS", cutLead))
	st.Delete(ctx, names.RunnersPrefix+leaving.id)
	removedAt := time.Now()
	s.note("store: the entry of %s is removed", leaving.id)
	time.AfterFunc(fromEnvironment("CUT_MS", cutTail), func() {
		st.cutting.Store(false)
		s.note("store: %d waiting watches were cut", st.cuts.Load())
	})
	pause(ctx, time.Until(removedAt.Add(lingering)))
	leaving.stop()
	s.note("%s exits", leaving.id)
	pause(ctx, 2*time.Second)
	stopCallers()
	wg.Wait()
	late := 0
	for _, a := range leaving.seen() {
		if after := a.at.Sub(removedAt); after > drainTimeout {
			late++
			s.note("runner: %s reached %s %d ms after its removal", a.request, a.runner, after.Milliseconds())
		}
	}
	s.note("%d requests reached %s later than %d ms after its removal; %d requests of callers weren't answered with success", late, leaving.id, drainTimeout.Milliseconds(), lost)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests", errBroken, late)
	}
	return nil
}

// fromEnvironment returns the milliseconds that the variable holds, or fallback.
func fromEnvironment(name string, fallback time.Duration) time.Duration {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return time.Duration(n) * time.Millisecond
}
