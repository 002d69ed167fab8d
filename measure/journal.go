package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/journal"
	"cornelmux/internal/peer"
	"cornelmux/internal/standin"
	"cornelmux/internal/task"
)

const (
	// journalRegion is the home region of all requests.
	journalRegion = "measure"
	// journalRequests is the most requests of one measurement of commits.
	journalRequests = 1000
	// journalRunTime is how long a request runs between Open and Finish.
	journalRunTime = 20 * time.Millisecond
	// journalEntries is the size of the log for memory and recovery, journalBatch how many entries are appended at once.
	journalEntries = 100_000
	journalBatch   = 300
	// outageRequests arrive at one VM of 460 in 60 s at 17,000 requests/s.
	outageRequests = 60 * 17_000 / 460
	// outageSample is how many of them are also sent as non-idempotent requests.
	outageSample = 100
)

// noPeers implements journal.Members for a VM that knows no others.
type noPeers struct{}

// Members implements journal.Members.
func (noPeers) Members(context.Context) ([]peer.Member, error) { return nil, nil }

// journalSite is a platform over loopback and the journals that use it.
type journalSite struct {
	ctx    context.Context
	cancel context.CancelFunc
	ends   chan task.End
	// taskCount is the number of tasks whose ends come on ends.
	taskCount int
	client    *consul.Client
	platform  *standin.Platform
}

