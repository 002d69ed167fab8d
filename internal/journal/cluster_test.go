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

const region = "r"

var errCut = errors.New("cut")

// store is a platform with a fixed latency whose faults, in turn, befall its calls.
type store struct {
	mu      sync.Mutex
	values  map[string]consul.Value
	version uint64
	latency time.Duration
	faults  []string
	calls   int
	writes  int
	down    bool
	late    sync.WaitGroup
}

func newStore() *store { return &store{values: map[string]consul.Value{}, latency: time.Millisecond} }

func (s *store) fault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return "unavailable"
	}
	if len(s.faults) == 0 {
		return ""
	}
	return s.faults[s.calls%len(s.faults)]
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) setFaults(faults []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *store) wait(ctx context.Context, fault string) error {
	d := s.latency
	if fault == "slow" {
		d = 7 * time.Second
	}
	if !task.Sleep(ctx, d) || fault == "unavailable" {
		return consul.ErrUnavailable
	}
	return nil
}

func (s *store) Get(ctx context.Context, key string) (consul.Value, error) {
	if err := s.wait(ctx, s.fault()); err != nil {
		return consul.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], nil
}

func (s *store) put(key string, data []byte, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.values[key].Version != version {
		return false
	}
	s.version++
	s.values[key] = consul.Value{Key: key, Data: data, Version: s.version}
	return true
}

func (s *store) CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error) {
	fault := s.fault()
	if err := s.wait(ctx, fault); err != nil {
		return false, err
	}
	switch fault {
	case "answer lost":
		s.put(key, data, version)
		return false, consul.ErrOutcomeUnknown
	case "late":
		s.late.Go(func() {
			task.Sleep(context.Background(), 100*time.Millisecond)
			s.put(key, data, version)
		})
		return false, consul.ErrOutcomeUnknown
	default:
		return s.put(key, data, version), nil
	}
}

func (s *store) Delete(_ context.Context, key string, version uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Version != version {
		return false, nil
	}
	delete(s.values, key)
	return true, nil
}

// vm is an entry VM whose calls all fail once it is dead.
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

// crash ends the VM without a last word.
func (v *vm) crash() {
	v.dead.Store(true)
	v.cancel()
}

type cluster struct {
	store  *store
	vms    []*vm
	ends   chan task.End
	cut    atomic.Bool
	leaves atomic.Bool
}

func newCluster(ctx context.Context, n, maxBills, keptBytes int) *cluster {
	c := &cluster{store: newStore(), ends: make(chan task.End, n)}
	for i := range n {
		v := &vm{cluster: c, name: fmt.Sprint("vm-", i)}
		v.Controller = journal.New(v, v, peers{v}, journal.Options{
			VM: v.name, Region: region, Address: v.name, ClaimFor: 5 * time.Second, ResendWindow: 10 * time.Minute,
			BillHold: 250 * time.Millisecond, MaxBills: maxBills, KeptBytes: keptBytes, WritesPerSecond: 20, ForwardTimeout: time.Second,
		}, logr.Discard())
		var run context.Context
		run, v.cancel = context.WithCancel(ctx)
		task.Start(run, v.name, c.ends, v.Run)
		c.vms = append(c.vms, v)
	}
	return c
}

func (c *cluster) stop() {
	for _, v := range c.vms {
		v.cancel()
	}
	for range c.vms {
		<-c.ends
	}
	c.store.late.Wait()
}

// Members implements journal.Members; a list that a crash hasn't reached is what makes owners wrong.
func (v *vm) Members(context.Context) ([]peer.Member, error) {
	var list []peer.Member
	for _, other := range v.cluster.vms {
		if other != v {
			list = append(list, peer.Member{VM: other.name, Region: region, ControlAddress: other.name})
		}
	}
	return list, nil
}

// peers carries calls from one VM to another, and loses each third answer while the cluster is cut.
type peers struct{ from *vm }

func (p peers) to(ctx context.Context, address string) (*vm, error) {
	task.Sleep(ctx, time.Millisecond)
	for _, v := range p.from.cluster.vms {
		if v.name == address && !v.dead.Load() && !p.from.dead.Load() && !p.from.cluster.cut.Load() {
			return v, nil
		}
	}
	return nil, errCut
}

func (p peers) Append(ctx context.Context, address, region string, n int, entries []journal.Entry) ([]journal.Outcome, error) {
	to, err := p.to(ctx, address)
	if err != nil {
		return nil, err
	}
	outcomes, err := to.Append(ctx, region, n, entries)
	if p.from.cluster.leaves.Load() {
		return nil, errCut
	}
	return outcomes, err
}

func (p peers) FetchAnswer(ctx context.Context, address string, k journal.Key, fingerprint uint64) (journal.FindResult, error) {
	to, err := p.to(ctx, address)
	if err != nil {
		return journal.FindResult{}, err
	}
	return to.Find(ctx, k, fingerprint)
}

