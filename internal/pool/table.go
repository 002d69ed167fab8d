package pool

import (
	"cmp"
	"slices"
	"time"

	"cornelmux/internal/endpoint"
)

const (
	// usualWeight is the weight of one answer in the moving mean of a kind's time to the first byte.
	usualWeight = 0.05
	// returnsWithin is how long an entry that lapsed while the directory was away may take to come back.
	returnsWithin = 2 * time.Second
)

// Choice says how a placement ended.
type Choice int

// The values of Choice.
const (
	ChoicePlaced Choice = iota + 1
	// ChoiceNone says that no endpoint may get the run.
	ChoiceNone
	// ChoiceBudget says that the budget of repeats is used up.
	ChoiceBudget
)

// Crash says that an endpoint crashed while it ran the request with the fingerprint.
type Crash struct {
	Fingerprint uint64
	Endpoint    string
}

// Table holds the known endpoints by service. It takes the time as an argument and does no input or output.
type Table struct {
	at       endpoint.Location
	records  map[string]*Record
	services map[string][]*Record
	usual    map[usualKey]Latency
	// away says that the directory can't be read now, backAt when it could be read again.
	away   bool
	backAt time.Time
}

type usualKey struct {
	service string
	model   string
}

// NewTable makes an empty Table of a VM at the location.
func NewTable(at endpoint.Location) *Table {
	return &Table{at: at, records: map[string]*Record{}, services: map[string][]*Record{}, usual: map[usualKey]Latency{}}
}

// Put takes in an entry, unless it tells of an earlier incarnation than is known, and returns the crashes that a new incarnation proves.
func (t *Table) Put(e Entry, now time.Time) []Crash {
	r, ok := t.records[e.ID]
	if !ok {
		t.records[e.ID] = newRecord(e)
		t.index()
		return nil
	}
	if e.Incarnation != 0 && e.Incarnation < r.Incarnation {
		return nil
	}
	moved := r.Service != e.Service
	id := r.ID
	restarted := r.update(e)
	if moved {
		t.index()
	}
	if !restarted {
		return nil
	}
	return crashList(r.crashes(now), id)
}

// Drop takes in that the directory dropped an entry. While its word is doubtful, the entry is kept for a while.
func (t *Table) Drop(id string, now time.Time) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	if t.doubtful(now) {
		if !r.missing {
			r.missing, r.missingAt = true, now
		}
		return
	}
	t.remove(r)
}

// Keep drops every entry that isn't in ids, as a whole reading of the directory shows.
func (t *Table) Keep(ids []string, now time.Time) {
	for id := range t.records {
		if !slices.Contains(ids, id) {
			t.Drop(id, now)
		}
	}
}

// Reach takes in whether the directory can be read.
func (t *Table) Reach(ok bool, now time.Time) {
	if t.away && ok {
		t.backAt = now
	}
	t.away = !ok
}

// doubtful reports whether entries may be missing only because the directory was away.
func (t *Table) doubtful(now time.Time) bool {
	return t.away || (!t.backAt.IsZero() && now.Sub(t.backAt) < returnsWithin)
}

// Sweep removes the entries that didn't come back after the directory did.
func (t *Table) Sweep(now time.Time) (gone []string) {
	if t.doubtful(now) {
		return nil
	}
	for id, r := range t.records {
		if r.missing {
			t.remove(r)
			gone = append(gone, id)
		}
	}
	return gone
}

func (t *Table) remove(r *Record) {
	r.Leaving = true
	if r.InFlight == 0 {
		delete(t.records, r.ID)
		t.index()
	}
}

