package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back, awayTime how long the store is away before.
	copyAge  = 8 * time.Second
	awayTime = time.Second
	// secondChange is the time from the copy to the change that is lost and written again.
	secondChange = copyAge - time.Second
	// settled is the time from the store's return to the last change: contact_timeout_ms of 4 s, and some more.
	settled = 4500 * time.Millisecond
	// applyBound is configuration_apply_ms, and some more. observed is how long requests are sent after it.
	applyBound = 2600 * time.Millisecond
	observed   = 10 * time.Second
)

// restoredStore checks that a key and a route which the operator takes away, long after the store came back from a copy, aren't served
// later than configuration_apply_ms after the store's acknowledgement.
func restoredStore(ctx context.Context, c *play) ([]string, error) {
	s, err := newStore("127.0.61.1")
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	runs := map[string]bool{}
	ran := func(r run) {
		mu.Lock()
		defer mu.Unlock()
		runs[r.id] = true
	}
	// 15 runners write their entries, as in a small deployment; those of the model service get no requests here.
	for i := range 15 {
		service := "models"
		if i < 3 {
			service = appService
		}
		n, err := newRunner("127.0.61.2", fmt.Sprintf("i-%d", i), service, []string{"a", "b"}[i%2], c.record, ran)
		if err != nil {
			return nil, err
		}
		go n.beatAlways(ctx, s)
	}
	stay, gone := route("r-stay", "/stay/", "safe"), route("r-gone", "/gone/", "safe")
	keys, fewer := map[string]string{"one": "key-stays", "two": "key-goes"}, map[string]string{"one": "key-stays"}
	write := func(body map[string]any) {
		revision, ok := s.put(operatorPrefix+"config", body)
		c.note("operator writes configuration %v: acknowledged %v, revision %d", body["version"], ok, revision)
	}
	write(configuration(3, keys, stay, gone))
	for i, zone := range []string{"a", "b"} {
		if _, err := c.start(fmt.Sprintf("vm-%s", zone), zone, fmt.Sprintf("127.0.61.%d", 10+i), s); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	copied := s.copyNow()
	c.note("a copy of the store is taken, revision %d", copied.revision)
	time.Sleep(secondChange)
	second := configuration(7, keys, stay, gone)
	write(second)
	time.Sleep(copyAge - secondChange)
	if c.trouble {
		c.note("the store is away")
		s.leave()
	}
	time.Sleep(awayTime)
	if c.trouble {
		s.comeBack(copied)
		c.note("the store is back from the copy, revision %d", copied.revision)
		write(second) // the operator writes again what was lost
	}
	time.Sleep(settled)
	write(configuration(12, fewer, stay))
	acknowledged := time.Now()
	time.Sleep(applyBound)
	var broken []string
	n := 0
	for time.Since(acknowledged) < applyBound+observed && ctx.Err() == nil {
		for _, v := range c.vms {
			for _, q := range []struct{ target, key, what string }{
				{"/stay/x", "key-goes", "with the key that was taken away"},
				{"/gone/x", "key-stays", "on the route that was taken away"},
				{"/stay/x", "key-stays", ""},
			} {
				n++
				id := fmt.Sprintf("q%05d", n)
				after := time.Since(acknowledged)
				a := ask(c.record, v, "GET", q.target, q.key, id, "")
				mu.Lock()
				hasRun := runs[id]
				mu.Unlock()
				if q.what != "" && hasRun {
					broken = append(broken, fmt.Sprintf("CONFIG: %s, sent to %s %.1f s after the acknowledgement %s, ran and got %d", id, v.name, after.Seconds(), q.what, a.status))
				}
				if q.what == "" && a.status != 200 {
					c.note("%s, which is allowed, got %d", id, a.status)
				}
			}
		}
		time.Sleep(time.Second)
	}
	if len(broken) > 2 {
		c.note("%d requests broke the rule; the first and the last are told", len(broken))
		broken = []string{broken[0], broken[len(broken)-1]}
	}
	return broken, nil
}
