package endpoint

import (
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"cornelmux/internal/consul"
	"cornelmux/internal/peer"
)

const (
	// metaIncarnation is the key of the incarnation in the metadata of the platform's list.
	metaIncarnation = "incarnation"
	// forgetAfter is how long an endpoint that is no longer listed is kept after it was last seen.
	forgetAfter = 30 * time.Second
	// firstProbeDelay is the delay of the next probe after the first failed one. It doubles with each further one, up
	// to maxProbeDelay.
	firstProbeDelay = 500 * time.Millisecond
	maxProbeDelay   = 8 * time.Second
	// maxLostRuns is the maximum number of lost runs remembered per endpoint.
	maxLostRuns = 64
	// lostRunTTL bounds the wait for a report that shows whether the endpoint crashed.
	lostRunTTL = 30 * time.Second
)

// Report is the load and the state that an endpoint reports of itself. Queued and Running are numbers of runs.
// Incarnation tells a restarted endpoint from the one before; a later one has a greater number.
type Report struct {
	Incarnation uint64   `json:"incarnation"`
	Queued      int      `json:"queued"`
	Running     int      `json:"running"`
	Leaving     bool     `json:"leaving"`
	Versions    []string `json:"versions"`
	Services    []string `json:"services"`
	Role        string   `json:"role,omitempty"`
}

// Record is the state of one endpoint on this VM.
type Record struct {
	Endpoint
	// leavingReported says that this incarnation is leaving, by its own report, that of a peer or the platform's list.
	// leavingListed is what the list says now, which may lag behind a new incarnation.
	leavingReported bool
	leavingListed   bool
	// listed says that the endpoint is on the platform's current list.
	listed bool
	// seenAt is when the endpoint was last listed or reported.
	seenAt time.Time
	// polling says that a poll is in progress; polledAt is when the last one started.
	polling  bool
	polledAt time.Time
	// failedProbes counts the failures since the last report. No probe starts before nextProbeAt.
	failedProbes int
	nextProbeAt  time.Time
	// lostRuns are the runs whose connection broke and that may have crashed the endpoint.
	lostRuns []lostRun
	// changed says that the load or Suspect changed since the record was sent to peers at sentAt.
	changed bool
	sentAt  time.Time
}

// lostRun holds the fingerprints of a request, when its connection was found lost, and when it no longer counts.
type lostRun struct {
	fingerprints Fingerprints
	lostAt       time.Time
	expiresAt    time.Time
}

// Crash says that an endpoint crashed while it ran the request with the fingerprints. Endpoint is its ID and
// incarnation, so that two crashes of one endpoint differ.
type Crash struct {
	Fingerprints Fingerprints
	Endpoint     string
}

// newCrash makes the Crash of an incarnation of an endpoint.
func newCrash(f Fingerprints, id string, incarnation uint64) Crash {
	return Crash{f, id + "#" + strconv.FormatUint(incarnation, 10)}
}

// Table holds all known endpoints, indexed by what they serve and by distance. It takes the time as an argument and
// does no I/O.
type Table struct {
	location Location
	records  map[string]*Record
	// index holds the endpoints by key and distance, each list ordered by ID.
	index map[string]*[distanceCount][]*Endpoint
	// indexCurrent is false if the index has to be rebuilt before its next use.
	indexCurrent bool
	// unplacedAt holds, by key, when a run was last not placed.
	unplacedAt map[string]time.Time
	// assignedHash is the hash of the VMs that the polls are assigned among; 0 forces a new assignment.
	assignedHash uint64
}

// NewTable makes an empty Table for a VM at the location.
func NewTable(location Location) *Table {
	return &Table{location: location, records: map[string]*Record{}, unplacedAt: map[string]time.Time{}}
}

// ApplyList applies the platform's list of endpoints. An endpoint that is not on it is removed once it has stopped
// answering. The Controller calls it for each new list.
func (t *Table) ApplyList(list []consul.Instance, now time.Time) {
	for _, r := range t.records {
		r.listed = false
	}
	for _, i := range list {
		t.applyInstance(i, now)
	}
	t.removeUnlisted(now)
}

