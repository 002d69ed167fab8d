package journal_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/filter"
	"cornelmux/internal/journal"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// region is the region of all VMs and requests.
const region = "r"

var errUnreachable = errors.New("peer unreachable")

// fakeStore simulates the platform with a fixed latency. Each call gets the next of the faults, in turn; an empty one means
// that the call succeeds.
type fakeStore struct {
	mu      sync.Mutex
	values  map[string]consul.Value
	version uint64
	latency time.Duration
	faults  []string
	// callCount counts all calls, writeCount the writes that reached the store, conflicts included.
	callCount  int
	writeCount int
	// down makes every call fail.
	down bool
	// lateWrites counts the writes that take effect after their call has returned.
	lateWrites sync.WaitGroup
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string]consul.Value{}, latency: time.Millisecond}
}

// nextFault returns the fault of the next call.
func (s *fakeStore) nextFault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCount++
	if s.down {
		return "unavailable"
	}
	if len(s.faults) == 0 {
		return ""
	}
	return s.faults[s.callCount%len(s.faults)]
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) setFaults(faults []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// simulateCall waits for the latency of a call, 7 seconds for a slow one, and returns an error if it is to fail.
func (s *fakeStore) simulateCall(ctx context.Context, fault string) error {
	d := s.latency
	if fault == "slow" {
		d = 7 * time.Second
	}
	if !task.Sleep(ctx, d) || fault == "unavailable" {
		return consul.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (consul.Value, error) {
	if err := s.simulateCall(ctx, s.nextFault()); err != nil {
		return consul.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], nil
}

// compareAndSwap writes the key if it has the version, and reports whether it did.
func (s *fakeStore) compareAndSwap(key string, data []byte, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeCount++
	if s.values[key].Version != version {
		return false
	}
	s.version++
	s.values[key] = consul.Value{Key: key, Data: data, Version: s.version}
	return true
}

// CAS implements journal.Store, with the faults that a write can meet.
func (s *fakeStore) CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error) {
	fault := s.nextFault()
	if err := s.simulateCall(ctx, fault); err != nil {
		return false, err
	}
	switch fault {
	case "answer lost":
		s.compareAndSwap(key, data, version)
		return false, consul.ErrOutcomeUnknown
	case "late":
		s.lateWrites.Go(func() {
			task.Sleep(context.Background(), 100*time.Millisecond)
			s.compareAndSwap(key, data, version)
		})
		return false, consul.ErrOutcomeUnknown
	default:
		return s.compareAndSwap(key, data, version), nil
	}
}

func (s *fakeStore) Delete(_ context.Context, key string, version uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Version != version {
		return false, nil
	}
	delete(s.values, key)
	return true, nil
}

// vm is an entry VM. All its calls fail once it is dead.
type vm struct {
	*journal.Controller
	cluster *cluster
	name    string
	cancel  context.CancelFunc
	dead    atomic.Bool
}

func (v *vm) Get(ctx context.Context, key string) (consul.Value, error) {
	if v.dead.Load() {
		return consul.Value{}, consul.ErrUnavailable
	}
	return v.cluster.store.Get(ctx, key)
}

func (v *vm) CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error) {
	if v.dead.Load() {
		return false, consul.ErrUnavailable
	}
	return v.cluster.store.CAS(ctx, key, data, version)
}

// crash ends the VM; nothing that it still tries to write at the end takes effect.
func (v *vm) crash() {
	v.dead.Store(true)
	v.cancel()
}

// cluster is a region of entry VMs with journals, on one store.
type cluster struct {
	store *fakeStore
	vms   []*vm
	ends  chan task.End
	// peersUnreachable makes all calls between VMs fail; peerAnswersLost loses the answers to forwarded appends.
	peersUnreachable atomic.Bool
	peerAnswersLost  atomic.Bool
}

// newCluster starts n VMs.
func newCluster(ctx context.Context, n, maxBills, keptBytes int) *cluster {
	c := &cluster{store: newFakeStore(), ends: make(chan task.End, n)}
	for i := range n {
		v := &vm{cluster: c, name: fmt.Sprint("vm-", i)}
		v.Controller = journal.New(v, v, peers{v}, journal.Options{
			VM: v.name, Region: region, Address: v.name, ClaimFor: 5 * time.Second, ResendWindow: 10 * time.Minute,
			BillHold: 250 * time.Millisecond, MaxBills: maxBills, KeptBytes: keptBytes, WritesPerSecond: 20, ForwardTimeout: time.Second,
		}, logr.Discard())
		var vmCtx context.Context
		vmCtx, v.cancel = context.WithCancel(ctx)
		task.Start(vmCtx, v.name, c.ends, v.Run)
		c.vms = append(c.vms, v)
	}
	return c
}

// stop ends all VMs and waits for them and for late writes.
func (c *cluster) stop() {
	for _, v := range c.vms {
		v.cancel()
	}
	for range c.vms {
		<-c.ends
	}
	c.store.lateWrites.Wait()
}

// Members implements journal.Members. The list still holds crashed VMs, so that entries are forwarded to dead owners.
func (v *vm) Members(context.Context) ([]peer.Member, error) {
	var list []peer.Member
	for _, other := range v.cluster.vms {
		if other != v {
			list = append(list, peer.Member{VM: other.name, Region: region, ControlAddress: other.name})
		}
	}
	return list, nil
}

// peers implements journal.Peers with direct calls from one VM to another.
type peers struct{ from *vm }

// target returns the VM at the address, or an error if it can't be reached.
func (p peers) target(ctx context.Context, address string) (*vm, error) {
	task.Sleep(ctx, time.Millisecond)
	for _, v := range p.from.cluster.vms {
		if v.name == address && !v.dead.Load() && !p.from.dead.Load() && !p.from.cluster.peersUnreachable.Load() {
			return v, nil
		}
	}
	return nil, errUnreachable
}

func (p peers) Append(ctx context.Context, address, region string, n int, entries []journal.Entry) ([]journal.Outcome, error) {
	target, err := p.target(ctx, address)
	if err != nil {
		return nil, err
	}
	outcomes, err := target.Append(ctx, region, n, entries)
	if p.from.cluster.peerAnswersLost.Load() {
		return nil, errUnreachable
	}
	return outcomes, err
}

func (p peers) FetchAnswer(ctx context.Context, address string, k journal.Key, fingerprint uint64) (journal.FindResult, error) {
	target, err := p.target(ctx, address)
	if err != nil {
		return journal.FindResult{}, err
	}
	return target.Find(ctx, k, fingerprint)
}

// caller describes one request of a test. All durations follow each other: the request starts at StartAfter, is sent to the
// endpoint SendAfter later and ends there after RunTime, in the way of Ending: "refused" before the send, "lost" after it,
// or else with an answer.
type caller struct {
	// VM is the index of the VM that gets the request, Key the request ID.
	VM, Key    int
	Idempotent bool
	StartAfter time.Duration
	SendAfter  time.Duration
	RunTime    time.Duration
	Ending     string
	// Timeout is the caller's timeout, at least one second.
	Timeout time.Duration
}

// outcome is the result of one caller's request. It implements filter.Sink.
type outcome struct {
	caller
	err      *result.Error
	text     string
	complete bool
	// sent and served report that the endpoint got the request, and that it answered.
	sent   bool
	served bool
}

func (o *outcome) Begin(context.Context, filter.Head) error { return nil }

func (o *outcome) Chunk(_ context.Context, chunk endpoint.Chunk) error {
	o.text += chunk.Text
	o.complete = chunk.Last
	return nil
}

// endpointStub takes the place of the Send filter at the end of the chain. It checks the claim as Send does before a send,
// and records in the outcome what happened.
type endpointStub struct {
	vm *vm
	o  *outcome
}

// Handle implements filter.Filter. It waits for SendAfter and RunTime and ends as o.Ending says. It refuses a non-idempotent
// request without a valid claim, and fails every request once its VM is dead.
func (e endpointStub) Handle(ctx context.Context, x *filter.Exchange, _ filter.Next) error {
	task.Sleep(ctx, e.o.SendAfter)
	if e.vm.dead.Load() || e.o.Ending == "refused" {
		return result.Errorf(result.NoEndpoint, "no endpoint")
	}
	if !x.Idempotent && !x.Claim.Valid(time.Now()) {
		return result.Errorf(result.DeadlinePassed, "claim expired")
	}
	x.Sent, e.o.sent = true, true
	task.Sleep(ctx, e.o.RunTime)
	if e.o.Ending == "lost" || e.vm.dead.Load() {
		return result.Errorf(result.EndpointFailed, "lost")
	}
	e.o.served = true
	x.Runs = append(x.Runs, journal.Run{Endpoint: "e"})
	_ = x.Sink.Begin(ctx, filter.Head{Status: 200})
	_ = x.Sink.Chunk(ctx, endpoint.Chunk{Text: e.vm.name + " at "})
	return x.Sink.Chunk(ctx, endpoint.Chunk{Text: e.o.StartAfter.String(), Last: true})
}

// call passes a request through the Deduplicate and Bill filters of its VM to the endpoint.
func (c *cluster) call(ctx context.Context, o *outcome) {
	task.Sleep(ctx, o.StartAfter)
	v := c.vms[o.VM]
	if v.dead.Load() {
		o.err = result.Errorf(result.Leaving, "dead")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(o.Timeout, time.Second))
	defer cancel()
	chain := filter.Chain(
		filter.Deduplicate{Journal: v, CleanupTimeout: 5 * time.Second}, filter.Bill{Journal: v, Log: logr.Discard()}, endpointStub{v, o},
	)
	x := &filter.Exchange{
		Sink: o, Idempotent: o.Idempotent, Account: catalog.ClientAccount{Name: "a", HomeRegion: region},
		Request: filter.Request{ID: fmt.Sprint(o.Key)},
	}
	if err := chain(ctx, x); err != nil {
		o.err = result.From(err)
	}
}

// run makes all calls and injects the event at its time. After a recovery time it returns the outcome of each caller and the
// bills of the region.
func (c *cluster) run(ctx context.Context, callers []caller, event string, eventAt time.Duration) (outcomes []*outcome, bills []journal.Bill, err error) {
	var running sync.WaitGroup
	running.Go(func() {
		task.Sleep(ctx, eventAt)
		c.injectEvent(event)
	})
	for _, row := range callers {
		o := &outcome{caller: row}
		outcomes = append(outcomes, o)
		running.Go(func() { c.call(ctx, o) })
	}
	running.Wait()
	c.store.setDown(false)
	c.store.setFaults(nil)
	task.Sleep(ctx, 10*time.Second)
	bills, _, err = journal.ReadBills(ctx, c.store, region)
	return outcomes, bills, err
}

// checkOutcomes returns an error if the outcomes and bills violate the guarantees of the journal.
func checkOutcomes(c *cluster, outcomes []*outcome, bills []journal.Bill) error {
	billed := map[string]int{}
	for _, b := range bills {
		billed[b.Key.Request]++
	}
	byKey := map[int][]*outcome{}
	for _, o := range outcomes {
		byKey[o.Key] = append(byKey[o.Key], o)
	}
	for key, list := range byKey {
		if err := checkRequest(c, list, billed[fmt.Sprint(key)]); err != nil {
			return fmt.Errorf("request %d: %w", key, err)
		}
	}
	return nil
}

// checkRequest checks all outcomes of one request ID: callers get complete answers, no error says "not run" after a send, a
// non-idempotent request is sent once and has one answer, and a request is billed once if it was served.
func checkRequest(c *cluster, list []*outcome, bills int) error {
	sent, answers, mustBill := 0, map[string]bool{}, false
	for _, o := range list {
		if o.sent {
			sent++
		}
		dead := c.vms[o.VM].dead.Load()
		mustBill = mustBill || (o.served && !dead)
		if dead {
			continue
		}
		if o.sent && o.err != nil && o.err.Run == result.NotRun {
			return fmt.Errorf("the request was sent, but the caller got %v", o.err)
		}
		if o.err == nil {
			answers[o.text] = true
			if !o.complete || !strings.Contains(o.text, " at ") {
				return fmt.Errorf("the caller got part of an answer: %q", o.text)
			}
		}
	}
	if !list[0].Idempotent && (sent > 1 || len(answers) > 1) {
		return fmt.Errorf("sent %d times, answers %v", sent, answers)
	}
	if bills > 1 || (mustBill && bills == 0) {
		return fmt.Errorf("billed %d times", bills)
	}
	if sent == 0 && len(answers) > 0 {
		return fmt.Errorf("the request was answered without a send")
	}
	return nil
}

// injectEvent applies the failure that a test asks for.
func (c *cluster) injectEvent(event string) {
	switch event {
	case "crash":
		c.vms[0].crash()
	case "outage":
		c.store.setDown(true)
	case "peers unreachable":
		c.peersUnreachable.Store(true)
	case "peer answers lost":
		c.peerAnswersLost.Store(true)
	}
}
