package pool

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/routing"
)

// Choice is the result of a placement.
type Choice int

// The values of Choice.
const (
	// ChoicePlaced means that an endpoint was chosen.
	ChoicePlaced Choice = iota + 1
	// ChoiceNone means that no endpoint is eligible for the run.
	ChoiceNone
	// ChoiceNoBudget means that the retry budget is used up.
	ChoiceNoBudget
	// ChoiceLater means that other runs of the silent endpoint are moved first.
	ChoiceLater
	// ChoicePausing means that all endpoints that may run it asked for a pause.
	ChoicePausing
	// ChoiceFull means that no endpoint that may run it has room now.
	ChoiceFull
	// ChoiceNoHome means that the service has no endpoint in any region that the run may be served in.
	ChoiceNoHome
	// ChoiceEvacuated means that each endpoint that may run it is in an evacuated availability zone.
	ChoiceEvacuated
	// ChoiceCold means that all endpoints that may run it are cold and take no more runs of this VM now.
	ChoiceCold
	// ChoiceLeaving means that the VM is shutting down and the run would come too late.
	ChoiceLeaving
)

// Crash says that an endpoint crashed while it ran the request with the fingerprints. Endpoint is its ID and its incarnation,
// with '#' between.
type Crash struct {
	Fingerprints endpoint.Fingerprints
	Endpoint     string
}

// Table holds the known endpoints by service. It takes the time as an argument and does no I/O.
type Table struct {
	location endpoint.Location
	// records holds the endpoints by ID, services by service, each list ordered by ID.
	records  map[string]*Record
	services map[string][]*Record
	unlisted unlisted
	// evacuations holds the availability zones that are evacuated, and those that were.
	evacuations evacuations
	cold        coldShares
	// typical holds the typical latency of the runs by service and model.
	typical map[latencyKey]Latency
	// models holds what was learned of the engines by service and model.
	models models
	// zoneLoads holds the loads of other zones, delays how much later runs begin there.
	zoneLoads zoneLoads
	delays    delays
	// placed is the number of the last placement.
	placed uint64
	// directoryDown says that the directory cannot be read now; directoryUpAt is when it last became readable again, or was restored.
	directoryDown bool
	directoryUpAt time.Time
}

// NewTable makes an empty Table for a VM at the location.
func NewTable(location endpoint.Location) *Table {
	return &Table{
		location: location, records: map[string]*Record{}, services: map[string][]*Record{}, unlisted: unlisted{}, evacuations: evacuations{},
		typical: map[latencyKey]Latency{}, cold: coldShares{services: map[string]*routing.Service{}, removed: map[string]removedIncarnation{}},
		models: models{}, zoneLoads: zoneLoads{}, delays: newDelays(),
	}
}

// Put adds or updates an entry, unless it is of an earlier incarnation. It returns the crashes that a new incarnation
// proves. The Controller calls it for each entry read.
func (t *Table) Put(e Entry, now time.Time) []Crash {
	r, ok := t.records[e.ID]
	if !ok {
		r = newRecord(e)
		r.evacuated, r.warmth = t.evacuations.inForce(e.Zone), t.firstKnowledge(&e, now)
		t.unlisted.restore(r)
		t.records[e.ID] = r
		t.list(r)
		return nil
	}
	if e.Incarnation != 0 && e.Incarnation < r.Incarnation {
		return nil
	}
	before := r.Entry
	if before.Service != e.Service {
		t.unlist(r)
	}
	restarted := r.update(e)
	r.evacuated = t.evacuations.inForce(e.Zone)
	if before.Service != e.Service {
		t.list(r)
	}
	if !restarted {
		r.warmth.Update(e.ColdFor, now)
		return nil
	}
	r.warmth, r.cold = t.firstKnowledge(&e, now), nil
	t.unlisted.restore(r)
	return newCrashes(r.takeCrashes(now), before.ID, before.Incarnation)
}

// Drop removes an entry that was deleted from the directory, and returns the crashes that this proves: an endpoint that isn't
// leaving and lost runs shortly before. While the directory is unreliable, the entry is only marked as missing. The Controller
// calls it for each deletion, and Retain.
func (t *Table) Drop(id string, now time.Time) []Crash {
	r, ok := t.records[id]
	if !ok {
		return nil
	}
	if t.directoryUnreliable(now) {
		if !r.missing {
			r.missing, r.missingAt = true, now
		}
		return nil
	}
	var crashes []Crash
	if !r.Leaving {
		r.lostRuns = slices.DeleteFunc(r.lostRuns, func(l lostRun) bool { return now.Sub(l.lostAt) >= dropProofTime })
		crashes = newCrashes(r.takeCrashes(now), r.ID, r.Incarnation)
	}
	t.remove(r, now)
	return crashes
}

