package feed

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

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

// TestItemsAfterARestore guards against VMs that follow a restored store too little, so that what is written there never counts, or too
// much, so that what it lost comes back: each row says what is in force on each VM at the end.
func TestItemsAfterARestore(t *testing.T) {
	tests := []struct {
		name string
		play func(z *restoreZone)
		want map[string]string
	}{
		{"written after the restore", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "x", "lost")
			z.back()
			z.put(z.ctx, "x", "new")
		}, map[string]string{"x": "new"}},
		{"deleted after the restore", func(z *restoreZone) {
			z.fill()
			z.back()
			z.remove(z.ctx, "there")
		}, map[string]string{"there": ""}},
		{"newer value was lost", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "n/there", "7")
			time.Sleep(restoreBound)
			z.back()
			time.Sleep(2 * rewriteTimeout)
		}, map[string]string{"n/there": "7"}},
		{"newer value was lost and is written again", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "n/there", "7")
			time.Sleep(restoreBound)
			z.back()
			z.put(z.ctx, "n/there", "8")
		}, map[string]string{"n/there": "8"}},
		{"end of a value was lost", func(z *restoreZone) {
			z.fill()
			z.remove(z.ctx, "n/there")
			time.Sleep(restoreBound)
			z.back()
			time.Sleep(2 * rewriteTimeout)
		}, map[string]string{"n/there": ""}},
		{"end of a value was lost, and it lives on", func(z *restoreZone) {
			z.fill()
			z.remove(z.ctx, "n/there")
			time.Sleep(restoreBound)
			z.back()
			z.put(z.ctx, "n/there", "2")
		}, map[string]string{"n/there": "2"}},
		{"value without an order was lost, just now", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "there", "lost")
			z.put(z.ctx, "created", "lost")
			time.Sleep(restoreBound)
			z.back()
		}, map[string]string{"there": "lost", "created": "lost"}},
		{"value without an order was lost, long ago", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "there", "lost")
			z.put(z.ctx, "created", "lost")
			time.Sleep(restoreBound)
			z.back()
			time.Sleep(rewriteTimeout + restoreBound)
		}, map[string]string{"there": "1", "created": ""}},
		{"end without an order was lost, just now", func(z *restoreZone) {
			z.fill()
			z.remove(z.ctx, "there")
			time.Sleep(restoreBound)
			z.back()
		}, map[string]string{"there": ""}},
		{"deleted again after its end was lost", func(z *restoreZone) {
			z.fill()
			z.remove(z.ctx, "there")
			time.Sleep(restoreBound)
			z.back()
			z.remove(z.ctx, "there")
			time.Sleep(rewriteTimeout + restoreBound)
		}, map[string]string{"there": ""}},
		{"two restores within seconds", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "n/there", "7")
			z.put(z.ctx, "there", "lost")
			time.Sleep(restoreBound)
			z.restore(z.ctx, z.backup, time.Second)
			time.Sleep(700 * time.Millisecond)
			z.back()
		}, map[string]string{"n/there": "7", "there": "lost"}},
		{"revisions have passed the old ones", func(z *restoreZone) {
			z.put(z.ctx, "x", "lost")
			time.Sleep(restoreBound)
			z.restore(z.ctx, z.backup, time.Second)
			z.fill()
			z.put(z.ctx, "x", "new")
		}, map[string]string{"x": "new"}},
		{"store refuses all but the last VM", func(z *restoreZone) {
			z.refuse(0, 1, 2, 3)
			time.Sleep(2 * restoreBound)
			z.fill()
			z.put(z.ctx, "x", "lost")
			time.Sleep(restoreBound)
			z.back()
			z.put(z.ctx, "x", "new")
			time.Sleep(restoreBound)
		}, map[string]string{"x": "new"}},
		{"no datagram arrives", func(z *restoreZone) {
			z.lose(func(string, string) bool { return true })
			z.fill()
			z.put(z.ctx, "x", "lost")
			time.Sleep(2 * restoreBound)
			z.back()
			z.put(z.ctx, "x", "new")
		}, map[string]string{"x": "new"}},
		{"a VM misses each third datagram", func(z *restoreZone) {
			z.lose(everyThird(z.vms[4].vm))
			z.fill()
			z.put(z.ctx, "x", "lost")
			time.Sleep(2 * restoreBound)
			z.back()
			z.put(z.ctx, "x", "new")
		}, map[string]string{"x": "new"}},
		{"VM that starts before the value is written again", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "n/there", "7")
			z.remove(z.ctx, "n/gone")
			time.Sleep(restoreBound)
			z.back()
			z.add()
		}, map[string]string{"n/there": "7", "n/gone": ""}},
		{"VM that starts before the others know of the restore", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "n/there", "7")
			time.Sleep(restoreBound)
			z.restore(z.ctx, z.backup, time.Second)
			z.add()
			time.Sleep(2 * restoreBound)
		}, map[string]string{"n/there": "7"}},
		{"VM that starts after the value was written again", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "n/there", "7")
			time.Sleep(restoreBound)
			z.back()
			z.put(z.ctx, "n/there", "8")
			z.add()
		}, map[string]string{"n/there": "8"}},
		{"VM that starts and sees it written again", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "n/there", "7")
			time.Sleep(restoreBound)
			z.back()
			z.add()
			z.put(z.ctx, "n/there", "8")
		}, map[string]string{"n/there": "8"}},
		{"reader ends with the restore", func(z *restoreZone) {
			z.fill()
			z.put(z.ctx, "x", "lost")
			time.Sleep(restoreBound)
			z.stops[0]()
			z.back()
			z.put(z.ctx, "x", "new")
			time.Sleep(restoreBound)
		}, map[string]string{"x": "new"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				z := startRestoreZone(ctx, 5)
				z.put(ctx, "there", "1")
				z.put(ctx, "n/there", "1")
				z.put(ctx, "n/gone", "1")
				time.Sleep(2 * restoreBound)
				z.backup = z.backUp(ctx)
				test.play(z)
				time.Sleep(restoreBound)
				for rank, vm := range z.vms {
					for key, want := range test.want {
						if rank > 0 || vm.get("x") != "lost" { // a VM that was ended knows no more
							qt.Check(t, vm.get(key), qt.Equals, want, qt.Commentf("rank %d, key %s", rank, key))
						}
					}
				}
				cancel()
				for range z.stops {
					<-z.ends
				}
				for _, ends := range z.added {
					<-ends
				}
			})
		})
	}
}

