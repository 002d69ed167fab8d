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
	metaIncarnation = "incarnation"
	forgetAfter     = 30 * time.Second
	firstProbe      = 500 * time.Millisecond
	maxProbePause   = 8 * time.Second
	maxLostRuns     = 64
	// lostRunFor bounds the wait for a report that shows whether the endpoint crashed.
	lostRunFor = 30 * time.Second
)

// Report is what an endpoint says of itself.
type Report struct {
	Incarnation uint64   `json:"incarnation"`
	Queued      int      `json:"queued"`
	Running     int      `json:"running"`
	Leaving     bool     `json:"leaving"`
	Versions    []string `json:"versions"`
	Services    []string `json:"services"`
	Role        string   `json:"role,omitempty"`
}

// Record is what a VM knows of one endpoint.
type Record struct {
	Endpoint
	// leavingHere is the own or a peer's proof that this incarnation is leaving, leavingListed the platform's word,
	// which may lag behind a new incarnation.
	leavingHere   bool
	leavingListed bool
	listed        bool
	seenAt        time.Time
	polling       bool
	polledAt      time.Time
	probes        int
	probeAt       time.Time
	lost          []lostRun
	changed       bool
	collectedAt   time.Time
}

type lostRun struct {
	fingerprint uint64
	until       time.Time
}

// Crash says that an endpoint crashed while it ran the request with the fingerprint.
// Endpoint is its ID and incarnation, so that a second crash of it is told from the first.
type Crash struct {
	Fingerprint uint64
	Endpoint    string
}

func newCrash(fingerprint uint64, id string, incarnation uint64) Crash {
	return Crash{fingerprint, id + "#" + strconv.FormatUint(incarnation, 10)}
}

// Table holds every known endpoint, indexed by what it serves and how far it is.
// It takes the time as an argument and does no input or output.
type Table struct {
	at      Location
	records map[string]*Record
	index   map[string]*[distances][]*Endpoint
	// indexed is false after a change that the index doesn't show.
	indexed bool
	wanted  map[string]time.Time
	// assignedTo is the hash of the VMs that the polls are shared with; 0 asks for a new share.
	assignedTo uint64
}

// NewTable makes an empty Table of a VM at the location.
func NewTable(at Location) *Table {
	return &Table{at: at, records: map[string]*Record{}, wanted: map[string]time.Time{}}
}

// ApplyList takes in the platform's list. An endpoint that is missing there is forgotten once it has stopped answering.
func (t *Table) ApplyList(list []consul.Instance, now time.Time) {
	for _, r := range t.records {
		r.listed = false
	}
	for _, i := range list {
		t.learn(i, now)
	}
	t.forget(now)
}

func (t *Table) learn(i consul.Instance, now time.Time) {
	incarnation, _ := strconv.ParseUint(i.Meta[metaIncarnation], 10, 64)
	r, ok := t.records[i.ID]
	if !ok {
		r = &Record{Endpoint: Endpoint{ID: i.ID, Incarnation: incarnation}, probeAt: now}
		t.records[i.ID] = r
	}
	r.listed, r.seenAt = true, now
	if incarnation != 0 && incarnation < r.Incarnation {
		return
	}
	r.renew(incarnation)
	r.Address = net.JoinHostPort(i.Address, strconv.Itoa(i.Port))
	r.Region, r.Zone = i.Meta["region"], i.Meta["zone"]
	r.leavingListed = i.Meta["leaving"] == "true"
	r.leavingHere = r.leavingHere || (r.leavingListed && incarnation == r.Incarnation)
	r.settle()
	t.indexed, t.assignedTo = false, 0
}

func (t *Table) forget(now time.Time) {
	for id, r := range t.records {
		if !r.listed && r.InFlight == 0 && now.Sub(r.seenAt) > forgetAfter {
			delete(t.records, id)
			t.indexed = false
		}
	}
}

// renew starts the record anew for a later incarnation, whose leaving is yet to be announced.
func (r *Record) renew(incarnation uint64) {
	if incarnation > r.Incarnation {
		r.Incarnation, r.leavingHere, r.leavingListed = incarnation, false, false
	}
}

func (r *Record) settle() { r.Leaving = r.leavingHere || r.leavingListed }