// newJournalSite starts the platform stand-in and its HTTP server. measureCommits, measureRecovery and
// measureOutage call it.
func newJournalSite() (*journalSite, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &journalSite{ends: make(chan task.End, 16), platform: standin.NewPlatform()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.start("platform", s.platform.Run)
	server := &http.Server{Handler: s.platform}
	s.start("server", func(context.Context) error { return ignoreClosed(server.Serve(l)) })
	s.start("closer", func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	s.client = consul.New("http://"+l.Addr().String(), client, 2*time.Second)
	return s, nil
}

// ignoreClosed drops the error that a server returns after Close.
func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (s *journalSite) start(name string, run func(context.Context) error) {
	s.taskCount++
	task.Start(s.ctx, name, s.ends, run)
}

func (s *journalSite) stop() error {
	err := task.Stop(s.cancel, s.ends, s.taskCount)
	s.client.HTTP.CloseIdleConnections()
	return err
}

// startJournal starts a journal that writes to a partition at most writesPerSecond times a second and lets the end of an
// answer wait for its bill for at most hold.
func (s *journalSite) startJournal(store journal.Store, writesPerSecond int, hold time.Duration) *journal.Controller {
	c := journal.New(store, noPeers{}, nil, journal.Options{
		VM: "vm", Incarnation: uint64(s.taskCount), ClaimFor: 20 * time.Second, ResendWindow: 10 * time.Minute,
		BillHold: hold, MaxBills: 4096, KeptBytes: 32 << 20, WritesPerSecond: writesPerSecond, ForwardTimeout: time.Second,
	}, logr.Discard())
	s.start("journal", c.Run)
	return c
}

// measureJournal measures commits, memory, recovery and refusals in an outage.
func measureJournal() (lines []Line, err error) {
	for _, inFlight := range []int{1, 10, 100} {
		commits, err := measureCommits(inFlight)
		if err != nil {
			return nil, err
		}
		lines = append(lines, commits...)
	}
	memory, err := measureJournalMemory()
	if err != nil {
		return nil, err
	}
	recovery, err := measureRecovery()
	if err != nil {
		return nil, err
	}
	refused, err := measureOutage()
	return append(append(append(lines, memory), recovery), refused...), err
}

// measureCommits serves requests, inFlight at a time. It measures how long Open takes and how many calls to the platform a
// non-idempotent request costs. measureJournal calls it for each number.
func measureCommits(inFlight int) ([]Line, error) {
	s, err := newJournalSite()
	if err != nil {
		return nil, err
	}
	c := s.startJournal(s.client, 20, 250*time.Millisecond)
	n := min(journalRequests, 50*inFlight)
	recorded, err := s.serveRequests(c, "n", n, inFlight, false)
	if err != nil {
		return nil, err
	}
	counts, err := s.platform.Counts(s.ctx)
	if err != nil {
		return nil, err
	}
	idempotent, err := s.serveRequests(c, "i", n, inFlight, true)
	if err != nil {
		return nil, err
	}
	name := func(what string) string { return fmt.Sprintf("journal_%s_at_%d_in_flight", what, inFlight) }
	target := "none"
	if inFlight == 100 {
		target = "<= 0.2"
	}
	return []Line{
		{name("commit_p50"), quantileMs(recorded, 0.5), "ms", "none"},
		{name("commit_p99"), quantileMs(recorded, 0.99), "ms", "none"},
		{name("idempotent_p50"), quantileMs(idempotent, 0.5), "ms", "<= 1"},
		{name("idempotent_p99"), quantileMs(idempotent, 0.99), "ms", "<= 1"},
		{name("platform_writes"), float64(counts.Writes) / float64(n), "writes/request", target},
		{name("platform_reads"), float64(counts.Reads) / float64(n), "reads/request", "none"},
	}, s.stop()
}

// serveRequests runs n requests for measureCommits, inFlight at a time, and returns how long each Open took.
func (s *journalSite) serveRequests(c *journal.Controller, name string, n, inFlight int, idempotent bool) ([]time.Duration, error) {
	durations := make(chan time.Duration, n)
	ends := make(chan task.End, inFlight)
	for worker := range inFlight {
		task.Start(s.ctx, "caller", ends, func(ctx context.Context) error {
			for i := worker; i < n; i += inFlight {
				d, err := serveRequest(ctx, c, fmt.Sprint(name, i), idempotent)
				if err != nil {
					return err
				}
				durations <- d
			}
			return nil
		})
	}
	var firstErr error
	for range inFlight {
		if end := <-ends; end.Err != nil && firstErr == nil {
			firstErr = end.Err
		}
	}
	close(durations)
	var all []time.Duration
	for d := range durations {
		all = append(all, d)
	}
	return all, firstErr
}

// serveRequest opens, bills and finishes one request and returns how long Open took. serveRequests calls it.
func serveRequest(ctx context.Context, c *journal.Controller, request string, idempotent bool) (time.Duration, error) {
	k := journal.Key{Region: journalRegion, Account: "account", Request: request}
	start := time.Now()
	o, err := c.Open(ctx, k, idempotent, journal.Fingerprint{Path: 1})
	took := time.Since(start)
	if err != nil {
		return took, err
	}
	task.Sleep(ctx, journalRunTime)
	bill := journal.Bill{Key: k, Runs: []journal.Run{{Model: "model", Version: "v1", Tokens: 200, Endpoint: "endpoint-1"}}}
	if err := c.Bill(ctx, bill); err != nil {
		return took, err
	}
	return took, c.Finish(ctx, o.Claim, &journal.Answer{Status: http.StatusOK}, nil)
}

// quantileMs sorts the list and returns its quantile in milliseconds.
func quantileMs(list []time.Duration, q float64) float64 {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))].Seconds() * 1000
}

// newJournalEntries returns n entries, for each request one that starts it and one that bills it. measureJournalMemory and
// measureRecovery fill their logs with it.
func newJournalEntries(n int) []journal.Entry {
	now := time.Now().UnixMilli()
	var entries []journal.Entry
	for i := range n {
		e := journal.Entry{
			ID: fmt.Sprintf("vm-17-18a9d0c7b6e5f4a3-%d", i), Kind: journal.EntryStarted, VM: "vm-17", Address: "10.0.0.17:8443",
			Key: journal.Key{Region: journalRegion, Account: "account", Request: fmt.Sprintf("018f3c2a-0000-7000-8000-%012d", i/2)}, UnixMs: now,
		}
		if i%2 == 1 {
			e.Kind, e.Address = journal.EntryBilled, ""
			e.Runs = []journal.Run{{Model: "model", Version: "v1", Tokens: 200, Endpoint: "endpoint-1"}}
		}
		entries = append(entries, e)
	}
	return entries
}

