package feed

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

// orderedPrefix begins the keys whose values are numbers that tell which one was written last.
const orderedPrefix = "n/"

// inForce is a Receiver that keeps what is in force.
type inForce struct {
	ignored
	vm string
	// values holds the values by key; one goroutine has it at a time.
	values chan map[string]string
}

func newInForce(vm string) inForce {
	r := inForce{vm: vm, values: make(chan map[string]string, 1)}
	r.values <- map[string]string{}
	return r
}

// Apply implements Receiver.
func (r inForce) Apply(_ context.Context, i Item) {
	values := <-r.values
	defer func() { r.values <- values }()
	if i.Deleted {
		delete(values, i.Key)
		return
	}
	values[i.Key] = string(i.Value)
}

// ApplyFullScan implements Receiver.
func (r inForce) ApplyFullScan(_ context.Context, keys []string) {
	values := <-r.values
	defer func() { r.values <- values }()
	listed := map[string]bool{}
	for _, key := range keys {
		listed[key] = true
	}
	for key := range values {
		if !listed[key] {
			delete(values, key)
		}
	}
}

// Compare implements Receiver by the numbers in the values.
func (r inForce) Compare(held, found Item) Precedence {
	if !strings.HasPrefix(held.Key, orderedPrefix) || found.Deleted {
		return PrecedenceUnknown
	}
	value := held.Value
	if held.Deleted {
		value = held.LastValue
	}
	h, _ := strconv.Atoi(string(value))
	f, _ := strconv.Atoi(string(found.Value))
	if f > h || (f == h && !held.Deleted) {
		return PrecedenceFound
	}
	return PrecedenceHeld
}

// get returns the value in force; "" is none.
func (r inForce) get(key string) string {
	values := <-r.values
	defer func() { r.values <- values }()
	return values[key]
}

// restoreZone is a zone of VMs whose store is restored.
type restoreZone struct {
	store
	ctx    context.Context
	net    *network
	vms    []inForce
	stops  []context.CancelFunc
	ends   chan task.End
	backup backup
	// added receive the ends of the VMs that were started later.
	added []chan task.End
	// drop reports which datagrams are lost.
	drop atomic.Pointer[func(from, to string) bool]
}

// lose sets which datagrams are lost from now on.
func (z *restoreZone) lose(drop func(from, to string) bool) { z.drop.Store(&drop) }

// startRestoreZone starts VMs by zone rank and waits until they know each other.
func startRestoreZone(ctx context.Context, n int) *restoreZone {
	z := &restoreZone{store: newStore(ctx), ctx: ctx, net: &network{inboxes: map[string]chan []byte{}}, ends: make(chan task.End, n)}
	z.lose(func(string, string) bool { return false })
	z.net.drop = func(from, to string) bool { return (*z.drop.Load())(from, to) }
	z.net.inboxes[lateVM] = make(chan []byte, 4096)
	members := map[string]Member{}
	for i := range n {
		vm := fmt.Sprint("vm", i)
		members[vm] = Member{VM: vm, Zone: "z", Address: vm}
		z.net.inboxes[vm] = make(chan []byte, 4096)
	}
	z.vms, z.stops = make([]inForce, n), make([]context.CancelFunc, n)
	for vm, m := range members {
		rank := Rank(vm, "z", members)
		vmCtx, stop := context.WithCancel(ctx)
		s := vmStore{z.store, vm}
		z.vms[rank], z.stops[rank] = newInForce(vm), stop
		o := Options{Self: m, PropagationBound: restoreBound}
		task.Start(vmCtx, vm, z.ends, New(s, s, networkPort{z.net, vm}, z.vms[rank], o, logr.Discard()).Run)
	}
	time.Sleep(10 * time.Second)
	return z
}

// restoreBound is the propagation bound of these tests.
const restoreBound = 2500 * time.Millisecond

// fill makes changes that a restore loses, so that the revisions after it are lower than those before.
func (z *restoreZone) fill() {
	for i := range 50 {
		z.put(z.ctx, "filler", fmt.Sprint(i))
	}
}

// back restores the store and waits until all VMs know that, by the propagation bound.
func (z *restoreZone) back() {
	z.restore(z.ctx, z.backup, time.Second)
	time.Sleep(2 * restoreBound)
}

// lateVM is the VM that add starts.
const lateVM = "late"

// add starts another VM and waits until it knows what it can.
func (z *restoreZone) add() {
	const vm = lateVM
	s, r := vmStore{z.store, vm}, newInForce(vm)
	ends := make(chan task.End, 1)
	o := Options{Self: Member{VM: vm, Zone: "z", Address: vm}, PropagationBound: restoreBound}
	task.Start(z.ctx, vm, ends, New(s, s, networkPort{z.net, vm}, r, o, logr.Discard()).Run)
	z.vms, z.added = append(z.vms, r), append(z.added, ends)
	time.Sleep(time.Second)
}

// refuse makes the store refuse VMs of the given ranks throughout.
func (z *restoreZone) refuse(ranks ...int) {
	_ = z.do(z.ctx, func(st *state) {
		st.refuseScans = true
		for _, rank := range ranks {
			st.refused[z.vms[rank].vm] = true
		}
	})
}
