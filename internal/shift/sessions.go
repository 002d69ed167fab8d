package shift

import (
	"context"
	"math/rand/v2"
	"time"

	"cornelmux/internal/task"
)

const (
	// maxPinnedSessions is the maximum number of sessions that a VM publishes for a service.
	maxPinnedSessions = 2000
	// pinsRetryPause is the time after a failed write of the pinned sessions until the next one.
	pinsRetryPause = time.Second
)

// pinsState says whether this VM has published its pinned sessions for a traffic shift.
type pinsState int

const (
	pinsUnpublished pinsState = iota
	pinsInFlight
	pinsPublished
)

// sessionKey identifies a session of a service by the hash of its ID.
type sessionKey struct {
	service string
	hash    uint64
}

// session is a session that was active on this VM.
type session struct {
	version string
	// inFlight is the number of attempts in flight.
	inFlight int
	// endedAt is when the last attempt ended.
	endedAt time.Time
}

type (
	pinnedMessage struct {
		service  string
		sessions []uint64
	}
	publishedMessage struct {
		service string
		// order is the revision of the order for which they were published.
		order uint64
		err   error
	}
	bindMessage struct {
		service string
		session string
		reply   task.Reply[Binding]
	}
)

// Size implements task.Sized.
func (m pinnedMessage) Size() int { return len(m.sessions) }

// PinSessions pins sessions that were active on the old version on another VM, given by hash. It is called when the VM
// learns that VM's list from the store.
func (c *Controller) PinSessions(_ context.Context, service string, sessions []uint64) error {
	return task.Tell(c.mailbox, message(pinnedMessage{service, sessions}))
}

// Bind returns the versions that the next attempt of a session may go to. An empty session stands for a request without one.
// The filter that forwards requests calls it before each attempt.
func (c *Controller) Bind(ctx context.Context, service, session string) (Binding, error) {
	return task.AskOrLeave(ctx, nil, c.mailbox, func(reply task.Reply[Binding]) message { return bindMessage{service, session, reply} })
}

// handle pins the sessions that another VM published.
func (m pinnedMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.service)
	if s.pinned == nil {
		s.pinned = map[uint64]bool{}
	}
	for _, h := range m.sessions {
		s.pinned[h] = true
	}
}

// handle replies with the versions that the session's next attempt may go to; any if the service has no traffic shift.
// A request without a session gets a random bucket. Controller.Bind sends the message.
func (m bindMessage) handle(_ context.Context, c *Controller) {
	if !m.reply.Wanted() {
		return
	}
	s, ok := c.services[m.service]
	if !ok || s.record.Target == "" {
		m.reply.Send(Binding{})
		return
	}
	now := time.Now()
	in := BindInput{Record: s.record, Share: s.currentShare(now), PinningOver: pinningOver(now.Sub(s.startedAt), s.record.Duration)}
	if s.halted {
		in.Record.State = StateRolledBack
	}
	if m.session == "" {
		in.Bucket = rand.Float64()
		m.reply.Send(Bind(in))
		return
	}
	hash := SessionHash(m.session)
	in.Bucket, in.PinnedElsewhere = Bucket(hash, s.record.Target), s.pinned[hash]
	if known, ok := c.sessions[sessionKey{m.service, hash}]; ok && c.isActive(known, now) {
		in.ActiveHere, in.Version = true, known.version
	}
	m.reply.Send(Bind(in))
}

// currentShare returns the share of sessions that get the new version now. Within the canary's time it follows the
// schedule; later it is what tick allowed. It is called for each attempt.
func (s *service) currentShare(now time.Time) float64 {
	return max(s.share, min(Share(now.Sub(s.startedAt), s.record.Duration), CanaryShare))
}

// isActive reports whether the session has an attempt in flight or had one within SessionIdle.
func (c *Controller) isActive(s *session, now time.Time) bool {
	return s.inFlight > 0 || now.Sub(s.endedAt) < c.opts.SessionIdle
}

// oldInFlight reports whether a session on this VM has an attempt in flight on another version than the target.
// standing calls it.
func (c *Controller) oldInFlight(name string, s *service) bool {
	for k, v := range c.sessions {
		if k.service == name && v.inFlight > 0 && v.version != s.record.Target {
			return true
		}
	}
	return false
}

// pinsDue reports whether this VM has to publish its pinned sessions now. tick calls it.
func (s *service) pinsDue(elapsed time.Duration, now time.Time) bool {
	return s.pins == pinsUnpublished && !now.Before(s.nextPins) &&
		elapsed > pinExchangeTime-2*tickInterval && !pinningOver(elapsed, s.record.Duration)
}

// publishPinned publishes the sessions that are active on the old version on this VM, for other VMs to keep them there.
// Only sessions within CanaryShare are listed, since no others would move while sessions are pinned.
// tick calls it from two ticks before pinExchangeTime ends until a write succeeds, or pinning or the traffic shift is over.
func (c *Controller) publishPinned(name string, s *service, now time.Time) {
	var list []uint64
	for k, v := range c.sessions {
		onOldVersion := k.service == name && v.version != s.record.Target && c.isActive(v, now)
		if onOldVersion && Bucket(k.hash, s.record.Target) < CanaryShare && len(list) < maxPinnedSessions {
			list = append(list, k.hash)
		}
	}
	if len(list) == 0 {
		s.pins = pinsPublished
		return
	}
	order := s.record.Order.Revision
	queued := c.enqueue(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, writeTimeout)
		err := c.records.PublishPinned(limited, name, c.opts.VM, list)
		cancel()
		_ = c.send(ctx, publishedMessage{name, order, err}) // fails only when ctx ends
	})
	if queued {
		s.pins = pinsInFlight
	}
}

// handle notes that the pinned sessions were published, or that they have to be published again. The job of publishPinned
// sends the message.
func (m publishedMessage) handle(_ context.Context, c *Controller) {
	s := c.service(m.service)
	if m.order != s.record.Order.Revision {
		return
	}
	s.pins = pinsPublished
	if m.err != nil {
		s.pins, s.nextPins = pinsUnpublished, time.Now().Add(pinsRetryPause)
		c.log.Info("pinned sessions not published", "service", m.service, "error", m.err.Error())
	}
}