// measureJournalMemory measures the heap that a VM holds for a partition once all its entries are in sealed batches, whose
// entries only the platform keeps. measureJournal calls it.
func measureJournalMemory() (Line, error) {
	before := liveHeap()
	l := journal.NewLog(10 * time.Minute)
	if err := l.Apply(journal.Head{Entries: newJournalEntries(journalEntries)}, nil); err != nil {
		return Line{}, err
	}
	if err := l.Apply(journal.Head{Base: journalEntries}, nil); err != nil {
		return Line{}, err
	}
	heapMiB := float64(liveHeap()-before) / (1 << 20)
	runtime.KeepAlive(l)
	return Line{"journal_memory_per_100000_entries", heapMiB, "MiB", "<= 64"}, nil
}

// measureRecovery measures how long a VM takes to append to a partition with journalEntries that it hasn't read yet.
// measureJournal calls it.
func measureRecovery() (Line, error) {
	s, err := newJournalSite()
	if err != nil {
		return Line{}, err
	}
	c := s.startJournal(s.client, 100_000, time.Second)
	entries := newJournalEntries(journalEntries + 1)
	for at := 0; at < journalEntries; at += journalBatch {
		if _, err := c.Append(s.ctx, journalRegion, 0, entries[at:min(at+journalBatch, journalEntries)]); err != nil {
			return Line{}, err
		}
	}
	recovering := s.startJournal(s.client, 20, time.Second)
	start := time.Now()
	if _, err := recovering.Append(s.ctx, journalRegion, 0, entries[journalEntries:]); err != nil {
		return Line{}, err
	}
	return Line{"journal_recovery_of_100000_entries", time.Since(start).Seconds(), "s", "<= 2"}, s.stop()
}

// unavailablePlatform implements journal.Store during an outage.
type unavailablePlatform struct{}

// Get implements journal.Store.
func (unavailablePlatform) Get(context.Context, string) (consul.Value, error) {
	return consul.Value{}, consul.ErrUnavailable
}

// CAS implements journal.Store.
func (unavailablePlatform) CAS(context.Context, string, []byte, uint64) (bool, error) {
	return false, consul.ErrUnavailable
}

// measureOutage sends a VM the requests of an outage of 60 s, without the waits between them, and measures the share that
// it refuses. measureJournal calls it.
func measureOutage() ([]Line, error) {
	s, err := newJournalSite()
	if err != nil {
		return nil, err
	}
	c := s.startJournal(unavailablePlatform{}, 20, time.Nanosecond)
	refused := map[bool]int{}
	for i := range outageRequests {
		k := journal.Key{Region: journalRegion, Account: "account", Request: fmt.Sprint(i)}
		for _, idempotent := range []bool{true, false} {
			if !idempotent && i >= outageSample {
				continue
			}
			k.Account = fmt.Sprint("account-", idempotent)
			o, err := c.Open(s.ctx, k, idempotent, journal.Fingerprint{Path: 1})
			if err != nil {
				refused[idempotent]++
				continue
			}
			if err := c.Bill(s.ctx, journal.Bill{Key: k}); err != nil {
				return nil, err
			}
			if err := c.Finish(s.ctx, o.Claim, &journal.Answer{}, nil); err != nil {
				return nil, err
			}
		}
	}
	return []Line{
		{"journal_refused_idempotent_in_60s_outage", 100 * float64(refused[true]) / outageRequests, "%", "<= 0"},
		{"journal_refused_non_idempotent_in_60s_outage", 100 * float64(refused[false]) / outageSample, "%", "none"},
	}, s.stop()
}
