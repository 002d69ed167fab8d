package pool

import (
	"cmp"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/engine"
)

// Priors of the engine models: what is taken for a service until runs were seen.
var (
	enginePrior = engine.Prior{
		First: 30 * time.Millisecond, PerToken: time.Millisecond / 27, PerLoad: 16 * time.Millisecond, PerEvent: 40 * time.Millisecond,
		Typical: engine.Run{Tokens: 2000, Load: 4, Queued: 0.5, Waiting: 50 * time.Millisecond},
	}
	// servicePrior is for a plain service, whose load is the share of its slots that are taken.
	servicePrior = engine.Prior{First: 30 * time.Millisecond, PerLoad: 30 * time.Millisecond, Typical: engine.Run{Tokens: 1, Load: 0.5, Queued: 0.5, Waiting: time.Millisecond}}
)

// typicalSlowness is the slowness up to which an endpoint counts as one of typical speed.
const typicalSlowness = 1.5

// models holds what was learned of the engines, by service and model.
type models map[latencyKey]*engine.Model

// of returns the model of the runs of a key. Table.Choose calls it for each run; one of a key of which nothing was learned isn't kept,
// since callers name the models.
func (m models) of(key latencyKey) *engine.Model {
	if known, ok := m[key]; ok {
		return known
	}
	if key.model != "" {
		return engine.NewModel(enginePrior)
	}
	return engine.NewModel(servicePrior)
}

// keep returns the model of the runs of a key to learn from one that was answered, and keeps it unless there are maxTypical.
func (m models) keep(key latencyKey) *engine.Model {
	model := m.of(key)
	if len(m) < maxTypical {
		m[key] = model
	}
	return model
}

// run describes what a run of q asks of the endpoint, and what it finds there by what this VM and its peers know. Of an endpoint in
// another zone little more is known than the mean load there.
func (t *Table) run(r *Record, q *Query, now time.Time) engine.Run {
	inFlight, load, _ := r.peerTotals(now)
	load += r.engineLoad
	utilization := slotUtilization(r.InFlight+inFlight, r.Slots)
	if r.Zone != t.location.Zone {
		zoneLoad, zoneUtilization := t.zoneLoads.of(r.Zone, r.Service, r.Slots, now)
		load, utilization = max(load, zoneLoad), max(utilization, zoneUtilization)
	}
	out := engine.Run{Queued: max(utilization+1/float64(max(r.Slots, 1))-1, 0)}
	if q.Model == "" {
		out.Load = utilization
		return out
	}
	out.Tokens, out.Load, out.Events = r.uncachedTokens(q), load, q.expectedEvents()
	out.Waiting = r.waitingWork + r.peerWork(now)
	return out
}

// forecast returns when the run of q is expected to begin and end at the endpoint, with the way there. Choose calls it.
func (t *Table) forecast(r *Record, q *Query, run engine.Run, now time.Time) engine.Forecast {
	f, delay := q.engine.Forecast(run, r.slowRatio(now)), t.delays.of(t.location.Distance(r.Region, r.Zone))
	f.Begin += delay
	if f.End > 0 {
		f.End += delay
	}
	return f
}

// expectedEvents returns the expected number of events of the answer, or 0 if nothing is known.
func (q *Query) expectedEvents() int {
	tokens := cmp.Or(q.Prompt.LikelyTokensOut, q.Prompt.MaxTokensOut)
	if q.Config == nil || q.Config.Engine.TokensPerEvent <= 0 {
		return tokens
	}
	return (tokens + q.Config.Engine.TokensPerEvent - 1) / q.Config.Engine.TokensPerEvent
}

// Began records that the answer of a run began. The Controller calls it for each answer that isn't an error.
func (t *Table) Began(b *Begin, now time.Time) {
	r, ok := t.records[b.Endpoint]
	if !ok {
		return
	}
	if w, waiting := r.leave(b.Number); waiting && r.Incarnation == b.Incarnation {
		t.learnBegin(r, &w, b.TTFB, now)
	}
}

// learnBegin adds the begin of a run to what is known of its endpoint and of the engines of its service. Began calls it, and Done if no
// begin was told before.
func (t *Table) learnBegin(r *Record, w *waitingRun, ttfb time.Duration, now time.Time) {
	if ttfb <= 0 {
		return
	}
	model, distance := t.models.keep(w.key), t.location.Distance(r.Region, r.Zone)
	t.delays.learn(distance, ttfb-model.Forecast(w.run, r.slowRatio(now)).Begin)
	begin := ttfb - t.delays.of(distance)
	r.slowness.Learn(begin, model.Forecast(w.run, 1).Begin, now)
	if distance == endpoint.SameZone {
		model.Learn(w.run, engine.Seen{Begin: begin}, r.slowRatio(now))
	}
}

// learnGap adds the time between the events of a run that was answered. Done calls it.
func (t *Table) learnGap(r *Record, o *Outcome, now time.Time) {
	if o.End == EndAnswered && o.MeanGap > 0 {
		t.models.keep(latencyKey{o.Service, o.Model}).Learn(o.Run, engine.Seen{Gap: o.MeanGap}, r.slowRatio(now))
	}
}

// slowRatio returns how many times longer than expected the runs at the endpoint take, as the mean of what this VM and its peers know. Up
// to typicalSlowness it is 1: runs of typical endpoints differ by that much, and would be placed by chance.
func (r *Record) slowRatio(now time.Time) float64 {
	sum, n := 0.0, 0.0
	if r.slowness.Known(now) {
		sum, n = r.slowness.Ratio(now), 1
	}
	for _, v := range r.peerViews {
		if v.slowness > 0 && now.Sub(v.receivedAt) <= peerViewTTL {
			sum += v.slowness
			n++
		}
	}
	if n == 0 || sum/n <= typicalSlowness {
		return 1
	}
	return sum / n
}