// applyInstance adds or updates one endpoint from the list. An entry of an earlier incarnation only shows that it is
// still listed. ApplyList calls it.
func (t *Table) applyInstance(i consul.Instance, now time.Time) {
	incarnation, _ := strconv.ParseUint(i.Meta[metaIncarnation], 10, 64)
	r, ok := t.records[i.ID]
	if !ok {
		r = &Record{Endpoint: Endpoint{ID: i.ID, Incarnation: incarnation}, nextProbeAt: now}
		t.records[i.ID] = r
	}
	r.listed, r.seenAt = true, now
	if incarnation != 0 && incarnation < r.Incarnation {
		return
	}
	r.startIncarnation(incarnation)
	r.Address = net.JoinHostPort(i.Address, strconv.Itoa(i.Port))
	r.Region, r.Zone = i.Meta["region"], i.Meta["zone"]
	r.leavingListed = i.Meta["leaving"] == "true"
	r.leavingReported = r.leavingReported || (r.leavingListed && incarnation == r.Incarnation)
	r.updateLeaving()
	t.indexCurrent, t.assignedHash = false, 0
}

// removeUnlisted removes the endpoints that are neither listed, nor seen within forgetAfter, nor running a request of
// this VM. ApplyList calls it.
func (t *Table) removeUnlisted(now time.Time) {
	for id, r := range t.records {
		if !r.listed && r.InFlight == 0 && now.Sub(r.seenAt) > forgetAfter {
			delete(t.records, id)
			t.indexCurrent = false
		}
	}
}

// startIncarnation switches to a later incarnation, which is not leaving until that is reported.
func (r *Record) startIncarnation(incarnation uint64) {
	if incarnation > r.Incarnation {
		r.Incarnation, r.leavingReported, r.leavingListed = incarnation, false, false
	}
}

// updateLeaving combines the sources that say whether the endpoint is leaving.
func (r *Record) updateLeaving() { r.Leaving = r.leavingReported || r.leavingListed }

// ApplyReport applies the result of a poll: the endpoint's report, or the error. It returns the crashes that the result
// proves. The Controller calls it once for each poll.
func (t *Table) ApplyReport(id string, report Report, err error, now time.Time) []Crash {
	r, ok := t.records[id]
	if !ok {
		return nil
	}
	r.polling = false
	if err != nil || report.Incarnation < r.Incarnation {
		r.markSuspect(now)
		if errors.Is(err, ErrConnectionRefused) {
			return r.takeCrashes(now)
		}
		return nil
	}
	var crashes []Crash
	if report.Incarnation > r.Incarnation {
		crashes = r.takeCrashes(now)
	}
	r.dropSurvived()
	r.startIncarnation(report.Incarnation)
	r.seenAt, r.Suspect, r.failedProbes = now, false, 0
	r.leavingReported = r.leavingReported || report.Leaving
	if !slices.Equal(r.Versions, report.Versions) || !slices.Equal(r.Services, report.Services) {
		r.Versions, r.Services = report.Versions, report.Services
		t.indexCurrent = false
	}
	r.Role = report.Role
	r.setLoad(report.Queued, report.Running, now)
	return crashes
}

// setLoad stores a load that was reported at the given time.
func (r *Record) setLoad(queued, running int, at time.Time) {
	r.changed = r.changed || r.Queued != queued || r.Running != running
	r.Queued, r.Running, r.ReportedAt = queued, running, at
	r.updateLeaving()
}

// markSuspect stops new runs until the endpoint answers a probe. The delay between probes doubles. It is called after a
// failed poll and a failed call.
func (r *Record) markSuspect(now time.Time) {
	r.changed = r.changed || !r.Suspect
	r.Suspect = true
	r.nextProbeAt = now.Add(min(firstProbeDelay<<min(r.failedProbes, 16), maxProbeDelay))
	r.failedProbes++
}

// takeCrashes returns a crash for each lost run that still counts and forgets them. It is called when the endpoint is
// known to have restarted or to be down.
func (r *Record) takeCrashes(now time.Time) []Crash {
	var list []Crash
	for _, l := range r.lostRuns {
		if now.Before(l.expiresAt) {
			list = append(list, newCrash(l.fingerprints, r.ID, r.Incarnation))
		}
	}
	r.lostRuns = nil
	return list
}

// dropSurvived forgets the lost runs that the endpoint survived: those that were lost before the poll that it answered. It is
// called for a report of the same or a new incarnation; a late report of a poll from before the loss proves nothing.
func (r *Record) dropSurvived() {
	r.lostRuns = slices.DeleteFunc(r.lostRuns, func(l lostRun) bool { return l.lostAt.Before(r.polledAt) })
}

