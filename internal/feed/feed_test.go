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

const hangLimit = 20 * time.Second

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
		qt.Check(t, Listeners("vm0", zone, members), qt.HasLen, map[string]int{"a": 6, "b": 7}[zone])
	}
	qt.Check(t, Rank("alone", "c", members), qt.Equals, rankReader)
}

func TestPace(t *testing.T) {
	tests := []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second}
	for _, within := range tests {
		p := NewPace(within)
		comment := qt.Commentf("%+v within %v", p, within)
		qt.Check(t, p.patience(rankReader, false), qt.Equals, time.Duration(0), comment)
		qt.Check(t, p.patience(rankReader, true), qt.Equals, p.Quiet, comment)
		qt.Check(t, p.BackupQuiet > p.Wait && p.Wait > p.Pause, qt.IsTrue, comment)
		qt.Check(t, p.BackupQuiet+p.Pause < p.Quiet, qt.IsTrue, comment)
		qt.Check(t, p.Quiet+p.Pause < within, qt.IsTrue, comment)
	}
}

func TestNewsArrive(tt *testing.T) {
	secret := []byte("secret")
	rapid.Check(tt, func(t *rapid.T) {
		n := News{VM: "vm", From: rapid.Uint64().Draw(t, "from"), To: rapid.Uint64().Draw(t, "to")}
		for range rapid.IntRange(0, 40).Draw(t, "items") {
			n.Items = append(n.Items, Item{
				Key: rapid.String().Draw(t, "key"), Value: rapid.SliceOfN(rapid.Byte(), 1, 400).Draw(t, "value"),
				Revision: rapid.Uint64().Draw(t, "revision"), Deleted: rapid.Bool().Draw(t, "deleted"),
			})
		}
		packets, err := Encode(secret, rapid.Uint64().Draw(t, "number"), n)
		if err != nil {
			t.Fatal(err)
		}
		order := rapid.Permutation(packets).Draw(t, "order")
		j := &Joiner{}
		for i, p := range order {
			got, whole, err := j.Add(secret, p)
			if err != nil || whole != (i == len(order)-1) {
				t.Fatalf("datagram %d of %d: whole %v, %v", i, len(order), whole, err)
			}
			if whole && (got.From != n.From || got.To != n.To || len(got.Items) != len(n.Items)) {
				t.Fatalf("got %+v, want %+v", got, n)
			}
		}
	})
}

func TestForgedNewsAreRefused(t *testing.T) {
	packets, err := Encode([]byte("secret"), 1, News{VM: "vm", To: 5})
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
		_, _, err := (&Joiner{}).Add([]byte(test.secret), test.packet)
		qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
	}
}

func TestCopy(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		// A store and two copies: one sees every change, the other takes what the first one says since its own revision.
		store, first, second := map[string]Item{}, NewCopy(), NewCopy()
		revision, at := uint64(1), uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				revision++
				i := Item{Key: rapid.StringMatching("[abc]").Draw(t, "key"), Revision: revision, Deleted: rapid.Bool().Draw(t, "deleted")}
				store[i.Key] = i
				first.Put(i)
			case 2:
				items, whole := first.Since(at)
				if !whole {
					t.Fatal("deletions were forgotten")
				}
				for _, i := range items {
					second.Put(i)
				}
				at = revision
			case 3:
				var keys []string
				for k, i := range store {
					if !i.Deleted {
						keys = append(keys, k)
					}
				}
				first.Keep(keys, revision)
			}
		}
		items, _ := first.Since(at)
		for _, i := range items {
			second.Put(i)
		}
		for k, i := range store {
			if got := second.items[k]; got.Deleted != i.Deleted || (!i.Deleted && got.Revision != i.Revision) {
				t.Fatalf("key %s: %+v, want %+v", k, got, i)
			}
		}
	})
}

func TestCopyKeepsSecretAndHorizon(t *testing.T) {
	c := NewCopy()
	c.Put(Item{Key: secretKey, Revision: 1})
	c.Put(Item{Key: "a", Revision: 2})
	items, whole := c.Since(0)
	qt.Check(t, whole, qt.IsTrue)
	qt.Check(t, items, qt.HasLen, 1)
	for n := range maxTombstones + 1 {
		c.Put(Item{Key: fmt.Sprint("gone ", n), Revision: uint64(n + 3), Deleted: true})
	}
	c.Keep([]string{secretKey, "a"}, maxTombstones+9)
	_, whole = c.Since(2)
	qt.Check(t, whole, qt.IsFalse)
	_, whole = c.Since(3)
	qt.Check(t, whole, qt.IsTrue)
}

// hub carries datagrams between the controllers of a test; drop says which are lost.
type hub struct {
	inboxes map[string]chan []byte
	drop    func(from, to string) bool
}

type port struct {
	hub  *hub
	name string
}

