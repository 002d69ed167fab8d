package shift

import (
	"context"
	"math/rand/v2"
	"time"
)

// handle replies with the versions that the session's next attempt may go to; any if the service has no traffic shift.
// A request without a session gets a random bucket. Controller.Bind sends the message.
func (m bindMessage) handle(_ context.Context, c *Controller) {
	s, ok := c.services[m.service]
	if !ok || s.record.Target == "" {
		m.reply <- Binding{}
		return
	}
	now := time.Now()
	in := BindInput{Record: s.record, Share: c.currentShare(s, now), PinningOver: pinningOver(now.Sub(s.startedAt), s.record.Duration)}
	if s.halted {
		in.Record.State = StateRolledBack
	}
	if m.session == "" {
		in.Bucket = rand.Float64()
		m.reply <- Bind(in)
		return
	}
	hash := SessionHash(m.session)
	in.Bucket, in.PinnedElsewhere = Bucket(hash, s.record.Target), s.pinned[hash]
	if known, ok := c.sessions[sessionKey{m.service, hash}]; ok && c.isActive(known, now) {
		in.ActiveHere, in.Version = true, known.version
	}
	m.reply <- Bind(in)
}

// currentShare returns the scheduled share of the new version, capped at probeShare while the version has too few
// answers. It is called for each attempt.
func (c *Controller) currentShare(s *service, now time.Time) float64 {
	share := Share(now.Sub(s.startedAt), s.record.Duration)
	if c.tally.Sum(s.run()).Answers < minAnswers {
		return min(share, probeShare)
	}
	return share
}

// isActive reports whether the session has an attempt in flight or had one within SessionIdle.
func (c *Controller) isActive(s *session, now time.Time) bool {
	return s.inFlight > 0 || now.Sub(s.endedAt) < c.opts.SessionIdle
}

// handle records the session's version and counts the attempt as in flight. AttemptStarted sends the message.
func (m startMessage) handle(_ context.Context, c *Controller) {
	if m.session == "" {
		return
	}
	key := sessionKey{m.service, SessionHash(m.session)}
	s, ok := c.sessions[key]
	if !ok {
		s = &session{}
		c.sessions[key] = s
	}
	s.version = m.version
	s.inFlight++
}

// oldInFlight reports whether a session on this VM has an attempt in flight on another version than the target.
// isCompletable calls it.
func (c *Controller) oldInFlight(name string, s *service) bool {
	for k, v := range c.sessions {
		if k.service == name && v.inFlight > 0 && v.version != s.record.Target {
			return true
		}
	}
	return false
}

// publishPinned publishes the sessions that are active on the old version on this VM, for other VMs to keep them there.
// Only sessions within CanaryShare are listed, since no others would move while sessions are pinned.
// tick calls it once per order: two ticks before pinExchangeTime ends, or, if the VM learns the start later than that, at
// its next tick, unless pinning is over or the traffic shift has ended by then. If the job queue is full or the write fails,
// it isn't repeated, and other VMs may move these sessions.
func (c *Controller) publishPinned(name string, s *service, now time.Time) {
	var list []uint64
	for k, v := range c.sessions {
		onOldVersion := k.service == name && v.version != s.record.Target && c.isActive(v, now)
		if onOldVersion && Bucket(k.hash, s.record.Target) < CanaryShare && len(list) < maxPinnedSessions {
			list = append(list, k.hash)
		}
	}
	if len(list) == 0 {
		return
	}
	c.enqueue(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		if err := c.records.PublishPinned(ctx, name, c.opts.VM, list); err != nil {
			c.log.Info("pinned sessions not published", "service", name, "sessions", len(list), "error", err.Error())
		}
	})
}