// ApplyPeerReport applies a peer's report of an endpoint. A peer's suspicion only triggers a probe by this VM, because
// the peer itself may be cut off. The Controller calls it for each report in a peer's state.
func (t *Table) ApplyPeerReport(p peer.EndpointReport, now time.Time) {
	r, ok := t.records[p.Endpoint]
	if !ok || p.Incarnation < r.Incarnation {
		return
	}
	r.startIncarnation(p.Incarnation)
	r.leavingReported = r.leavingReported || p.Leaving
	r.updateLeaving()
	if p.Suspect && !r.Suspect {
		r.nextProbeAt = now
	}
	at := now.Add(-p.Age)
	if p.Age < 0 || p.Suspect || !at.After(r.ReportedAt) {
		return
	}
	if len(p.Versions) > 0 && !slices.Equal(r.Versions, p.Versions) {
		r.Versions = p.Versions
		t.indexCurrent = false
	}
	r.seenAt = now
	r.setLoad(p.Queued, p.Running, at)
}

// Choose places a run and counts it as in flight until Done. It takes the nearest endpoint that is usable and not full,
// but does not go to another region because those of its own region are full. r1 and r2 are random numbers. If no
// endpoint was chosen, Choice says why. The Controller calls it for each new run and for the queued ones.
func (t *Table) Choose(q Query, now time.Time, r1, r2 uint64) (Endpoint, Choice) {
	t.reindex()
	lists := t.index[q.key()]
	if lists == nil {
		return Endpoint{}, ChoiceNone
	}
	choice := ChoiceNone
	for distance, list := range lists {
		if distance == OtherRegion && (!q.CrossRegion || choice == ChoiceFull) {
			break
		}
		i := Pick(list, q, now, r1, r2)
		if i >= 0 && list[i].full() {
			choice = ChoiceFull
			i = slices.IndexFunc(list, func(e *Endpoint) bool { return e.usable(q, now) && !e.full() })
		}
		if i >= 0 {
			list[i].InFlight++
			return *list[i], ChoicePlaced
		}
		if choice == ChoiceNone && slices.ContainsFunc(list, func(e *Endpoint) bool { return !e.Leaving }) {
			choice = ChoiceUnavailable
		}
	}
	t.unplacedAt[q.key()] = now
	return Endpoint{}, choice
}

// Choice is the result of a placement.
type Choice int

// The values of Choice.
const (
	// ChoicePlaced means that an endpoint was chosen.
	ChoicePlaced Choice = iota + 1
	// ChoiceFull means that every usable endpoint is full.
	ChoiceFull
	// ChoiceUnavailable means that the endpoints are suspected or their reports are too old.
	ChoiceUnavailable
	// ChoiceNone means that no endpoint serves the query, or that all are leaving.
	ChoiceNone
)

// Done records the end of a call and marks an endpoint that failed as suspected. It returns the crashes that are
// already proven. The Controller calls it once for each placed run.
func (t *Table) Done(o Outcome, now time.Time) []Crash {
	r, ok := t.records[o.Endpoint]
	if !ok {
		return nil
	}
	r.InFlight = max(0, r.InFlight-1)
	if !o.Failed {
		return nil
	}
	if r.Incarnation > o.Incarnation {
		return o.crashes()
	}
	if o.ConnectionLost && len(r.lostRuns) < maxLostRuns {
		r.lostRuns = append(r.lostRuns, lostRun{o.Fingerprints, now, now.Add(lostRunTTL)})
	}
	r.markSuspect(now)
	r.nextProbeAt = now
	return nil
}

// Endpoints returns a copy of every known endpoint.
func (t *Table) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, r.Endpoint)
	}
	return list
}

// reindex rebuilds the index if an endpoint was added, moved, removed or changed what it serves. Choose calls it.
func (t *Table) reindex() {
	if t.indexCurrent {
		return
	}
	t.indexCurrent = true
	t.index = map[string]*[distanceCount][]*Endpoint{}
	for _, r := range t.records {
		distance := t.location.Distance(r.Region, r.Zone)
		for _, k := range r.keys() {
			if t.index[k] == nil {
				t.index[k] = &[distanceCount][]*Endpoint{}
			}
			t.index[k][distance] = append(t.index[k][distance], &r.Endpoint)
		}
	}
	for _, lists := range t.index {
		for _, list := range lists {
			slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
		}
	}
}

// keys returns the index keys of what the endpoint serves. reindex and recentlyUnplaced call it.
func (r *Record) keys() []string {
	keys := make([]string, 0, len(r.Versions)+len(r.Services))
	for _, v := range r.Versions {
		keys = append(keys, "version "+v)
	}
	for _, s := range r.Services {
		keys = append(keys, "service "+s)
	}
	return keys
}

// key returns the index key that the query looks up.
func (q Query) key() string {
	if q.Service != "" {
		return "service " + q.Service
	}
	return "version " + q.Model + "/" + q.Version
}
