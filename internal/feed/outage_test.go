package feed

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

// TestZoneLearnsWithoutItsReaders checks that every VM of a zone learns of a change within the propagation bound while the
// store refuses some VMs and others have stopped. It guards against refused VMs that nobody tells of the change, since only the
// reader and one backup sent updates.
func TestZoneLearnsWithoutItsReaders(t *testing.T) {
	const bound = 4 * time.Second
	tests := []struct {
		name string
		// refused and stopped are zone ranks.
		refused []int
		stopped []int
	}{
		{"all can read", nil, nil},
		{"the reader is refused", []int{0}, nil},
		{"the reader has stopped", nil, []int{0}},
		{"reader and first backup are refused", []int{0, 1}, nil},
		{"the reader has stopped, the first backup is refused", []int{1}, []int{0}},
		{"the reader has stopped, some backups and others are refused", []int{1, 3, 6, 8}, []int{0}},
		{"the reader and two backups have stopped", nil, []int{0, 1, 2}},
		{"only the fourth backup and the last VM can read", []int{0, 1, 2, 3, 5, 6, 7, 8}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				z := startZone(ctx, 10, bound)
				time.Sleep(10 * time.Second)
				for _, rank := range test.stopped {
					z.stops[rank]()
				}
				_ = z.do(ctx, func(st *state) {
					for _, rank := range test.refused {
						st.refused[z.vms[rank]] = true
					}
				})
				time.Sleep(NewTiming(bound).WatchTimeout + 100*time.Millisecond) // ends the reader's watch
				z.put(ctx, "key", "changed")
				time.Sleep(bound)
				learned := z.learned("key=changed")
				for rank, vm := range z.vms {
					if !slices.Contains(test.stopped, rank) {
						qt.Check(t, slices.Contains(learned, vm), qt.IsTrue, qt.Commentf("%s of rank %d", vm, rank))
					}
				}
				cancel()
				for range z.vms {
					<-z.ends
				}
			})
		})
	}
}

// zone is a zone of VMs that read one store.
type zone struct {
	store
	// vms are the VMs' names by zone rank, stops ends each.
	vms     []string
	stops   []context.CancelFunc
	applied chan string
	ends    chan task.End
	members map[string]Member
	net     *network
	bound   time.Duration
}

// startZone starts n VMs with the propagation bound.
func startZone(ctx context.Context, n int, bound time.Duration) *zone {
	members, net := map[string]Member{}, &network{inboxes: map[string]chan []byte{}}
	z := &zone{
		store: newStore(ctx), applied: make(chan string, 1<<16), ends: make(chan task.End, 2*n), members: members, net: net, bound: bound,
	}
	z.put(ctx, secretKey, "secret")
	for i := range n {
		vm := fmt.Sprintf("vm%02d", i)
		members[vm] = Member{VM: vm, Zone: "z", Address: vm}
		net.inboxes[vm] = make(chan []byte, 1024)
	}
	z.vms = make([]string, n)
	for vm := range members {
		z.vms[Rank(vm, "z", members)] = vm
	}
	for _, vm := range z.vms {
		z.stops = append(z.stops, z.start(ctx, vm))
	}
	return z
}

// start starts a VM, and returns what ends it.
func (z *zone) start(ctx context.Context, vm string) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	r := vmStore{z.store, vm}
	c := New(r, r, networkPort{z.net, vm}, keyRecorder{recorder{vm, z.applied}}, Options{Self: z.members[vm], PropagationBound: z.bound}, logr.Discard())
	task.Start(ctx, vm, z.ends, c.Run)
	return stop
}

// keyRecorder is a recorder that also passes on all keys, as "VM keys key,key".
type keyRecorder struct{ recorder }

// ApplyFullScan implements Receiver.
func (r keyRecorder) ApplyFullScan(_ context.Context, keys []string) {
	r.applied <- r.vm + " keys " + strings.Join(keys, ",")
}

// TestRestartedVMHidesNoDeletion guards against a deletion that a whole zone never learns of, so that a runner that left is in use for as
// long as it answers: the one VM that the store serves has started after the deletion, and brings the others up to date.
func TestRestartedVMHidesNoDeletion(t *testing.T) {
	tests := []struct {
		name string
		// deleted says when the key is deleted: while the VM that the store serves is down, or after it is back.
		whileDown bool
	}{
		{"deleted after the start", false},
		{"deleted before the start", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const bound = 4 * time.Second
				ctx, cancel := context.WithCancel(t.Context())
				z := startZone(ctx, 6, bound)
				z.put(ctx, "key", "there")
				time.Sleep(10 * time.Second)
				_ = z.do(ctx, func(st *state) {
					for _, vm := range z.vms[1:] {
						st.refused[vm] = true
					}
				})
				z.stops[0]()
				time.Sleep(100 * time.Millisecond)
				if test.whileDown {
					z.remove(ctx, "key")
				}
				time.Sleep(100 * time.Millisecond)
				z.start(ctx, z.vms[0])
				time.Sleep(time.Second)
				if !test.whileDown {
					z.remove(ctx, "key")
				}
				z.put(ctx, "other", "changed")
				time.Sleep(bound)
				changed, there := map[string]bool{}, map[string]bool{}
				for len(z.applied) > 0 {
					vm, what, _ := strings.Cut(<-z.applied, " ")
					keys, all := strings.CutPrefix(what, "keys ")
					switch {
					case all:
						there[vm] = slices.Contains(strings.Split(keys, ","), "key")
					case what == "other=changed":
						changed[vm] = true
					case strings.HasPrefix(what, "key="):
						there[vm] = what != "key="
					}
				}
				for _, vm := range z.vms[1:] {
					qt.Check(t, changed[vm], qt.IsTrue, qt.Commentf("%s doesn't know the change", vm))
					qt.Check(t, there[vm], qt.IsFalse, qt.Commentf("%s doesn't know the deletion", vm))
				}
				cancel()
				for range len(z.vms) + 1 {
					<-z.ends
				}
			})
		})
	}
}

// learned returns the VMs that have applied the item so far.
func (z *zone) learned(item string) []string {
	var vms []string
	for len(z.applied) > 0 {
		if vm, applied, _ := strings.Cut(<-z.applied, " "); applied == item {
			vms = append(vms, vm)
		}
	}
	return vms
}
