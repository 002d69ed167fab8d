package journal

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/peer"
	"cornelmux/internal/rapidtest"
	"cornelmux/pkg/result"
)

const (
	// testWindow is the resend window, testClaimDuration how long a claim may be used.
	testWindow        = 60 * time.Second
	testClaimDuration = 10 * time.Second
)

// TestMain fixes rapid's seed, so that each run checks the same cases.
func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Settings{Seed: 20261204, Checks: 1000, Steps: 60})
}

// simPlatform simulates a platform that holds one partition, with writes that take effect late and reads that are stale.
type simPlatform struct {
	nowMs      int64
	heads      []Head // the index is the version minus 1
	sealed     map[uint64]Batch
	lateWrites []simWrite
	vms        [3]simVM
	ids        int
	sent       []simSend
	acked      map[string]Entry
}

// simSend is one send of a request, at a simulated time in Unix milliseconds.
type simSend struct {
	claim Entry
	atMs  int64
}

// simWrite is a write of the head that takes effect only if the head still has the version.
type simWrite struct {
	head    Head
	version int
}

// simVM is one entry VM: its view, the entries that it tries to append, and the claims with which it may send.
type simVM struct {
	view    *Log
	pending []Entry
	claims  []Entry
}

// cas writes the head if the version fits, and reports whether it did.
func (s *simPlatform) cas(w simWrite) bool {
	if w.version != len(s.heads) {
		return false
	}
	s.heads = append(s.heads, w.head)
	return true
}

func (s *simPlatform) newID() string {
	s.ids++
	return fmt.Sprint("e", s.ids)
}

// attempt makes one read, decision and write of a VM, as partition.attempt does, with a random failure of each step.
func (s *simPlatform) attempt(t *rapid.T, vm *simVM) {
	version := len(s.heads)
	if rapid.Bool().Draw(t, "stale") {
		version = rapid.IntRange(0, len(s.heads)).Draw(t, "version")
	}
	head := Head{}
	if version > 0 {
		head = s.heads[version-1]
	}
	var batches []Batch
	from, to := vm.view.MissingBatches(head)
	for n := from; n < to; n++ {
		batches = append(batches, s.sealed[n])
	}
	if vm.view.Apply(head, batches) != nil {
		return
	}
	vm.view.Expire(s.nowMs)
	outcomes, add := vm.view.Decide(vm.pending, s.nowMs)
	if len(add) == 0 {
		s.acknowledge(vm, outcomes)
		return
	}
	next, sealed := vm.view.WithAppended(add), (*Batch)(nil)
	if rapid.Bool().Draw(t, "seal") && len(head.Entries) > 0 {
		batch := s.seal(head.Sequence, vm.view.InlineBatch())
		var err error
		if next, err = vm.view.WithoutSealed(next, batch); err != nil {
			return
		}
		sealed = &batch
	}
	s.write(t, vm, simWrite{next, version}, sealed, outcomes)
}

// seal creates the sealed batch of the sequence unless another VM has, and returns the one that is there.
func (s *simPlatform) seal(sequence uint64, b Batch) Batch {
	if _, ok := s.sealed[sequence]; !ok {
		s.sealed[sequence] = b
	}
	return s.sealed[sequence]
}

// write writes a VM's head with a fault at random: the answer is lost, the write comes late, or the VM only sealed a batch.
// sealed is the batch that the head no longer holds, or nil. attempt calls it.
func (s *simPlatform) write(t *rapid.T, vm *simVM, w simWrite, sealed *Batch, outcomes []Outcome) {
	switch rapid.SampledFrom([]string{"done", "done", "answer lost", "late", "sealed only"}).Draw(t, "write") {
	case "done":
		if s.cas(w) {
			if err := vm.view.ApplyWrite(w.head, sealed); err != nil {
				t.Fatal(err)
			}
			s.acknowledge(vm, outcomes)
		}
	case "answer lost":
		s.cas(w)
	case "late":
		s.lateWrites = append(s.lateWrites, w)
	}
}

// acknowledge records the outcomes of a VM's pending entries, and gives it the claims that were appended.
func (s *simPlatform) acknowledge(vm *simVM, outcomes []Outcome) {
	for i, o := range outcomes {
		e := vm.pending[i]
		if !o.Appended {
			continue
		}
		s.acked[e.ID] = e
		if e.Kind == EntryStarted {
			vm.claims = append(vm.claims, e)
		}
	}
	vm.pending = nil
}