// Withdraw stops new runs on an endpoint whose entry can't be used, until one that can is put. Unlike a deletion, such an entry
// is no sign of an outage. The Controller calls it for each entry that can't be decoded.
func (t *Table) Withdraw(id string) {
	if r, ok := t.records[id]; ok {
		r.withdrawn = true
	}
}

// Retain drops every entry that is not in ids, the result of a full scan, and returns the crashes that this proves. The
// Controller calls it after each.
func (t *Table) Retain(ids []string, now time.Time) []Crash {
	t.cold.listed = true
	listed := make(map[string]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
	}
	var crashes []Crash
	for id := range t.records {
		if !listed[id] {
			crashes = append(crashes, t.Drop(id, now)...)
		}
	}
	return crashes
}

// remove removes an endpoint; one with runs in flight is only withdrawn, so that it gets no new ones unless its entry comes
// back. After its last run, Sweep removes it if it is missing, and otherwise the next Retain. Drop, Sweep and Done call it.
func (t *Table) remove(r *Record, now time.Time) {
	r.withdrawn = true
	if r.InFlight == 0 {
		t.unlisted.addRemoved(r, now)
		t.cold.noteRemoved(r, now)
		delete(t.records, r.ID)
		t.unlist(r)
	}
}

// list adds an endpoint to the list of its service. Put calls it.
func (t *Table) list(r *Record) {
	list := t.services[r.Service]
	at, _ := slices.BinarySearchFunc(list, r.ID, compareID)
	t.services[r.Service] = slices.Insert(list, at, r)
}

// unlist takes an endpoint out of the list of its service. Put and remove call it.
func (t *Table) unlist(r *Record) {
	list := t.services[r.Service]
	at, ok := slices.BinarySearchFunc(list, r.ID, compareID)
	if !ok {
		return
	}
	if list = slices.Delete(list, at, at+1); len(list) == 0 {
		delete(t.services, r.Service)
		return
	}
	t.services[r.Service] = list
}

// compareID compares the ID of an endpoint with another one, for the order of the lists.
func compareID(r *Record, id string) int { return cmp.Compare(r.ID, id) }

// Choose places a run and counts it as in flight until Done. It considers endpoints that are not available only if no
// other is eligible, and none that asked for a pause. The Controller calls it for each run.
func (t *Table) Choose(q *Query, now time.Time) (Placement, Choice) {
	t.cold.noteService(q.Config)
	q.blocks, q.sharedTokens = joinBlocks(q.Prompt.Blocks), q.Prompt.SharedPrefixTokens()
	q.engine = t.models.of(latencyKey{q.Service, q.Model})
	best, full := t.best(q, now, true)
	if best == nil && full {
		return Placement{}, ChoiceFull
	}
	if best == nil {
		best, _ = t.best(q, now, false)
	}
	if best == nil {
		return Placement{}, t.refusal(q, now)
	}
	inFlight, _, _ := best.peerTotals(now)
	run := t.run(best, q, now)
	best.InFlight++
	t.placed++
	best.wait(t.placed, waitingRun{key: latencyKey{q.Service, q.Model}, work: q.engine.TokenTime(run.Tokens), run: run})
	best.engineLoad += q.weight()
	return Placement{
		SendBy: best.takeColdRun(now), Number: t.placed, Run: run, Forecast: t.forecast(best, q, run, now),
		PrefillTime: prefillTime(run.Tokens),
		Entry:       best.Entry, Running: best.InFlight + inFlight, Load: slotUtilization(best.InFlight+inFlight, best.Slots),
		TypicalLatency: t.typical[latencyKey{q.Service, q.Model}], StrongerLatency: t.typical[latencyKey{q.Service, q.StrongerModel}],
	}, ChoicePlaced
}

// refusal returns why no endpoint is left for a run. Choose calls it.
func (t *Table) refusal(q *Query, now time.Time) Choice {
	switch {
	case !t.hasHome(q):
		return ChoiceNoHome
	case t.onlyEvacuated(q):
		return ChoiceEvacuated
	case t.pauseLeft(q, now) > 0:
		return ChoicePausing
	case t.coldWait(q, now) > 0:
		return ChoiceCold
	default:
		return ChoiceNone
	}
}

