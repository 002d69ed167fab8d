package feed

import (
	"context"
	"errors"
	"slices"
	"time"

	"cornelmux/internal/task"
)

// network carries datagrams between the controllers of a test; drop reports which are lost.
type network struct {
	inboxes map[string]chan []byte
	drop    func(from, to string) bool
}

// networkPort is the Transport of one controller.
type networkPort struct {
	network *network
	name    string
}

func (p networkPort) Run(ctx context.Context, deliver func([]byte) error) error {
	for {
		select {
		case d := <-p.network.inboxes[p.name]:
			_ = deliver(d) // a full mailbox drops it
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p networkPort) Send(address string, packet []byte) error {
	if p.network.drop != nil && p.network.drop(p.name, address) {
		return nil
	}
	return task.Tell(p.network.inboxes[address], packet)
}

// store is a Source and Registrar whose state one goroutine owns.
type store struct{ work chan func(*state) }

// state is the content of a store, and the faults that it simulates.
type state struct {
	items    []Item
	revision uint64
	// era rises with each restore; down makes all calls fail.
	era  uint64
	down bool
	// tellEra holds the eras that the next answers tell in place of it.
	tellEra []uint64
	// muteScans makes the answers to full scans tell no era.
	muteScans bool
	// scans counts the full scans.
	scans int
	// watches counts the completed watches of each VM.
	watches map[string]int
	// historyGone holds the VMs whose next watch fails with ErrHistoryGone.
	historyGone map[string]bool
	// refused holds the VMs whose watches fail, and with refuseScans their full scans.
	refused     map[string]bool
	refuseScans bool
}

// told returns the era that an answer tells.
func (st *state) told() uint64 {
	if len(st.tellEra) == 0 {
		return st.era
	}
	era := st.tellEra[0]
	st.tellEra = st.tellEra[1:]
	return era
}

// newStore returns an empty store, whose goroutine ends with ctx.
func newStore(ctx context.Context) store {
	s := store{work: make(chan func(*state))}
	go func() {
		st := &state{era: 1, watches: map[string]int{}, historyGone: map[string]bool{}, refused: map[string]bool{}}
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

// do runs f in the goroutine that owns the state.
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

// remove deletes a key.
func (s store) remove(ctx context.Context, key string) {
	_ = s.do(ctx, func(st *state) {
		st.revision++
		st.items = slices.DeleteFunc(st.items, func(i Item) bool { return i.Key == key })
		st.items = append(st.items, Item{Key: key, Revision: st.revision, Deleted: true})
	})
}

// backup is a copy of a store.
type backup struct {
	items    []Item
	revision uint64
}

// backUp returns a copy of what the store holds.
func (s store) backUp(ctx context.Context) (b backup) {
	_ = s.do(ctx, func(st *state) { b = backup{slices.Clone(st.items), st.revision} })
	return b
}

// restore takes the store away for a time and brings it back from a backup.
func (s store) restore(ctx context.Context, b backup, away time.Duration) {
	_ = s.do(ctx, func(st *state) { st.down = true })
	task.Sleep(ctx, away)
	_ = s.do(ctx, func(st *state) {
		st.items, st.revision, st.down = slices.Clone(b.items), b.revision, false
		st.era++
	})
}

// vmStore is the store as one VM uses it.
type vmStore struct {
	store
	vm string
}

var errRefused = errors.New("refused")

func (r vmStore) Range(ctx context.Context, _ string, _ bool) (p Page, err error) {
	down := false
	err = r.do(ctx, func(st *state) {
		newest := map[string]Item{}
		for _, i := range st.items {
			newest[i.Key] = i
		}
		st.scans++
		p = Page{Revision: st.revision}
		if !st.muteScans {
			p.Era = st.told()
		}
		for _, i := range newest {
			if !i.Deleted {
				p.Items = append(p.Items, i)
			}
		}
		down = st.down || st.refused[r.vm] && st.refuseScans
	})
	if down {
		return Page{}, errRefused
	}
	return p, err
}

// Watch implements Source: it polls the store until there are changes or wait is over.
func (r vmStore) Watch(ctx context.Context, after uint64, wait time.Duration) (out Changes, err error) {
	deadline := time.Now().Add(wait)
	for {
		refused, gone, ended := false, false, false
		err = r.do(ctx, func(st *state) {
			refused, gone = st.refused[r.vm] || st.down, st.historyGone[r.vm] || after > st.revision
			delete(st.historyGone, r.vm)
			out = Changes{Revision: st.revision}
			for _, i := range st.items {
				if i.Revision > after {
					out.Items = append(out.Items, i)
				}
			}
			ended = len(out.Items) > 0 || time.Now().After(deadline)
			if gone || ended {
				out.Era = st.told()
			}
		})
		switch {
		case refused:
			return Changes{}, errRefused
		case gone:
			return Changes{Era: out.Era}, ErrHistoryGone
		case err != nil || ended || !task.Sleep(ctx, 10*time.Millisecond):
			_ = r.do(ctx, func(st *state) { st.watches[r.vm]++ })
			return out, err
		}
	}
}

func (r vmStore) Lease(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (r vmStore) Renew(context.Context, uint64) error                  { return nil }
func (r vmStore) Put(ctx context.Context, key string, value []byte, _ uint64) error {
	r.put(ctx, key, string(value))
	return nil
}

// Create implements Registrar.
func (r vmStore) Create(ctx context.Context, key string, value []byte) error {
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

// recorder is a Receiver that passes on what it receives, as "VM key=value".
type recorder struct {
	vm      string
	applied chan<- string
}

func (r recorder) Apply(_ context.Context, i Item) {
	r.applied <- r.vm + " " + i.Key + "=" + string(i.Value)
}
func (recorder) Compare(Item, Item) Precedence             { return PrecedenceUnknown }
func (recorder) SetRestored(context.Context)               {}
func (recorder) ApplyFullScan(context.Context, []string)   {}
func (recorder) SetFleetRank(context.Context, int)         {}
func (recorder) SetZoneMembers(context.Context, []string)  {}
func (recorder) SetReachable(context.Context, bool, error) {}

// everyThird drops every third datagram to a VM, from the second on.
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
