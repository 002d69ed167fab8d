package feed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cornelmux/internal/task"
)

// hangLimit ends a test that waits for something that never comes.
const hangLimit = 20 * time.Second

// TestRank checks that the VMs of a zone have the ranks from 0 on, each once.
func TestRank(t *testing.T) {
	members := map[string]Member{}
	for i := range 14 {
		name := fmt.Sprint("vm", i)
		members[name] = Member{VM: name, Zone: []string{"a", "b"}[i%2], Address: name}
	}
	for _, zone := range []string{"a", "b"} {
		ranks := map[int]bool{}
		for _, m := range members {
			if m.Zone == zone {
				ranks[Rank(m.VM, zone, members)] = true
			}
		}
		for rank := range 7 {
			qt.Check(t, ranks[rank], qt.IsTrue, qt.Commentf("zone %s, rank %d", zone, rank))
		}
		qt.Check(t, ZonePeers("vm0", zone, members), qt.HasLen, map[string]int{"a": 6, "b": 7}[zone])
	}
	qt.Check(t, Rank("alone", "c", members), qt.Equals, rankReader)
}

// TestTiming checks that the silence timeouts leave each VM time to read the store within the bound.
func TestTiming(t *testing.T) {
	tests := []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second}
	for _, bound := range tests {
		timing := NewTiming(bound)
		comment := qt.Commentf("%+v within %v", timing, bound)
		qt.Check(t, timing.silenceTimeout(rankReader, false), qt.Equals, time.Duration(0), comment)
		qt.Check(t, timing.silenceTimeout(rankReader, true), qt.Equals, timing.Silence, comment)
		qt.Check(t, timing.BackupSilence > timing.WatchTimeout && timing.WatchTimeout > timing.BatchDelay, qt.IsTrue, comment)
		qt.Check(t, timing.BackupSilence+timing.BatchDelay < timing.Silence, qt.IsTrue, comment)
		qt.Check(t, timing.Silence+timing.BatchDelay < bound, qt.IsTrue, comment)
	}
}

// TestUpdateRoundTrip reassembles an update from its datagrams in any order.
func TestUpdateRoundTrip(tt *testing.T) {
	secret := []byte("secret")
	rapid.Check(tt, func(t *rapid.T) {
		u := Update{VM: "vm", From: rapid.Uint64().Draw(t, "from"), To: rapid.Uint64().Draw(t, "to")}
		for range rapid.IntRange(0, 40).Draw(t, "items") {
			u.Items = append(u.Items, Item{
				Key: rapid.String().Draw(t, "key"), Value: rapid.SliceOfN(rapid.Byte(), 1, 400).Draw(t, "value"),
				Revision: rapid.Uint64().Draw(t, "revision"), Deleted: rapid.Bool().Draw(t, "deleted"),
			})
		}
		packets, err := Encode(secret, rapid.Uint64().Draw(t, "number"), u)
		if err != nil {
			t.Fatal(err)
		}
		order := rapid.Permutation(packets).Draw(t, "order")
		r := &Reassembler{}
		for i, p := range order {
			got, complete, err := r.Add(secret, p)
			if err != nil || complete != (i == len(order)-1) {
				t.Fatalf("datagram %d of %d: complete %v, %v", i, len(order), complete, err)
			}
			if complete && (got.From != u.From || got.To != u.To || len(got.Items) != len(u.Items)) {
				t.Fatalf("got %+v, want %+v", got, u)
			}
		}
	})
}

// TestForgedUpdatesAreRejected adds datagrams that no member of the fleet sent, or that were changed on the way.
func TestForgedUpdatesAreRejected(t *testing.T) {
	packets, err := Encode([]byte("secret"), 1, Update{VM: "vm", To: 5})
	qt.Assert(t, err, qt.IsNil)
	changed := slices.Clone(packets[0])
	changed[len(changed)-1] ^= 1
	tests := []struct {
		name   string
		secret string
		packet []byte
		want   error
	}{
		{"another secret", "other", packets[0], ErrMAC},
		{"no secret yet", "", packets[0], ErrMAC},
		{"changed", "secret", changed, ErrMAC},
		{"too short", "secret", packets[0][:headerBytes], ErrDatagram},
		{"another version", "secret", append([]byte{9}, packets[0][1:]...), ErrDatagram},
	}
	for _, test := range tests {
		_, _, err := (&Reassembler{}).Add([]byte(test.secret), test.packet)
		qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
	}
}

