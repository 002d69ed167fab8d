package configuration

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cornelmux/internal/audit"
	"cornelmux/internal/consul"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// call is one operation on the platform that waits until the driver decides how it ends.
type call struct {
	vm    int
	actor string
	kind  string
	after uint64
	// apply makes the operation take effect; a read may answer with the head as it was after an earlier write.
	apply func(head int) (consul.Value, bool)
	reply chan answer
}

type actorKey struct{}

type answer struct {
	value consul.Value
	done  bool
	err   error
}

// store is the platform as one VM sees it: every operation is served by the driver.
type store struct {
	vm int
	w  *world
}

// world is a platform whose answers are late, stale or lost as the driver decides.
type world struct {
	calls   chan call
	waiting []call
	late    []call
	version uint64
	keys    map[string]consul.Value
	heads   []consul.Value
}

func (s store) do(ctx context.Context, kind string, after uint64, apply func(int) (consul.Value, bool)) (answer, error) {
	actor, _ := ctx.Value(actorKey{}).(string)
	c := call{s.vm, actor, kind, after, apply, make(chan answer, 1)}
	s.w.calls <- c
	select {
	case a := <-c.reply:
		return a, a.err
	case <-ctx.Done():
		return answer{}, fmt.Errorf("%w: %w", consul.ErrOutcomeUnknown, ctx.Err())
	}
}

func (s store) read(key string) func(int) (consul.Value, bool) {
	return func(head int) (consul.Value, bool) {
		if key == HeadKey && head < len(s.w.heads) {
			return s.w.heads[head], true
		}
		return s.w.keys[key], true
	}
}

func (s store) Get(ctx context.Context, key string) (consul.Value, error) {
	a, err := s.do(ctx, "get", 0, s.read(key))
	a.value.Key = key
	return a.value, err
}

func (s store) Watch(ctx context.Context, key string, after uint64, _ time.Duration) (consul.Value, uint64, error) {
	a, err := s.do(ctx, "watch", after, s.read(key))
	return a.value, a.value.Version, err
}

func (s store) CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error) {
	a, err := s.do(ctx, "write", 0, func(int) (consul.Value, bool) {
		if s.w.keys[key].Version != version {
			return consul.Value{}, false
		}
		s.w.version++
		s.w.keys[key] = consul.Value{Key: key, Data: data, Version: s.w.version}
		if key == HeadKey {
			s.w.heads = append(s.w.heads, s.w.keys[key])
		}
		return consul.Value{}, true
	})
	return a.done, err
}

func (s store) Delete(ctx context.Context, key string, version uint64) (bool, error) {
	a, err := s.do(ctx, "write", 0, func(int) (consul.Value, bool) {
		if s.w.keys[key].Version != version {
			return consul.Value{}, false
		}
		delete(s.w.keys, key)
		return consul.Value{}, true
	})
	return a.done, err
}

// ready returns the calls that can be answered; a watch can't before the head changes.
func (w *world) ready() []int {
	var list []int
	for i, c := range w.waiting {
		if c.kind != "watch" || w.keys[HeadKey].Version != c.after {
			list = append(list, i)
		}
	}
	return list
}

// serve ends one waiting call, or lets a write that was given up as lost take effect late.
func (w *world) serve(t *rapid.T, ready []int, faults bool) {
	if faults && len(w.late) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		w.late[0].apply(0)
		w.late = w.late[1:]
		return
	}
	i := rapid.SampledFrom(ready).Draw(t, "call")
	c := w.waiting[i]
	w.waiting = slices.Delete(w.waiting, i, i+1)
	fate, head := 0, len(w.heads)
	if faults {
		fate = rapid.IntRange(0, 7).Draw(t, "fate")
	}
	if fate == 4 {
		head = rapid.IntRange(0, len(w.heads)).Draw(t, "head")
	}
	lost := answer{err: consul.ErrOutcomeUnknown}
	switch {
	case c.kind == "write" && fate == 5:
		c.apply(0)
		c.reply <- lost
	case c.kind == "write" && fate == 6:
		w.late = append(w.late, c)
		c.reply <- lost
	case fate == 7:
		c.reply <- answer{err: consul.ErrUnavailable}
	default:
		v, done := c.apply(head)
		c.reply <- answer{value: v, done: done}
	}
}