// TestZonesReadARestoredStoreOnce guards against a burst of full scans: of a zone's VMs few read a restored store, and the others get what
// it holds from them.
func TestZonesReadARestoredStoreOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, readers = 30, 3
		ctx, cancel := context.WithCancel(t.Context())
		z := startRestoreZone(ctx, vms)
		z.backup = z.backUp(ctx)
		z.fill()
		time.Sleep(2 * restoreBound)
		scans := func() (n int) {
			_ = z.do(ctx, func(st *state) { n = st.scans })
			return n
		}
		before := scans()
		z.back()
		qt.Check(t, scans()-before <= readers, qt.IsTrue, qt.Commentf("%d full scans", scans()-before))
		cancel()
		for range vms {
			<-z.ends
		}
	})
}

// TestOwnKeysAreWrittenAgain guards against a VM that believes in a lease and a secret which a restore lost: it would no longer be a
// member, and each VM that starts would use another secret.
func TestOwnKeysAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore(ctx)
		empty := s.backUp(ctx)
		o := Options{Self: Member{VM: "vm", Zone: "z", Address: "vm"}, PropagationBound: restoreBound}
		ends := make(chan task.End, 1)
		net := &network{inboxes: map[string]chan []byte{"vm": make(chan []byte, 1024)}}
		r := vmStore{s, "vm"}
		task.Start(ctx, "vm", ends, New(r, r, networkPort{net, "vm"}, newInForce("vm"), o, logr.Discard()).Run)
		time.Sleep(10 * time.Second)
		values := func() map[string]string {
			out := map[string]string{}
			_ = s.do(ctx, func(st *state) {
				for _, i := range st.items {
					out[i.Key] = string(i.Value)
				}
			})
			return out
		}
		before := values()
		qt.Assert(t, before, qt.HasLen, 2)
		s.restore(ctx, empty, time.Second)
		time.Sleep(10 * time.Second)
		qt.Check(t, values(), qt.DeepEquals, before)
		cancel()
		<-ends
	})
}

// TestImplausibleErasDoNoHarm guards against an era that is missing, malformed or far too high in single answers: the VM goes on as
// before, and follows the next change.
func TestImplausibleErasDoNoHarm(t *testing.T) {
	tests := []struct {
		name string
		told []uint64
		// gone says that the first of these answers has no changes, so that a full scan follows.
		gone bool
	}{
		{"none", []uint64{0}, false},
		{"far too high", []uint64{1 << 60}, false},
		{"earlier", []uint64{1}, false},
		{"later, once", []uint64{4}, false},
		{"later, in a full scan", []uint64{2, 4}, true},
		{"none, in a full scan", []uint64{2, 0}, true},
		{"earlier, in a full scan", []uint64{2, 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				z := startRestoreZone(ctx, 1)
				z.backup = z.backUp(ctx)
				z.back()
				_ = z.do(ctx, func(st *state) { st.tellEra, st.historyGone[z.vms[0].vm] = test.told, test.gone })
				z.put(ctx, "x", "1")
				time.Sleep(2 * restoreBound)
				z.put(ctx, "x", "2")
				time.Sleep(2 * restoreBound)
				for _, vm := range z.vms {
					qt.Check(t, vm.get("x"), qt.Equals, "2")
				}
				cancel()
				for range z.vms {
					<-z.ends
				}
			})
		})
	}
}

