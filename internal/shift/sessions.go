package shift

import (
	"context"
	"math/rand/v2"
	"time"
)

func (m bindMessage) handle(_ context.Context, c *Controller) {
	s, ok := c.services[m.service]
	if !ok || s.record.Target == "" {
		m.reply <- Binding{}
		return
	}
	now := time.Now()
	k := Case{Record: s.record, Share: c.share(s, now), Late: late(now.Sub(s.begun), s.record.Duration)}
	if s.halted {
		k.Record.State = StateRolledBack
	}
	if m.session == "" {
		k.Bucket = rand.Float64()
		m.reply <- Bind(k)
		return
	}
	hash := SessionHash(m.session)
	k.Bucket, k.Elsewhere = Bucket(hash, s.record.Target), s.pinned[hash]
	if known, ok := c.sessions[sessionKey{m.service, hash}]; ok && c.active(known, now) {
		k.Known, k.Version = true, known.version
	}
	m.reply <- Bind(k)
}

// share is the planned share, held at probeShare while the version has too few answers.
func (c *Controller) share(s *service, now time.Time) float64 {
	share := Share(now.Sub(s.begun), s.record.Duration)
	if c.tally.Sum(s.run()).Answers < leastProof {
		return min(share, probeShare)
	}
	return share
}

func (c *Controller) active(s *session, now time.Time) bool {
	return s.running > 0 || now.Sub(s.endedAt) < c.opts.SessionIdle
}

func (m beganMessage) handle(_ context.Context, c *Controller) {
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
	s.running++
}

// oldRuns reports whether a session's run on another version than the target is in flight here.
func (c *Controller) oldRuns(name string, s *service) bool {
	for k, v := range c.sessions {
		if k.service == name && v.running > 0 && v.version != s.record.Target {
			return true
		}
	}
	return false
}

// tellPinned tells the others which sessions of the canary's share are on the old version here.
func (c *Controller) tellPinned(name string, s *service, now time.Time) {
	var list []uint64
	for k, v := range c.sessions {
		old := k.service == name && v.version != s.record.Target && c.active(v, now)
		if old && Bucket(k.hash, s.record.Target) < CanaryShare && len(list) < maxPinned {
			list = append(list, k.hash)
		}
	}
	if len(list) == 0 {
		return
	}
	c.do(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		if err := c.ledger.PublishPinned(ctx, name, c.opts.VM, list); err != nil {
			c.log.Info("active sessions not told", "service", name, "sessions", len(list), "error", err.Error())
		}
	})
}