// caller sends a request at a time after the start; after Think the engine is reached, and Run later it has done Ending.
type caller struct {
	VM, Key    int
	Idempotent bool
	At         time.Duration
	Think      time.Duration
	Run        time.Duration
	Ending     string
	Deadline   time.Duration
}

// outcome is what a caller got.
type outcome struct {
	caller
	err    *result.Error
	text   string
	whole  bool
	sent   bool
	served bool
}

func (o *outcome) Begin(context.Context, filter.Head) error { return nil }

func (o *outcome) Chunk(_ context.Context, p endpoint.Chunk) error {
	o.text += p.Text
	o.whole = p.Last
	return nil
}

// engine ends the chain in the place of Send: it checks the claim as the gate does, and counts what it gets.
type engine struct {
	vm *vm
	o  *outcome
}

func (e engine) Handle(ctx context.Context, x *filter.Exchange, _ filter.Next) error {
	task.Sleep(ctx, e.o.Think)
	if e.vm.dead.Load() || e.o.Ending == "refused" {
		return result.Errorf(result.NoEndpoint, "none")
	}
	if !x.Idempotent && !x.Claim.Valid(time.Now()) {
		return result.Errorf(result.DeadlinePassed, "claim")
	}
	x.Sent, e.o.sent = true, true
	task.Sleep(ctx, e.o.Run)
	if e.o.Ending == "lost" || e.vm.dead.Load() {
		return result.Errorf(result.EndpointFailed, "lost")
	}
	e.o.served = true
	x.Runs = append(x.Runs, journal.Run{Endpoint: "e"})
	_ = x.Sink.Begin(ctx, filter.Head{Status: 200})
	_ = x.Sink.Chunk(ctx, endpoint.Chunk{Text: e.vm.name + " at "})
	return x.Sink.Chunk(ctx, endpoint.Chunk{Text: e.o.At.String(), Last: true})
}

func (c *cluster) call(ctx context.Context, o *outcome) {
	task.Sleep(ctx, o.At)
	v := c.vms[o.VM]
	if v.dead.Load() {
		o.err = result.Errorf(result.Leaving, "dead")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(o.Deadline, time.Second))
	defer cancel()
	chain := filter.Chain(
		filter.Deduplicate{Journal: v, CleanupTimeout: 5 * time.Second}, filter.Bill{Journal: v, Log: logr.Discard()}, engine{v, o},
	)
	x := &filter.Exchange{
		Sink: o, Idempotent: o.Idempotent, Account: catalog.ClientAccount{Name: "a", HomeRegion: region},
		Request: filter.Request{ID: fmt.Sprint(o.Key)},
	}
	if err := chain(ctx, x); err != nil {
		o.err = result.From(err)
	}
}

// run lets all callers call, with the event at its time, and returns what each got and the bills of the region.
func (c *cluster) run(ctx context.Context, callers []caller, event string, at time.Duration) (outcomes []*outcome, bills []journal.Bill, err error) {
	var done sync.WaitGroup
	done.Go(func() {
		task.Sleep(ctx, at)
		c.apply(event)
	})
	for _, row := range callers {
		o := &outcome{caller: row}
		outcomes = append(outcomes, o)
		done.Go(func() { c.call(ctx, o) })
	}
	done.Wait()
	c.store.setDown(false)
	c.store.setFaults(nil)
	task.Sleep(ctx, 10*time.Second)
	bills, _, err = journal.ReadBills(ctx, c.store, region)
	return outcomes, bills, err
}

// judge returns what was broken, if anything.
func judge(c *cluster, outcomes []*outcome, bills []journal.Bill) error {
	billed := map[string]int{}
	for _, b := range bills {
		billed[b.Key.Request]++
	}
	byKey := map[int][]*outcome{}
	for _, o := range outcomes {
		byKey[o.Key] = append(byKey[o.Key], o)
	}
	for key, list := range byKey {
		if err := judgeKey(c, list, billed[fmt.Sprint(key)]); err != nil {
			return fmt.Errorf("request %d: %w", key, err)
		}
	}
	return nil
}

func judgeKey(c *cluster, list []*outcome, bills int) error {
	sent, texts, mustBill := 0, map[string]bool{}, false
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
			return fmt.Errorf("sent, but told %v", o.err)
		}
		if o.err == nil {
			texts[o.text] = true
			if !o.whole || !strings.Contains(o.text, " at ") {
				return fmt.Errorf("part of an answer: %q", o.text)
			}
		}
	}
	if !list[0].Idempotent && (sent > 1 || len(texts) > 1) {
		return fmt.Errorf("sent %d times, answers %v", sent, texts)
	}
	if bills > 1 || (mustBill && bills == 0) {
		return fmt.Errorf("billed %d times", bills)
	}
	if sent == 0 && len(texts) > 0 {
		return fmt.Errorf("answered without a send")
	}
	return nil
}

func (c *cluster) apply(event string) {
	switch event {
	case "crash":
		c.vms[0].crash()
	case "outage":
		c.store.setDown(true)
	case "cut":
		c.cut.Store(true)
	case "answers of VMs lost":
		c.leaves.Store(true)
	}
}
