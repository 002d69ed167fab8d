package filter

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// waitedPool is a Pool that places the runs on the version that they ask for, or on v1 unless it's excluded, after a wait. It records the queries,
// the ends and their numbers.
type waitedPool struct {
	waited  time.Duration
	queries []pool.Query
	ends    []pool.End
	given   []uint64
}

func (p *waitedPool) Choose(_ context.Context, q pool.Query) (pool.Placement, error) {
	p.queries = append(p.queries, q)
	version := q.Version
	if version == "" {
		version = "v1"
	}
	if slices.Contains(q.ExcludedVersions, version) {
		version = "v2"
	}
	return pool.Placement{Entry: pool.Entry{ID: "e1", Version: version}, Waited: p.waited, Number: uint64(len(p.queries))}, nil
}

func (p *waitedPool) Done(_ context.Context, o pool.Outcome) error {
	p.ends = append(p.ends, o.End)
	p.given = append(p.given, o.Number)
	return nil
}

func (p *waitedPool) Confirm(context.Context, pool.Query, string) (bool, error) { return true, nil }

func (p *waitedPool) Began(context.Context, pool.Begin) error { return nil }

func (p *waitedPool) Note(context.Context, pool.Notice) error { return nil }

// changingShifts is a Shifts whose bindings follow one another; the last one stays. After failAt bindings it fails.
type changingShifts struct {
	noShift
	bindings []shift.Binding
	failAt   int
	asked    int
}

func (s *changingShifts) Bind(context.Context, string, string) (shift.Binding, error) {
	s.asked++
	if s.failAt > 0 && s.asked >= s.failAt {
		return shift.Binding{}, context.DeadlineExceeded
	}
	return s.bindings[min(s.asked, len(s.bindings))-1], nil
}

// TestRunThatWaitedIsBoundAnew guards against runs that get a version after its roll-back, because they waited for room meanwhile.
func TestRunThatWaitedIsBoundAnew(t *testing.T) {
	v1, v2 := shift.Binding{Version: "v1"}, shift.Binding{Version: "v2"}
	not1 := shift.Binding{ExcludedVersions: []string{"v1"}}
	const waited = time.Second
	tests := []struct {
		name     string
		waited   time.Duration
		retry    bool
		bindings []shift.Binding
		failAt   int
		// version is that of the placement, "" if there is none; ends are those of the placements that are given back.
		version string
		ends    []pool.End
	}{
		{"didn't wait", 0, false, []shift.Binding{v2, v1}, 0, "v2", nil},
		{"same version", waited, false, []shift.Binding{v2, v2}, 0, "v2", nil},
		{"any version", waited, false, []shift.Binding{{}, {}}, 0, "v1", nil},
		{"rolled back", waited, false, []shift.Binding{v2, v1}, 0, "v1", []pool.End{pool.EndAbandoned}},
		{"rolled back, a retry", waited, true, []shift.Binding{v2, v1}, 0, "v1", []pool.End{pool.EndUnused}},
		{"excluded meanwhile", waited, false, []shift.Binding{{}, not1}, 0, "v2", []pool.End{pool.EndAbandoned}},
		{"twice", waited, false, []shift.Binding{v2, v1, v2}, 0, "v2", []pool.End{pool.EndAbandoned, pool.EndAbandoned}},
		{"unknown", waited, false, []shift.Binding{v2}, 2, "", []pool.End{pool.EndAbandoned}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := &waitedPool{waited: test.waited}
			s := &changingShifts{bindings: test.bindings, failAt: test.failAt}
			r, err := placer{Pool: p, Shifts: s}.reserve(t.Context(), pool.Query{Service: "s", Retry: test.retry})
			if test.version == "" {
				qt.Assert(t, err, qt.IsNotNil)
				qt.Check(t, result.From(err).Code, qt.Equals, result.DeadlinePassed)
			} else {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, r.Placement.Version, qt.Equals, test.version)
			}
			qt.Check(t, p.ends, qt.DeepEquals, test.ends)
			for i, number := range p.given { // else the pool counts the run's prompt as waiting for ever
				qt.Check(t, number, qt.Equals, uint64(i+1))
			}
			for i, q := range p.queries {
				qt.Check(t, q.Again, qt.Equals, i > 0)
			}
		})
	}
}

// homesPool is a waitedPool that places each run in the first region of its homes, and takes the time of the wait.
type homesPool struct {
	waitedPool
	// newest is the table that requests read, narrowed what it is after the first wait.
	newest   *newestRoutes
	narrowed *routing.Table
}

func (p *homesPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	time.Sleep(p.waited)
	p.newest.table = p.narrowed
	place, err := p.waitedPool.Choose(ctx, q)
	place.Region = q.Homes.Names[0]
	return place, err
}

// TestRunThatWaitedKeepsToTheNewestHomes guards against a request that loses a retry, or is refused, because its homes became fewer while
// it waited for room: nothing was sent, so it is placed anew.
func TestRunThatWaitedKeepsToTheNewestHomes(t *testing.T) {
	tests := []struct {
		name string
		// newest is what the table allows after the wait; region is that of the placement, "" if there is none.
		newest routing.Regions
		region string
		ends   []pool.End
	}{
		{"the same", limitedTo("x", "y"), "x", nil},
		{"fewer, the endpoint among them", limitedTo("x"), "x", nil},
		{"fewer, without the endpoint", limitedTo("y"), "y", []pool.End{pool.EndAbandoned}},
		{"none left", limitedTo("z"), "", []pool.End{pool.EndAbandoned}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				newest := &newestRoutes{tableWith(limitedTo("x", "y"), routing.Regions{})}
				p := &homesPool{waitedPool{waited: freshFor}, newest, tableWith(test.newest, routing.Regions{})}
				k := homeKeeper{newest, time.Now(), "h", "/p/x", "k"}
				r, err := placer{Pool: p, Shifts: noShift{}, homes: k}.reserve(t.Context(), pool.Query{Service: "s", Homes: limitedTo("x", "y")})
				qt.Check(t, p.ends, qt.DeepEquals, test.ends)
				if test.region == "" {
					qt.Assert(t, err, qt.IsNotNil)
					qt.Check(t, result.From(err).Code, qt.Equals, result.NoHome)
					return
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, r.Placement.Region, qt.Equals, test.region)
				qt.Check(t, r.Query.Homes.Names, qt.DeepEquals, test.newest.Names)
			})
		})
	}
}
