package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

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
