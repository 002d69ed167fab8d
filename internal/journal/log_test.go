package journal

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/peer"
	"cornelmux/pkg/result"
)

const (
	testWindow = 60 * time.Second
	testClaim  = 10 * time.Second
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// simLog is a platform that holds one partition, with writes that take effect late and reads that are stale.
type simLog struct {
	nowMs  int64
	heads  []Head // by version-1
	sealed map[uint64]Batch
	late   []simWrite
	vms    [3]simVM
	ids    int
	sent   []simSend
	acked  map[string]Entry
}

type simSend struct {
	claim Entry
	atMs  int64
}

type simWrite struct {
	head    Head
	version int
}

// simVM is one entry VM: its view, the entries it still tries to append, and the claims it may send.
type simVM struct {
	view   *Log
	trying []Entry
	claims []Entry
}

func (s *simLog) cas(w simWrite) bool {
	if w.version != len(s.heads) {
		return false
	}
	s.heads = append(s.heads, w.head)
	return true
}

func (s *simLog) id() string {
	s.ids++
	return fmt.Sprint("e", s.ids)
}

// attempt is one read, decision and write of a VM, with what can go wrong on the way.
func (s *simLog) attempt(t *rapid.T, vm *simVM) {
	version := len(s.heads)
	if rapid.Bool().Draw(t, "stale") {
		version = rapid.IntRange(0, len(s.heads)).Draw(t, "version")
	}
	head := Head{}
	if version > 0 {
		head = s.heads[version-1]
	}
	var batches []Batch
	from, to := vm.view.Missing(head)
	for n := from; n < to; n++ {
		batches = append(batches, s.sealed[n])
	}
	if vm.view.Apply(head, batches) != nil {
		return
	}
	vm.view.Expire(s.nowMs)
	outcomes, add := vm.view.Decide(vm.trying, s.nowMs)
	if len(add) == 0 {
		s.settle(vm, outcomes)
		return
	}
	next, cut := vm.view.Next(add), (*Batch)(nil)
	if rapid.Bool().Draw(t, "seal") && len(head.Entries) > 0 {
		if _, ok := s.sealed[head.Sequence]; !ok {
			s.sealed[head.Sequence] = vm.view.Inline()
		}
		batch := s.sealed[head.Sequence]
		var err error
		if next, err = vm.view.Cut(next, batch); err != nil {
			return
		}
		cut = &batch
	}
	w := simWrite{next, version}
	switch rapid.SampledFrom([]string{"done", "done", "answer lost", "late", "sealed only"}).Draw(t, "write") {
	case "done":
		if s.cas(w) {
			if err := vm.view.Written(next, cut); err != nil {
				t.Fatal(err)
			}
			s.settle(vm, outcomes)
		}
	case "answer lost":
		s.cas(w)
	case "late":
		s.late = append(s.late, w)
	}
}

func (s *simLog) settle(vm *simVM, outcomes []Outcome) {
	for i, o := range outcomes {
		e := vm.trying[i]
		if !o.Appended {
			continue
		}
		s.acked[e.ID] = e
		if e.Kind == EntryStarted {
			vm.claims = append(vm.claims, e)
		}
	}
	vm.trying = nil
}

// send sends a claim as the gate does: only while it is valid by the VM's own clock.
func (s *simLog) send(t *rapid.T, e Entry) {
	claim := Claim{Key: e.Key, Until: time.UnixMilli(e.UnixMs).Add(testClaim)}
	if !claim.Valid(time.UnixMilli(s.nowMs)) {
		return
	}
	for _, old := range s.sent {
		if old.claim.Key == e.Key && s.nowMs-old.atMs <= (testWindow-testClaim).Milliseconds() {
			t.Fatalf("request %v sent under %s and again under %s", e.Key, old.claim.ID, e.ID)
		}
	}
	s.sent = append(s.sent, simSend{e, s.nowMs})
}

// check reads the whole log as an operator would.
func (s *simLog) check(t *rapid.T) {
	head := Head{}
	if len(s.heads) > 0 {
		head = s.heads[len(s.heads)-1]
	}
	var log []Entry
	for n := range head.Sequence {
		if s.sealed[n].Base != uint64(len(log)) {
			t.Fatalf("batch %d starts at %d of %d", n, s.sealed[n].Base, len(log))
		}
		log = append(log, s.sealed[n].Entries...)
	}
	log = append(log, head.Entries...)
	at := map[string]int{}
	for i, e := range log {
		// A bill that is tried again after the resend window may stand twice; Fold counts it once.
		if _, ok := at[e.ID]; ok && (e.Kind == EntryStarted || s.nowMs-e.UnixMs <= testWindow.Milliseconds()) {
			t.Fatalf("entry %s stands twice", e.ID)
		}
		if _, ok := at[releaseID(e.ID)]; ok {
			t.Fatalf("claim %s stands after its release", e.ID)
		}
		at[e.ID] = i
	}
	billed := map[Key]bool{}
	for _, e := range s.acked {
		if _, ok := at[e.ID]; !ok {
			t.Fatalf("accepted entry %s is lost", e.ID)
		}
		if e.Kind == EntryBilled {
			billed[e.Key] = true
		}
	}
	bills := map[Key]bool{}
	folded := Fold(log)
	if again := Fold(append(log, log...)); !reflect.DeepEqual(folded, again) {
		t.Fatalf("bills folded twice are %v, not %v", again, folded)
	}
	for _, b := range folded {
		charged := slices.ContainsFunc(b.Runs, func(r Run) bool { return !r.OperatorCost })
		if bills[b.Key] || !charged || b.Runs[0].OperatorCost || slices.ContainsFunc(b.Runs[1:], func(r Run) bool { return !r.OperatorCost }) {
			t.Fatalf("request %v is not billed once: %v", b.Key, b.Runs)
		}
		bills[b.Key] = true
	}
	for k := range billed {
		if !bills[k] {
			t.Fatalf("request %v is not billed", k)
		}
	}
}

// TestLogUnderFailure drives three VMs through lost, late and stale answers, pauses, crashes and expiry.
func TestLogUnderFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simLog{nowMs: 1_000_000, sealed: map[uint64]Batch{}, acked: map[string]Entry{}}
		for i := range s.vms {
			s.vms[i].view = NewLog(testWindow)
		}
		vm := func(t *rapid.T) *simVM { return &s.vms[rapid.IntRange(0, 2).Draw(t, "vm")] }
		key := func(t *rapid.T) Key { return Key{"r", "a", fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "key"))} }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				v := vm(t)
				v.trying = append(v.trying, Entry{ID: s.id(), Kind: EntryStarted, Key: key(t), UnixMs: s.nowMs})
			},
			"bill": func(t *rapid.T) {
				v := vm(t)
				v.trying = append(v.trying, Entry{ID: s.id(), Kind: EntryBilled, Key: key(t), UnixMs: s.nowMs, Runs: []Run{{Endpoint: "x"}}})
			},
			"attempt": func(t *rapid.T) { s.attempt(t, vm(t)) },
			"again":   func(t *rapid.T) { s.attempt(t, vm(t)) },
			"late write": func(*rapid.T) {
				if len(s.late) > 0 {
					s.cas(s.late[0])
					s.late = s.late[1:]
				}
			},
			"give up": func(t *rapid.T) {
				v := vm(t)
				for i, e := range v.trying {
					if e.Kind == EntryStarted {
						v.trying[i] = release(e)
					}
				}
			},
			"send": func(t *rapid.T) {
				v := vm(t)
				for _, e := range v.claims {
					s.send(t, e)
				}
				v.claims = nil
			},
			"release": func(t *rapid.T) {
				v := vm(t)
				for _, e := range v.claims {
					v.trying = append(v.trying, release(e))
				}
				v.claims = nil
			},
			"crash": func(t *rapid.T) {
				v := vm(t)
				*v = simVM{view: NewLog(testWindow)}
			},
			"time": func(t *rapid.T) { s.nowMs += int64(rapid.SampledFrom([]int{10, 1000, 9000, 70_000}).Draw(t, "ms")) },
			"":     s.check,
		})
	})
}

