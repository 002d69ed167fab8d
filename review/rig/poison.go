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
	// bookingTime is how long a runner works on a booking, lookInterval and bookInterval the times between two look-ups and two bookings.
	bookingTime  = 100 * time.Millisecond
	lookInterval = 50 * time.Millisecond
	bookInterval = 50 * time.Millisecond
)

// crashingApp is an application whose runners crash when they begin to run a request that names crashCause.
type crashingApp struct {
	record *record
	store  *store
	mu     sync.Mutex
	// crashes are the times at which such a request began to run, and ids the requests.
	crashes []time.Time
	ids     []string
	// begun holds the IDs of the sound requests that began to run.
	begun map[string]bool
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
			runner: &runner{id: fmt.Sprintf("i-%d-%d", number, n), service: appService, zone: "a", address: address, born: time.Now().UnixMilli(), record: a.record, ran: a.begin, bookingTime: bookingTime, state: "ready"},
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

// begin notes that a sound request begins to run.
func (a *crashingApp) begin(r run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun[r.id] = true
}

// hasBegun reports whether a sound request began to run.
func (a *crashingApp) hasBegun(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.begun[id]
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
	app := &crashingApp{record: c.record, store: s, begun: map[string]bool{}}
	for i := range appRunners {
		address, err := freeAddress("127.0.66.2")
		if err != nil {
			return nil, err
		}
		go app.keep(ctx, i, address)
	}
	look := route("r-look", "/look/", "safe")
	look["max_attempts"] = 2
	s.put(operatorPrefix+"config", configuration(3, map[string]string{"one": "key-1"}, look, route("r-book", "/book/", "unsafe")))
	for i := range 2 {
		if _, err := c.start(fmt.Sprintf("vm-%d", i), "a", fmt.Sprintf("127.0.66.%d", 10+i), s); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	const target = "/look/stock?item=%s"
	end := time.Now().Add(40 * time.Second)
	var others sync.WaitGroup
	others.Add(2)
	go func() {
		defer others.Done()
		c.lookUp(target, end)
	}()
	go func() {
		defer others.Done()
		c.book(app, end)
	}()
	for i := 0; time.Now().Before(end); i++ {
		if c.trouble {
			ask(c.record, c.vms[i%2], "GET", fmt.Sprintf(target, crashCause), "key-1", fmt.Sprintf("p%05d", i), "")
		}
		time.Sleep(2 * time.Second)
	}
	others.Wait()
	return app.check(), nil
}

// lookUp sends sound look-ups until end, each for another item than the one before.
func (c *play) lookUp(target string, end time.Time) {
	statuses := map[int]int{}
	for i := 0; time.Now().Before(end); i++ {
		a := exchange(c.vms[i%2], "GET", fmt.Sprintf(target, fmt.Sprint(i%50)), "key-1", fmt.Sprintf("s%05d", i), "")
		statuses[a.status]++
		time.Sleep(lookInterval)
	}
	c.note("the sound look-ups' answers by status: %v", statuses)
}

// book sends bookings until end, and notes those that had begun to run and got no success.
func (c *play) book(app *crashingApp, end time.Time) {
	statuses, lost := map[int]int{}, 0
	var mu sync.Mutex
	var open sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("b%05d", i)
		open.Go(func() {
			a := exchange(c.vms[i%2], "POST", "/book/x", "key-1", id, "one crate")
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.status != http.StatusOK && app.hasBegun(id) {
				lost++
				c.note("booking %s had begun to run and got %d", id, a.status)
			}
		})
		time.Sleep(bookInterval)
	}
	open.Wait()
	c.note("the bookings' answers by status: %v; %d had begun to run and got no success", statuses, lost)
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
