package feed

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cornelmux/internal/task"
)

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
