package feed

import (
	"context"
	"time"

	"cornelmux/internal/peer"
)

const (
	// shareInterval lies between two states that a VM tells the others.
	shareInterval = 200 * time.Millisecond
	// collectTimeout bounds the wait for the controllers' parts of a state.
	collectTimeout = 50 * time.Millisecond
	// farListeners is how many VMs of other zones get each state, in turn.
	farListeners = 2
)

// heardState names the newest state that came of a VM.
type heardState struct {
	incarnation uint64
	sequence    uint64
}

// share tells the other VMs of the zone, and of what matters everywhere some of others, what this VM's controllers know.
func (c *Controller) share(ctx context.Context, now time.Time) {
	if now.Before(c.nextShare) || len(c.secret) == 0 || len(c.sections) == 0 {
		return
	}
	c.nextShare = now.Add(shareInterval)
	self := c.opts.Self
	if len(c.members) < 2 {
		return
	}
	c.sequence++
	s := peer.State{VM: self.VM, Incarnation: c.incarnation, Sequence: c.sequence, Zone: self.Zone, PeerAddress: self.Address}
	limited, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	for _, section := range c.sections {
		if err := section.Collect(limited, &s); err != nil {
			c.log.V(1).Info("part of the state not collected", "error", err.Error())
		}
	}
	if len(s.Endpoints) == 0 && len(s.Evidence) == 0 && len(s.Crashes) == 0 {
		return
	}
	c.sendState(s, Listeners(self.VM, self.Zone, c.members))
	if len(s.Evidence) > 0 || len(s.Crashes) > 0 {
		s.Endpoints = nil // loads count only in their zone
		c.sendState(s, c.far())
	}
}

func (c *Controller) sendState(s peer.State, addresses []string) {
	packet, _, err := c.cursor.Encode(c.secret, peer.Packet{State: s})
	if err != nil {
		c.log.Info("state not sent", "error", err.Error())
		return
	}
	for _, address := range addresses {
		if err := c.transport.Send(address, packet); err != nil {
			c.log.V(1).Info("state not sent", "to", address, "error", err.Error())
		}
	}
}

// far picks the next VMs of other zones.
func (c *Controller) far() []string {
	all := Others(c.opts.Self.Zone, c.members)
	var out []string
	for range min(farListeners, len(all)) {
		c.nextFar++
		out = append(out, all[c.nextFar%len(all)])
	}
	return out
}

// hearState takes in another VM's state, unless a newer one of it came before.
func (c *Controller) hearState(ctx context.Context, data []byte) {
	p, err := peer.Decode(c.secret, data)
	if err != nil || len(c.secret) == 0 {
		c.refused++
		c.log.V(1).Info("state refused", "refused", c.refused)
		return
	}
	last := c.states[p.VM]
	if p.Incarnation < last.incarnation || (p.Incarnation == last.incarnation && p.Sequence <= last.sequence) {
		return
	}
	c.states[p.VM] = heardState{p.Incarnation, p.Sequence}
	for _, section := range c.sections {
		if err := section.Receive(ctx, p.State); err != nil {
			c.log.V(1).Info("state not taken in", "vm", p.VM, "error", err.Error())
		}
	}
}
