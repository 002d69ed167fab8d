//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// starvedShare is the share of what all requests get that a kind of request must get.
const starvedShare = 0.25

// playModel has one client name a model that the runners don't have, in one request and its one retry. All other requests are
// proper; it compares how often each kind of them is served.
func playModel(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	f.configure()
	if _, err := f.addRunners(ctx, 3, 3); err != nil {
		return verdict{}, err
	}
	if err := f.begin(ctx, "a", "b"); err != nil {
		return verdict{}, err
	}
	if !f.proper(ctx, "first", 2*time.Second).allServed() {
		return verdict{}, fmt.Errorf("proper requests fail before the disruption")
	}
	if trouble {
		f.wrongModel(ctx)
	}
	time.Sleep(time.Second)
	c := f.proper(ctx, "later", 20*time.Second)
	all := float64(c.served["streaming"]+c.served["safe"]) / float64(c.sent["streaming"]+c.sent["safe"])
	stream := float64(c.served["streaming"]) / float64(c.sent["streaming"])
	text := fmt.Sprintf("of the proper requests after it, streaming %d of %d served, safe %d of %d", c.served["streaming"], c.sent["streaming"], c.served["safe"], c.sent["safe"])
	return verdict{stream < starvedShare*all, text}, nil
}

// wrongModel sends a request for a model that the runners don't have. Its client retries once at another VM if it is told that the
// request has not run, as PROTOCOL.md says of clients.
func (f *fleet) wrongModel(ctx context.Context) {
	for i, v := range f.vms {
		a := f.send(ctx, newClient(), v, call{id: fmt.Sprintf("0dd%d", i), path: "/chat/2f", kind: "streaming", model: "medium", budget: 8 * time.Second})
		if a.status != http.StatusServiceUnavailable {
			return // 421 and others aren't retried
		}
	}
}

// counts counts the requests sent and served by kind; a request with its one retry counts once.
type counts struct {
	mu           sync.Mutex
	sent, served map[string]int
}

func (c *counts) allServed() bool {
	return c.served["streaming"] == c.sent["streaming"] && c.served["safe"] == c.sent["safe"]
}

// proper sends proper requests of two kinds for a while, ten a second, with one retry at the other VM as Retry-After says.
func (f *fleet) proper(ctx context.Context, name string, lasts time.Duration) *counts {
	c := &counts{sent: map[string]int{}, served: map[string]int{}}
	var all sync.WaitGroup
	for i := range int(lasts / (100 * time.Millisecond)) {
		all.Go(func() {
			q := call{path: "/read/2f", kind: "safe", budget: 2500 * time.Millisecond}
			if i%2 == 0 {
				q = call{path: "/chat/2f", kind: "streaming", model: "*", budget: 8 * time.Second}
			}
			served := false
			for try := 0; try < 2 && !served; try++ {
				q.id = fmt.Sprintf("%x%04x%x", len(name), i, try)
				a := f.send(ctx, newClient(), f.vms[(i/2+try)%len(f.vms)], q)
				served = a.ok()
				if after, err := time.ParseDuration(a.wait + "s"); err == nil && !served {
					time.Sleep(after)
				}
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sent[q.kind]++
			if served {
				c.served[q.kind]++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	return c
}
