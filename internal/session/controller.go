// Package session keeps each caller's session on the version that it began with.
package session

import (
	"context"
	"time"

	"cornelmux/internal/configuration"
	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

const (
	mailboxSize   = 4096
	sweepInterval = 10 * time.Second
)

// Key names a session of a model.
type Key struct {
	Account string
	Model   string
	Session string
}

// Binding is the version that a session keeps.
type Binding struct {
	Version string
	UsedAt  time.Time
}

// Controller owns the bindings of the sessions that were active here.
type Controller struct {
	mailbox   chan message
	freshness time.Duration
	idle      time.Duration
	bindings  map[Key]Binding
}

// New makes a Controller. Versions under roll-out are used only while the configuration was proven within freshness;
// a binding ends after idle without use.
func New(freshness, idle time.Duration) *Controller {
	return &Controller{
		mailbox: make(chan message, mailboxSize), freshness: freshness, idle: idle,
		bindings: map[Key]Binding{},
	}
}

type message interface{ handle(*Controller) }

type (
	versionMessage struct {
		snapshot configuration.Snapshot
		account  catalog.ClientAccount
		model    catalog.Model
		session  string
		reply    chan<- versionReply
	}
	versionReply struct {
		version string
		err     error
	}
)

// Run owns the state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.mailbox:
			m.handle(c)
		case now := <-ticker.C:
			c.sweep(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Version implements filter.Sessions.
func (c *Controller) Version(ctx context.Context, s configuration.Snapshot, a catalog.ClientAccount, model, session string) (string, error) {
	m, ok := s.Model(model)
	if !ok {
		return "", result.Errorf(result.ModelNotAllowed, "model %q", model)
	}
	r, err := task.Ask(ctx, c.mailbox, func(reply chan<- versionReply) message {
		return versionMessage{s, a, m, session, reply}
	})
	if err != nil {
		return "", result.Errorf(result.QueueFull, "sessions: %v", err)
	}
	return r.version, r.err
}

func (m versionMessage) handle(c *Controller) {
	now := time.Now()
	key := Key{m.account.Name, m.model.Name, m.session}
	version, err := Decide(m.snapshot, m.account, m.model, m.session, c.bindings[key], now.Sub(m.snapshot.ProvenAt) < c.freshness)
	if err == nil {
		c.bindings[key] = Binding{version, now}
	}
	m.reply <- versionReply{version, err}
}

// Decide keeps a binding while its version is usable, and otherwise picks anew.
func Decide(s configuration.Snapshot, a catalog.ClientAccount, m catalog.Model, session string, b Binding, fresh bool) (string, error) {
	if b.Version != "" && a.Allows(m.Name, b.Version) && !s.Catalog.Withdrawn(m.Name, b.Version) {
		return b.Version, nil
	}
	return rollout.Pick(&s.Catalog, a, m, session, fresh)
}

func (c *Controller) sweep(now time.Time) {
	for k, b := range c.bindings {
		if now.Sub(b.UsedAt) > c.idle {
			delete(c.bindings, k)
		}
	}
}
