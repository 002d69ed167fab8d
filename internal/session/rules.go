package session

import (
	"maps"
	"time"

	"cornelmux/internal/configuration"
	"cornelmux/internal/rollout"
	"cornelmux/pkg/catalog"
)

// ruleState is the rule in force for a model and the one that follows at activateAt or later.
type ruleState struct {
	current    rollout.Rule
	next       rollout.Rule
	activateAt time.Time
}

// halt identifies a halted run of a model's rollout. startedAt is in Unix seconds.
type halt struct {
	version   string
	startedAt int64
}

// haltMessage reports that this VM has halted a run of a model's rollout. Halt sends it.
type haltMessage struct {
	model string
	halt  halt
}

func (m haltMessage) handle(c *Controller) { c.halts[m.model] = m.halt }

// effectiveRule returns the model's rule in force, halted if this VM has halted its rollout. For a model that no snapshot
// has brought yet, it is the rule in the query's snapshot. resolveVersion calls it.
func (c *Controller) effectiveRule(q Query) rollout.Rule {
	s, ok := c.rules[q.Model.Name]
	if !ok {
		s.current = rollout.RuleOf(&q.Snapshot.Catalog, q.Model)
	}
	if h, halted := c.halts[q.Model.Name]; halted && h == (halt{s.current.Version, s.current.StartedAt}) {
		return s.current.Halted()
	}
	return s.current
}

// applySnapshot takes the rules of a new configuration. A changed rule takes effect after the activation delay and a pull,
// a halt at once. Run calls it for each snapshot.
func (c *Controller) applySnapshot(s configuration.Snapshot, now time.Time) {
	for _, m := range s.Catalog.Models {
		r := rollout.RuleOf(&s.Catalog, m)
		old, known := c.rules[m.Name]
		switch {
		case !known:
			c.rules[m.Name] = ruleState{current: r, next: r}
		case r == old.next:
		case r.State == catalog.RollOutHalted:
			c.rules[m.Name] = ruleState{current: r, next: r}
			c.requestPull()
		default:
			old.next, old.activateAt = r, activationTime(r, now, c.options.ActivationDelay)
			c.rules[m.Name] = old
		}
	}
	c.applyWithdrawals(s.Catalog.Withdrawals)
	c.scheduleActivation(now)
}

// applyWithdrawals drops the bindings to newly withdrawn versions, so that a reinstatement doesn't restore them.
// applySnapshot calls it.
func (c *Controller) applyWithdrawals(withdrawn []catalog.Withdrawal) {
	next := map[binding]bool{}
	for _, w := range withdrawn {
		b := binding{w.Model, w.Version}
		next[b] = true
		if !c.withdrawn[b] {
			c.table.drop(b)
			c.remote.drop(b, time.Now())
			c.ownChanged = true
		}
	}
	if !maps.Equal(next, c.withdrawn) {
		c.requestPull() // new sessions get another version now, so the versions of sessions on other VMs must be known
	}
	c.withdrawn = next
}

// scheduleActivation sets the timer to the activation of the next pending rule, at most expireInterval ahead.
// It is called on each new configuration and after each pull.
func (c *Controller) scheduleActivation(now time.Time) {
	wait := expireInterval
	pending := false
	for _, s := range c.rules {
		if s.current != s.next {
			pending = true
			wait = min(wait, max(s.activateAt.Sub(now), 0))
		}
	}
	if pending {
		c.activationTimer.Reset(wait)
	}
}

// activateRules puts the pending rules in force that were due when the pull of startedAt began. The handler of pulledMessage
// calls it.
func (c *Controller) activateRules(startedAt time.Time) {
	for name, s := range c.rules {
		if s.current != s.next && !s.activateAt.After(startedAt) {
			s.current = s.next
			c.rules[name] = s
			c.log.Info("rollout step in force", "model", name, "version", s.current.Version, "share", s.current.Share, "state", s.current.State)
		}
	}
}