// TestReplica keeps two replicas of a store: source sees every change, follower gets the changes since its own revision
// from source. Both must end up with the same keys.
func TestReplica(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		store, source, follower := map[string]Item{}, NewReplica(), NewReplica()
		revision, at := uint64(1), uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				revision++
				i := Item{Key: rapid.StringMatching("[abc]").Draw(t, "key"), Revision: revision, Deleted: rapid.Bool().Draw(t, "deleted")}
				store[i.Key] = i
				source.Put(i)
			case 2:
				items, complete := source.Since(at)
				if !complete {
					t.Fatal("tombstones were dropped")
				}
				for _, i := range items {
					follower.Put(i)
				}
				at = revision
			case 3:
				var keys []string
				for k, i := range store {
					if !i.Deleted {
						keys = append(keys, k)
					}
				}
				source.KeepOnly(keys, revision)
			}
		}
		items, _ := source.Since(at)
		for _, i := range items {
			follower.Put(i)
		}
		for k, i := range store {
			if got := follower.items[k]; got.Deleted != i.Deleted || (!i.Deleted && got.Revision != i.Revision) {
				t.Fatalf("key %s: %+v, want %+v", k, got, i)
			}
		}
	})
}

// TestReplicaOmitsSecretAndForgottenDeletions checks that Since leaves out the secret, and that it fails for a revision
// before a dropped tombstone.
func TestReplicaOmitsSecretAndForgottenDeletions(t *testing.T) {
	r := NewReplica()
	r.Put(Item{Key: secretKey, Revision: 1})
	r.Put(Item{Key: "a", Revision: 2})
	items, complete := r.Since(0)
	qt.Check(t, complete, qt.IsTrue)
	qt.Check(t, items, qt.HasLen, 1)
	for n := range maxTombstones + 1 {
		r.Put(Item{Key: fmt.Sprint("gone ", n), Revision: uint64(n + 3), Deleted: true})
	}
	r.KeepOnly([]string{secretKey, "a"}, maxTombstones+9)
	_, complete = r.Since(2)
	qt.Check(t, complete, qt.IsFalse)
	_, complete = r.Since(3)
	qt.Check(t, complete, qt.IsTrue)
}

// TestEveryVMLearns changes a key several times while datagrams to VMs of one zone get lost, and waits until each VM
// has learned of each value. A VM that misses updates has to ask for them or read the store itself. vm1 is the reader
// and vm0 the backup reader.
func TestEveryVMLearns(t *testing.T) {
	tests := []struct {
		name string
		drop func(from, to string) bool
		// refusedVM is refused by the store once it has learned the first value, or from its first watch on.
		refusedVM      string
		fromFirstWatch bool
	}{
		{"every datagram arrives", nil, "", false},
		{"no datagram arrives", func(string, string) bool { return true }, "", false},
		{"no datagram from the reader or another VM arrives", func(from, _ string) bool { return from == "vm1" || from == "vm3" }, "", false},
		{"no datagram to one VM arrives", func(_, to string) bool { return to == "vm2" }, "", false},
		{"no datagram from the reader or the backup reader to one VM arrives", func(from, to string) bool { return from < "vm2" && to == "vm4" }, "", false},
		{"a VM that the store refuses later misses every third datagram", everyThird("vm2"), "vm2", false},
		{"the store refuses a VM's watches from the first on", nil, "vm2", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
			net := &network{inboxes: map[string]chan []byte{}, drop: test.drop}
			s := newStore(ctx)
			if test.refusedVM != "" {
				s.put(ctx, secretKey, "secret") // otherwise it might be created after the VM is refused
			}
			if test.fromFirstWatch {
				_ = s.do(ctx, func(st *state) { st.refused[test.refusedVM] = true })
			}
			applied := make(chan string, 4096)
			ends := make(chan task.End, 5)
			vms := []string{"vm0", "vm1", "vm2", "vm3", "vm4"}
			for _, vm := range vms {
				net.inboxes[vm] = make(chan []byte, 1024)
			}
			for _, vm := range vms {
				r := vmStore{s, vm}
				c := New(r, r, networkPort{net, vm}, recorder{vm, applied}, Options{Self: Member{VM: vm, Zone: "z", Address: vm}, PropagationBound: 2500 * time.Millisecond}, logr.Discard())
				task.Start(ctx, vm, ends, c.Run)
			}
			defer func() {
				cancel()
				for range vms {
					<-ends
				}
			}()
			for n := 1; n <= 4; n++ {
				value := fmt.Sprintf("%0*d", n, 0)
				s.put(ctx, "key", value)
				learned := map[string]bool{}
				for len(learned) < len(vms) {
					select {
					case line := <-applied:
						if line[4:] == "key="+value {
							learned[line[:3]] = true
						}
					case <-ctx.Done():
						t.Fatalf("only %v learned of value %q", learned, value)
					}
				}
				_ = s.do(ctx, func(st *state) { st.refused[test.refusedVM] = true })
			}
		})
	}
}