// submitted is how a submission ended.
type submitted struct {
	s        Submission
	revision uint64
	err      error
}

func drawChange(t *rapid.T, n int) Submission {
	account := func(limit int) catalog.ClientAccount {
		return catalog.ClientAccount{Name: fmt.Sprintf("a%d", n%2), KeyHash: catalog.HashKey(fmt.Sprint(n % 2)), HomeRegion: "r", Burst: limit}
	}
	model := catalog.Model{Name: "m", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}, {Name: "v2"}}}
	model.Versions[0].CostPerThousandTokens = float64(rapid.IntRange(0, 1).Draw(t, "cost"))
	changes := []catalog.Change{
		{Set: catalog.Configuration{Accounts: []catalog.ClientAccount{account(rapid.IntRange(1, 2).Draw(t, "limit"))}}},
		{Set: catalog.Configuration{Models: []catalog.Model{model}}},
		{Set: catalog.Configuration{Withdrawals: []catalog.Withdrawal{{Model: "m", Version: "v2"}}}},
		{Reinstate: []string{"m/v2"}},
		rolloutChange(catalog.RollOutRunning, int64(rapid.IntRange(1, 2).Draw(t, "run"))),
		rolloutChange(catalog.RollOutHalted, int64(rapid.IntRange(1, 2).Draw(t, "run"))),
	}
	return Submission{
		ChangeID: fmt.Sprintf("c%d", n), Author: "test", BaseRevision: uint64(rapid.IntRange(0, 3).Draw(t, "base")),
		Change: changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")],
	}
}

type noPeers struct{}

func (noPeers) Head(context.Context, string, uint64) (PeerHead, error) {
	return PeerHead{}, errors.New("no peer")
}

func (noPeers) Part(context.Context, string, string) ([]byte, error) {
	return nil, errors.New("no peer")
}

// TestAcceptedChangeStays interleaves the platform calls of racing VMs, with stale reads, lost answers and late writes.
func TestAcceptedChangeStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, raceOnce) // a bubble has no deadline that rapid could ask for
	})
}

func raceOnce(t *rapid.T) {
	const vms, changes, faultySteps, maxSteps = 3, 6, 80, 2000
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{calls: make(chan call, 64), keys: map[string]consul.Value{}}
	ends := make(chan task.End, vms+changes)
	defer func() { _ = task.Stop(cancel, ends, vms+changes) }()
	controllers := make([]*Controller, vms)
	for i := range controllers {
		controllers[i] = New(store{i, w}, noPeers{}, Options{FreshnessLimit: time.Second}, logr.Discard())
		task.Start(ctx, "vm", ends, controllers[i].Run)
	}
	results := make(chan submitted, changes)
	for n := range changes {
		s, c := drawChange(t, n), controllers[n%vms]
		task.Start(ctx, "submit", ends, func(ctx context.Context) error {
			revision, err := c.Submit(context.WithValue(ctx, actorKey{}, s.ChangeID), s)
			results <- submitted{s, revision, err}
			return nil
		})
	}
	revisions := make([]uint64, vms)
	for step := 0; len(results) < changes; step++ {
		if step == maxSteps {
			t.Fatalf("submissions hang")
		}
		w.gather()
		ready := w.ready()
		if len(ready) == 0 {
			time.Sleep(time.Second)
			continue
		}
		w.serve(t, ready, step < faultySteps)
		synctest.Wait()
		checkForward(t, w, controllers, revisions)
	}
	close(results)
	checkAccepted(t, w, results)
}

func (w *world) gather() {
	synctest.Wait()
	for len(w.calls) > 0 {
		w.waiting = append(w.waiting, <-w.calls)
	}
	slices.SortFunc(w.waiting, func(a, b call) int { return cmp.Or(cmp.Compare(a.vm, b.vm), cmp.Compare(a.actor, b.actor)) })
}