// TakeMove reports whether a silent run may be moved away from the endpoint now, and counts it. The Controller calls it before it
// chooses another.
func (t *Table) TakeMove(id string, now time.Time) bool {
	r, ok := t.records[id]
	return !ok || r.takeMove(now)
}

// weight returns the share of an engine, 0 to 1, that the run takes.
func (q *Query) weight() float64 { return cmp.Or(q.Weight, 1) }

// best returns the eligible endpoint with the lowest score, or nil; full says that none of this availability zone has room, to which the
// run is confined. If onlyAvailable is not set, endpoints in a backoff are included, with its remaining time as a cost. Choose calls it
// up to twice.
func (t *Table) best(q *Query, now time.Time, onlyAvailable bool) (best *Record, full bool) {
	list := t.services[q.Service]
	ranks := affinityRanks(q, list)
	confined := onlyAvailable && t.confined(q, list, now)
	var leastScore time.Duration
	for i, r := range list {
		if !r.eligible(q) || r.pauses(now) || (onlyAvailable && !r.available(now)) {
			continue
		}
		cold, left := t.coldRunsLeft(r, q.Config, now)
		if cold && left == 0 {
			continue
		}
		if confined && (r.Zone != t.location.Zone || !r.hasRoom(q, now)) {
			continue
		}
		s := r.Score(q, t.location, ranks[i], now)
		if cold {
			s += coldCost
		}
		if !onlyAvailable {
			s += max(r.backoffUntil.Sub(now), 0)
		}
		if best == nil || s < leastScore {
			best, leastScore = r, s
		}
	}
	return best, confined && best == nil
}

// affinityRanks returns the rank of each endpoint for the query's affinity, from 0, among the eligible ones of its
// zone. best calls it.
func affinityRanks(q *Query, list []*Record) []int {
	ranks := make([]int, len(list))
	if q.Affinity == 0 {
		return ranks
	}
	type candidate struct {
		hash  uint64
		index int
	}
	var candidates []candidate
	for i, r := range list {
		if r.eligible(q) {
			candidates = append(candidates, candidate{rendezvousHash(q.Affinity, r.hash), i})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	higher := map[string]int{}
	for _, c := range candidates {
		zone := list[c.index].Zone
		ranks[c.index] = higher[zone]
		higher[zone]++
	}
	return ranks
}

// Done records how a run ended. It returns the crashes that this proves: a run was lost, and the endpoint has restarted
// since or is unreachable. The Controller calls it once for each placed run.
func (t *Table) Done(o *Outcome, now time.Time) []Crash {
	r, ok := t.records[o.Endpoint]
	if !ok {
		return nil
	}
	r.InFlight = max(r.InFlight-1, 0)
	r.engineLoad = max(r.engineLoad-cmp.Or(o.Weight, 1), 0)
	waited, waiting := r.leave(o.Number)
	r.returnColdRun(o)
	if r.Incarnation != o.Incarnation {
		if o.End == EndLost && o.Events <= maxCrashEvents {
			return newCrashes([]endpoint.Fingerprints{o.Fingerprints}, o.Endpoint, o.Incarnation)
		}
		return nil
	}
	key := latencyKey{o.Service, o.Model}
	r.applyOutcome(o, t.typical[key].TTFB, now)
	t.updateTypical(key, o)
	if waiting && o.End == EndAnswered {
		t.learnBegin(r, &waited, o.TTFB, now)
	}
	t.learnGap(r, o, now)
	r.noteLoss(o, now)
	if r.Leaving && r.InFlight == 0 && r.missing {
		t.remove(r, now)
	}
	if o.End == EndUnreachable {
		return newCrashes(r.takeCrashes(now), r.ID, r.Incarnation)
	}
	return nil
}

// Versions returns the number of endpoints of a service that accept runs, by version.
func (t *Table) Versions(service string) map[string]int {
	out := map[string]int{}
	for _, r := range t.services[service] {
		if r.acceptsRuns() {
			out[r.Version]++
		}
	}
	return out
}

// Size returns the number of known endpoints.
func (t *Table) Size() int { return len(t.records) }

// newCrashes returns a Crash of the endpoint's incarnation for each request.
func newCrashes(requests []endpoint.Fingerprints, id string, incarnation int64) []Crash {
	var list []Crash
	for _, f := range requests {
		list = append(list, Crash{f, id + "#" + strconv.FormatInt(incarnation, 10)})
	}
	return list
}
