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
}

// startZone starts n VMs with the propagation bound.
func startZone(ctx context.Context, n int, bound time.Duration) *zone {
	z := &zone{store: newStore(ctx), applied: make(chan string, 1<<16), ends: make(chan task.End, n)}
	z.put(ctx, secretKey, "secret")
	members := map[string]Member{}
	net := &network{inboxes: map[string]chan []byte{}}
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
		vmCtx, stop := context.WithCancel(ctx)
		z.stops = append(z.stops, stop)
		r := vmStore{z.store, vm}
		c := New(r, r, networkPort{net, vm}, recorder{vm, z.applied}, Options{Self: members[vm], PropagationBound: bound}, logr.Discard())
		task.Start(vmCtx, vm, z.ends, c.Run)
	}
	return z
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