func checkForward(t *rapid.T, w *world, controllers []*Controller, revisions []uint64) {
	for i, c := range controllers {
		held, err := c.Replica(context.Background())
		if err != nil || held.Head.Revision < revisions[i] {
			t.Fatalf("VM %d went from revision %d to %d, %v", i, revisions[i], held.Head.Revision, err)
		}
		revisions[i] = held.Head.Revision
		if n := held.Head.Revision; n > 0 && !parse(t, w.heads[n-1]).SameContent(held.Head) {
			t.Fatalf("VM %d holds other content at revision %d", i, n)
		}
	}
	for _, p := range parse(t, w.keys[HeadKey]).Parts {
		if _, ok := w.keys[partPrefix+p.Digest]; !ok {
			t.Fatalf("part %s of the head is gone", p.Name)
		}
	}
}

func parse(t *rapid.T, v consul.Value) Head {
	head, err := parseHead(v)
	if err != nil {
		t.Fatal(err)
	}
	return head
}

// checkAccepted compares what submitters were told with the history of the head key.
func checkAccepted(t *rapid.T, w *world, results <-chan submitted) {
	var history []ChangeNote
	for i, v := range w.heads {
		head := parse(t, v)
		if head.Revision != uint64(i+1) {
			t.Fatalf("write %d of the head has revision %d", i+1, head.Revision)
		}
		history = append(history, head.Changes[len(head.Changes)-1])
	}
	done := map[string]Submission{}
	for r := range results {
		i := slices.IndexFunc(history, func(n ChangeNote) bool { return n.ChangeID == r.s.ChangeID })
		code := result.OK
		if r.err != nil {
			code = result.From(r.err).Code
		}
		switch {
		case code == result.OK && (i < 0 || history[i].Revision != r.revision):
			t.Fatalf("%s was accepted at %d, but the history says otherwise", r.s.ChangeID, r.revision)
		case code != result.OK && code != result.ChangeUnknown && i >= 0:
			t.Fatalf("%s was refused with %v, but stands in the history", r.s.ChangeID, r.err)
		}
		done[r.s.ChangeID] = r.s
	}
	checkFinal(t, w, history, done)
}

// checkFinal replays the history alone and compares the outcome and the audit trail with the platform.
func checkFinal(t *rapid.T, w *world, history []ChangeNote, done map[string]Submission) {
	var want catalog.Configuration
	lastOf := map[string]uint64{}
	for _, n := range history {
		s := done[n.ChangeID]
		next, err := s.Change.Apply(want)
		if err != nil {
			t.Fatal(err)
		}
		want = next
		for _, o := range contestedObjects(s.Change) {
			if lastOf[o] > s.BaseRevision {
				t.Fatalf("%s at %d set %s over the change at %d without seeing it", n.ChangeID, n.Revision, o, lastOf[o])
			}
		}
		for _, o := range n.Objects {
			lastOf[o] = n.Revision
		}
	}
	if len(history) == 0 {
		return
	}
	head := parse(t, w.keys[HeadKey])
	var blobs []Blob
	for _, p := range head.Parts {
		blobs = append(blobs, Blob{p, w.keys[partPrefix+p.Digest].Data})
	}
	got, err := Join(blobs)
	a, _ := json.Marshal(got)
	b, _ := json.Marshal(want)
	if err != nil || string(a) != string(b) {
		t.Fatalf("the platform holds %s instead of %s, %v", a, b, err)
	}
	trail, err := audit.Read(context.Background(), reader{w}, head.lastRecord(), 0, len(history)+1)
	if err != nil || len(trail) != len(history) {
		t.Fatalf("the trail has %d of %d records, %v", len(trail), len(history), err)
	}
	for i, r := range trail {
		if r.ChangeID != history[i].ChangeID || r.Revision != history[i].Revision || r.BeforeRevision+1 != r.Revision {
			t.Fatalf("record %d is of %s", i, r.ChangeID)
		}
	}
}

type reader struct{ w *world }

func (r reader) Get(_ context.Context, key string) (consul.Value, error) { return r.w.keys[key], nil }
