package journal_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
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

func (p peers) FetchAnswer(ctx context.Context, address string, k journal.Key, f journal.Fingerprint) (journal.FindResult, error) {
	target, err := p.target(ctx, address)
	if err != nil {
		return journal.FindResult{}, err
	}
	return target.Find(ctx, k, f)
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
