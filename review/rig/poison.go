package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// appRunners is the number of runners of the application, backAfter how long one is down after a crash.
	appRunners = 3
	backAfter  = 2 * time.Second
	// crashCause stands in the target of the request that crashes runners.
	crashCause = "666"
	// allowedRetries is how many retries of it may reach runners later than contactTimeout after the third crash.
	allowedRetries = 3
)

// crashingApp is an application whose runners crash when they begin to run a request that names crashCause.
type crashingApp struct {
	record *record
	store  *store
	mu     sync.Mutex
	// crashes are the times at which such a request began to run, and ids the requests.
	crashes []time.Time
	ids     []string
}

// boot is one start of a runner, which ends by a crash.
type boot struct {
	*runner
	app  *crashingApp
	down sync.Once
	gone chan struct{}
}

// ServeHTTP implements http.Handler.
func (b *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(headerPrefix + "Expected-Instance"); want != b.id || !strings.Contains(r.URL.RequestURI(), crashCause) {
		b.runner.ServeHTTP(w, r)
		return
	}
	b.app.mu.Lock()
	b.app.crashes = append(b.app.crashes, time.Now())
	b.app.ids = append(b.app.ids, r.Header.Get(headerPrefix+"Request-Id"))
	n := len(b.app.crashes)
	b.app.mu.Unlock()
	b.record.note("runner %s begins to run %s: %s %s, and crashes (crash %d)", b.id, r.Header.Get(headerPrefix+"Request-Id"), r.Method, r.URL.RequestURI(), n)
	b.down.Do(func() { close(b.gone) })
	select {} // the server's end closes the connection
}

// keep starts the runner on the address again after each crash, with another ID, until ctx ends.
func (a *crashingApp) keep(ctx context.Context, number int, address string) {
	for n := 1; ctx.Err() == nil; n++ {
		l, err := net.Listen("tcp", address)
		if err != nil {
			a.record.note("runner %d: %v", number, err)
			return
		}
		beating, cancel := context.WithCancel(ctx)
		b := &boot{
			runner: &runner{id: fmt.Sprintf("i-%d-%d", number, n), service: appService, zone: "a", address: address, born: time.Now().UnixMilli(), record: a.record, ran: func(run) {}, state: "ready"},
			app:    a, gone: make(chan struct{}),
		}
		server := &http.Server{Handler: b}
		go server.Serve(l) //nolint:errcheck // ends with the crash
		b.record.note("runner %s starts", b.id)
		go b.beatAlways(beating, a.store)
		select {
		case <-b.gone:
		case <-ctx.Done():
		}
		cancel()
		server.Close()
		go a.expire(b.id)
		time.Sleep(backAfter)
	}
}

// expire removes the entry of a runner that has crashed after three heartbeats of silence.
func (a *crashingApp) expire(id string) {
	time.Sleep(3 * heartbeat)
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.store.content.remove(runnerPrefix + id)
}

// poisonedQuery checks that a request which crashes runners doesn't reach them again and again. The disruption is that request, which
// comes again with the same path, query, caller and body; other requests on its path have other queries and are sound.
func poisonedQuery(ctx context.Context, c *play) ([]string, error) {
	s, err := newStore("127.0.66.1")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	app := &crashingApp{record: c.record, store: s}
	for i := range appRunners {
		address, err := freeAddress("127.0.66.2")
		if err != nil {
			return nil, err
		}
		go app.keep(ctx, i, address)
	}
	look := route("r-look", "/look/", "safe")
	look["max_attempts"] = 2
	s.put(operatorPrefix+"config", configuration(3, map[string]string{"one": "key-1"}, look))
	for i := range 2 {
		if _, err := c.start(fmt.Sprintf("vm-%d", i), "a", fmt.Sprintf("127.0.66.%d", 10+i), s); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	const target = "/look/stock?item=%s"
	end := time.Now().Add(40 * time.Second)
	statuses := map[int]int{}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; time.Now().Before(end); i++ {
			a := exchange(c.vms[i%2], "GET", fmt.Sprintf(target, fmt.Sprint(i%50)), "key-1", fmt.Sprintf("s%05d", i), "")
			statuses[a.status]++
			time.Sleep(50 * time.Millisecond)
		}
	}()
	for i := 0; time.Now().Before(end); i++ {
		if c.trouble {
			ask(c.record, c.vms[i%2], "GET", fmt.Sprintf(target, crashCause), "key-1", fmt.Sprintf("p%05d", i), "")
		}
		time.Sleep(2 * time.Second)
	}
	wg.Wait()
	c.note("the sound requests' answers by status: %v", statuses)
	return app.check(), nil
}

// check returns what breaks the rule.
func (a *crashingApp) check() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.crashes) < 3 {
		return nil
	}
	late := map[string]bool{}
	for i, at := range a.crashes {
		if at.Sub(a.crashes[2]) > contactTimeout {
			late[a.ids[i]] = true
		}
	}
	if len(late) <= allowedRetries {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: %d retries of the request that crashes runners reached them later than %v after its third crash; it crashed %d in all", len(late), contactTimeout, len(a.crashes))}
}
