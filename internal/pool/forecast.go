package pool

import (
	"cmp"
	"time"

	"cornelmux/internal/engine"
)

// Priors of the engine models: what is taken for a service until runs were seen.
var (
	enginePrior = engine.Prior{
		First: 30 * time.Millisecond, PerToken: time.Millisecond / 27, PerLoad: 16 * time.Millisecond, PerEvent: 40 * time.Millisecond,
		Typical: engine.Run{Tokens: 2000, Load: 4, Queued: 0.5},
	}
	// servicePrior is for a plain service, whose load is the share of its slots that are taken.
	servicePrior = engine.Prior{First: 30 * time.Millisecond, PerLoad: 30 * time.Millisecond, Typical: engine.Run{Tokens: 1, Load: 0.5, Queued: 0.5}}
)

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
	return out
}

// expectedEvents returns the expected number of events of the answer, or 0 if nothing is known.
func (q *Query) expectedEvents() int {
	tokens := cmp.Or(q.Prompt.LikelyTokensOut, q.Prompt.MaxTokensOut)
	if q.Config == nil || q.Config.Engine.TokensPerEvent <= 0 {
		return tokens
	}
	return (tokens + q.Config.Engine.TokensPerEvent - 1) / q.Config.Engine.TokensPerEvent
}

// learn adds a run that was answered to what is known of its endpoint and of the engines of its service. Done calls it.
func (t *Table) learn(r *Record, o *Outcome, now time.Time) {
	if o.End != EndAnswered || o.TTFB <= 0 {
		return
	}
	model := t.models.keep(latencyKey{o.Service, o.Model})
	expected := model.Forecast(o.Run, r.slowRatio(now)).Begin
	t.delays.learn(t.location.Distance(r.Region, r.Zone), o.TTFB-expected)
	begin := o.TTFB - t.delays.of(t.location.Distance(r.Region, r.Zone))
	r.slowness.Learn(begin, model.Forecast(o.Run, 1).Begin, now)
	if r.Zone == t.location.Zone {
		model.Learn(o.Run, engine.Seen{Begin: begin, Gap: o.MeanGap}, r.slowRatio(now))
	}
}

// slowRatio returns how many times longer than expected the runs at the endpoint take, as the mean of what this VM and its peers know.
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
	if n == 0 {
		return 1
	}
	return sum / n
}