// send sends a request with a claim, only while the claim is valid, as the Send filter does. It fails the test if the
// request was sent before within the resend window.
func (s *simPlatform) send(t *rapid.T, e Entry) {
	claim := Claim{Key: e.Key, Until: time.UnixMilli(e.UnixMs).Add(testClaimDuration)}
	if !claim.Valid(time.UnixMilli(s.nowMs)) {
		return
	}
	for _, old := range s.sent {
		if old.claim.Key == e.Key && s.nowMs-old.atMs <= (testWindow-testClaimDuration).Milliseconds() {
			t.Fatalf("request %v sent under %s and again under %s", e.Key, old.claim.ID, e.ID)
		}
	}
	s.sent = append(s.sent, simSend{e, s.nowMs})
}

// check reads the whole log and checks that batches are contiguous, that no entry is there twice or after its release, that
// no acknowledged entry is lost and that each request is billed once.
func (s *simPlatform) check(t *rapid.T) {
	head := Head{}
	if len(s.heads) > 0 {
		head = s.heads[len(s.heads)-1]
	}
	log := s.readLog(t, head)
	positions := map[string]int{}
	for i, e := range log {
		// A bill that is retried after the resend window may be in the log twice; MergeBills counts it once.
		if _, ok := positions[e.ID]; ok && (e.Kind == EntryStarted || s.nowMs-e.UnixMs <= testWindow.Milliseconds()) {
			t.Fatalf("entry %s is in the log twice", e.ID)
		}
		if _, ok := positions[releaseID(e.ID)]; ok {
			t.Fatalf("claim %s is in the log after its release", e.ID)
		}
		positions[e.ID] = i
	}
	billed := map[Key]bool{}
	for _, e := range s.acked {
		if _, ok := positions[e.ID]; !ok {
			t.Fatalf("acknowledged entry %s is lost", e.ID)
		}
		if e.Kind == EntryBilled {
			billed[e.Key] = true
		}
	}
	checkBills(t, log, billed)
}

// readLog returns the entries of the whole log, and fails the test if the batches aren't contiguous. check calls it.
func (s *simPlatform) readLog(t *rapid.T, head Head) []Entry {
	var log []Entry
	for n := range head.Sequence {
		if s.sealed[n].Base != uint64(len(log)) {
			t.Fatalf("batch %d starts at %d of %d", n, s.sealed[n].Base, len(log))
		}
		log = append(log, s.sealed[n].Entries...)
	}
	return append(log, head.Entries...)
}

