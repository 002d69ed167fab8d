package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// doubleSlash checks that a runner gets the path that the client sent, on a route whose prefix is "/". The disruption is a path that
// begins with two slashes.
func doubleSlash(ctx context.Context, c *play) ([]string, error) {
	s, err := newStore("127.0.62.1")
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	runs := map[string]run{}
	for i := range 3 {
		n, err := newRunner("127.0.62.2", fmt.Sprintf("i-%d", i), appService, "a", c.record, func(r run) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.id] = r
		})
		if err != nil {
			return nil, err
		}
		go n.beatAlways(ctx, s)
	}
	s.put(operatorPrefix+"config", configuration(3, map[string]string{"one": "key-1"}, route("r-all", "/", "unsafe")))
	v, err := c.start("vm-a", "a", "127.0.62.10", s)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	targets := []string{"/orders/17", "/orders/cancel/all", "/a//b?x=1"}
	if c.trouble {
		targets = append(targets, "//orders/17", "//orders/cancel/all?x=1", "//orders")
	}
	var broken []string
	for i, target := range targets {
		id := fmt.Sprintf("q%05d", i)
		a := ask(c.record, v, "POST", target, "key-1", id, "cancel 17")
		mu.Lock()
		r, ok := runs[id]
		mu.Unlock()
		if ok && r.target != target {
			broken = append(broken, fmt.Sprintf("UNASKED: %s asked for POST %s, and runner %s ran %s %s; the client got %d", id, target, r.runner, r.method, r.target, a.status))
		}
	}
	return broken, nil
}