func (p port) Run(ctx context.Context, deliver func([]byte) error) error {
	for {
		select {
		case d := <-p.hub.inboxes[p.name]:
			_ = deliver(d) // a full mailbox drops it
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p port) Send(address string, packet []byte) error {
	if p.hub.drop != nil && p.hub.drop(p.name, address) {
		return nil
	}
	return task.Tell(p.hub.inboxes[address], packet)
}

// store is a Source and Registrar that a goroutine owns.
type store struct{ work chan func(*state) }

type state struct {
	items    []Item
	revision uint64
	watches  map[string]int
	// gone lists the VMs whose next watch finds the history gone.
	gone map[string]bool
	// refused is the VM whose watches fail.
	refused string
	waiting []func()
}

func newStore(ctx context.Context) store {
	s := store{work: make(chan func(*state))}
	go func() {
		st := &state{watches: map[string]int{}, gone: map[string]bool{}}
		for {
			select {
			case f := <-s.work:
				f(st)
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

func (s store) do(ctx context.Context, f func(*state)) error {
	done := make(chan struct{})
	select {
	case s.work <- func(st *state) { f(st); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s store) put(ctx context.Context, key, value string) {
	_ = s.do(ctx, func(st *state) {
		st.revision++
		st.items = append(st.items, Item{Key: key, Value: []byte(value), Revision: st.revision})
	})
}

// reader is one VM's view of the store.
type reader struct {
	store
	vm string
}

var errRefused = errors.New("refused")

func (r reader) Range(ctx context.Context, _ string, _ bool) (p Page, err error) {
	err = r.do(ctx, func(st *state) { p = Page{Items: slices.Clone(st.items), Revision: st.revision} })
	return p, err
}

func (r reader) Watch(ctx context.Context, after uint64, wait time.Duration) (items []Item, revision uint64, err error) {
	deadline := time.Now().Add(wait)
	refused, gone := false, false
	_ = r.do(ctx, func(st *state) {
		refused, gone = st.refused == r.vm, st.gone[r.vm]
		delete(st.gone, r.vm)
	})
	switch {
	case refused:
		return nil, 0, errRefused
	case gone:
		return nil, 0, ErrHistoryGone
	}
	for {
		err = r.do(ctx, func(st *state) {
			revision = st.revision
			for _, i := range st.items {
				if i.Revision > after {
					items = append(items, i)
				}
			}
		})
		if err != nil || len(items) > 0 || time.Now().After(deadline) || !task.Sleep(ctx, 10*time.Millisecond) {
			_ = r.do(ctx, func(st *state) { st.watches[r.vm]++ })
			return items, revision, err
		}
	}
}

func (r reader) Lease(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (r reader) Renew(context.Context, uint64) error                  { return nil }
func (r reader) Put(ctx context.Context, key string, value []byte, _ uint64) error {
	r.put(ctx, key, string(value))
	return nil
}

func (r reader) Create(ctx context.Context, key string, value []byte) error {
	exists := false
	_ = r.do(ctx, func(st *state) {
		exists = slices.ContainsFunc(st.items, func(i Item) bool { return i.Key == key })
		if !exists {
			st.revision++
			st.items = append(st.items, Item{Key: key, Value: value, Revision: st.revision})
		}
	})
	if exists {
		return ErrExists
	}
	return nil
}

// taken is a Receiver that passes on what it gets.
type taken struct {
	vm  string
	got chan<- string
}

func (r taken) Apply(_ context.Context, i Item)         { r.got <- r.vm + " " + i.Key + "=" + string(i.Value) }
func (taken) ApplyFullScan(context.Context, []string)   {}
func (taken) SetFleetRank(context.Context, int)         {}
func (taken) SetReachable(context.Context, bool, error) {}

// everyThird drops every third datagram to a VM, once one arrived.
func everyThird(vm string) func(from, to string) bool {
	counts := make(chan int, 1)
	counts <- 0
	return func(_, to string) bool {
		if to != vm {
			return false
		}
		n := <-counts
		counts <- n + 1
		return n%3 == 1
	}
}

// TestEveryVMLearns starts VMs of one zone, changes a key again and again while datagrams get lost, and waits until each
// VM has learnt of each value that matters.
func TestEveryVMLearns(t *testing.T) {
	tests := []struct {
		name    string
		drop    func(from, to string) bool
		refused string
	}{
		{"every datagram arrives", nil, ""},
		{"none does", func(string, string) bool { return true }, ""},
		{"none from one of the readers", func(from, _ string) bool { return from == "vm1" || from == "vm3" }, ""},
		{"none to one VM", func(_, to string) bool { return to == "vm2" }, ""},
		{"none from one reader to one VM", func(from, to string) bool { return from < "vm2" && to == "vm4" }, ""},
		{"a VM that the store refuses later misses every third datagram", everyThird("vm2"), "vm2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
			h := &hub{inboxes: map[string]chan []byte{}, drop: test.drop}
			s := newStore(ctx)
			if test.refused != "" {
				s.put(ctx, secretKey, "secret") // otherwise it might be made after the VM is refused
			}
			got := make(chan string, 4096)
			ends := make(chan task.End, 5)
			vms := []string{"vm0", "vm1", "vm2", "vm3", "vm4"}
			for _, vm := range vms {
				h.inboxes[vm] = make(chan []byte, 1024)
			}
			for _, vm := range vms {
				r := reader{s, vm}
				c := New(r, r, port{h, vm}, taken{vm, got}, Options{Self: Member{VM: vm, Zone: "z", Address: vm}, PropagationBound: 2500 * time.Millisecond}, logr.Discard())
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
				learnt := map[string]bool{}
				for len(learnt) < len(vms) {
					select {
					case line := <-got:
						if line[4:] == "key="+value {
							learnt[line[:3]] = true
						}
					case <-ctx.Done():
						t.Fatalf("only %v learnt of value %q", learnt, value)
					}
				}
				_ = s.do(ctx, func(st *state) { st.refused = test.refused })
			}
		})
	}
}