// checkBills checks that each request of billed has a bill, that no request has two, and that the client account pays for the
// first run only. Entries that are in the log twice must not change the bills. check calls it.
func checkBills(t *rapid.T, log []Entry, billed map[Key]bool) {
	bills := map[Key]bool{}
	folded := MergeBills(log)
	if doubled := MergeBills(append(log, log...)); !reflect.DeepEqual(folded, doubled) {
		t.Fatalf("bills merged from a doubled log are %v, not %v", doubled, folded)
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

// TestLogUnderFailure lets three VMs append, send and release at random, with lost answers, late writes, stale reads,
// pauses, crashes and expiry. It guards against double sends, lost entries and double bills.
func TestLogUnderFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simPlatform{nowMs: 1_000_000, sealed: map[uint64]Batch{}, acked: map[string]Entry{}}
		for i := range s.vms {
			s.vms[i].view = NewLog(testWindow)
		}
		vm := func(t *rapid.T) *simVM { return &s.vms[rapid.IntRange(0, 2).Draw(t, "vm")] }
		key := func(t *rapid.T) Key { return Key{"r", "a", fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "key"))} }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				v := vm(t)
				v.pending = append(v.pending, Entry{ID: s.newID(), Kind: EntryStarted, Key: key(t), UnixMs: s.nowMs})
			},
			"bill": func(t *rapid.T) {
				v := vm(t)
				v.pending = append(v.pending, Entry{ID: s.newID(), Kind: EntryBilled, Key: key(t), UnixMs: s.nowMs, Runs: []Run{{Endpoint: "x"}}})
			},
			"attempt": func(t *rapid.T) { s.attempt(t, vm(t)) },
			"again":   func(t *rapid.T) { s.attempt(t, vm(t)) },
			"late write": func(*rapid.T) {
				if len(s.lateWrites) > 0 {
					s.cas(s.lateWrites[0])
					s.lateWrites = s.lateWrites[1:]
				}
			},
			"give up": func(t *rapid.T) {
				v := vm(t)
				for i, e := range v.pending {
					if e.Kind == EntryStarted {
						v.pending[i] = newRelease(e)
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
					v.pending = append(v.pending, newRelease(e))
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

// TestDecide checks the outcome of one entry, given the entries in the log.
func TestDecide(t *testing.T) {
	k := Key{"r", "a", "1"}
	start := func(id string, fingerprint uint64, ms int64) Entry {
		return Entry{ID: id, Kind: EntryStarted, Key: k, VM: "vm-" + id, Fingerprint: Fingerprint{Path: fingerprint}, UnixMs: ms}
	}
	// target is start with the hash of the whole target, which an earlier version doesn't write.
	target := func(id string, target uint64, ms int64) Entry {
		e := start(id, 1, ms)
		e.Target = target
		return e
	}
	bill := Entry{ID: "b", Kind: EntryBilled, Key: k, UnixMs: 1}
	const afterWindow = 1 + 60_001
	rows := []struct {
		name     string
		log      []Entry
		entry    Entry
		nowMs    int64
		code     result.Code
		appended bool
		billed   bool
	}{
		{"empty log", nil, start("x", 1, 1), 1, 0, true, false},
		{"another VM has the claim", []Entry{start("x", 1, 1)}, start("y", 1, 2), 2, result.OutcomeUnknown, false, false},
		{"another VM has the claim and a bill", []Entry{start("x", 1, 1), bill}, start("y", 1, 2), 2, result.OutcomeUnknown, false, true},
		{"own entry is in the log", []Entry{start("x", 1, 1)}, start("x", 1, 1), 2, 0, true, false},
		{"same ID with another body", []Entry{start("x", 1, 1)}, start("y", 2, 2), 2, result.RequestIDReused, false, false},
		{"same ID with another query", []Entry{target("x", 7, 1)}, target("y", 8, 2), 2, result.RequestIDReused, false, false},
		{"same ID and query", []Entry{target("x", 7, 1)}, target("y", 7, 2), 2, result.OutcomeUnknown, false, false},
		{"entry of an earlier version", []Entry{start("x", 1, 1)}, target("y", 8, 2), 2, result.OutcomeUnknown, false, false},
		{"earlier version after this one", []Entry{target("x", 7, 1)}, start("y", 1, 2), 2, result.OutcomeUnknown, false, false},
		{"claim was released", []Entry{start("x", 1, 1), newRelease(start("x", 1, 1))}, start("y", 2, 2), 2, 0, true, false},
		{"release of another claim", []Entry{start("x", 1, 1), newRelease(start("z", 1, 1))}, start("y", 1, 2), 2, result.OutcomeUnknown, false, false},
		{"claim after its own release", []Entry{newRelease(start("x", 1, 1))}, start("x", 1, 1), 2, result.JournalUnavailable, false, false},
		{"released claim is not granted again", []Entry{start("x", 1, 1), newRelease(start("x", 1, 1))}, start("x", 1, 1), 2, result.JournalUnavailable, false, false},
		{"after the resend window", []Entry{start("x", 1, 1)}, start("y", 2, afterWindow), afterWindow, 0, true, false},
		{"claim older than the resend window", nil, start("x", 1, 1), afterWindow, result.JournalUnavailable, false, false},
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
			_, alreadyInLog := l.ids[row.entry.ID]
			qt.Assert(t, len(add) == 1, qt.Equals, row.appended && !alreadyInLog)
		})
	}
}

// TestOwner checks that only live VMs of the region own a partition, in whatever order they are listed.
func TestOwner(t *testing.T) {
	member := func(vm, region string, leaving bool) peer.Member {
		return peer.Member{VM: vm, Region: region, ControlAddress: vm, Leaving: leaving}
	}
	rows := []struct {
		name string
		list []peer.Member
		want string
	}{
		{"no VM", nil, ""},
		{"another region", []peer.Member{member("a", "q", false)}, ""},
		{"leaving", []peer.Member{member("a", "r", true), member("b", "r", false)}, "b"},
		{"suspected", []peer.Member{{VM: "a", Region: "r", ControlAddress: "a", Health: peer.Suspect}, member("b", "r", false)}, "b"},
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