// TestScansWithoutAnEra guards against a VM that never gets ready, or reads the store again and again, since only some of its answers tell
// the era.
func TestScansWithoutAnEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore(ctx)
		_ = s.do(ctx, func(st *state) { st.muteScans = true })
		s.put(ctx, "x", "1")
		vm := newInForce("vm")
		o := Options{Self: Member{VM: "vm", Zone: "z", Address: "vm"}, PropagationBound: restoreBound}
		ends := make(chan task.End, 1)
		r := vmStore{s, "vm"}
		net := &network{inboxes: map[string]chan []byte{"vm": make(chan []byte, 1024)}}
		task.Start(ctx, "vm", ends, New(r, r, networkPort{net, "vm"}, vm, o, logr.Discard()).Run)
		time.Sleep(10 * time.Second)
		s.put(ctx, "x", "2")
		time.Sleep(2 * restoreBound)
		qt.Check(t, vm.get("x"), qt.Equals, "2")
		_ = s.do(ctx, func(st *state) { qt.Check(t, st.scans, qt.Equals, 1) })
		cancel()
		<-ends
	})
}

// TestRandomRestores checks over random changes, restores, lost datagrams and VMs that are refused: once the store is calm, all VMs have
// in force what it holds, or, of keys that tell their order, the greatest value that any of them knew.
func TestRandomRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			z := startRestoreZone(ctx, 3)
			z.backup = z.backUp(ctx)
			version := 0
			greatest := map[string]int{}
			for range rapid.IntRange(3, 14).Draw(rt, "steps") {
				key := rapid.SampledFrom([]string{"a", "b", "n/a", "n/b"}).Draw(rt, "key")
				switch rapid.SampledFrom([]string{"put", "put", "put", "remove", "back up", "restore", "refuse", "lose", "wait"}).Draw(rt, "step") {
				case "put":
					version++
					greatest[key] = version
					z.put(ctx, key, strconv.Itoa(version))
				case "remove":
					if !strings.HasPrefix(key, orderedPrefix) {
						z.remove(ctx, key)
					}
				case "back up":
					z.backup = z.backUp(ctx)
				case "restore":
					z.restore(ctx, z.backup, time.Duration(rapid.IntRange(0, 1500).Draw(rt, "away"))*time.Millisecond)
				case "refuse":
					vm := z.vms[rapid.IntRange(0, 2).Draw(rt, "vm")].vm
					_ = z.do(ctx, func(st *state) { st.refused[vm] = !st.refused[vm] })
				case "lose":
					z.lose(everyThird(z.vms[rapid.IntRange(0, 2).Draw(rt, "to")].vm))
				case "wait":
					time.Sleep(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "wait")) * time.Millisecond)
				}
			}
			_ = z.do(ctx, func(st *state) { st.refused = map[string]bool{} })
			time.Sleep(2 * rewriteTimeout)
			truth := map[string]string{}
			_ = z.do(ctx, func(st *state) {
				for _, i := range st.items {
					truth[i.Key] = string(i.Value)
				}
			})
			for _, vm := range z.vms {
				for _, key := range []string{"a", "b"} {
					if got := vm.get(key); got != truth[key] {
						rt.Errorf("%s has %s=%q in force, the store %q", vm.vm, key, got, truth[key])
					}
				}
				for _, key := range []string{"n/a", "n/b"} {
					n, _ := strconv.Atoi(vm.get(key))
					stored, _ := strconv.Atoi(truth[key])
					if n < stored || n > greatest[key] {
						rt.Errorf("%s has %s=%d in force, the store %d, the greatest is %d", vm.vm, key, n, stored, greatest[key])
					}
				}
			}
			cancel()
			for range z.vms {
				<-z.ends
			}
		})
	})
}

// TestTombstonesKeepShortValuesOnly guards against deleted keys that hold the memory of their values.
func TestTombstonesKeepShortValuesOnly(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		kept  bool
	}{
		{"entry of a runner", 300, true}, {"longest", maxLastValueBytes, true}, {"longer", maxLastValueBytes + 1, false}, {"configuration", 88 << 10, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := NewReplica()
			value := make([]byte, test.bytes)
			r.Put(Item{Key: "deleted", Value: value, Revision: 1})
			r.Put(Item{Key: "missing", Value: value, Revision: 2})
			r.Put(Item{Key: "deleted", Revision: 3, Deleted: true})
			r.KeepOnly(nil, 4)
			for _, key := range []string{"deleted", "missing"} {
				i := r.items[key]
				qt.Check(t, i.Deleted, qt.IsTrue)
				qt.Check(t, i.Value, qt.IsNil)
				qt.Check(t, len(i.LastValue) == test.bytes, qt.Equals, test.kept)
			}
		})
	}
}
