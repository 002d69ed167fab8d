package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// contactTimeout is bounds.contact_timeout_ms of the settings.
	contactTimeout = 4 * time.Second
	// deadlyBlock is the ID of the part that crashes runners.
	deadlyBlock = "dead1"
	// downTime is how long a crashed runner is away, heartbeats how long its entry stays.
	downTime   = 3 * time.Second
	heartbeats = 3600 * time.Millisecond
	// deadlyInterval is the time between two requests with the part, longPlay that during which they come.
	deadlyInterval = 400 * time.Millisecond
	longPlay       = 30 * time.Second
	// defaultParts is the number of parts before the deadly one.
	defaultParts = 16
)

// fleet is a set of runners that crash and come back.
type fleet struct {
	s       *site
	st      *store
	ctx     context.Context
	mu      sync.Mutex
	all     []*runner
	crashes []time.Time
	starts  int
}

// add starts a runner and registers it.
func (f *fleet) add() error {
	f.mu.Lock()
	f.starts++
	r := &runner{
		id: fmt.Sprintf("model-%d", f.starts), service: "models", zone: string("abc"[f.starts%3]), slots: 64, events: 10, gap: 40 * time.Millisecond,
		crashes: func(prompt string) bool { return strings.Contains(prompt, deadlyBlock+":") }, crashed: f.crashed,
	}
	f.all = append(f.all, r)
	f.mu.Unlock()
	if err := r.start(); err != nil {
		return err
	}
	return f.st.setEntry(f.ctx, r)
}

// crashed takes a crashed runner's entry away after its heartbeats, and starts another in its place.
func (f *fleet) crashed(r *runner, request string) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	n := len(f.crashes)
	f.mu.Unlock()
	f.s.note("runner: %s crashes as it begins to answer %s (crash %d)", r.id, request, n)
	time.AfterFunc(downTime, func() {
		if f.ctx.Err() == nil {
			_ = f.add() // it fails only if the store has ended
		}
	})
	time.AfterFunc(heartbeats, func() {
		if f.ctx.Err() == nil {
			f.st.Delete(f.ctx, names.RunnersPrefix+r.id)
		}
	})
}

// prompt returns the parts of a prompt: many common ones, one that is deadly or not, and the request's own last one.
func prompt(parts, n int, deadly bool) string {
	id := os.Getenv("ID_PREFIX") // makes the IDs longer
	var b strings.Builder
	for i := range parts {
		fmt.Fprintf(&b, "%sc%x:40,", id, i+1)
	}
	if deadly {
		fmt.Fprintf(&b, "%s%s:40,", id, deadlyBlock)
	} else {
		fmt.Fprintf(&b, "%s5a%x:40,", id, n%7)
	}
	fmt.Fprintf(&b, "%se%x:40,%sf%x:40", id, n, id, n)
	return b.String()
}

func init() { plays["long"] = playLongPrompts }

// playLongPrompts sends requests with a part that crashes runners, which stands after many common parts, beside sound ones.
func playLongPrompts(ctx context.Context, s *site, trouble bool) error {
	parts := defaultParts
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	st, err := s.startStore()
	if err != nil {
		return err
	}
	if err := st.configure(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fleet{s: s, st: st, ctx: ctx}
	for range 12 {
		if err := f.add(); err != nil {
			return err
		}
	}
	s.atEnd(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, r := range f.all {
			r.stop()
		}
	})
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := s.startVM(fmt.Sprintf("vm-%d", i+1), zone, st.address); err != nil {
			return err
		}
	}
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	sound := &tally{}
	var wg sync.WaitGroup
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for n := range 9 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client, v := newClient(), s.vms[n%len(s.vms)]
			for i := n; callers.Err() == nil; i += 9 {
				a := send(ctx, client, v, http.MethodPost, "/write/1", fmt.Sprintf("sound-%d", i), prompt(parts, i, false), 8*time.Second, nil)
				sound.add(time.Now(), a.status == http.StatusOK && a.complete && strings.Count(a.body, "data:") == 10)
				pause(callers, 100*time.Millisecond)
			}
		}()
	}
	pause(ctx, 6*time.Second)
	s.note("calm: %s", sound)
	client := newClient()
	began := time.Now()
	for i := 0; trouble && time.Since(began) < longPlay; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			v := s.vms[i%len(s.vms)]
			a := send(ctx, client, v, http.MethodPost, "/write/1", fmt.Sprintf("deadly-%d", i), prompt(parts, 100000+i, true), 8*time.Second, nil)
			s.note("caller: deadly-%d at %s: status %d, error %v, %s", i, v.name, a.status, a.err, strings.TrimSpace(a.body[:min(len(a.body), 60)]))
		}()
		pause(ctx, deadlyInterval)
	}
	if !trouble {
		pause(ctx, longPlay)
	}
	stopCallers()
	wg.Wait()
	s.note("in all: %s", sound)
	return f.judge()
}

// judge counts the requests with the part that reached runners too long after the fifth crash.
func (f *fleet) judge() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 5 {
		f.s.note("%d crashes in all", len(f.crashes))
		return nil
	}
	bound := f.crashes[4].Add(contactTimeout)
	var late []arrival
	for _, r := range f.all {
		for _, a := range r.seen() {
			if strings.Contains(a.prompt, deadlyBlock+":") && a.at.After(bound) {
				late = append(late, a)
			}
		}
	}
	slices.SortFunc(late, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, a := range late {
		f.s.note("runner: %s reached %s %d ms after the fifth crash", a.request, a.runner, a.at.Sub(f.crashes[4]).Milliseconds())
	}
	f.s.note("%d crashes in all; %d requests with the part reached runners later than %d ms after the fifth", len(f.crashes), len(late), contactTimeout.Milliseconds())
	if len(late) > 3 {
		return fmt.Errorf("%w: BUDGET: %d requests", errBroken, len(late))
	}
	return nil
}

// tally counts answers.
type tally struct {
	mu       sync.Mutex
	ok, fail int
}

// add counts one.
func (t *tally) add(_ time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		t.ok++
	} else {
		t.fail++
	}
}

// share returns the share that was answered, 0 to 1.
func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.ok) / float64(max(t.ok+t.fail, 1))
}

// String implements fmt.Stringer.
func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d sound requests answered, %d not", t.ok, t.fail)
}
