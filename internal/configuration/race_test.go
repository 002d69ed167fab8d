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

// call is an operation on the platform that waits until the test decides how it ends.
type call struct {
	vm int
	// actor is the ID of the change whose submission makes the call, or "" for the VM's own tasks.
	actor string
	// kind is "get", "watch" or "write".
	kind string
	// after is the version of the head that a watch already has.
	after uint64
	// apply makes the operation take effect. A read of the head returns the value with that index in its history,
	// or the current value if there is none.
	apply func(head int) (consul.Value, bool)
	reply chan answer
}

// submissionKey is the context key for the ID of the submitted change.
type submissionKey struct{}

// answer is the result of a call.
type answer struct {
	value consul.Value
	done  bool
	err   error
}

// store implements Store for one VM. The test answers every operation.
type store struct {
	vm       int
	platform *fakePlatform
}

// fakePlatform is a platform whose answers are late, stale or lost as the test decides.
type fakePlatform struct {
	calls   chan call
	waiting []call
	// lateWrites are writes reported as lost that may still take effect.
	lateWrites []call
	version    uint64
	keys       map[string]consul.Value
	// heads has every value that the head key had.
	heads []consul.Value
}

// do passes an operation to the test and waits for its result.
func (s store) do(ctx context.Context, kind string, after uint64, apply func(int) (consul.Value, bool)) (answer, error) {
	actor, _ := ctx.Value(submissionKey{}).(string)
	c := call{s.vm, actor, kind, after, apply, make(chan answer, 1)}
	s.platform.calls <- c
	select {
	case a := <-c.reply:
		return a, a.err
	case <-ctx.Done():
		return answer{}, fmt.Errorf("%w: %w", consul.ErrOutcomeUnknown, ctx.Err())
	}
}

// read returns the effect of a read of the key.
func (s store) read(key string) func(int) (consul.Value, bool) {
	return func(head int) (consul.Value, bool) {
		if key == HeadKey && head < len(s.platform.heads) {
			return s.platform.heads[head], true
		}
		return s.platform.keys[key], true
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

// CAS implements Store. It records each written head.
func (s store) CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error) {
	a, err := s.do(ctx, "write", 0, func(int) (consul.Value, bool) {
		if s.platform.keys[key].Version != version {
			return consul.Value{}, false
		}
		s.platform.version++
		s.platform.keys[key] = consul.Value{Key: key, Data: data, Version: s.platform.version}
		if key == HeadKey {
			s.platform.heads = append(s.platform.heads, s.platform.keys[key])
		}
		return consul.Value{}, true
	})
	return a.done, err
}

func (s store) Delete(ctx context.Context, key string, version uint64) (bool, error) {
	a, err := s.do(ctx, "write", 0, func(int) (consul.Value, bool) {
		if s.platform.keys[key].Version != version {
			return consul.Value{}, false
		}
		delete(s.platform.keys, key)
		return consul.Value{}, true
	})
	return a.done, err
}

// answerable returns the indices of the calls that can be answered. A watch can't be until the head changes.
func (f *fakePlatform) answerable() []int {
	var list []int
	for i, c := range f.waiting {
		if c.kind != "watch" || f.keys[HeadKey].Version != c.after {
			list = append(list, i)
		}
	}
	return list
}

// answerOne answers a random waiting call, or lets a write that was reported as lost take effect late. With faults, an
// answer may be stale (4), a write may take effect with its answer lost (5) or be lost for now (6), or a call may fail (7).
func (f *fakePlatform) answerOne(t *rapid.T, ready []int, faults bool) {
	if faults && len(f.lateWrites) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		f.lateWrites[0].apply(0)
		f.lateWrites = f.lateWrites[1:]
		return
	}
	i := rapid.SampledFrom(ready).Draw(t, "call")
	c := f.waiting[i]
	f.waiting = slices.Delete(f.waiting, i, i+1)
	outcome, head := 0, len(f.heads)
	if faults {
		outcome = rapid.IntRange(0, 7).Draw(t, "fate")
	}
	if outcome == 4 {
		head = rapid.IntRange(0, len(f.heads)).Draw(t, "head")
	}
	lost := answer{err: consul.ErrOutcomeUnknown}
	switch {
	case c.kind == "write" && outcome == 5:
		c.apply(0)
		c.reply <- lost
	case c.kind == "write" && outcome == 6:
		f.lateWrites = append(f.lateWrites, c)
		c.reply <- lost
	case outcome == 7:
		c.reply <- answer{err: consul.ErrUnavailable}
	default:
		v, done := c.apply(head)
		c.reply <- answer{value: v, done: done}
	}
}

// submitResult is the result of a submission.
type submitResult struct {
	s        Submission
	revision uint64
	err      error
}

// drawChange draws the n-th submission: a random change from a random base revision.
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

// TestAcceptedChangeStays guards against an accepted change being lost or overwritten unseen, and against a refused one
// being stored, when VMs submit concurrently and the platform's reads are stale, its answers lost or its writes late.
func TestAcceptedChangeStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, checkRace) // a T in a synctest bubble has no Deadline, which rapid would call
	})
}