func (t *Table) index() {
	t.services = map[string][]*Record{}
	for _, r := range t.records {
		t.services[r.Service] = append(t.services[r.Service], r)
	}
	for _, list := range t.services {
		slices.SortFunc(list, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Choose places a run and counts it as in flight.
func (t *Table) Choose(q *Query, now time.Time) (Placement, Choice) {
	best := t.best(q, now, true)
	if best == nil {
		best = t.best(q, now, false)
	}
	if best == nil {
		return Placement{}, ChoiceNone
	}
	inFlight, _, _ := best.peers(now)
	best.InFlight++
	best.work += q.weight()
	return Placement{
		Entry: best.Entry, Load: loadOf(best.InFlight+inFlight, best.Slots),
		TypicalLatency: t.usual[usualKey{q.Service, q.Model}], StrongerLatency: t.usual[usualKey{q.Service, q.StrongerModel}],
	}, ChoicePlaced
}

func (q *Query) weight() float64 { return cmp.Or(q.Weight, 1) }

// best returns the endpoint with the least score, among the trusted ones only where trusted is true.
func (t *Table) best(q *Query, now time.Time, trusted bool) *Record {
	list := t.services[q.Service]
	ranks := ranked(q, list)
	var best *Record
	var least time.Duration
	for i, r := range list {
		if !r.allowed(q) || (trusted && !r.trusted(now)) {
			continue
		}
		s := r.Score(q, t.at, ranks[i], now)
		if !trusted {
			s += max(r.pausedUntil.Sub(now), 0)
		}
		if best == nil || s < least {
			best, least = r, s
		}
	}
	return best
}

// ranked returns each endpoint's place for the query's affinity, from 0, among those of its zone.
func ranked(q *Query, list []*Record) []int {
	ranks := make([]int, len(list))
	if q.Affinity == 0 {
		return ranks
	}
	for i, r := range list {
		for _, other := range list {
			if other.Zone == r.Zone && other.allowed(q) && rank(q.Affinity, other.hash) > rank(q.Affinity, r.hash) {
				ranks[i]++
			}
		}
	}
	return ranks
}

// Done takes in how a run ended, and returns the crashes that it proves.
func (t *Table) Done(o *Outcome, now time.Time) []Crash {
	r, ok := t.records[o.Endpoint]
	if !ok {
		return nil
	}
	r.InFlight = max(r.InFlight-1, 0)
	r.work = max(r.work-cmp.Or(o.Weight, 1), 0)
	if r.Incarnation != o.Incarnation {
		if o.End == EndLost {
			return crashList([]uint64{o.Fingerprint}, o.Endpoint)
		}
		return nil
	}
	key := usualKey{o.Service, o.Model}
	r.learn(o, t.usual[key].TTFB, now)
	t.learnUsual(key, o)
	if o.End == EndLost && len(r.lost) < maxLost {
		r.lost = append(r.lost, lostRun{o.Fingerprint, now.Add(lostRunFor)})
	}
	if r.Leaving && r.InFlight == 0 && r.missing {
		t.remove(r)
	}
	if o.End == EndUnreachable {
		return crashList(r.crashes(now), r.ID)
	}
	return nil
}

func (t *Table) learnUsual(key usualKey, o *Outcome) {
	if o.TTFB <= 0 || o.End != EndAnswered {
		return
	}
	p := t.usual[key]
	t.usual[key] = Latency{TTFB: moved(p.TTFB, o.TTFB), MeanGap: moved(p.MeanGap, o.MeanGap)}
}

// moved is the moving mean after another value; 0 is no value.
func moved(mean, value time.Duration) time.Duration {
	switch {
	case value <= 0:
		return mean
	case mean <= 0:
		return value
	default:
		return mean + time.Duration(usualWeight*float64(value-mean))
	}
}

// Versions counts the endpoints of a service that take work, by version.
func (t *Table) Versions(service string) map[string]int {
	out := map[string]int{}
	for _, r := range t.services[service] {
		if !r.Leaving && !r.replaced {
			out[r.Version]++
		}
	}
	return out
}

// Size returns how many endpoints are known.
func (t *Table) Size() int { return len(t.records) }

func crashList(fingerprints []uint64, id string) []Crash {
	var list []Crash
	for _, f := range fingerprints {
		list = append(list, Crash{f, id})
	}
	return list
}