// ApplyReport takes in the endpoint's own report, or the error of the poll, and returns the crashes that it proves.
func (t *Table) ApplyReport(id string, report Report, err error, now time.Time) []Crash {
	r, ok := t.records[id]
	if !ok {
		return nil
	}
	r.polling = false
	if err != nil || report.Incarnation < r.Incarnation {
		r.suspect(now)
		if errors.Is(err, ErrDown) {
			return r.crashes(now)
		}
		return nil
	}
	var crashes []Crash
	if report.Incarnation > r.Incarnation {
		crashes = r.crashes(now)
	}
	r.lost = nil
	r.renew(report.Incarnation)
	r.seenAt, r.Suspect, r.probes = now, false, 0
	r.leavingHere = r.leavingHere || report.Leaving
	if !slices.Equal(r.Versions, report.Versions) || !slices.Equal(r.Services, report.Services) {
		r.Versions, r.Services = report.Versions, report.Services
		t.indexed = false
	}
	r.Role = report.Role
	r.load(report.Queued, report.Running, now)
	return crashes
}

func (r *Record) load(queued, running int, at time.Time) {
	r.changed = r.changed || r.Queued != queued || r.Running != running
	r.Queued, r.Running, r.ReportedAt = queued, running, at
	r.settle()
}

// suspect keeps new work away until the endpoint answers a probe; the pause between probes doubles.
func (r *Record) suspect(now time.Time) {
	r.changed = r.changed || !r.Suspect
	r.Suspect = true
	r.probeAt = now.Add(min(firstProbe<<min(r.probes, 16), maxProbePause))
	r.probes++
}

func (r *Record) crashes(now time.Time) []Crash {
	var list []Crash
	for _, l := range r.lost {
		if now.Before(l.until) {
			list = append(list, newCrash(l.fingerprint, r.ID, r.Incarnation))
		}
	}
	r.lost = nil
	return list
}

// Hear takes in what a peer says of an endpoint. A peer's suspicion only asks for an own probe, since the peer may be
// the one that is cut off.
func (t *Table) Hear(p peer.EndpointReport, now time.Time) {
	r, ok := t.records[p.Endpoint]
	if !ok || p.Incarnation < r.Incarnation {
		return
	}
	r.renew(p.Incarnation)
	r.leavingHere = r.leavingHere || p.Leaving
	r.settle()
	if p.Suspect && !r.Suspect {
		r.probeAt = now
	}
	at := now.Add(-p.Age)
	if p.Age < 0 || p.Suspect || !at.After(r.ReportedAt) {
		return
	}
	if len(p.Versions) > 0 && !slices.Equal(r.Versions, p.Versions) {
		r.Versions = p.Versions
		t.indexed = false
	}
	r.seenAt = now
	r.load(p.Queued, p.Running, at)
}

// Choose places a run and counts it as in flight. The verdict says why none was chosen.
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
			choice = ChoiceUnproved
		}
	}
	t.wanted[q.key()] = now
	return Endpoint{}, choice
}

// Choice says how a placement ended.
type Choice int

// The values of Choice.
const (
	ChoicePlaced Choice = iota + 1
	// ChoiceFull says that every usable endpoint has all the work that it is given.
	ChoiceFull
	// ChoiceUnproved says that the endpoints are suspect or their reports too old.
	ChoiceUnproved
	// ChoiceNone says that no endpoint serves the query, or that each is leaving.
	ChoiceNone
)

// Done takes in how a call ended, and returns the crashes that are proved already.
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
	if o.ConnectionLost && len(r.lost) < maxLostRuns {
		r.lost = append(r.lost, lostRun{o.Fingerprint, now.Add(lostRunFor)})
	}
	r.suspect(now)
	r.probeAt = now
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

func (t *Table) reindex() {
	if t.indexed {
		return
	}
	t.indexed = true
	t.index = map[string]*[distances][]*Endpoint{}
	for _, r := range t.records {
		distance := t.at.Distance(r.Region, r.Zone)
		for _, k := range r.keys() {
			if t.index[k] == nil {
				t.index[k] = &[distances][]*Endpoint{}
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

func (q Query) key() string {
	if q.Service != "" {
		return "service " + q.Service
	}
	return "version " + q.Model + "/" + q.Version
}