// checkRace runs random submissions on a few VMs, with faults during the first steps, and checks the outcome.
func checkRace(t *rapid.T) {
	const vms, changes, faultySteps, maxSteps = 3, 6, 80, 2000
	ctx, cancel := context.WithCancel(context.Background())
	platform := &fakePlatform{calls: make(chan call, 64), keys: map[string]consul.Value{}}
	ends := make(chan task.End, vms+changes)
	defer func() { _ = task.Stop(cancel, ends, vms+changes) }()
	controllers := make([]*Controller, vms)
	for i := range controllers {
		controllers[i] = New(store{i, platform}, noPeers{}, Options{FreshnessLimit: time.Second}, logr.Discard())
		task.Start(ctx, "vm", ends, controllers[i].Run)
	}
	results := make(chan submitResult, changes)
	for n := range changes {
		s, c := drawChange(t, n), controllers[n%vms]
		task.Start(ctx, "submit", ends, func(ctx context.Context) error {
			revision, err := c.Submit(context.WithValue(ctx, submissionKey{}, s.ChangeID), s)
			results <- submitResult{s, revision, err}
			return nil
		})
	}
	revisions := make([]uint64, vms)
	for step := 0; len(results) < changes; step++ {
		if step == maxSteps {
			t.Fatalf("submissions did not end in time")
		}
		platform.collectCalls()
		ready := platform.answerable()
		if len(ready) == 0 {
			time.Sleep(time.Second)
			continue
		}
		platform.answerOne(t, ready, step < faultySteps)
		synctest.Wait()
		checkRevisions(t, platform, controllers, revisions)
	}
	close(results)
	checkAccepted(t, platform, results)
}

// collectCalls moves the new calls to waiting, in an order that doesn't depend on scheduling.
func (f *fakePlatform) collectCalls() {
	synctest.Wait()
	for len(f.calls) > 0 {
		f.waiting = append(f.waiting, <-f.calls)
	}
	slices.SortFunc(f.waiting, func(a, b call) int { return cmp.Or(cmp.Compare(a.vm, b.vm), cmp.Compare(a.actor, b.actor)) })
}

// checkRevisions checks that no VM moved back or holds content other than the platform's at its revision,
// and that no part of the current head was deleted.
func checkRevisions(t *rapid.T, platform *fakePlatform, controllers []*Controller, revisions []uint64) {
	for i, c := range controllers {
		held, err := c.Replica(context.Background())
		if err != nil || held.Head.Revision < revisions[i] {
			t.Fatalf("VM %d moved from revision %d to %d, %v", i, revisions[i], held.Head.Revision, err)
		}
		revisions[i] = held.Head.Revision
		if n := held.Head.Revision; n > 0 && !parse(t, platform.heads[n-1]).SameContent(held.Head) {
			t.Fatalf("VM %d holds different content at revision %d", i, n)
		}
	}
	for _, p := range parse(t, platform.keys[HeadKey]).Parts {
		if _, ok := platform.keys[partPrefix+p.Digest]; !ok {
			t.Fatalf("part %s of the head was deleted", p.Name)
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

// checkAccepted compares the results of the submissions with the history of the head key.
func checkAccepted(t *rapid.T, platform *fakePlatform, results <-chan submitResult) {
	var history []ChangeSummary
	for i, v := range platform.heads {
		head := parse(t, v)
		if head.Revision != uint64(i+1) {
			t.Fatalf("write %d of the head has revision %d", i+1, head.Revision)
		}
		history = append(history, head.Changes[len(head.Changes)-1])
	}
	done := map[string]Submission{}
	for r := range results {
		i := slices.IndexFunc(history, func(n ChangeSummary) bool { return n.ChangeID == r.s.ChangeID })
		code := result.OK
		if r.err != nil {
			code = result.From(r.err).Code
		}
		switch {
		case code == result.OK && (i < 0 || history[i].Revision != r.revision):
			t.Fatalf("%s was accepted at revision %d, but the history differs", r.s.ChangeID, r.revision)
		case code != result.OK && code != result.ChangeUnknown && i >= 0:
			t.Fatalf("%s was refused with %v, but is in the history", r.s.ChangeID, r.err)
		}
		done[r.s.ChangeID] = r.s
	}
	checkFinal(t, platform, history, done)
}

// checkFinal replays the history without concurrency and compares the result and the audit trail with the platform's.
// It also checks that no change overwrote an object that changed after its base revision.
func checkFinal(t *rapid.T, platform *fakePlatform, history []ChangeSummary, done map[string]Submission) {
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
				t.Fatalf("%s at revision %d overwrote %s of revision %d, which is after its base", n.ChangeID, n.Revision, o, lastOf[o])
			}
		}
		for _, o := range n.Objects {
			lastOf[o] = n.Revision
		}
	}
	if len(history) == 0 {
		return
	}
	head := parse(t, platform.keys[HeadKey])
	var blobs []Blob
	for _, p := range head.Parts {
		blobs = append(blobs, Blob{p, platform.keys[partPrefix+p.Digest].Data})
	}
	got, err := Join(blobs)
	a, _ := json.Marshal(got)
	b, _ := json.Marshal(want)
	if err != nil || string(a) != string(b) {
		t.Fatalf("the platform holds %s, want %s, %v", a, b, err)
	}
	trail, err := audit.Read(context.Background(), reader{platform}, head.lastRecord(), 0, len(history)+1)
	if err != nil || len(trail) != len(history) {
		t.Fatalf("the audit trail has %d of %d records, %v", len(trail), len(history), err)
	}
	for i, r := range trail {
		if r.ChangeID != history[i].ChangeID || r.Revision != history[i].Revision || r.BeforeRevision+1 != r.Revision {
			t.Fatalf("audit record %d belongs to change %s", i, r.ChangeID)
		}
	}
}

// reader implements audit.Store.
type reader struct{ platform *fakePlatform }

func (r reader) Get(_ context.Context, key string) (consul.Value, error) {
	return r.platform.keys[key], nil
}