func TestDecide(t *testing.T) {
	k := Key{"r", "a", "1"}
	start := func(id string, fingerprint uint64, ms int64) Entry {
		return Entry{ID: id, Kind: EntryStarted, Key: k, VM: "vm-" + id, Fingerprint: fingerprint, UnixMs: ms}
	}
	bill := Entry{ID: "b", Kind: EntryBilled, Key: k, UnixMs: 1}
	const late = 1 + 60_001
	rows := []struct {
		name     string
		log      []Entry
		entry    Entry
		nowMs    int64
		code     result.Code
		appended bool
		billed   bool
	}{
		{"first", nil, start("x", 1, 1), 1, 0, true, false},
		{"second VM", []Entry{start("x", 1, 1)}, start("y", 1, 2), 2, result.OutcomeUnknown, false, false},
		{"second VM after the bill", []Entry{start("x", 1, 1), bill}, start("y", 1, 2), 2, result.OutcomeUnknown, false, true},
		{"own entry read back", []Entry{start("x", 1, 1)}, start("x", 1, 1), 2, 0, true, false},
		{"other body", []Entry{start("x", 1, 1)}, start("y", 2, 2), 2, result.RequestIDReused, false, false},
		{"after the release", []Entry{start("x", 1, 1), release(start("x", 1, 1))}, start("y", 2, 2), 2, 0, true, false},
		{"release of another claim", []Entry{start("x", 1, 1), release(start("z", 1, 1))}, start("y", 1, 2), 2, result.OutcomeUnknown, false, false},
		{"start after its own release", []Entry{release(start("x", 1, 1))}, start("x", 1, 1), 2, result.JournalUnavailable, false, false},
		{"released claim is not granted again", []Entry{start("x", 1, 1), release(start("x", 1, 1))}, start("x", 1, 1), 2, result.JournalUnavailable, false, false},
		{"after the resend window", []Entry{start("x", 1, 1)}, start("y", 2, late), late, 0, true, false},
		{"thawed VM's late start", nil, start("x", 1, 1), late, result.JournalUnavailable, false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			l := NewLog(testWindow)
			qt.Assert(t, l.Apply(Head{Entries: row.log}, nil), qt.IsNil)
			l.Expire(row.nowMs)
			outcomes, add := l.Decide([]Entry{row.entry}, row.nowMs)
			qt.Assert(t, outcomes[0].Code, qt.Equals, row.code)
			qt.Assert(t, outcomes[0].Appended, qt.Equals, row.appended)
			qt.Assert(t, outcomes[0].Billed, qt.Equals, row.billed)
			_, stood := l.ids[row.entry.ID]
			qt.Assert(t, len(add) == 1, qt.Equals, row.appended && !stood)
		})
	}
}

func TestOwner(t *testing.T) {
	member := func(vm, region string, leaving bool) peer.Member {
		return peer.Member{VM: vm, Region: region, ControlAddress: vm, Leaving: leaving}
	}
	rows := []struct {
		name string
		list []peer.Member
		want string
	}{
		{"nobody", nil, ""},
		{"another region", []peer.Member{member("a", "q", false)}, ""},
		{"leaving", []peer.Member{member("a", "r", true), member("b", "r", false)}, "b"},
		{"silent", []peer.Member{{VM: "a", Region: "r", ControlAddress: "a", Health: peer.Suspect}, member("b", "r", false)}, "b"},
		{"any order", []peer.Member{member("a", "r", false), member("b", "r", false), member("c", "r", false)}, "a"},
		{"other order", []peer.Member{member("c", "r", false), member("b", "r", false), member("a", "r", false)}, "a"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			m, ok := Owner(row.list, "r", 1)
			qt.Assert(t, ok, qt.Equals, row.want != "")
			qt.Assert(t, m.VM, qt.Equals, row.want)
		})
	}
}
