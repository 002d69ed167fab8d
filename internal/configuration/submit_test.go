package configuration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// fakeStore implements Store for one goroutine at a time. A test makes it lose answers or return stale ones.
type fakeStore struct {
	keys map[string]consul.Value
	// heads has every value that the head key had.
	heads   []consul.Value
	version uint64
	// lostCAS is the number of next writes of the head whose answer is lost.
	lostCAS int
	// staleHeads has the indices into heads that the next reads of the head return.
	staleHeads []int
	// onDelete is called once, before the next delete.
	onDelete func()
}

func newFakeStore() *fakeStore { return &fakeStore{keys: map[string]consul.Value{}} }

func (s *fakeStore) Get(_ context.Context, key string) (consul.Value, error) {
	if key == HeadKey && len(s.staleHeads) > 0 {
		i := s.staleHeads[0]
		s.staleHeads = s.staleHeads[1:]
		return s.heads[i], nil
	}
	return s.keys[key], nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (consul.Value, uint64, error) {
	<-ctx.Done()
	return consul.Value{}, 0, ctx.Err()
}

// CAS implements Store. It records each written head, and the next lostCAS writes of the head take effect but fail with
// ErrOutcomeUnknown.
func (s *fakeStore) CAS(_ context.Context, key string, data []byte, version uint64) (bool, error) {
	if s.keys[key].Version != version {
		return false, nil
	}
	s.version++
	s.keys[key] = consul.Value{Key: key, Data: data, Version: s.version}
	if key != HeadKey {
		return true, nil
	}
	s.heads = append(s.heads, s.keys[key])
	if s.lostCAS > 0 {
		s.lostCAS--
		return false, consul.ErrOutcomeUnknown
	}
	return true, nil
}

// Delete implements Store. It first calls onDelete once, if it is set.
func (s *fakeStore) Delete(_ context.Context, key string, version uint64) (bool, error) {
	if f := s.onDelete; f != nil {
		s.onDelete = nil
		f()
	}
	if s.keys[key].Version != version {
		return false, nil
	}
	delete(s.keys, key)
	return true, nil
}

// start runs a Controller until the test ends.
func start(c *qt.C, s Store) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 1)
	controller := New(s, noPeers{}, Options{FreshnessLimit: time.Hour}, logr.Discard())
	task.Start(ctx, "configuration", ends, controller.Run)
	c.Cleanup(func() { c.Check(task.Stop(cancel, ends, 1), qt.IsNil) })
	return controller
}

func modelChange(cost float64) catalog.Change {
	return catalog.Change{Set: catalog.Configuration{Models: []catalog.Model{{
		Name: "m", Stable: "v1", Versions: []catalog.Version{{Name: "v1", CostPerThousandTokens: cost}, {Name: "v2"}},
	}}}}
}

func rolloutChange(state catalog.RollOutState, startedAt int64) catalog.Change {
	r := catalog.RollOut{Model: "m", Version: "v2", Share: 0.1, State: state, StartedAt: startedAt}
	return catalog.Change{Set: catalog.Configuration{RollOuts: []catalog.RollOut{r}}}
}

var (
	withdraw  = catalog.Change{Set: catalog.Configuration{Withdrawals: []catalog.Withdrawal{{Model: "m", Version: "v2"}}}}
	reinstate = catalog.Change{Reinstate: []string{"m/v2"}}
)

