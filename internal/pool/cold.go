package pool

import (
	"time"

	"cornelmux/internal/warmup"
	"cornelmux/pkg/routing"
)

// coldCost is the cost of a cold endpoint, which is slow: more than that of a warm one in another region.
const coldCost = 300 * time.Millisecond

// ColdOptions bound the runs at cold endpoints. Without a tolerance, endpoints never count as cold.
type ColdOptions struct {
	// VM is the name of this VM.
	VM        string
	Tolerance warmup.Tolerance
}

// coldShares is what the table knows of the VMs that share the rates of cold endpoints.
type coldShares struct {
	ColdOptions
	members warmup.Members
	// view counts the changes of members, all holds them by name.
	view int
	all  []string
	// listed says that the first full scan is complete: an incarnation that comes later may have started just now.
	listed bool
	// services holds the configuration of the services whose endpoints may be cold, as runs last named it.
	services map[string]*routing.Service
	// removed holds the incarnations of endpoints that were removed, which aren't new if they come back.
	removed map[string]removedIncarnation
}

// removedIncarnation is an incarnation that was removed at a time.
type removedIncarnation struct {
	incarnation int64
	at          time.Time
}

// coldRecord is the state of a cold endpoint.
type coldRecord struct {
	spacing *warmup.Spacing
	// share is this VM's share, worked out for the view and the bound.
	share int
	view  int
	bound int
}

// SetMembers takes in the VMs of this VM's availability zone that are listed in the directory. The Controller calls it with each change.
func (t *Table) SetMembers(vms []string, now time.Time) {
	t.cold.members.Set(t.cold.VM, vms, now)
	t.cold.all = t.cold.members.All()
	t.cold.view++
}

// firstKnowledge returns what the first entry of an incarnation says of its warmth. Put calls it. An incarnation that comes after the
// first full scan may have started just now, unless it was removed before.
func (t *Table) firstKnowledge(e *Entry, now time.Time) warmup.Knowledge {
	before, known := t.cold.removed[e.ID]
	if !t.cold.listed || (known && e.Incarnation != 0 && before.incarnation == e.Incarnation) {
		return warmup.Listed(e.ColdFor, now)
	}
	return warmup.NewIncarnation(e.ColdFor, now)
}

// noteRemoved remembers the incarnation of an endpoint that is removed, unless there are maxUnlisted. remove calls it.
func (c *coldShares) noteRemoved(r *Record, now time.Time) {
	if len(c.removed) < maxUnlisted {
		c.removed[r.ID] = removedIncarnation{r.Incarnation, now}
	}
}

// forget drops the incarnations that were removed before unlistedTTL. Sweep calls it.
func (c *coldShares) forget(now time.Time) {
	for id, removed := range c.removed {
		if now.Sub(removed.at) >= unlistedTTL {
			delete(c.removed, id)
		}
	}
}

// coldUntil returns until when the endpoint counts as cold, and why; the reason is 0 if it doesn't.
func (t *Table) coldUntil(r *Record, service *routing.Service, now time.Time) (time.Time, warmup.Reason) {
	if service == nil || service.ColdRate <= 0 || !t.cold.Tolerance.Bounded() {
		return time.Time{}, 0
	}
	return r.warmth.Until(service.ColdTime, t.ReturnedAt(r.Zone), now)
}

// coldRunsLeft reports whether the endpoint is cold, and how many runs this VM may place there now. best calls it for each endpoint.
func (t *Table) coldRunsLeft(r *Record, service *routing.Service, now time.Time) (cold bool, left int) {
	if _, why := t.coldUntil(r, service, now); why == 0 {
		r.cold = nil
		return false, 0
	}
	if r.cold == nil {
		r.cold = &coldRecord{spacing: warmup.NewSpacing(now), view: -1}
	}
	return true, r.cold.spacing.Left(t.coldShare(r, service, now), now)
}

// coldShare returns how many runs this VM may place at the cold endpoint in each warmup.Window. Only the VMs of the endpoint's
// availability zone place any.
func (t *Table) coldShare(r *Record, service *routing.Service, now time.Time) int {
	if r.Zone != t.location.Zone || !t.cold.members.Joined(now) {
		return 0
	}
	bound := t.cold.Tolerance.Bound(service.ColdRate)
	if r.cold.view != t.cold.view || r.cold.bound != bound {
		r.cold.view, r.cold.bound = t.cold.view, bound
		r.cold.share = warmup.Share(t.cold.VM, warmup.Key(r.ID, r.Incarnation), t.cold.all, bound)
	}
	return r.cold.share
}

// takeColdRun counts a run that is placed at the endpoint, and returns by when its send has to begin; zero if the endpoint isn't cold.
// Choose calls it.
func (r *Record) takeColdRun(now time.Time) time.Time {
	if r.cold == nil {
		return time.Time{}
	}
	r.cold.spacing.Take(now)
	return now.Add(warmup.PlaceDelay)
}

// returnColdRun takes back a run of which nothing was sent. Done calls it.
func (r *Record) returnColdRun(o *Outcome) {
	if r.cold != nil && o.End == EndUnused && !o.SendBy.IsZero() {
		r.cold.spacing.Return(o.SendBy.Add(-warmup.PlaceDelay))
	}
}

// coldWait returns the shortest time until one of the service's endpoints that may run q, tried before or not, takes a run of this VM;
// 0 if there is none or one isn't cold. Choose calls it if no endpoint is left.
func (t *Table) coldWait(q *Query, now time.Time) time.Duration {
	all, least := *q, time.Duration(0)
	all.Exclude = nil
	for _, r := range t.services[q.Service] {
		if !r.eligible(&all) || r.pauses(now) {
			continue
		}
		until, why := t.coldUntil(r, q.Config, now)
		if why == 0 {
			return 0
		}
		wait := until.Sub(now)
		if r.cold != nil {
			if share := t.coldShare(r, q.Config, now); share > 0 {
				wait = min(wait, r.cold.spacing.Wait(share, now))
			}
		}
		if least == 0 || wait < least {
			least = max(wait, time.Millisecond)
		}
	}
	return least
}

// ColdEndpoint is a cold endpoint as this VM sees it.
type ColdEndpoint struct {
	Endpoint string
	Service  string
	Zone     string
	Why      warmup.Reason
	// Left is the time until it counts as warm.
	Left time.Duration
	// Share is how many runs this VM may place there in each warmup.Window, RunsLeft how many now.
	Share    int
	RunsLeft int
}

// ColdEndpoints returns the endpoints that count as cold now, in any order. The Controller calls it for the log and the metrics.
func (t *Table) ColdEndpoints(now time.Time) []ColdEndpoint {
	var out []ColdEndpoint
	for name, service := range t.cold.services {
		for _, r := range t.services[name] {
			until, why := t.coldUntil(r, service, now)
			if why == 0 {
				continue
			}
			_, left := t.coldRunsLeft(r, service, now)
			out = append(out, ColdEndpoint{r.ID, name, r.Zone, why, until.Sub(now), t.coldShare(r, service, now), left})
		}
	}
	return out
}

// noteService remembers the configuration of a service whose endpoints may be cold. Choose calls it for each run.
func (c *coldShares) noteService(service *routing.Service) {
	if service == nil || !c.Tolerance.Bounded() || c.services[service.Name] == service {
		return
	}
	if service.ColdRate <= 0 {
		delete(c.services, service.Name)
		return
	}
	c.services[service.Name] = service
}