// TestSubmit checks the result of a last submission after earlier ones and an optional fault of the platform.
func TestSubmit(t *testing.T) {
	changes := func(n int) []Submission {
		var list []Submission
		for i := range n {
			list = append(list, Submission{ChangeID: fmt.Sprint("n", i), BaseRevision: uint64(i), Change: modelChange(float64(i))})
		}
		return list
	}
	type step = Submission
	wide := catalog.Change{}
	for i := range maxListedObjects + 1 {
		n := fmt.Sprint("a", i)
		wide.Set.Accounts = append(wide.Set.Accounts, catalog.ClientAccount{Name: n, KeyHash: catalog.HashKey(n), HomeRegion: "r"})
	}
	huge := modelChange(1)
	for i := range 16_000 {
		huge.Set.Models[0].Versions = append(huge.Set.Models[0].Versions, catalog.Version{Name: fmt.Sprintf("%060d", i)})
	}
	rows := []struct {
		name   string
		before []Submission
		fault  func(*fakeStore)
		last   Submission
		code   result.Code
		detail string
	}{
		{"lost answer, change found by reading the head", changes(1), func(s *fakeStore) { s.lostCAS = 1 }, step{ChangeID: "x", BaseRevision: 1, Change: withdraw}, result.OK, ""},
		{"stale read after a lost answer", append(changes(1), step{ChangeID: "w", BaseRevision: 1, Change: withdraw}), func(s *fakeStore) {
			s.lostCAS, s.staleHeads = 1, []int{1, 0}
		}, step{ChangeID: "x", BaseRevision: 2, Change: reinstate}, result.OK, ""},
		{"object changed since the base", changes(2), nil, step{ChangeID: "x", BaseRevision: 1, Change: modelChange(9)}, result.Conflict, "change n1 by"},
		{"base 0 with an existing configuration", changes(1), nil, step{ChangeID: "x", Change: modelChange(9)}, result.Conflict, "change n0 by"},
		{"same change ID, different change", changes(1), nil, step{ChangeID: "n0", BaseRevision: 1, Change: modelChange(9)}, result.Conflict, "names another change"},
		{"same change again", changes(1), nil, step{ChangeID: "n0", Change: modelChange(0)}, result.OK, ""},
		{"base older than the listed changes", changes(maxSummaries + 2), nil, step{ChangeID: "x", BaseRevision: 1, Change: wide}, result.Conflict, "submit again"},
		{"withdrawal with a base older than the listed changes", changes(maxSummaries + 2), nil, step{ChangeID: "x", BaseRevision: 1, Change: withdraw}, result.OK, ""},
		{"change of many objects since the base", append(changes(1), step{ChangeID: "w", BaseRevision: 1, Change: wide}), nil, step{ChangeID: "x", BaseRevision: 1, Change: modelChange(9)}, result.Conflict, "many objects"},
		{"withdrawal prevails over a reinstatement after its base", append(changes(1), step{ChangeID: "w", BaseRevision: 1, Change: withdraw}, step{ChangeID: "r", BaseRevision: 2, Change: reinstate}), nil, step{ChangeID: "x", BaseRevision: 1, Change: withdraw}, result.OK, ""},
		{"reinstatement, withdrawn after its base", append(changes(1), step{ChangeID: "w", BaseRevision: 1, Change: withdraw}), nil, step{ChangeID: "x", BaseRevision: 1, Change: reinstate}, result.Conflict, "change w by"},
		{"reinstatement of a version in service", changes(1), nil, step{ChangeID: "x", BaseRevision: 1, Change: reinstate}, result.BadConfiguration, "not withdrawn"},
		{"removal of a withdrawal", append(changes(1), step{ChangeID: "w", BaseRevision: 1, Change: withdraw}), nil, step{ChangeID: "x", BaseRevision: 2, Change: catalog.Change{Remove: []string{"withdrawal/m/v2"}}}, result.BadConfiguration, "reinstatement"},
		{"step doesn't lift a halt", append(changes(1), step{ChangeID: "h", BaseRevision: 1, Change: rolloutChange(catalog.RollOutHalted, 5)}), nil, step{ChangeID: "x", BaseRevision: 2, Change: rolloutChange(catalog.RollOutRunning, 5)}, result.BadConfiguration, "halted"},
		{"resume lifts a halt", append(changes(1), step{ChangeID: "h", BaseRevision: 1, Change: rolloutChange(catalog.RollOutHalted, 5)}), nil, step{ChangeID: "x", BaseRevision: 2, Change: rolloutChange(catalog.RollOutRunning, 6)}, result.OK, ""},
		{"base above the newest revision", changes(1), nil, step{ChangeID: "x", BaseRevision: 7, Change: modelChange(9)}, result.Conflict, ""},
		{"part over the platform's limit", changes(1), nil, step{ChangeID: "x", BaseRevision: 1, Change: huge}, result.BadConfiguration, "over the platform's"},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			s := newFakeStore()
			controller := start(c, s)
			for _, b := range row.before {
				_, err := controller.Submit(context.Background(), b)
				c.Assert(err, qt.IsNil)
			}
			if row.fault != nil {
				row.fault(s)
			}
			_, err := controller.Submit(context.Background(), row.last)
			code := result.OK
			if err != nil {
				code = result.From(err).Code
			}
			c.Assert(code, qt.Equals, row.code, qt.Commentf("%v", err))
			if err != nil {
				c.Assert(strings.Contains(err.Error(), row.detail), qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

// TestDroppedPartThatIsNeededAgainStays guards against the deletion of a part by the submitter that dropped it, after
// another submitter wrote a head that refers to it again.
func TestDroppedPartThatIsNeededAgainStays(t *testing.T) {
	c := qt.New(t)
	s := newFakeStore()
	one, other := start(c, s), start(c, s)
	ctx := context.Background()
	_, err := one.Submit(ctx, Submission{ChangeID: "a", Change: modelChange(1)})
	c.Assert(err, qt.IsNil)
	s.onDelete = func() {
		_, err := other.Submit(ctx, Submission{ChangeID: "c", BaseRevision: 2, Change: modelChange(1)})
		c.Assert(err, qt.IsNil)
	}
	_, err = one.Submit(ctx, Submission{ChangeID: "b", BaseRevision: 1, Change: modelChange(2)})
	c.Assert(err, qt.IsNil)
	head, err := parseHead(s.keys[HeadKey])
	c.Assert(err, qt.IsNil)
	c.Assert(head.Revision, qt.Equals, uint64(3))
	for _, p := range head.Parts {
		c.Assert(s.keys[partPrefix+p.Digest].Version, qt.Not(qt.Equals), uint64(0), qt.Commentf("part %s was deleted", p.Name))
	}
}

// TestRevisionMovesOnlyForward checks that only a higher revision is adopted, and that a confirmation of different
// content at the same revision isn't counted.
func TestRevisionMovesOnlyForward(t *testing.T) {
	part := func(d string) []Part { return []Part{{rulesPart, d}} }
	rows := []struct {
		name    string
		offered Head
		digest  string
	}{
		{"newer", Head{Revision: 6, Parts: part("b")}, "b"},
		{"older", Head{Revision: 4, Parts: part("b")}, "a"},
		{"same revision, different content", Head{Revision: 5, Parts: part("b")}, "a"},
		{"none", Head{}, "a"},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			controller := New(newFakeStore(), noPeers{}, Options{}, logr.Discard())
			controller.replica.Head = Head{Revision: 5, Parts: part("a")}
			applyMessage{Replica{Head: row.offered}, make(chan struct{}, 1)}.handle(controller)
			c.Assert(controller.replica.Head.Parts, qt.DeepEquals, part(row.digest))
			confirmedMessage{Head{Revision: 5, Parts: part("z")}, time.Now()}.handle(controller)
			c.Assert(controller.replica.Snapshot.ConfirmedAt.IsZero(), qt.IsTrue)
		})
	}
}

// TestPlatformThatLostRevisionsIsBroughtForward checks that a change submitted after the platform lost its data is based on
// the VM's newer configuration, which is stored again.
func TestPlatformThatLostRevisionsIsBroughtForward(t *testing.T) {
	c := qt.New(t)
	s := newFakeStore()
	controller := start(c, s)
	ctx := context.Background()
	for i := range 3 {
		_, err := controller.Submit(ctx, Submission{ChangeID: fmt.Sprint(i), BaseRevision: uint64(i), Change: modelChange(float64(i))})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(controller.adoptStored(ctx, s.keys[HeadKey]), qt.IsNil)
	s.keys = map[string]consul.Value{}
	revision, err := controller.Submit(ctx, Submission{ChangeID: "w", BaseRevision: 3, Change: withdraw})
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, uint64(4))
	c.Assert(controller.adoptStored(ctx, s.keys[HeadKey]), qt.IsNil)
	current, err := controller.Current(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(current.Catalog.Withdrawn("m", "v2"), qt.IsTrue)
	c.Assert(current.Catalog.Models[0].Versions[0].CostPerThousandTokens, qt.Equals, 2.0)
}
